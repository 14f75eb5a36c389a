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
use pistachiochute_core::{streams, time};
use pistachiochute_messages::peer;
use pistachiochute_runtime::{clock, metrics};
use tokio::sync::mpsc;

use crate::adapter;
use crate::control::state::State;
use crate::control::{Context, links};
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
    answers: mpsc::UnboundedSender<streams::Answer>,
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
    fn answer(&mut self, id: u32, host: &str, answer: streams::Answer) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let Some(position) = query.waiting_for.iter().position(|name| **name == *host) else {
            return;
        };
        query.waiting_for.swap_remove(position);
        // The receiver is gone if an earlier answer was enough.
        query.answers.send(answer).ok();
        if query.waiting_for.is_empty() {
            self.queries.remove(&id);
        }
    }
}

/// Which answers of other hosts decide a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Agreement {
    /// The first that states a version: the hosts that are asked state only what is proven.
    First,
    /// All must state the same version. They are of an earlier build and go by what they have recorded.
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
        let unsent = std::mem::take(&mut state.unsent_beginnings);
        let now = clock::now();
        for beginnings in unsent.chunks(MAX_ORIGINS_PER_MESSAGE) {
            for host in share_targets(state) {
                // A host that misses a message asks this one.
                if let Some(outbox) = state.outboxes.get(host) {
                    send_beginnings(outbox, beginnings, now);
                }
            }
        }
    }
}

/// Sends a host the beginnings of streams, in the message that it reads.
fn send_beginnings(outbox: &links::Outbox, beginnings: &[streams::Beginning], now: time::Time) {
    let message = match outbox.has_feature(peer::Feature::StreamBeginnings) {
        true => {
            let records = beginnings.iter().map(|beginning| encode(beginning, now));
            peer::Message::StreamBeginnings(records.collect())
        }
        false => {
            let origins = beginnings.iter().map(|beginning| beginning.stream);
            peer::Message::StreamOrigins(origins.collect())
        }
    };
    outbox.try_send(message);
}

/// Beginning of a stream as other hosts are told of it now.
fn encode(beginning: &streams::Beginning, now: time::Time) -> peer::BeginningRecord {
    let age = now.since(beginning.connected.by);
    peer::BeginningRecord {
        stream: beginning.stream,
        incarnation: beginning.connected.to,
        connected_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        is_shown: beginning.process != streams::KnownProcess::Claimed,
    }
}

/// Beginning of a stream of which another host tells now.
fn decode(record: &peer::BeginningRecord, now: time::Time) -> streams::Beginning {
    let age = Duration::from_millis(u64::from(record.connected_ms));
    streams::Beginning {
        stream: record.stream,
        connected: streams::Connected {
            to: record.incarnation,
            by: now - age,
        },
        process: match (record.is_shown, record.stream.origin.version) {
            (true, streams::VersionTag::UNLISTED) => streams::KnownProcess::Reported,
            (true, _) => streams::KnownProcess::Listed,
            (false, _) => streams::KnownProcess::Claimed,
        },
    }
}

/// Hosts that are sent the origins of this host's streams.
fn share_targets(state: &State) -> &[Arc<str>] {
    match state.overlay.role {
        Role::Mesh => &state.overlay.links,
        Role::Relay | Role::Member => &state.overlay.relays,
    }
}

/// Records the streams that began for this host's traffic thread, and what it has seen of endpoints.
fn record_local_origins<D, S>(cx: &Context<D, S>) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    while let Some(beginning) = cx.shared.local_beginnings.pop() {
        state.origins.record_beginning(&beginning, now);
        state.unsent_beginnings.push(beginning);
    }
    while let Some(observed) = cx.shared.observed_signs.pop() {
        state
            .versions
            .record_sign(&observed.endpoint, observed.sign);
    }
}

/// Records streams that began for another host.
pub(super) fn apply_beginnings<D, S>(cx: &Context<D, S>, records: &[peer::BeginningRecord]) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    for record in records {
        state.origins.record_beginning(&decode(record, now), now);
    }
}

/// Records streams that began for a host of an earlier build.
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
    let (answer, result) = match determine(&cx, query) {
        known @ streams::Answer::Version(_) => (known, metrics::OriginResult::Local),
        own => {
            let answer = ask(&cx, query, None, own).await;
            (answer, result_of(answer))
        }
    };
    cx.metrics.origin_queried(result);
    if answer == streams::Answer::Unknown {
        log_unknown(&cx, query, clock::now().since(started));
    }
    // The caller may have left.
    request.reply.send(answer).ok();
}

/// Result of a query that other hosts were asked.
const fn result_of(answer: streams::Answer) -> metrics::OriginResult {
    match answer {
        streams::Answer::Version(_) => metrics::OriginResult::Peer,
        streams::Answer::Claim(_) => metrics::OriginResult::Claim,
        streams::Answer::Unknown => metrics::OriginResult::Unknown,
    }
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
    let answer = match determine(&cx, &query) {
        known @ streams::Answer::Version(_) => known,
        own => ask(&cx, &query, Some(&host), own).await,
    };
    let state = cx.state.borrow();
    if let Some(outbox) = state.outboxes.get(&host) {
        // Without an answer, the other host stops waiting after its timeout.
        send_answer(outbox, id, answer);
    }
}

