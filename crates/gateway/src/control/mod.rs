//! What the host believes, and where it learns it.
//!
//! One thread keeps the catalog, the endpoints and the other hosts. [`sync`] follows the store,
//! [`lease`] keeps the entry of this host in it, and [`links`] exchanges news with other hosts, so
//! that a host which the store turns away learns from those that it answers. [`warm`] asks the
//! engines what they hold after the whole fleet was lost.

mod lease;
mod links;
mod state;
mod sync;
mod warm;

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
const TICK: Duration = Duration::from_millis(100);

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
    store_answers: Cell<bool>,
    /// Wakes the tasks that wait for the store to come back.
    store_back: Notify,
    /// Asks for a look at whether the store answers.
    store_suspect: Notify,
    /// Since when every call to the store was answered.
    steady_since: Cell<time::Time>,
    /// When the store answered last.
    answered: Cell<time::Time>,
    /// Calls in a row that failed while the store was taken to answer.
    failures: Cell<u32>,
    /// Lease of this host's entry.
    lease: Cell<Option<key_value::LeaseId>>,
    /// When this host started.
    started: time::Time,
    /// How long the host had been up that had been up longest when its link was made.
    oldest_peer: Cell<Duration>,
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
        store_answers: Cell::new(true),
        store_back: Notify::new(),
        store_suspect: Notify::new(),
        steady_since: Cell::new(clock::now()),
        answered: Cell::new(time::Time::ZERO),
        failures: Cell::new(0),
        lease: Cell::new(None),
        started: clock::now(),
        oldest_peer: Cell::new(Duration::ZERO),
    });
    tokio::task::spawn_local(sync::follow_catalog(cx.clone()));
    tokio::task::spawn_local(sync::follow_endpoints(cx.clone()));
    tokio::task::spawn_local(lease::keep(cx.clone()));
    tokio::task::spawn_local(lease::follow_hosts(cx.clone()));
    tokio::task::spawn_local(links::accept(cx.clone(), links));
    tokio::task::spawn_local(links::keep(cx.clone()));
    if !cx.settings.is_first_start {
        tokio::task::spawn_local(warm::learn(cx.clone()));
    }
    let mut phases = cx.shared.phases();
    let mut ticks = tokio::time::interval(TICK);
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
    lease::end(&cx).await;
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
            self.events.catalog_taken(version, source);
            self.publish();
        }
    }

    /// Publishes what the host believes.
    fn publish(&self) {
        let view = self.state.borrow_mut().view(clock::now());
        self.shared.publish(view);
    }

    /// Notes whether a call to the store was answered.
    fn note_store(&self, answered: bool, cause: &str) {
        let now = clock::now();
        self.state
            .borrow_mut()
            .directory
            .store_answers(answered, now);
        match answered {
            true => self.answered.set(now),
            false => self.steady_since.set(time::Time::from_micros(u64::MAX)),
        }
        if self.store_answers.replace(answered) == answered {
            return;
        }
        self.events.store_answers(answered, cause);
        if answered {
            self.steady_since.set(now);
            self.store_back.notify_waiters();
        } else {
            self.metrics.store_lost();
        }
    }

    /// Notes that the store answered a call.
    fn note_answer(&self) {
        self.answered.set(clock::now());
        self.failures.set(0);
    }

    /// How this host fares with its calls to the store.
    fn store_calls(&self, now: time::Time) -> peer::StoreHealth {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        peer::StoreHealth {
            catalog_age_ms: millis(self.shared.catalog_age(now)),
            steady_ms: millis(now.since(self.steady_since.get())),
            answered_ms: millis(now.since(self.answered.get())),
        }
    }

    /// Shows in the metrics what the host believes.
    fn show_beliefs(&self, now: time::Time) {
        let state = self.state.borrow();
        self.metrics.believes(&metrics::Beliefs {
            catalog_version: state.catalog.version().map_or(0, |version| version.0),
            endpoints: state.directory.usable().count() as u64,
            hosts_serving: state.hosts.live_count(now) as u64,
            hosts_heard: state.heard(now) as u64,
            store_answers: self.store_answers.get(),
        });
    }

    /// Whether a relay brings the news of the store.
    fn is_fed(&self) -> bool {
        self.state.borrow().is_fed(clock::now())
    }

    /// What this host knows.
    fn known(&self) -> peer::StateVersion {
        self.state.borrow().known()
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
        state.place(now);
        state.digests.tick(now);
        let others = state.digests.total_of_others(&state.spread);
        drop(state);
        self.shared.publish_other_loads(others);
        self.show_beliefs(now);
        links::tell_holdings(self);
    }
}
