//! Exchange of the limits that endpoints name: what one host hears serves all.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{rate_limits, time};
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::control::state::State;
use crate::control::{Context, ages, links};

/// Time for which a statement is kept although its endpoint is not known, since the endpoint's entry
/// may come later than what another host says of it.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(30);

/// Most records in one message, which keeps it well below the limit of a frame.
const MAX_RECORDS_PER_MESSAGE: usize = 4_096;

/// Sends what the traffic thread has heard, and drops what was said by endpoints that are gone.
pub(super) fn tick<D, S>(cx: &Context<D, S>, now: time::Time) {
    let statements: Vec<_> = std::iter::from_fn(|| cx.shared.local_limits.pop()).collect();
    let state = &mut *cx.state.borrow_mut();
    apply(state, statements, None, now);
    if state.limits.is_empty() {
        return;
    }
    let endpoints = state.directory.usable().chain(state.directory.leaving());
    let present: HashSet<u64> = endpoints.map(|e| e.identity.hash()).collect();
    state.limits.retain(|statement| {
        present.contains(&statement.endpoint) || now.since(statement.at) < UNKNOWN_RETENTION
    });
}

/// Applies what endpoints have said to another host.
pub(super) fn apply_records<D, S>(
    cx: &Context<D, S>,
    host: &Arc<str>,
    records: &[peer::LimitRecord],
) {
    let now = clock::now();
    let statement = |record: &peer::LimitRecord| rate_limits::Statement {
        endpoint: record.endpoint,
        limit: record.limit,
        at: ages::time_of(record.age_ms, now),
    };
    let statements = records.iter().map(statement).collect();
    let state = &mut *cx.state.borrow_mut();
    for statement in apply(state, statements, Some(host), now) {
        cx.shared.remote_limits.push(statement);
    }
}

/// Messages with all limits, for a host that may know none.
pub(super) fn state_messages(state: &State, now: time::Time) -> Vec<peer::Message> {
    let limits: Vec<_> = state.limits.limits().collect();
    to_messages(&limits, now)
}

/// Records statements and forwards those that are new. Returns these.
fn apply(
    state: &mut State,
    mut statements: Vec<rate_limits::Statement>,
    source: Option<&Arc<str>>,
    now: time::Time,
) -> Vec<rate_limits::Statement> {
    statements.retain(|statement| state.limits.record(*statement));
    links::flood(state, &to_messages(&statements, now), source);
    statements
}

fn to_messages(statements: &[rate_limits::Statement], now: time::Time) -> Vec<peer::Message> {
    let record = |statement: &rate_limits::Statement| peer::LimitRecord {
        endpoint: statement.endpoint,
        limit: statement.limit,
        age_ms: ages::age_of(statement.at, now),
    };
    let chunks = statements.chunks(MAX_RECORDS_PER_MESSAGE);
    let messages = chunks.map(|chunk| chunk.iter().map(record).collect());
    messages.map(peer::Message::EndpointLimits).collect()
}
