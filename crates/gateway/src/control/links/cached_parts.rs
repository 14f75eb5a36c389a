//! Exchange of the prompt parts in the caches of engines between hosts.

use pistachiochute_core::membership::overlay::Role;
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::control::Context;

/// Sends the other hosts the prompt parts that endpoints have cached for this one.
pub(in crate::control) fn broadcast_cached_parts<D, S>(cx: &Context<D, S>) {
    let parts: Vec<_> = std::iter::from_fn(|| cx.shared.local_cached_parts.pop()).collect();
    // In a large fleet, hosts rely on the home endpoints of prompts alone.
    let is_full_mesh = cx.state.borrow().overlay.role == Role::Mesh;
    if parts.is_empty() || !is_full_mesh {
        return;
    }
    cx.state
        .borrow_mut()
        .record_cached_parts(&parts, clock::now());
    for outbox in cx.state.borrow().outboxes.values() {
        // A lost message at worst makes an endpoint read a prompt again.
        outbox.try_send(peer::Message::Holdings(parts.clone()));
    }
}

/// Applies prompt parts that another host or a query of an engine found to be cached.
pub(in crate::control) fn apply_cached_parts<D, S>(cx: &Context<D, S>, parts: &[peer::CachedPart]) {
    cx.state
        .borrow_mut()
        .record_cached_parts(parts, clock::now());
    for part in parts {
        cx.shared.remote_cached_parts.push(*part);
    }
}
