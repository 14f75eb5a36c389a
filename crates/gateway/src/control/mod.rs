//! Control thread: maintains the catalog, the endpoints and the list of hosts.
//!
//! [`sync`] reads, as [`listing`]s, and watches the entries of the store, and [`host_registry`] registers
//! this host there. [`links`] exchanges changes with other hosts, so that a host that cannot reach the store
//! gets them from those that can. [`origins`] knows which software version began a stream, and
//! [`stored_origins`] keeps that in the store while it matters.
//! [`crash_evidence`] exchanges evidence about prompt parts that crash endpoints,
//! [`endpoint_limits`] the limits that endpoints name, [`departures`] which endpoints say that they
//! leave, [`cold_endpoints`] which are cold, and [`evacuations`] which domains operators evacuate. [`cache_recovery`] queries the caches of
//! engines after all hosts were lost.

mod ages;
mod cache_recovery;
mod catalog_reads;
mod cold_endpoints;
mod crash_evidence;
mod departures;
mod endpoint_limits;
mod evacuations;
mod host_registry;
mod links;
mod listing;
mod metered_store;
mod origins;
mod state;
mod stored_origins;
mod sync;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::catalog::verify;
use pistachiochute_core::membership::registration;
use pistachiochute_core::{catalog, directory, revision, streams, time};
use pistachiochute_messages::peer;
use pistachiochute_runtime::{clock, metrics};
use tokio::sync::{Notify, Semaphore};

use crate::{adapter, events, settings, shared};

use state::State;

/// Key prefix of the store entries of hosts.
const HOSTS_PREFIX: &str = "hosts/";

/// Longest time from the return of the store to the renewal that shows whether it has lost the lease of this
/// host. Hosts renew at different moments.
const MAX_LEASE_CHECK_DELAY: Duration = Duration::from_millis(1_000);

/// Interval of periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Context shared by the tasks of the control thread.
struct Context<D, S> {
    dialect: D,
    store: S,
    settings: settings::Settings,
    shared: Arc<shared::Shared>,
    events: events::Events,
    metrics: metrics::Metrics,
    state: RefCell<State>,
    /// Whether the sync can reach the store.
    store_available: Cell<bool>,
    /// Wakes the tasks that wait until the store is reachable again.
    store_recovered: Notify,
    /// Makes the sync check whether the store is reachable, after a call of another task failed.
    store_suspect: Notify,
    /// Since when the store has been reachable without a break; in the far future while it is not.
    steady_since: Cell<time::Time>,
    /// When the store last answered a call.
    last_store_response: Cell<time::Time>,
    /// Tells what is new from what waited while this host stood still.
    pulse: Cell<streams::Pulse>,
    /// Consecutive failed calls while the store counted as reachable, for the backoff.
    store_failures: Cell<u32>,
    /// Registration of this host in the store.
    registration: RefCell<registration::Registration>,
    /// Wakes the registration when the store has been read for the first time.
    first_read: Notify,
    /// Turns to send the catalog to another host.
    catalog_turns: Arc<Semaphore>,
    /// The catalog as it was last sent.
    catalog_frame: RefCell<Option<links::CatalogFrame>>,
    /// Whether what earlier hosts have left in the store was adopted.
    legacy_adopted: Cell<bool>,
    /// Whether a host that follows a relay must read the endpoints, whatever the relay says.
    is_reread_due: Cell<bool>,
    /// When the entries are to be read again, after the store has come back from a copy.
    reread_at: Cell<Option<time::Time>>,
    /// When this host is to see whether the store has lost its lease.
    lease_check_at: Cell<Option<time::Time>>,
    /// When this host started.
    started: time::Time,
    /// Longest uptime that another host stated when it opened its link.
    max_peer_uptime: Cell<Duration>,
}

