//! What has to be sent on a link.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::load;
use pistachiochute_core::membership::overlay::Role;
use pistachiochute_core::time;
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::adapter;
use crate::control::Context;

/// Longest time between two messages on a link.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Time for which a host may know more about endpoints before it is asked: the store usually
/// tells everyone meanwhile.
const ASK_AFTER: Duration = Duration::from_millis(600);

/// Time for which a host may know a newer catalog before it is asked.
const ASK_CATALOG_AFTER: Duration = Duration::from_millis(150);

/// Shortest time between two questions to the same host.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// What was last sent on a link.
#[derive(Default)]
pub(super) struct Sent {
    known: Option<peer::StateVersion>,
    loads: Arc<Vec<load::EndpointLoad>>,
    at: time::Time,
    carried: Vec<load::EndpointLoad>,
}

impl Sent {
    /// The status, if it is due.
    pub(super) fn next<D, S>(&mut self, cx: &Context<D, S>) -> Option<peer::Message>
    where
        D: adapter::Dialect,
        S: adapter::Store,
    {
        let now = clock::now();
        let known = cx.known();
        let loads = cx.shared.own_loads();
        let same_loads = self.known.is_some() && self.loads == loads;
        let is_due = now.since(self.at) >= HEARTBEAT;
        if self.known == Some(known) && same_loads && !is_due {
            return None;
        }
        let changed = (!same_loads).then(|| Vec::clone(&loads));
        self.known = Some(known);
        self.loads = loads;
        self.at = now;
        Some(peer::Message::Status {
            known,
            store: cx.store_calls(now),
            loads: changed,
        })
    }

    /// The work of others that this host carries to another one, if it changed.
    pub(super) fn next_carried<D, S>(
        &mut self,
        cx: &Context<D, S>,
        name: &str,
    ) -> Option<peer::Message>
    where
        D: adapter::Dialect,
        S: adapter::Store,
    {
        let state = cx.state.borrow();
        let spread = &state.spread;
        if spread.role != Role::Relay || spread.is_own_relay(name) {
            return None;
        }
        let own = cx.shared.own_loads();
        let carried = match spread.is_foreign_relay(name) {
            true => state.digests.domain_total(spread, &own),
            false => {
                let others = cx.shared.other_loads();
                state.digests.total_except(name, &others, &own)
            }
        };
        if carried == self.carried {
            return None;
        }
        self.carried.clone_from(&carried);
        Some(peer::Message::Carried(carried))
    }
}

/// Since when another host has known more.
#[derive(Default)]
pub(super) struct Asking {
    behind_since: Option<time::Time>,
    asked: time::Time,
}

impl Asking {
    /// What to ask the host for, if it has known more for long enough.
    pub(super) fn next<D, S>(
        &mut self,
        cx: &Context<D, S>,
        name: &Arc<str>,
    ) -> Option<peer::StateVersion> {
        let now = clock::now();
        let state = cx.state.borrow();
        let known = state.peers.get(name)?.known;
        let Some(want) = state.want(known) else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let patience = match known.catalog > want.catalog {
            _ if state.is_fed(now) => Duration::ZERO,
            true => ASK_CATALOG_AFTER,
            false => ASK_AFTER,
        };
        if now.since(since) < patience || now.since(self.asked) < ASK_PAUSE {
            return None;
        }
        self.asked = now;
        Some(want)
    }
}
