//! Key-value service with a subset of the etcd v3 API in its JSON form.
//!
//! It implements `/v3/kv/range`, `/v3/kv/put`, `/v3/kv/deleterange`, `/v3/kv/txn`,
//! `/v3/kv/compaction`, `/v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke` and
//! `/v3/watch`, which answers with a stream of JSON objects. Values have at most
//! [`MAX_VALUE_BYTES`] bytes. Calls are counted by kind; a watch counts as one call regardless of
//! its duration.

mod api;
mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::{server, sync};

pub use store::MAX_VALUE_BYTES;

/// Interval at which a watch checks for expired leases, faults and the end of the service.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without events after which a watch with `progress_notify` gets the current revision.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// gRPC code `UNAVAILABLE`.
const UNAVAILABLE: u32 = 14;

/// gRPC code `INVALID_ARGUMENT`.
const INVALID_ARGUMENT: u32 = 3;

/// Faults of the key-value service; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused, including those to `/faults`, and watches end. Only
    /// [`KeyValue::set_faults`] clears this.
    pub refuse_connections: bool,
    /// Calls are answered 503 and have no effect; watches end.
    pub down: bool,
    /// Calls are accepted but not answered, and have no effect; watches send no messages.
    pub stall: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but whose connection closes without an answer.
    pub lost_answers: u32,
    /// Number of further writes that have no effect and whose connection closes without an answer.
    pub lost_writes: u32,
    /// Number of further writes whose connection closes at once and that take effect later.
    pub late_writes: u32,
    /// Delay until a late write takes effect, in milliseconds.
    pub late_by_ms: u64,
}

/// Number of calls by kind since the start, including calls that a fault refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads of a range.
    pub ranges: u64,
    /// Single writes.
    pub puts: u64,
    /// Deletions.
    pub delete_ranges: u64,
    /// Transactions.
    pub txns: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches.
    pub watches: u64,
    /// Compactions.
    pub compactions: u64,
}

/// Contents at one revision, which [`KeyValue::restore`] accepts.
#[derive(Clone, Debug)]
pub struct Snapshot(store::Store);

/// A running key-value service.
#[derive(Debug)]
pub struct KeyValue {
    shared: Arc<Shared>,
    server: server::Server,
}

server::impl_stand_in!(KeyValue, Faults);

impl KeyValue {
    /// Starts an empty key-value service on a free loopback port.
    ///
    /// # Errors
    ///
    /// No address can be bound or a thread cannot be started.
    pub fn start() -> eyre::Result<Self> {
        Self::start_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }

    /// Starts an empty key-value service on an address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or a thread cannot be started.
    pub fn start_on(addr: SocketAddr) -> eyre::Result<Self> {
        let make = |control| Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            faults: server::FaultSwitch::new(Faults::default(), |faults| faults.refuse_connections),
            control,
        };
        let (shared, server) = server::Server::start(addr, make, Shared::handle)?;
        Ok(Self { shared, server })
    }

    /// Current counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        sync::lock(&self.shared.state).counters
    }

    /// Current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        sync::lock(&self.shared.state)
            .store
            .revision()
            .unsigned_abs()
    }

    /// Copies the contents.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(sync::lock(&self.shared.state).store.clone())
    }

    /// Restores earlier contents with their revision, and ends all watches.
    pub fn restore(&self, snapshot: Snapshot) {
        let mut state = sync::lock(&self.shared.state);
        state.store = snapshot.0;
        state.restores += 1;
        self.shared.changed.notify_all();
    }

    /// Compacts the history up to and including `revision`, so that watches cannot start there.
    pub fn compact(&self, revision: u64) {
        let revision = i64::try_from(revision).unwrap_or(i64::MAX);
        sync::lock(&self.shared.state).store.compact(revision);
    }
}

#[derive(Debug, Default)]
struct State {
    store: store::Store,
    counters: Counters,
    /// Number of times that the contents were restored.
    restores: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    faults: server::FaultSwitch<Faults>,
    control: Arc<server::Control>,
}

