//! Traffic thread: serves callers' connections, selects endpoints, and sends requests to them.
//!
//! A single-threaded executor runs the whole request path, so that a request needs no lock and no
//! hand-over between threads. The routing decisions are made by `pistachiochute-core`.

mod answer_end;
mod answer_head;
mod attempt;
mod attempts;
mod beginnings;
mod cached_parts;
mod collect;
mod connection;
mod crash_watch;
mod datagrams;
mod deliverable;
mod endpoint_report;
mod endpoints;
mod event_stream;
pub(crate) mod forwarding;
mod in_flight;
mod isolation;
mod life;
mod listener;
pub(crate) mod memory;
mod metered;
mod notices;
mod opened_stream;
mod overload;
mod permits;
mod plan;
mod pool;
mod proofs;
mod questions;
mod reply;
mod report;
mod serve;
mod slots;
mod suspect_turns;
mod watched;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{io, net};

use pistachiochute_core::{retry, time};
use pistachiochute_runtime::{clock, metrics};

use crate::{adapter, events, settings, shared};

/// Interval at which the load of this host is published.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Context shared by the tasks of the traffic thread.
struct Context<D> {
    dialect: D,
    /// Failure domain of this host.
    domain: String,
    shared: Arc<shared::Shared>,
    events: events::Events,
    metrics: metrics::Metrics,
    endpoints: RefCell<endpoints::EndpointTable>,
    pool: pool::Pool,
    isolations: isolation::Isolations,
    life_questions: life::Questions,
    forwarder: forwarding::Forwarder,
    datagrams: datagrams::Datagrams,
    permit_questions: questions::Questions<permits::Reply>,
    slots: slots::Slots,
    cached_parts: cached_parts::CachedParts,
    overload: overload::Gates,
    crash_watch: RefCell<crash_watch::CrashWatch>,
    suspect_turns: RefCell<suspect_turns::SuspectTurns>,
    /// Requests in progress.
    active_requests: Cell<usize>,
    /// Open connections of callers.
    connections: connection::OpenConnections,
    /// What the host holds for callers.
    memory: memory::Memory,
    /// When the host started.
    started: time::Time,
    /// When a graceful stop cuts off the remaining requests, once a stop has begun.
    stop_deadline: Cell<Option<time::Time>>,
}

impl<D> Context<D> {
    /// Log and metrics of the thread.
    const fn telemetry(&self) -> (&events::Events, &metrics::Metrics) {
        (&self.events, &self.metrics)
    }
}

/// Sockets of the traffic thread.
#[derive(Debug)]
pub struct Listeners {
    /// For the connections of callers.
    pub callers: net::TcpListener,
    /// For datagrams of other hosts, or the error if it could not be bound.
    pub datagrams: io::Result<net::UdpSocket>,
}

/// Runs the traffic thread until a graceful stop has finished the last request or reached its
/// deadline. Returns the number of requests that were cut off.
pub async fn run<D>(
    dialect: D,
    settings: settings::Settings,
    shared: Arc<shared::Shared>,
    events: events::Events,
    metrics: metrics::Metrics,
    listeners: Listeners,
) -> usize
where
    D: adapter::Dialect,
{
    let budget: retry::FleetBudget = settings.retry;
    let memory = shared.memory().clone();
    let datagrams = datagrams::Datagrams::new(&settings.host, listeners.datagrams, &events);
    let cx = Rc::new(Context {
        dialect,
        domain: settings.host.domain.clone(),
        shared,
        events,
        metrics,
        endpoints: RefCell::new(endpoints::EndpointTable::new(
            &settings.host,
            budget,
            clock::now(),
        )),
        pool: pool::Pool::new(memory.is_bounded()),
        isolations: isolation::Isolations::default(),
        life_questions: life::Questions::default(),
        forwarder: forwarding::Forwarder::default(),
        datagrams,
        permit_questions: questions::Questions::default(),
        slots: slots::Slots::default(),
        cached_parts: cached_parts::CachedParts::default(),
        overload: overload::Gates::default(),
        crash_watch: RefCell::default(),
        suspect_turns: RefCell::default(),
        active_requests: Cell::new(0),
        connections: connection::OpenConnections::default(),
        memory,
        started: clock::now(),
        stop_deadline: Cell::new(None),
    });
    tokio::task::spawn_local(listener::accept(cx.clone(), listeners.callers));
    tokio::task::spawn_local(publish_loads(cx.clone()));
    tokio::task::spawn_local(datagrams::receive(cx.clone()));
    tokio::task::spawn_local(permits::delegate(cx.clone()));
    tokio::task::spawn_local(isolation::probe(cx.clone()));
    if let Some(requests) = cx.shared.take_forwarded() {
        tokio::task::spawn_local(forwarding::serve(cx.clone(), requests));
    }
    listener::shut_down(&cx, settings.stop_timeout).await;
    cx.active_requests.get()
}

/// Publishes the load of this host whenever it has changed, and closes expired idle connections.
async fn publish_loads<D>(cx: Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    let mut last = Vec::new();
    loop {
        tokio::time::sleep(LOAD_PUBLISH_INTERVAL).await;
        cx.pool.record_turn();
        cx.pool.prune();
        cx.life_questions.prune();
        cx.endpoints.borrow_mut().apply_entry_writes(&cx.shared);
        cx.crash_watch.borrow_mut().prune(clock::now());
        cx.suspect_turns.borrow_mut().prune();
        update_spill(&cx);
        let mut loads = cx.endpoints.borrow_mut().local_loads(clock::now());
        loads.extend(overload::tick(&cx, clock::now()));
        if loads != last {
            cx.shared.publish_local_loads(loads.clone());
            last = loads;
        }
    }
}

/// Updates the shares of the requests that leave the failure domain. A host that knows no other has
/// all loads itself.
fn update_spill<D>(cx: &Context<D>) {
    let now = clock::now();
    let view = cx.shared.view();
    let heard_at = match view.hosts {
        0 | 1 => Some(now),
        _ => cx.shared.remote_loads_heard_at(),
    };
    let others = cx.shared.remote_loads();
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&view, now);
    for change in endpoints.update_spill(&others, heard_at, now) {
        cx.events.departures_changed(&change);
    }
}
