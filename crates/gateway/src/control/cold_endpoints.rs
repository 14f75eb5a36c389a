//! Endpoints that are cold: read from their entries, and told to other hosts.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::directory::{ColdEndpoint, Endpoint, UnratedEntry};
use pistachiochute_core::{rate_limits, revision, time};
use pistachiochute_messages::peer;
use pistachiochute_runtime::{clock, metrics};

use crate::control::state::State;
use crate::control::{Context, links};

/// Most records in one message, which keeps it well below the limit of a frame.
const MAX_RECORDS_PER_MESSAGE: usize = 4_096;

/// Applies the entries of endpoints, or keeps them until the rates are known. Must come before their view is
/// published, so that no host takes a cold endpoint for a warm one.
pub(super) fn apply_entries<'a, D, S, I>(cx: &Context<D, S>, entries: I)
where
    I: IntoIterator<Item = (&'a Endpoint, revision::StoredRevision)>,
{
    let now = clock::now();
    let unrated = |(endpoint, revision): (&Endpoint, revision::StoredRevision)| UnratedEntry {
        endpoint: endpoint.identity.hash(),
        service: endpoint.service.clone(),
        revision,
        until: now + endpoint.cold_time,
    };
    let entries = entries.into_iter().map(unrated).collect();
    apply_unrated(cx, entries, now);
}

/// Applies the entries that came before the rates of their services. Must come before a view with the rates
/// is published.
pub(super) fn apply_kept<D, S>(cx: &Context<D, S>) {
    let kept = cx.state.borrow_mut().cold.take_kept();
    apply_unrated(cx, kept, clock::now());
}

/// Applies entries at the rates of their services, and keeps those of which no rate is known.
fn apply_unrated<D, S>(cx: &Context<D, S>, entries: Vec<UnratedEntry>, now: time::Time) {
    let mut state = cx.state.borrow_mut();
    let mut cold = Vec::new();
    for entry in entries {
        match cold_rate(&state, &entry.service) {
            Some(rate) => cold.push(entry.at_rate(rate)),
            None => state.cold.keep(entry, now),
        }
    }
    drop(state);
    apply(cx, cold, None, now);
}

/// Applies what another host knows.
pub(super) fn apply_records<D, S>(
    cx: &Context<D, S>,
    (host, epoch): (&Arc<str>, revision::Epoch),
    records: &[peer::ColdRecord],
) {
    let now = clock::now();
    let cold = |record: &peer::ColdRecord| ColdEndpoint {
        endpoint: record.endpoint,
        revision: epoch.revision(record.revision),
        rate: record.rate,
        until: now + Duration::from_millis(u64::from(record.remaining_ms)),
    };
    apply(cx, records.iter().map(cold).collect(), Some(host), now);
}

/// Messages with all cold endpoints, for a host that may know none.
pub(super) fn state_messages(state: &State, now: time::Time) -> Vec<peer::Message> {
    let cold: Vec<_> = state.cold.iter(now).collect();
    to_messages(&cold, state.epochs.current(), now)
}

/// Requests a second that the endpoints of a service bear while they are cold.
fn cold_rate(state: &State, service: &str) -> Option<rate_limits::RequestRate> {
    let catalog = state.catalog.get()?;
    let mut services = catalog.content().services.iter();
    services.find(|s| *s.name == *service)?.cold_rate
}

/// Records, forwards and hands on what is news.
fn apply<D, S>(
    cx: &Context<D, S>,
    mut cold: Vec<ColdEndpoint>,
    host: Option<&Arc<str>>,
    now: time::Time,
) {
    let state = &mut *cx.state.borrow_mut();
    cold.retain(|cold| state.cold.record(*cold, now));
    let messages = to_messages(&cold, state.epochs.current(), now);
    links::flood(state, &messages, host);
    for cold in cold {
        cx.events.endpoint_cold(&cold, now);
        if cold.until > now {
            cx.metrics.decided(metrics::Decision::EndpointCold);
        }
        cx.shared.cold_endpoints.push(cold);
    }
}

fn to_messages(
    cold: &[ColdEndpoint],
    epoch: revision::Epoch,
    now: time::Time,
) -> Vec<peer::Message> {
    let record = |cold: &ColdEndpoint| peer::ColdRecord {
        endpoint: cold.endpoint,
        revision: cold.revision.within(epoch),
        rate: cold.rate,
        remaining_ms: cold.until.since(now).as_millis() as u32,
    };
    let chunks = cold.chunks(MAX_RECORDS_PER_MESSAGE);
    let messages = chunks.map(|chunk| chunk.iter().map(record).collect());
    messages.map(peer::Message::ColdEndpoints).collect()
}