fn send_answer(outbox: &links::Outbox, id: u32, answer: streams::Answer) {
    let version = match answer {
        streams::Answer::Version(version) => Some(version),
        streams::Answer::Claim(beginning) => {
            let beginning = encode(&beginning, clock::now());
            if outbox.try_send(peer::Message::OriginClaim { id, beginning }) {
                return;
            }
            None
        }
        streams::Answer::Unknown => None,
    };
    outbox.try_send(peer::Message::OriginAnswer { id, version });
}

/// Applies another host's answer to a query.
pub(super) fn apply_answer<D, S>(
    cx: &Context<D, S>,
    host: &str,
    id: u32,
    version: Option<streams::VersionTag>,
) {
    // A host of the build before takes the tag for a version that is proven.
    let version = version.filter(|version| *version != streams::VersionTag::UNLISTED);
    let answer = version.map_or(streams::Answer::Unknown, streams::Answer::Version);
    let mut state = cx.state.borrow_mut();
    state.origin_queries.answer(id, host, answer);
}

/// Applies another host's answer to a query, which proves nothing by itself.
pub(super) fn apply_claim<D, S>(
    cx: &Context<D, S>,
    host: &str,
    id: u32,
    record: &peer::BeginningRecord,
) {
    let answer = streams::Answer::Claim(decode(record, clock::now()));
    let mut state = cx.state.borrow_mut();
    state.origin_queries.answer(id, host, answer);
}

/// What this host knows of the version that began a stream.
fn determine<D, S>(cx: &Context<D, S>, query: &streams::OriginQuery) -> streams::Answer {
    record_local_origins(cx);
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let began_by = query.stream.map(|stream| state.take_ups.note(stream, now));
    let began_by = began_by.unwrap_or(now);
    let version = streams::determine(&state.origins, &state.versions, query, began_by, now);
    if let Some(version) = version {
        return streams::Answer::Version(version);
    }
    let claim = streams::claim(&state.origins, query, now);
    claim.map_or(streams::Answer::Unknown, streams::Answer::Claim)
}

fn has_record(state: &State, query: &streams::OriginQuery) -> bool {
    let record = query.stream.and_then(|stream| state.origins.get(stream));
    record.is_some()
}

/// Asks other hosts for the version that began a stream. `asker` is the host whose query this one
/// forwards, if any, and `own` what this host knows, which proves nothing.
async fn ask<D, S>(
    cx: &Context<D, S>,
    query: &streams::OriginQuery,
    asker: Option<&Arc<str>>,
    own: streams::Answer,
) -> streams::Answer {
    let targets = query_targets(cx, asker);
    let (targets, agreement) = narrow_targets(&cx.state.borrow(), targets, query);
    let Some((id, mut answers)) = send_query(cx, query, targets) else {
        return own;
    };
    let timeout = match asker {
        Some(_) => FORWARD_TIMEOUT,
        None => QUERY_TIMEOUT,
    };
    let mut best = own;
    let deciding = decide(&mut answers, agreement, &mut best);
    // What has been answered in time counts.
    drop(tokio::time::timeout(timeout, deciding).await);
    cx.state.borrow_mut().origin_queries.queries.remove(&id);
    best
}

/// Leaves only the hosts that state what is proven, if there are any, and says how the answers decide.
fn narrow_targets(
    state: &State,
    mut targets: Vec<Arc<str>>,
    query: &streams::OriginQuery,
) -> (Vec<Arc<str>>, Agreement) {
    let feature = peer::Feature::StreamBeginnings;
    let states_proven = |host: &Arc<str>| {
        let outbox = state.outboxes.get(host);
        outbox.is_some_and(|outbox| outbox.has_feature(feature))
    };
    if targets.iter().any(states_proven) {
        targets.retain(states_proven);
        return (targets, Agreement::First);
    }
    match has_record(state, query) {
        true => (targets, Agreement::All),
        false => (targets, Agreement::First),
    }
}

/// Sends a query to other hosts. Returns its id and the channel of the answers, or `None` if there
/// is no host to ask or too many queries are open.
fn send_query<D, S>(
    cx: &Context<D, S>,
    query: &streams::OriginQuery,
    targets: Vec<Arc<str>>,
) -> Option<(u32, mpsc::UnboundedReceiver<streams::Answer>)> {
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

/// Decides a query from the answers. Waits for those that are needed. `best` is the best answer so far.
async fn decide(
    answers: &mut mpsc::UnboundedReceiver<streams::Answer>,
    agreement: Agreement,
    best: &mut streams::Answer,
) {
    match agreement {
        Agreement::First => decide_by_first(answers, best).await,
        Agreement::All => decide_by_all(answers, best).await,
    }
}

async fn decide_by_first(
    answers: &mut mpsc::UnboundedReceiver<streams::Answer>,
    best: &mut streams::Answer,
) {
    while let Some(answer) = answers.recv().await {
        match (answer, *best) {
            (streams::Answer::Version(_), _) => {
                *best = answer;
                return;
            }
            (streams::Answer::Claim(_), streams::Answer::Unknown) => *best = answer,
            (streams::Answer::Claim(_) | streams::Answer::Unknown, _) => {}
        }
    }
}

async fn decide_by_all(
    answers: &mut mpsc::UnboundedReceiver<streams::Answer>,
    best: &mut streams::Answer,
) {
    let mut agreed = None;
    while let Some(answer) = answers.recv().await {
        let streams::Answer::Version(version) = answer else {
            return;
        };
        if agreed.is_some_and(|agreed| agreed != version) {
            return;
        }
        agreed = Some(version);
    }
    if let Some(version) = agreed {
        *best = streams::Answer::Version(version);
    }
}
