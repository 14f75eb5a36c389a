//! Versions that began streams: sends the origins of streams to other hosts, and answers queries of
//! the traffic thread and of other hosts.
//!
//! In a full mesh, every host has the origins of all streams. In a larger fleet, the relays of a
//! domain have those of its hosts, and a relay that does not know a stream asks the relays of the
//! other domains.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::membership::overlay::Role;
use pistachiochute_core::streams;
use pistachiochute_messages::peer;
use pistachiochute_runtime::{clock, metrics};
use tokio::sync::mpsc;

use crate::adapter;
use crate::control::Context;
use crate::control::state::State;
use crate::{events, shared};

/// Interval at which new origins are sent.
const SHARE_INTERVAL: Duration = Duration::from_millis(150);

/// Time in which other hosts answer a query of this host's traffic thread.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time in which the relays of other domains answer a query that a relay forwards. Shorter than
/// [`QUERY_TIMEOUT`], within which the relay answers itself.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(120);

/// Most origins in one message, which keeps it well below the limit of a frame.
const MAX_ORIGINS_PER_MESSAGE: usize = 8_192;

/// Most queries that wait for other hosts. Those beyond have no answer.
const MAX_OPEN_QUERIES: usize = 1_024;

/// A query that other hosts have not all answered.
#[derive(Debug)]
struct OpenQuery {
    /// Hosts that have not answered.
    waiting_for: Vec<Arc<str>>,
    answers: mpsc::UnboundedSender<Option<streams::VersionTag>>,
}

/// Queries that other hosts were sent.
#[derive(Debug)]
pub struct OpenQueries {
    queries: HashMap<u32, OpenQuery>,
    next_id: u32,
}

impl Default for OpenQueries {
    fn default() -> Self {
        Self {
            queries: HashMap::new(),
            // An answer to a query of this host before a restart must not match a new one.
            next_id: rand::random(),
        }
    }
}

impl OpenQueries {
    /// Records an answer. Answers that nobody waits for are ignored. After the last one, the
    /// channel of the query is closed.
    fn answer(&mut self, id: u32, host: &str, version: Option<streams::VersionTag>) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let Some(position) = query.waiting_for.iter().position(|name| **name == *host) else {
            return;
        };
        query.waiting_for.swap_remove(position);
        // The receiver is gone if an earlier answer was enough.
        query.answers.send(version).ok();
        if query.waiting_for.is_empty() {
            self.queries.remove(&id);
        }
    }
}

/// Which answers of other hosts decide a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Agreement {
    /// The first that states a version.
    First,
    /// All must state the same version. This host has a record of the stream that may be wrong, and
    /// another host may not know yet why.
    All,
}

/// Sends new origins to other hosts.
pub(super) async fn share_origins<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    loop {
        tokio::time::sleep(SHARE_INTERVAL).await;
        record_local_origins(&cx);
        let state = &mut *cx.state.borrow_mut();
        let unsent = std::mem::take(&mut state.unsent_origins);
        for origins in unsent.chunks(MAX_ORIGINS_PER_MESSAGE) {
            for host in share_targets(state) {
                let message = peer::Message::StreamOrigins(origins.to_vec());
                // A host that misses a message asks this one.
                let outbox = state.outboxes.get(host);
                outbox.map(|outbox| outbox.try_send(message));
            }
        }
    }
}

/// Hosts that are sent the origins of this host's streams.
fn share_targets(state: &State) -> &[Arc<str>] {
    match state.overlay.role {
        Role::Mesh => &state.overlay.links,
        Role::Relay | Role::Member => &state.overlay.relays,
    }
}

/// Records the streams that began for this host's traffic thread.
fn record_local_origins<D, S>(cx: &Context<D, S>) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    while let Some(origin) = cx.shared.local_origins.pop() {
        state.origins.record(origin, now);
        state.unsent_origins.push(origin);
    }
}

/// Records streams that began for another host.
pub(super) fn apply_origins<D, S>(cx: &Context<D, S>, origins: &[streams::StreamOrigin]) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    for origin in origins {
        state.origins.record(*origin, now);
    }
}

/// Answers the queries of this host's traffic thread.
pub(super) async fn answer_requests<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let Some(mut requests) = cx.shared.take_origin_requests() else {
        return;
    };
    while let Some(request) = requests.recv().await {
        tokio::task::spawn_local(answer_request(cx.clone(), request));
    }
}

async fn answer_request<D, S>(cx: Rc<Context<D, S>>, request: shared::OriginRequest)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let started = clock::now();
    let query = &request.query;
    let (version, result) = match determine(&cx, query) {
        Some(version) => (Some(version), metrics::OriginResult::Local),
        None => match ask(&cx, query, None).await {
            Some(version) => (Some(version), metrics::OriginResult::Peer),
            None => (None, metrics::OriginResult::Unknown),
        },
    };
    cx.metrics.origin_queried(result);
    if version.is_none() {
        log_unknown(&cx, query, clock::now().since(started));
    }
    // The caller may have left.
    request.reply.send(version).ok();
}

fn log_unknown<D, S>(cx: &Context<D, S>, query: &streams::OriginQuery, waited: Duration) {
    let state = cx.state.borrow();
    cx.events.origin_unknown(&events::OriginLogEntry {
        stream: query.stream,
        service: &query.service,
        has_record: has_record(&state, query),
        versions: state.versions.versions(&query.service),
        waited,
    });
}

