//! What engines hold in their caches, as hosts tell each other.

use pistachiochute_core::membership::overlay::Role;
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::control::Context;

/// Tells the other hosts which parts of prompts endpoints read for this one.
pub(in crate::control) fn tell_holdings<D, S>(cx: &Context<D, S>) {
    let holdings: Vec<_> = std::iter::from_fn(|| cx.shared.own_holdings.pop()).collect();
    // In a large fleet each host goes by the homes of prompts alone.
    let is_small = cx.state.borrow().spread.role == Role::Mesh;
    if holdings.is_empty() || !is_small {
        return;
    }
    cx.state.borrow_mut().remember(&holdings, clock::now());
    for outbox in cx.state.borrow().outboxes.values() {
        // A host that misses it has a prompt read again at worst.
        drop(outbox.try_send(peer::Message::Holdings(holdings.clone())));
    }
}

/// Takes in what endpoints hold, for this host.
pub(in crate::control) fn take_holdings<D, S>(cx: &Context<D, S>, holdings: &[peer::CachedPart]) {
    cx.state.borrow_mut().remember(holdings, clock::now());
    for holding in holdings {
        cx.shared.heard_holdings.push(*holding);
    }
}
