//! Services of which this host reaches no endpoint: evidence from attempts, and probes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::health::isolation::{Change, Isolation};
use pistachiochute_core::{directory, time};
use pistachiochute_runtime::clock;
use rand::seq::IndexedRandom as _;
use tokio::sync::{Notify, watch};

use crate::traffic::{Context, endpoints};
use crate::{adapter, shared, sockets};

/// Time in which a probe must connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Endpoints that are probed in a round, of the failure domain of this host and of the others.
const PROBES_PER_PLACE: usize = 2;

/// Interval at which due probes are sent, while any are.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without an answer after which a request counts as a failure of its endpoint, though it goes on
/// waiting.
const UNANSWERED_AFTER: Duration = Duration::from_millis(500);

/// What this host knows of each service.
#[derive(Debug)]
pub(super) struct Isolations {
    by_service: RefCell<HashMap<Arc<str>, Isolation>>,
    /// Incremented when a service falls out of reach.
    losses: watch::Sender<u64>,
    /// Wakes the task that sends probes.
    suspected: Notify,
}

impl Default for Isolations {
    fn default() -> Self {
        Self {
            by_service: RefCell::default(),
            losses: watch::Sender::new(0),
            suspected: Notify::new(),
        }
    }
}

impl Isolations {
    /// Whether no endpoint of a service can be reached.
    pub(super) fn is_isolated(&self, service: &str) -> bool {
        let by_service = self.by_service.borrow();
        by_service.get(service).is_some_and(Isolation::is_isolated)
    }

    /// Waits until no endpoint of a service can be reached.
    pub(super) async fn wait_for(&self, service: &str) {
        let mut losses = self.losses.subscribe();
        // Does not fail: the sender lives as long as this.
        drop(losses.wait_for(|_| self.is_isolated(service)).await);
    }

    fn update<T, F>(&self, service: &Arc<str>, change: F) -> T
    where
        F: FnOnce(&mut Isolation) -> T,
    {
        let mut by_service = self.by_service.borrow_mut();
        change(by_service.entry(service.clone()).or_default())
    }

    fn need_probes(&self) -> bool {
        let by_service = self.by_service.borrow();
        by_service.values().any(Isolation::needs_probes)
    }

    /// Services whose round of probes is due. The rounds are counted as begun.
    fn begin_probes(&self, now: time::Time) -> Vec<Arc<str>> {
        let mut by_service = self.by_service.borrow_mut();
        let due = by_service.iter_mut().filter_map(|(service, isolation)| {
            isolation.begin_probes(now).then(|| service.clone())
        });
        due.collect()
    }

    fn retain_services(&self, view: &shared::View) {
        let mut by_service = self.by_service.borrow_mut();
        by_service.retain(|service, _| view.endpoints.iter().any(|e| e.service == *service));
    }
}

/// Records that a connection to an endpoint could not be made or was lost, or that it does not answer.
pub(super) fn record_failure<D>(cx: &Context<D>, selected: &endpoints::SelectedEndpoint) {
    let service = &selected.endpoint.service;
    let endpoints = cx.endpoints.borrow().service_size(service);
    let id = selected.choice.endpoint;
    let needs_probes = cx.isolations.update(service, |isolation| {
        isolation.record_failure(id, endpoints, clock::now());
        isolation.needs_probes()
    });
    if needs_probes {
        cx.isolations.suspected.notify_one();
    }
}

/// Records that an endpoint answered, whatever it said.
pub(super) fn record_answer<D>(cx: &Context<D>, service: &Arc<str>) {
    cx.isolations.update(service, Isolation::record_answer);
}

/// Records that a connection to an endpoint was made.
pub(super) fn record_connection<D>(cx: &Context<D>, service: &Arc<str>) {
    let now = clock::now();
    let change = cx
        .isolations
        .update(service, |isolation| isolation.record_connection(now));
    apply(cx, service, change);
}

/// Counts a request without an answer as a failure of its endpoint, unless it is dropped before.
pub(super) async fn count_as_unanswered<D>(
    cx: &Context<D>,
    selected: &endpoints::SelectedEndpoint,
) {
    tokio::time::sleep(UNANSWERED_AFTER).await;
    record_failure(cx, selected);
    std::future::pending().await
}

/// Sends probes to services that may be out of reach.
pub(super) async fn probe<D>(cx: Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    loop {
        if !cx.isolations.need_probes() {
            cx.isolations.suspected.notified().await;
        }
        for service in cx.isolations.begin_probes(clock::now()) {
            tokio::task::spawn_local(probe_service(cx.clone(), service));
        }
        tokio::time::sleep(PROBE_POLL_INTERVAL).await;
    }
}

async fn probe_service<D>(cx: Rc<Context<D>>, service: Arc<str>)
where
    D: adapter::Dialect,
{
    let view = cx.shared.view().clone();
    let is_reached = is_any_reached(&probed_addresses(&cx, &view, &service)).await;
    let now = clock::now();
    let change = cx
        .isolations
        .update(&service, |isolation| isolation.end_probes(is_reached, now));
    apply(&cx, &service, change);
    cx.isolations.retain_services(&view);
}

/// Whether a connection to any of these addresses can be made.
pub(super) async fn is_any_reached(addresses: &[net::SocketAddr]) -> bool {
    let mut probes = tokio::task::JoinSet::new();
    for address in addresses {
        probes.spawn_local(sockets::connect(*address, PROBE_TIMEOUT));
    }
    while let Some(result) = probes.join_next().await {
        if matches!(result, Ok(Ok(_))) {
            return true;
        }
    }
    false
}

/// Addresses of up to `count` other endpoints of the service of an endpoint.
pub(super) fn other_addresses<D>(
    cx: &Context<D>,
    endpoint: &directory::Endpoint,
    count: usize,
) -> Vec<net::SocketAddr> {
    let view = cx.shared.view();
    let is_other = |e: &&Arc<directory::Endpoint>| {
        e.service == endpoint.service && e.identity != endpoint.identity
    };
    let others: Vec<_> = view.endpoints.iter().filter(is_other).collect();
    let chosen = others.choose_multiple(&mut rand::rng(), count);
    chosen.map(|endpoint| endpoint.address).collect()
}

/// Addresses of some endpoints of a service, of this failure domain and of others.
fn probed_addresses<D>(
    cx: &Context<D>,
    view: &shared::View,
    service: &str,
) -> Vec<net::SocketAddr> {
    let of_service = view.endpoints.iter().filter(|e| *e.service == *service);
    let (local, others): (Vec<_>, Vec<_>) = of_service.partition(|e| *e.domain == *cx.domain);
    let rng = &mut rand::rng();
    let mut chosen: Vec<_> = local.choose_multiple(rng, PROBES_PER_PLACE).collect();
    chosen.extend(others.choose_multiple(rng, PROBES_PER_PLACE));
    chosen
        .into_iter()
        .map(|endpoint| endpoint.address)
        .collect()
}

fn apply<D>(cx: &Context<D>, service: &Arc<str>, change: Option<Change>) {
    let Some(change) = change else { return };
    cx.events.service_reach_changed(service, change);
    if change == Change::Isolated {
        cx.isolations.losses.send_modify(|losses| *losses += 1);
    }
}