/// Answers a query of another host.
pub(super) async fn answer_host<D, S>(
    cx: Rc<Context<D, S>>,
    host: Arc<str>,
    id: u32,
    query: streams::OriginQuery,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let version = match determine(&cx, &query) {
        Some(version) => Some(version),
        None => ask(&cx, &query, Some(&host)).await,
    };
    let state = cx.state.borrow();
    if let Some(outbox) = state.outboxes.get(&host) {
        // Without an answer, the other host stops waiting after its timeout.
        outbox.try_send(peer::Message::OriginAnswer { id, version });
    }
}

/// Applies another host's answer to a query.
pub(super) fn apply_answer<D, S>(
    cx: &Context<D, S>,
    host: &str,
    id: u32,
    version: Option<streams::VersionTag>,
) {
    let mut state = cx.state.borrow_mut();
    state.origin_queries.answer(id, host, version);
}

/// Version that began a stream as far as this host knows.
fn determine<D, S>(
    cx: &Context<D, S>,
    query: &streams::OriginQuery,
) -> Option<streams::VersionTag> {
    record_local_origins(cx);
    let state = cx.state.borrow();
    streams::determine(&state.origins, &state.versions, query, clock::now())
}

fn has_record(state: &State, query: &streams::OriginQuery) -> bool {
    let record = query.stream.and_then(|stream| state.origins.get(stream));
    record.is_some()
}

/// Asks other hosts for the version that began a stream. `asker` is the host whose query this one
/// forwards, if any.
async fn ask<D, S>(
    cx: &Context<D, S>,
    query: &streams::OriginQuery,
    asker: Option<&Arc<str>>,
) -> Option<streams::VersionTag> {
    let (id, answers) = send_query(cx, query, asker)?;
    let agreement = match has_record(&cx.state.borrow(), query) {
        true => Agreement::All,
        false => Agreement::First,
    };
    let timeout = match asker {
        Some(_) => FORWARD_TIMEOUT,
        None => QUERY_TIMEOUT,
    };
    let decision = tokio::time::timeout(timeout, decide(answers, agreement)).await;
    cx.state.borrow_mut().origin_queries.queries.remove(&id);
    decision.ok()?
}

/// Sends a query to other hosts. Returns its id and the channel of the answers, or `None` if there
/// is no host to ask or too many queries are open.
fn send_query<D, S>(
    cx: &Context<D, S>,
    query: &streams::OriginQuery,
    asker: Option<&Arc<str>>,
) -> Option<(u32, mpsc::UnboundedReceiver<Option<streams::VersionTag>>)> {
    let targets = query_targets(cx, asker);
    let state = &mut *cx.state.borrow_mut();
    if state.origin_queries.queries.len() >= MAX_OPEN_QUERIES {
        return None;
    }
    let id = state.origin_queries.next_id;
    state.origin_queries.next_id = id.wrapping_add(1);
    let message = peer::Message::OriginQuery {
        id,
        stream: query.stream,
        service: query.service.clone(),
        span_ms: u32::try_from(query.span.as_millis()).unwrap_or(u32::MAX),
    };
    let outboxes = &state.outboxes;
    let is_asked = |host: &Arc<str>| {
        let outbox = outboxes.get(host);
        outbox.is_some_and(|outbox| outbox.try_send(message.clone()))
    };
    let waiting_for: Vec<_> = targets.into_iter().filter(is_asked).collect();
    if waiting_for.is_empty() {
        return None;
    }
    let (answers, rx) = mpsc::unbounded_channel();
    let open = OpenQuery {
        waiting_for,
        answers,
    };
    state.origin_queries.queries.insert(id, open);
    Some((id, rx))
}

/// Hosts that are asked about a stream that this host does not know.
fn query_targets<D, S>(cx: &Context<D, S>, asker: Option<&Arc<str>>) -> Vec<Arc<str>> {
    let state = cx.state.borrow();
    let overlay = &state.overlay;
    let foreign_relays = || overlay.foreign_relays.values().flatten().cloned();
    match (overlay.role, asker) {
        (Role::Mesh, None) => overlay.links.clone(),
        (Role::Member, None) => overlay.relays.to_vec(),
        (Role::Relay, None) => {
            let own_relays = overlay.relays.iter().cloned();
            own_relays.chain(foreign_relays()).collect()
        }
        (Role::Relay, Some(host)) if is_member_of_domain(cx, &state, host) => {
            foreign_relays().collect()
        }
        (Role::Mesh | Role::Member | Role::Relay, Some(_)) => Vec::new(),
    }
}

/// Whether a host relies on the relays of this host's domain.
fn is_member_of_domain<D, S>(cx: &Context<D, S>, state: &State, host: &str) -> bool {
    let entry = state.hosts.get(host);
    let is_in_domain = entry.is_some_and(|entry| entry.domain == cx.settings.host.domain);
    is_in_domain && !state.overlay.is_own_relay(host)
}

/// Decides a query from the answers. Waits for those that are needed.
async fn decide(
    mut answers: mpsc::UnboundedReceiver<Option<streams::VersionTag>>,
    agreement: Agreement,
) -> Option<streams::VersionTag> {
    let mut agreed = None;
    while let Some(answer) = answers.recv().await {
        match (agreement, answer) {
            (Agreement::First, Some(version)) => return Some(version),
            (Agreement::First, None) => {}
            (Agreement::All, None) => return None,
            (Agreement::All, Some(version)) if agreed.is_some_and(|a| a != version) => return None,
            (Agreement::All, Some(version)) => agreed = Some(version),
        }
    }
    agreed
}
