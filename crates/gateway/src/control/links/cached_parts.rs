//! What engines hold in their caches, as hosts tell each other.

use pistachiochute_core::membership::overlay::Role;
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::control::Context;

/// Tells the other hosts which parts of prompts endpoints read for this one.
pub(in crate::control) fn broadcast_cached_parts<D, S>(cx: &Context<D, S>) {
    let parts: Vec<_> = std::iter::from_fn(|| cx.shared.local_cached_parts.pop()).collect();
    // In a large fleet each host goes by the homes of prompts alone.
    let is_full_mesh = cx.state.borrow().overlay.role == Role::Mesh;
    if parts.is_empty() || !is_full_mesh {
        return;
    }
    cx.state
        .borrow_mut()
        .record_cached_parts(&parts, clock::now());
    for outbox in cx.state.borrow().outboxes.values() {
        // A host that misses it has a prompt read again at worst.
        drop(outbox.try_send(peer::Message::Holdings(parts.clone())));
    }
}

/// Takes in what endpoints hold, for this host.
pub(in crate::control) fn apply_cached_parts<D, S>(cx: &Context<D, S>, parts: &[peer::CachedPart]) {
    cx.state
        .borrow_mut()
        .record_cached_parts(parts, clock::now());
    for part in parts {
        cx.shared.remote_cached_parts.push(*part);
    }
}
