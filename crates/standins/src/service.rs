//! Plain HTTP service without idempotency of its own.
//!
//! Each `POST` runs a call and counts the run by its `idempotency-key` and its `x-request-id`. The
//! service does not deduplicate by key, so that a test can detect a call that its caller ran twice.
//! `GET` reports how often a path was run, without side effects.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use crate::{server, sync};

/// Maximum number of keys, of request ids and of paths whose runs are counted.
const MAX_COUNTED_NAMES: usize = 500_000;

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time that a call takes to run.
    pub run_time: Duration,
    /// Faults that are set at the start.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            run_time: Duration::ZERO,
            faults: Faults::default(),
        }
    }
}

/// A fault of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The call is answered 503 with the header `x-outcome: not_run`, and does not run.
    Refuse,
    /// The connection closes without an answer, and the call does not run.
    HangUpBefore,
    /// The call does not run, and is not answered while the fault is set.
    StallBefore,
    /// The call runs, and is not answered while the fault is set.
    StallAfter,
    /// The call runs, and the connection closes without an answer.
    HangUpAfter,
    /// The call runs, and the connection closes half-way through the answer.
    CutAfter,
}

/// Faults of a service; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused, including those to `/faults`. Only [`Service::set_faults`] clears
    /// this.
    pub refuse_connections: bool,
    /// Fault that calls meet, if any.
    pub calls: Option<Fault>,
    /// Number of further calls that meet the fault; `None` means all of them.
    pub times: Option<u32>,
}

/// Counters of a service since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Runs by `idempotency-key`.
    pub by_key: BTreeMap<String, u32>,
    /// Runs by `x-request-id`.
    pub by_request: BTreeMap<String, u32>,
    /// Runs by path.
    pub by_path: BTreeMap<String, u32>,
    /// All runs, including those whose key, id or path the maps had no room for.
    pub runs: u64,
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    server: server::Server,
}

server::impl_stand_in!(Service, Faults);

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or a thread cannot be started.
    pub fn start(cfg: Settings) -> eyre::Result<Self> {
        let (shared, server) = server::Server::start(
            cfg.listen,
            |control| Shared {
                run_time: cfg.run_time,
                faults: server::FaultSwitch::new(cfg.faults, |faults| faults.refuse_connections),
                counters: Mutex::default(),
                control,
            },
            Shared::handle,
        )?;
        shared.faults.set(server.control(), shared.faults.get());
        Ok(Self { shared, server })
    }

    /// Current counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        sync::lock(&self.shared.counters).clone()
    }
}

#[derive(Debug)]
struct Shared {
    run_time: Duration,
    faults: server::FaultSwitch<Faults>,
    counters: Mutex<Counters>,
    control: Arc<server::Control>,
}

impl Shared {
    fn handle(&self, exchange: server::Exchange) {
        match (exchange.method(), exchange.path()) {
            ("POST", "/faults") => self.faults.handle_post(exchange, &self.control),
            ("POST", _) => self.call(exchange),
            ("GET", path) => {
                let runs = sync::lock(&self.counters)
                    .by_path
                    .get(path)
                    .copied()
                    .unwrap_or(0);
                let answer = json!({ "path": path, "runs": runs });
                exchange.respond(200, &answer);
            }
            _ => exchange.refuse(405, "method_not_allowed", "only GET and POST"),
        }
    }

    fn call(&self, exchange: server::Exchange) {
        let fault = self.next_fault();
        match fault {
            Some(Fault::Refuse) => {
                return exchange.refuse(503, "busy", "the call was not run");
            }
            Some(Fault::HangUpBefore) => return exchange.hang_up(),
            Some(Fault::StallBefore) => return self.stall(exchange),
            _ => {}
        }
        let answer = self.run(&exchange);
        if !self.control.sleep(self.run_time) {
            return exchange.hang_up();
        }
        match fault {
            Some(Fault::StallAfter) => self.stall(exchange),
            Some(Fault::HangUpAfter) => exchange.hang_up(),
            Some(Fault::CutAfter) => exchange.respond_truncated(&answer),
            _ => exchange.respond(200, &answer),
        }
    }

    fn next_fault(&self) -> Option<Fault> {
        let mut faults = self.faults.lock();
        let fault = faults.calls?;
        server::take_fault(&mut faults.times).then_some(fault)
    }

    fn stall(&self, exchange: server::Exchange) {
        exchange.stall(&self.control, || self.faults.get().calls.is_some());
    }

    /// Counts a run and returns its answer.
    fn run(&self, exchange: &server::Exchange) -> serde_json::Value {
        let key = exchange.header("idempotency-key");
        let request = exchange.header("x-request-id");
        let mut counters = sync::lock(&self.counters);
        counters.runs += 1;
        let run = counters.runs;
        count(&mut counters.by_path, Some(exchange.path()));
        count(&mut counters.by_key, key);
        count(&mut counters.by_request, request);
        json!({ "run": run, "path": exchange.path(), "key": key, "request": request })
    }
}

fn count(counts: &mut BTreeMap<String, u32>, name: Option<&str>) {
    let Some(name) = name else { return };
    if counts.len() < MAX_COUNTED_NAMES || counts.contains_key(name) {
        *counts.entry(name.to_owned()).or_default() += 1;
    }
}