/// Runs the control thread until the host has stopped.
pub async fn run<D, S>(
    dialect: D,
    store: S,
    settings: settings::Settings,
    shared: Arc<shared::Shared>,
    (events, metrics): (events::Events, metrics::Metrics),
    links: net::TcpListener,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let lease = settings.store.lease;
    let catalog_turns = links::catalog_turns(settings.machine.as_ref());
    let cx = Rc::new(Context {
        state: RefCell::new(State::new(
            settings.host.name.as_str().into(),
            settings.host.domain.clone(),
            streams::VersionHistory::new(settings.is_first_start, clock::now()),
        )),
        dialect,
        store: metered_store::MeteredStore::new(store, metrics.clone()),
        settings,
        shared,
        events,
        metrics,
        store_available: Cell::new(true),
        store_recovered: Notify::new(),
        store_suspect: Notify::new(),
        steady_since: Cell::new(clock::now()),
        last_store_response: Cell::new(time::Time::ZERO),
        pulse: Cell::new(streams::Pulse::new(clock::now())),
        store_failures: Cell::new(0),
        registration: RefCell::new(registration::Registration::new(lease)),
        first_read: Notify::new(),
        catalog_turns: Arc::new(Semaphore::new(catalog_turns)),
        catalog_frame: RefCell::new(None),
        legacy_adopted: Cell::new(false),
        is_reread_due: Cell::new(false),
        reread_at: Cell::new(None),
        lease_check_at: Cell::new(None),
        started: clock::now(),
        max_peer_uptime: Cell::new(Duration::ZERO),
    });
    tokio::task::spawn_local(sync::sync_store(cx.clone()));
    tokio::task::spawn_local(sync::keep_endpoints_known(cx.clone()));
    tokio::task::spawn_local(catalog_reads::keep_catalog_current(cx.clone()));
    tokio::task::spawn_local(host_registry::keep_registered(cx.clone()));
    tokio::task::spawn_local(host_registry::refresh_hosts(cx.clone()));
    tokio::task::spawn_local(links::accept(cx.clone(), links));
    tokio::task::spawn_local(links::maintain_links(cx.clone()));
    tokio::task::spawn_local(origins::share_origins(cx.clone()));
    tokio::task::spawn_local(origins::answer_requests(cx.clone()));
    tokio::task::spawn_local(stored_origins::keep_stored(cx.clone()));
    tokio::task::spawn_local(crash_evidence::record_crashes(cx.clone()));
    tokio::task::spawn_local(crash_evidence::keep_stored(cx.clone()));
    if !cx.settings.is_first_start {
        tokio::task::spawn_local(cache_recovery::recover(cx.clone()));
    }
    let mut phases = cx.shared.subscribe_phase();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while *phases.borrow_and_update() < shared::Phase::Stopped {
        tokio::select! {
            _ = ticks.tick() => cx.tick(),
            changed = phases.changed() => {
                if changed.is_err() {
                    break;
                }
            }
        }
    }
    host_registry::deregister(&cx).await;
}

impl<D, S> Context<D, S> {
    /// Records an epoch that the store or another host names. If the store has come back from a copy since, what it
    /// had acknowledged may be gone: the entries are read again now, unless they have been, and once more when all
    /// others have written again; and what this host had written is written again.
    fn note_epoch(&self, epoch: revision::Epoch, reread: sync::Reread) {
        // A store that names no epoch has none that others could have learned.
        if epoch == revision::Epoch::default() {
            return;
        }
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let is_restoration = state.epochs.learn(epoch, now);
        state.named_epoch.set(state.epochs.named());
        if !is_restoration {
            return;
        }
        state.directory.record_restoration(now);
        drop(state);
        self.events.store_restored(epoch);
        self.metrics.decided(metrics::Decision::StoreRestored);
        let all_written = now + directory::RENEWAL_GRACE;
        self.reread_at.set(Some(match reread {
            sync::Reread::Due => now,
            sync::Reread::Done => all_written,
        }));
        let delay = MAX_LEASE_CHECK_DELAY.mul_f64(rand::random());
        self.lease_check_at.set(Some(now + delay));
    }

    /// Does what is due after the store has come back from a copy.
    fn tick_restoration(&self, now: time::Time) {
        if self.reread_at.get().is_some_and(|at| at <= now) {
            let is_restoring = self.state.borrow().epochs.is_restoring(now);
            let again_at = now + directory::RENEWAL_GRACE;
            self.reread_at.set(is_restoring.then_some(again_at));
            self.is_reread_due.set(true);
            self.store_suspect.notify_one();
        }
        if self.lease_check_at.get().is_some_and(|at| at <= now) {
            self.lease_check_at.set(None);
            self.registration.borrow_mut().record_doubt();
        }
    }

    /// Records up to when all changes of the endpoints are known.
    fn confirm_endpoints(&self, known: directory::KnownUpTo) {
        let mut state = self.state.borrow_mut();
        state.known_up_to = state.known_up_to.max(known);
        state.observe_versions(clock::now());
        state.versions.confirm(known.at());
        self.shared.confirm_endpoints(known.at());
    }
}

