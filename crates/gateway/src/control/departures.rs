//! Exchange of the endpoints that say that they leave: what one host receives serves all.

use std::sync::Arc;

use pistachiochute_core::{directory, time};
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use crate::control::state::State;
use crate::control::{Context, ages, links};
use crate::{adapter, events};

/// Most records in one message, which keeps it well below the limit of a frame.
const MAX_RECORDS_PER_MESSAGE: usize = 4_096;

/// Applies what endpoints have said to this host and forwards it. Returns whether any of it is
/// new.
pub(super) fn apply_local<D, S>(cx: &Context<D, S>, now: time::Time) -> bool {
    let announced = std::iter::from_fn(|| cx.shared.local_departures.pop());
    let departures = announced.collect();
    let state = &mut *cx.state.borrow_mut();
    !apply(state, departures, None, now).is_empty()
}

/// Applies what endpoints have said to another host.
pub(super) fn apply_records<D, S>(
    cx: &Context<D, S>,
    host: &Arc<str>,
    records: &[peer::DepartureRecord],
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let now = clock::now();
    // What this host has received itself is not logged again as news of another one.
    let any_local = apply_local(cx, now);
    let departure = |record: &peer::DepartureRecord| directory::Departure {
        endpoint: record.endpoint,
        last_seen: ages::time_of(record.age_ms, now),
    };
    let departures = records.iter().map(departure).collect();
    let new = apply(&mut cx.state.borrow_mut(), departures, Some(host), now);
    let source = events::NoticeSource::Host(host.clone());
    let state = cx.state.borrow();
    for endpoint in state.directory.leaving() {
        let key = directory::IncarnationKey::of(&endpoint.identity);
        if new.iter().any(|departure| departure.endpoint == key) {
            cx.events.endpoint_leaves(&endpoint.identity, &source);
        }
    }
    drop(state);
    if any_local || !new.is_empty() {
        cx.publish();
    }
}

/// Messages with all departures, for a host that may know none.
pub(super) fn state_messages(state: &State, now: time::Time) -> Vec<peer::Message> {
    let departures: Vec<_> = state.directory.departures().iter().collect();
    to_messages(&departures, now)
}

/// Records departures and forwards those that are new. Returns these.
fn apply(
    state: &mut State,
    mut departures: Vec<directory::Departure>,
    source: Option<&Arc<str>>,
    now: time::Time,
) -> Vec<directory::Departure> {
    departures.retain(|departure| state.directory.record_departure(*departure, now));
    links::flood(state, &to_messages(&departures, now), source);
    departures
}

fn to_messages(departures: &[directory::Departure], now: time::Time) -> Vec<peer::Message> {
    let record = |departure: &directory::Departure| peer::DepartureRecord {
        endpoint: departure.endpoint,
        age_ms: ages::age_of(departure.last_seen, now),
    };
    let chunks = departures.chunks(MAX_RECORDS_PER_MESSAGE);
    let messages = chunks.map(|chunk| chunk.iter().map(record).collect());
    messages.map(peer::Message::EndpointDepartures).collect()
}
