//! Messages that reach all hosts over any path: each host forwards what is new to it on all links but
//! the one that it came from.

use std::sync::Arc;

use pistachiochute_core::time;
use pistachiochute_messages::peer;

use crate::control::state::State;
use crate::control::{cold_endpoints, crash_evidence, departures, endpoint_limits, evacuations};

/// Queues messages for all hosts that this one is linked with, but for `source`.
pub(in crate::control) fn flood(
    state: &mut State,
    messages: &[peer::Message],
    source: Option<&Arc<str>>,
) {
    for (host, outbox) in &state.outboxes {
        if Some(host) == source {
            continue;
        }
        let mut readable = messages.iter().filter(|message| outbox.takes(message));
        if !readable.all(|message| outbox.try_send(message.clone())) {
            state.behind.insert(host.clone());
        }
    }
}

/// Everything that is flooded, for a host that may know nothing of it.
pub(super) fn snapshot(state: &State, now: time::Time) -> Vec<peer::Message> {
    let mut messages = departures::state_messages(state, now);
    messages.extend(crash_evidence::state_messages(state, now));
    messages.extend(endpoint_limits::state_messages(state, now));
    messages.extend(evacuations::state_messages(state));
    messages.extend(cold_endpoints::state_messages(state, now));
    messages
}

/// Sends everything to the hosts whose queue was full.
pub(in crate::control) fn resend_to_behind(state: &mut State, now: time::Time) {
    if state.behind.is_empty() {
        return;
    }
    let messages = snapshot(state, now);
    let outboxes = &state.outboxes;
    state.behind.retain(|host| {
        // A host without a link is sent everything when the link is open again.
        let Some(outbox) = outboxes.get(host) else {
            return false;
        };
        let mut readable = messages.iter().filter(|message| outbox.takes(message));
        !readable.all(|message| outbox.try_send(message.clone()))
    });
}
