//! Messages that are due on a link.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::load;
use pistachiochute_core::membership::overlay::Role;
use pistachiochute_core::time;
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::adapter;
use crate::control::Context;
use crate::control::state::KnownVersions;

/// Longest time between two status messages on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which another host may have newer endpoints before this one requests them. Within it,
/// this host usually gets them from the store.
const ENDPOINTS_REQUEST_DELAY: Duration = Duration::from_millis(600);

/// Time for which another host may have a newer catalog before this one requests it.
const CATALOG_REQUEST_DELAY: Duration = Duration::from_millis(150);

/// Shortest time between two requests to the same host.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// State last sent on a link.
#[derive(Default)]
pub(super) struct SentState {
    version: Option<KnownVersions>,
    loads: Arc<Vec<load::EndpointLoad>>,
    sent_at: time::Time,
    last_relayed: Vec<load::EndpointLoad>,
}

impl SentState {
    /// Status message, if the state has changed or a heartbeat is due.
    pub(super) fn due_status<D, S>(&mut self, cx: &Context<D, S>) -> Option<peer::Message>
    where
        D: adapter::Dialect,
        S: adapter::Store,
    {
        let now = clock::now();
        let version = cx.state_version();
        let loads = cx.shared.local_loads();
        let same_loads = self.version.is_some() && self.loads == loads;
        let is_due = now.since(self.sent_at) >= HEARTBEAT_INTERVAL;
        if self.version == Some(version) && same_loads && !is_due {
            return None;
        }
        let changed = (!same_loads).then(|| Vec::clone(&loads));
        self.version = Some(version);
        self.loads = loads;
        self.sent_at = now;
        Some(peer::Message::Status {
            known: version.to_message(cx.state.borrow().epochs.current()),
            store: cx.store_health(now),
            loads: changed,
        })
    }

    /// Load of other hosts that this host relays to the peer, if it has changed.
    pub(super) fn due_relayed_loads<D, S>(
        &mut self,
        cx: &Context<D, S>,
        name: &str,
    ) -> Option<peer::Message>
    where
        D: adapter::Dialect,
        S: adapter::Store,
    {
        let state = cx.state.borrow();
        let overlay = &state.overlay;
        if overlay.role != Role::Relay || overlay.is_own_relay(name) {
            return None;
        }
        let own = cx.shared.local_loads();
        let loads = match overlay.is_foreign_relay(name) {
            true => state.load_reports.domain_total(overlay, &own),
            false => {
                let others = cx.shared.remote_loads();
                state.load_reports.total_except(name, &others, &own)
            }
        };
        if loads == self.last_relayed {
            return None;
        }
        self.last_relayed.clone_from(&loads);
        Some(peer::Message::Carried(loads))
    }
}

/// Questions for what the host at the other end of a link knows of the endpoints.
#[derive(Default)]
pub(super) struct KnowledgeQueries {
    last: time::Time,
}

impl KnowledgeQueries {
    /// The question that is due: to a relay that this host follows, or to any other host if its own knowledge
    /// is old.
    pub(super) fn due<D, S>(&mut self, cx: &Context<D, S>, name: &str) -> Option<peer::Message> {
        let now = clock::now();
        let budget = cx.settings.drain;
        let state = cx.state.borrow();
        let is_old = state.known_up_to.age(now) >= budget.ask_all_after();
        let is_supplier = state.overlay.suppliers().iter().any(|s| **s == *name);
        if !(is_supplier || is_old) || now.since(self.last) < budget.ask_interval() {
            return None;
        }
        self.last = now;
        Some(peer::Message::KnowledgeQuery {
            asked_at_us: now.as_micros(),
            after: state.known_revision().within(state.epochs.current()),
        })
    }
}

/// Requests for newer state from the host at the other end of a link.
#[derive(Default)]
pub(super) struct CatchUp {
    behind_since: Option<time::Time>,
    last_request: time::Time,
}

impl CatchUp {
    /// Version to request changes after, if the peer has been ahead for long enough.
    pub(super) fn due_request<D, S>(
        &mut self,
        cx: &Context<D, S>,
        name: &Arc<str>,
    ) -> Option<peer::StateVersion> {
        let now = clock::now();
        let state = cx.state.borrow();
        let theirs = state.peers.get(name)?.version;
        let Some(mut want) = state.catch_up_request(theirs) else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let delay = match theirs.catalog > want.catalog {
            _ if state.has_live_relay(now) => Duration::ZERO,
            true => CATALOG_REQUEST_DELAY,
            false => ENDPOINTS_REQUEST_DELAY,
        };
        if now.since(since) < delay || now.since(self.last_request) < MIN_REQUEST_INTERVAL {
            return None;
        }
        drop(state);
        let state = &mut *cx.state.borrow_mut();
        if theirs.catalog > want.catalog && !state.record_catalog_request(name, now) {
            // Another host was asked for the catalog, or is to be.
            want.catalog = theirs.catalog;
            if theirs.endpoints <= want.endpoints {
                return None;
            }
        }
        self.last_request = now;
        Some(want.to_message(state.epochs.current()))
    }
}