/// How a write is executed and answered.
enum WriteOutcome {
    /// It is executed and answered.
    Answered,
    /// It is executed, and the connection closes without an answer.
    AnswerLost,
    /// It is not executed, and the connection closes without an answer.
    WriteLost,
    /// The connection closes without an answer, and the write is executed after this delay.
    Delayed(Duration),
}

fn respond_error(exchange: server::Exchange, err: &store::ApiError) {
    let body = json!({
        "error": err.message,
        "message": err.message,
        "code": err.code,
        "details": [],
    });
    exchange.respond(err.status, &body);
}

fn respond_invalid(exchange: server::Exchange, err: &serde_json::Error) {
    let message = err.to_string();
    let body = json!({ "error": message, "message": message, "code": INVALID_ARGUMENT });
    exchange.respond(400, &body);
}

impl Shared {
    fn handle(&self, exchange: server::Exchange) {
        let path = exchange.path().to_owned();
        if path == "/faults" {
            return self.faults.handle_post(exchange, &self.control);
        }
        self.count(&path);
        let faults = self.faults.get();
        if faults.stall {
            return exchange.stall(&self.control, || self.faults.get().stall);
        }
        if faults.down {
            let message = "etcdserver: no leader";
            return respond_error(
                exchange,
                &store::ApiError {
                    status: 503,
                    code: UNAVAILABLE,
                    message,
                },
            );
        }
        if !self.control.sleep(Duration::from_millis(faults.delay_ms)) {
            return exchange.hang_up();
        }
        match path.as_str() {
            "/v3/kv/range" => self.read(exchange, |store, range| Ok(store.range(range))),
            "/v3/kv/put" => self.write(exchange, store::Store::put),
            "/v3/kv/deleterange" => {
                self.write(exchange, |store, range| Ok(store.delete_range(range)))
            }
            "/v3/kv/txn" => self.txn(exchange),
            "/v3/kv/compaction" => self.read(exchange, |store, compaction: &Compaction| {
                store.compact(compaction.revision.0);
                Ok(json!({ "header": store.header() }))
            }),
            "/v3/lease/grant" => self.write(exchange, store::Store::grant),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                self.write(exchange, store::Store::revoke)
            }
            "/v3/lease/keepalive" => {
                self.write(exchange, |store, lease| Ok(store.keep_alive(lease)))
            }
            "/v3/watch" => self.watch(exchange),
            _ => exchange.refuse(404, "not_found", "no such path"),
        }
    }

    fn count(&self, path: &str) {
        let counters = &mut sync::lock(&self.state).counters;
        let counter = match path {
            "/v3/kv/range" => &mut counters.ranges,
            "/v3/kv/put" => &mut counters.puts,
            "/v3/kv/deleterange" => &mut counters.delete_ranges,
            "/v3/kv/txn" => &mut counters.txns,
            "/v3/kv/compaction" => &mut counters.compactions,
            "/v3/watch" => &mut counters.watches,
            path if path.contains("/lease/") => &mut counters.leases,
            _ => return,
        };
        *counter += 1;
    }

    /// Executes a call and returns its answer.
    fn apply<T, F>(&self, call: &T, f: F) -> Result<Value, store::ApiError>
    where
        F: FnOnce(&mut store::Store, &T) -> Result<Value, store::ApiError>,
    {
        let mut state = sync::lock(&self.state);
        state.store.expire();
        let answer = f(&mut state.store, call);
        self.changed.notify_all();
        answer
    }

    fn read<T, F>(&self, exchange: server::Exchange, f: F)
    where
        T: serde::de::DeserializeOwned,
        F: FnOnce(&mut store::Store, &T) -> Result<Value, store::ApiError>,
    {
        match exchange.json::<T>() {
            Ok(call) => respond_result(exchange, self.apply(&call, f)),
            Err(err) => respond_invalid(exchange, &err),
        }
    }

    fn write<T, F>(&self, exchange: server::Exchange, f: F)
    where
        T: serde::de::DeserializeOwned,
        F: FnOnce(&mut store::Store, &T) -> Result<Value, store::ApiError>,
    {
        let call = match exchange.json::<T>() {
            Ok(call) => call,
            Err(err) => return respond_invalid(exchange, &err),
        };
        match self.next_write_outcome() {
            WriteOutcome::Answered => respond_result(exchange, self.apply(&call, f)),
            WriteOutcome::AnswerLost => {
                // The answer is lost whether the call succeeds or fails.
                drop(self.apply(&call, f));
                exchange.hang_up();
            }
            WriteOutcome::WriteLost => exchange.hang_up(),
            WriteOutcome::Delayed(span) => {
                exchange.hang_up();
                if self.control.sleep(span) {
                    drop(self.apply(&call, f));
                }
            }
        }
    }

    /// Executes a transaction. One whose branches only read is not subject to the faults of writes.
    fn txn(&self, exchange: server::Exchange) {
        let reads = |op: &api::Op| matches!(op, api::Op::Range(_));
        let only_reads = exchange
            .json::<api::Txn>()
            .is_ok_and(|txn| txn.success.iter().chain(&txn.failure).all(reads));
        if only_reads {
            self.read(exchange, store::Store::txn);
        } else {
            self.write(exchange, store::Store::txn);
        }
    }

    fn next_write_outcome(&self) -> WriteOutcome {
        let mut faults = self.faults.lock();
        if faults.lost_answers > 0 {
            faults.lost_answers -= 1;
            WriteOutcome::AnswerLost
        } else if faults.lost_writes > 0 {
            faults.lost_writes -= 1;
            WriteOutcome::WriteLost
        } else if faults.late_writes > 0 {
            faults.late_writes -= 1;
            WriteOutcome::Delayed(Duration::from_millis(faults.late_by_ms))
        } else {
            WriteOutcome::Answered
        }
    }

    fn watch(&self, exchange: server::Exchange) {
        let watch = match exchange.json::<api::Watch>() {
            Ok(watch) => watch.create_request,
            Err(err) => return respond_invalid(exchange, &err),
        };
        let (mut next, restores, header) = {
            let state = sync::lock(&self.state);
            let start = match watch.start_revision.0 {
                0 => state.store.revision() + 1,
                start => start,
            };
            (start, state.restores, state.store.header())
        };
        let Ok(mut body) = exchange.stream("application/json") else {
            return;
        };
        let mut message = json!({ "result": { "header": header, "created": true } });
        while send(&mut body, &message).is_ok() {
            match self.next_message(&watch, &mut next, restores) {
                Some(changes) => message = changes,
                None => break,
            }
        }
        body.abort();
    }

    /// Waits for the next message of a watch. Returns `None` if the watch ends.
    fn next_message(
        &self,
        watch: &api::WatchCreate,
        next: &mut i64,
        restores: u64,
    ) -> Option<Value> {
        let due = Instant::now() + PROGRESS_INTERVAL;
        let mut state = sync::lock(&self.state);
        loop {
            let faults = self.faults.get();
            let broken = faults.down || faults.refuse_connections;
            if broken || self.control.is_closing() || state.restores != restores {
                return None;
            }
            state.store.expire();
            let header = state.store.header();
            if *next <= state.store.compacted() {
                let compacted = state.store.compacted();
                *next = i64::MAX;
                return Some(json!({ "result": {
                    "header": header,
                    "canceled": true,
                    "compact_revision": compacted.to_string(),
                } }));
            }
            let changes = state.store.changes(&watch.range, *next);
            if !changes.is_empty() && !faults.stall {
                *next = state.store.revision() + 1;
                return Some(json!({ "result": { "header": header, "events": changes } }));
            }
            if watch.progress_notify && !faults.stall && Instant::now() >= due {
                return Some(json!({ "result": { "header": header } }));
            }
            let waited = self.changed.wait_timeout(state, WATCH_POLL_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

#[derive(Debug, serde::Deserialize)]
struct Compaction {
    revision: api::Int64,
}

fn respond_result(exchange: server::Exchange, answer: Result<Value, store::ApiError>) {
    match answer {
        Ok(value) => exchange.respond(200, &value),
        Err(err) => respond_error(exchange, &err),
    }
}

fn send(body: &mut server::Body, message: &Value) -> std::io::Result<()> {
    body.send(format!("{message}\n").as_bytes())
}
