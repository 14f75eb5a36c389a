//! Plain service some of whose calls may not be repeated.
//!
//! Each `POST` runs a call and counts the run by its `idempotency-key` and by its `x-request-id`.
//! The service runs a repeated key again: that calls run at most once is the caller's concern.
//! `GET` looks up how often a path was run, and changes nothing.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use crate::{server, sync};

/// Keys and request ids whose runs are counted, each.
const MAX_COUNTED_NAMES: usize = 500_000;

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time that a call runs.
    pub run_time: Duration,
    /// Faults from the start.
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

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The call is answered 503 with the header `x-outcome: not_run`, and does not run.
    Refuse,
    /// The connection closes without an answer, and the call does not run.
    HangUpBefore,
    /// Nothing is answered, and the call does not run.
    StallBefore,
    /// The call runs, and nothing is answered.
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
    /// Connections are refused. Only [`Service::set_faults`] ends this.
    pub refuse_connections: bool,
    /// What goes wrong with calls.
    pub calls: Option<Fault>,
    /// Number of calls that go wrong; `None` means each.
    pub times: Option<u32>,
}

/// What a service has counted since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Runs by `idempotency-key`.
    pub by_key: BTreeMap<String, u32>,
    /// Runs by `x-request-id`.
    pub by_request: BTreeMap<String, u32>,
    /// Runs by path.
    pub by_path: BTreeMap<String, u32>,
    /// Runs, also those whose key, id or path is beyond the bound of the maps.
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

    /// What the service has counted.
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