impl<D, S> Context<D, S>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    /// Applies and publishes a catalog if it is newer than the current one, whatever is found in it.
    fn apply_catalog(&self, decoded: verify::Decoded, source: events::Source) {
        let version = decoded.content.version;
        if self.state.borrow().catalog.version() >= Some(version) {
            self.complete_catalog(decoded.content);
            return;
        }
        let entry = events::CatalogLogEntry {
            version,
            routes: decoded.content.routes.len(),
            limits: decoded.content.limits,
            source,
        };
        let findings = decoded.verify();
        let mut state = self.state.borrow_mut();
        state.catalog.update(decoded.content);
        state.catalog_requests.clear();
        drop(state);
        cold_endpoints::apply_kept(self);
        self.events.catalog_applied(&entry);
        self.publish();
        // After the catalog is published: requests may wait for it.
        self.events.catalog_findings(version, &findings);
    }

    /// Adds what the current catalog lacks if another host sent it.
    fn complete_catalog(&self, content: catalog::Content) {
        if self.state.borrow_mut().catalog.complete(content) {
            cold_endpoints::apply_kept(self);
            self.publish();
        }
    }

    /// Publishes a view of the current state to the traffic thread.
    fn publish(&self) {
        let now = clock::now();
        // A view must not bring back an endpoint that has said to the traffic thread that it leaves.
        departures::apply_local(self, now);
        let mut state = self.state.borrow_mut();
        state.observe_versions(now);
        let view = state.view(now);
        drop(state);
        self.shared.publish(view);
    }

    /// Records the result of a call that decides whether the store counts as reachable.
    fn record_store_call(&self, answered: bool, cause: &str) {
        let now = clock::now();
        self.state
            .borrow_mut()
            .directory
            .record_store_call(answered, now);
        match answered {
            true => self.last_store_response.set(now),
            false => self.steady_since.set(time::Time::from_micros(u64::MAX)),
        }
        if self.store_available.replace(answered) == answered {
            return;
        }
        self.events.store_availability(answered, cause);
        if answered {
            self.steady_since.set(now);
            self.store_recovered.notify_waiters();
        } else {
            self.metrics.store_lost();
        }
    }

    /// Records that the store answered a call that does not decide whether it counts as reachable.
    fn record_store_response(&self) {
        self.last_store_response.set(clock::now());
        self.store_failures.set(0);
    }

    /// Health of this host's connection to the store.
    fn store_health(&self, now: time::Time) -> peer::StoreHealth {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        peer::StoreHealth {
            catalog_age_ms: millis(self.shared.catalog_age(now)),
            steady_ms: millis(now.since(self.steady_since.get())),
            answered_ms: millis(now.since(self.last_store_response.get())),
        }
    }

    /// Updates the gauges of the host's state.
    fn update_gauges(&self, now: time::Time) {
        let state = self.state.borrow();
        self.metrics.record_host_state(&metrics::HostState {
            catalog_version: state.catalog.version().map_or(0, |version| version.0),
            endpoints: state.directory.usable().count() as u64,
            live_hosts: state.hosts.live_count(now) as u64,
            live_peers: state.live_peers(now) as u64,
            store_answers: self.store_available.get(),
            endpoints_age_ms: now.since(self.shared.endpoints_confirmed_at()).as_millis() as u64,
        });
    }

    /// Who notices when this host is lost. A host that knows no other does not know its role yet.
    fn visibility(&self) -> registration::Visibility {
        let state = self.state.borrow();
        let is_alone = state.overlay.links.is_empty();
        match state.overlay.is_relay_candidate && !is_alone {
            true => registration::Visibility::Listed,
            false => registration::Visibility::Relayed,
        }
    }

    /// Whether a relay supplies changes of the store to this host.
    fn has_live_relay(&self) -> bool {
        self.state.borrow().has_live_relay(clock::now())
    }

    /// Version of this host's catalog and endpoints.
    fn state_version(&self) -> state::KnownVersions {
        self.state.borrow().state_version()
    }

    /// Recomputes the links and the role of this host.
    fn update_overlay(&self, now: time::Time) {
        let mut state = self.state.borrow_mut();
        if state.update_overlay(now) {
            self.events.role_changed(&state.overlay);
        }
    }

    /// Logs a change of the endpoints in use.
    fn log_endpoint(
        &self,
        key: &str,
        revision: revision::StoredRevision,
        endpoint: Option<&directory::Endpoint>,
        source: &events::Source,
    ) {
        let known_at = self.shared.endpoints_confirmed_at();
        self.events.endpoint_changed(&events::EndpointLogEntry {
            key,
            revision,
            endpoint,
            source,
            known_age: clock::now().since(known_at),
        });
    }

    /// Runs the periodic work: expires endpoints, hosts and load reports, recomputes the overlay,
    /// and publishes loads, metrics and cached prompt parts.
    fn tick(&self) {
        let now = clock::now();
        let mut pulse = self.pulse.get();
        pulse.beat(now);
        self.pulse.set(pulse);
        if let Some(epoch) = adapter::Store::epoch(&self.store) {
            self.note_epoch(epoch, sync::Reread::Due);
        }
        self.tick_restoration(now);
        let expired = self.state.borrow_mut().directory.tick(now);
        self.state.borrow_mut().hosts.tick(now);
        for removal in &expired {
            self.events.endpoint_doubt_ended(removal);
        }
        let any_departed = departures::apply_local(self, now);
        if any_departed || !expired.is_empty() {
            self.publish();
        }
        self.update_overlay(now);
        let mut state = self.state.borrow_mut();
        state.load_reports.tick(now);
        state.tick_streams(now);
        let others = state.load_reports.total_of_others(&state.overlay);
        let heard_at = state.load_reports.newest_report(&state.overlay);
        drop(state);
        self.shared.publish_remote_loads_heard_at(heard_at);
        self.shared.publish_remote_loads(others);
        self.update_gauges(now);
        links::broadcast_cached_parts(self);
        crash_evidence::tick(self, now);
        endpoint_limits::tick(self, now);
        self.state.borrow_mut().cold.tick(now);
        links::resend_to_behind(&mut self.state.borrow_mut(), now);
    }
}
