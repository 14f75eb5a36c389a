//! Store of model weights with a limited transfer rate.
//!
//! All callers share the rate. `GET /weights/MODEL` answers after the time that transferring the
//! model would take, behind the reads accepted earlier. A read that would wait longer than
//! [`Settings::max_wait`] to begin is answered 429. The answer contains the size but no weights.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pistachiochute_core::{name, units};
use serde_json::json;

use crate::{server, sync};

/// Settings of a weight store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Sizes of the stored models.
    pub models: BTreeMap<name::ModelName, units::ByteSize>,
    /// Transfer rate in bytes per second, shared by all callers.
    pub rate: units::ByteSize,
    /// Longest time that a read may wait for earlier reads.
    pub max_wait: Duration,
    /// Faults that are set at the start.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: BTreeMap::new(),
            rate: units::ByteSize(1 << 30),
            max_wait: Duration::ZERO,
            faults: Faults::default(),
        }
    }
}

/// Faults of a weight store; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused.
    pub refuse_connections: bool,
}

/// Counters of a weight store since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Completed reads by model.
    pub reads: BTreeMap<name::ModelName, u64>,
    /// Reads answered 429.
    pub refused: u64,
}

/// A running weight store.
#[derive(Debug)]
pub struct WeightStore {
    shared: Arc<Shared>,
    server: server::Server,
}

server::impl_stand_in!(WeightStore, Faults);

impl WeightStore {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or a thread cannot be started.
    pub fn start(cfg: Settings) -> eyre::Result<Self> {
        let make = |control| Shared {
            state: Mutex::new(State {
                free_at: Instant::now(),
                counters: Counters::default(),
            }),
            faults: server::FaultSwitch::new(cfg.faults, |faults| faults.refuse_connections),
            cfg: cfg.clone(),
            control,
        };
        let (shared, server) = server::Server::start(cfg.listen, make, Shared::handle)?;
        shared.faults.set(server.control(), cfg.faults);
        Ok(Self { shared, server })
    }

    /// Current counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        sync::lock(&self.shared.state).counters.clone()
    }
}

#[derive(Debug)]
struct State {
    /// Time at which all accepted reads are complete.
    free_at: Instant,
    counters: Counters,
}

#[derive(Debug)]
struct Shared {
    cfg: Settings,
    faults: server::FaultSwitch<Faults>,
    state: Mutex<State>,
    control: Arc<server::Control>,
}

impl Shared {
    fn handle(&self, exchange: server::Exchange) {
        let model = exchange
            .path()
            .strip_prefix("/weights/")
            .and_then(|text| text.parse().ok());
        let size = model
            .as_ref()
            .and_then(|model| self.cfg.models.get(model))
            .copied();
        let (Some(model), Some(size)) = (model, size) else {
            return exchange.refuse(404, "not_found", "no such model");
        };
        let Ok(span) = self.reserve(size) else {
            return exchange.refuse(429, "rate_limited", "the rate is used up");
        };
        if !self.control.sleep(span) {
            return exchange.hang_up();
        }
        let answer = json!({ "model": model, "bytes": size });
        *sync::lock(&self.state)
            .counters
            .reads
            .entry(model)
            .or_default() += 1;
        exchange.respond(200, &answer);
    }

    /// Schedules a read behind the accepted ones. Returns the time until it completes, or an error
    /// if it would wait longer than `max_wait` to begin.
    fn reserve(&self, size: units::ByteSize) -> Result<Duration, ()> {
        let mut state = sync::lock(&self.state);
        let now = Instant::now();
        let begin = state.free_at.max(now);
        if begin - now > self.cfg.max_wait {
            state.counters.refused += 1;
            return Err(());
        }
        let rate = self.cfg.rate.0.max(1) as f64;
        state.free_at = begin + Duration::from_secs_f64(size.0 as f64 / rate);
        Ok(state.free_at - now)
    }
}
