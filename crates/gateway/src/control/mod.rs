//! What the host believes, and where it learns it.
//!
//! One thread keeps the catalog, the endpoints and the other hosts. [`sync`] follows the store,
//! [`host_registry`] keeps the entry of this host in it, and [`links`] exchanges news with other hosts, so
//! that a host which the store turns away learns from those that it answers. [`cache_recovery`] asks the
//! engines what they hold after the whole fleet was lost.

mod cache_recovery;
mod host_registry;
mod links;
mod state;
mod sync;

use std::cell::{Cell, RefCell};
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{catalog, time};
use pistachiochute_messages::peer;
use pistachiochute_runtime::platform::key_value;
use pistachiochute_runtime::{clock, metrics};
use tokio::sync::Notify;

use crate::{adapter, events, settings, shared};

use state::State;

/// Start of the keys of the entries of hosts.
const HOSTS_PREFIX: &str = "hosts/";

/// Time between two looks at what waits for its time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// What every task of the control thread uses.
struct Context<D, S> {
    dialect: D,
    store: S,
    settings: settings::Settings,
    shared: Arc<shared::Shared>,
    events: events::Events,
    metrics: metrics::Metrics,
    state: RefCell<State>,
    /// Whether the store answered the last call.
    store_available: Cell<bool>,
    /// Wakes the tasks that wait for the store to come back.
    store_recovered: Notify,
    /// Asks for a look at whether the store answers.
    store_suspect: Notify,
    /// Since when every call to the store was answered.
    steady_since: Cell<time::Time>,
    /// When the store answered last.
    last_store_response: Cell<time::Time>,
    /// Calls in a row that failed while the store was taken to answer.
    store_failures: Cell<u32>,
    /// Lease of this host's entry.
    lease: Cell<Option<key_value::LeaseId>>,
    /// When this host started.
    started: time::Time,
    /// How long the host had been up that had been up longest when its link was made.
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
    let cx = Rc::new(Context {
        state: RefCell::new(State::new(
            settings.host.name.as_str().into(),
            settings.host.domain.clone(),
        )),
        dialect,
        store,
        settings,
        shared,
        events,
        metrics,
        store_available: Cell::new(true),
        store_recovered: Notify::new(),
        store_suspect: Notify::new(),
        steady_since: Cell::new(clock::now()),
        last_store_response: Cell::new(time::Time::ZERO),
        store_failures: Cell::new(0),
        lease: Cell::new(None),
        started: clock::now(),
        max_peer_uptime: Cell::new(Duration::ZERO),
    });
    tokio::task::spawn_local(sync::sync_catalog(cx.clone()));
    tokio::task::spawn_local(sync::sync_endpoints(cx.clone()));
    tokio::task::spawn_local(host_registry::keep_registered(cx.clone()));
    tokio::task::spawn_local(host_registry::sync_hosts(cx.clone()));
    tokio::task::spawn_local(links::accept(cx.clone(), links));
    tokio::task::spawn_local(links::maintain_links(cx.clone()));
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

impl<D, S> Context<D, S>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    /// Takes over a catalog if it is newer, and publishes it.
    fn offer_catalog(&self, content: catalog::Content, source: events::Source) {
        let version = content.version;
        let result = self.state.borrow_mut().catalog.update(content);
        if result == catalog::UpdateResult::Applied {
            self.events.catalog_applied(version, source);
            self.publish();
        }
    }

    /// Publishes what the host believes.
    fn publish(&self) {
        let view = self.state.borrow_mut().view(clock::now());
        self.shared.publish(view);
    }

    /// Notes whether a call to the store was answered.
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

    /// Notes that the store answered a call.
    fn record_store_response(&self) {
        self.last_store_response.set(clock::now());
        self.store_failures.set(0);
    }

    /// How this host fares with its calls to the store.
    fn store_calls(&self, now: time::Time) -> peer::StoreHealth {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        peer::StoreHealth {
            catalog_age_ms: millis(self.shared.catalog_age(now)),
            steady_ms: millis(now.since(self.steady_since.get())),
            answered_ms: millis(now.since(self.last_store_response.get())),
        }
    }

    /// Shows in the metrics what the host believes.
    fn update_gauges(&self, now: time::Time) {
        let state = self.state.borrow();
        self.metrics.believes(&metrics::Beliefs {
            catalog_version: state.catalog.version().map_or(0, |version| version.0),
            endpoints: state.directory.usable().count() as u64,
            hosts_serving: state.hosts.live_count(now) as u64,
            hosts_heard: state.live_peers(now) as u64,
            store_answers: self.store_available.get(),
        });
    }

    /// Whether a relay brings the news of the store.
    fn has_live_relay(&self) -> bool {
        self.state.borrow().has_live_relay(clock::now())
    }

    /// What this host knows.
    fn state_version(&self) -> peer::StateVersion {
        self.state.borrow().state_version()
    }

    /// Does what is due by time alone.
    fn tick(&self) {
        let now = clock::now();
        let lapsed = self.state.borrow_mut().directory.tick(now);
        self.state.borrow_mut().hosts.tick(now);
        for (key, revision) in &lapsed {
            self.events.endpoint_changed(key, *revision, None);
        }
        if !lapsed.is_empty() {
            self.publish();
        }
        let mut state = self.state.borrow_mut();
        state.update_overlay(now);
        state.load_reports.tick(now);
        let others = state.load_reports.total_of_others(&state.overlay);
        drop(state);
        self.shared.publish_remote_loads(others);
        self.update_gauges(now);
        links::broadcast_cached_parts(self);
    }
}
