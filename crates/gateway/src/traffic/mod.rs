//! The traffic path: connections of callers, the choice of endpoints, and the calls to them.
//!
//! One thread with a single-threaded executor runs all of it, so no lock and no hand-over lies on
//! the way of a request. Decisions are those of `pistachiochute-core`.

mod exchange;
mod fleet;
mod listener;
mod plan;
mod pool;
mod relay;
mod reply;
mod report;
mod serve;

use std::cell::{Cell, RefCell};
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{retry, time};
use pistachiochute_runtime::{clock, metrics};

use crate::{adapter, events, settings, shared};

/// Time between two digests of the host's work.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// What every task of the traffic thread uses.
struct Context<D> {
    dialect: D,
    shared: Arc<shared::Shared>,
    events: events::Events,
    metrics: metrics::Metrics,
    fleet: RefCell<fleet::Fleet>,
    pool: pool::Pool,
    /// Requests in progress.
    requests: Cell<usize>,
    /// Connections of callers.
    connections: Cell<usize>,
    /// When a planned stop ends the process, once one has begun.
    ends: Cell<Option<time::Time>>,
}

/// Runs the traffic thread until a planned stop has finished the last request, or its time is up.
/// Returns the requests that were cut off.
pub async fn run<D>(
    dialect: D,
    settings: settings::Settings,
    shared: Arc<shared::Shared>,
    events: events::Events,
    metrics: metrics::Metrics,
    callers: net::TcpListener,
) -> usize
where
    D: adapter::Dialect,
{
    let budget: retry::FleetBudget = settings.retry;
    let cx = Rc::new(Context {
        dialect,
        shared,
        events,
        metrics,
        fleet: RefCell::new(fleet::Fleet::new(
            settings.host.domain,
            budget,
            clock::now(),
        )),
        pool: pool::Pool::default(),
        requests: Cell::new(0),
        connections: Cell::new(0),
        ends: Cell::new(None),
    });
    tokio::task::spawn_local(listener::accept(cx.clone(), callers));
    tokio::task::spawn_local(publish_loads(cx.clone()));
    listener::stop(&cx, settings.stop).await;
    cx.requests.get()
}

/// Publishes the work of this host whenever it has changed.
async fn publish_loads<D>(cx: Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    let mut last = Vec::new();
    loop {
        tokio::time::sleep(DIGEST_INTERVAL).await;
        cx.pool.prune();
        let loads = cx.fleet.borrow_mut().digest(clock::now());
        if loads != last {
            cx.shared.publish_local_loads(loads.clone());
            last = loads;
        }
    }
}
