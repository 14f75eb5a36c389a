//! Receives and handles messages of other hosts.

use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::catalog::verify;
use pistachiochute_core::choice::load;
use pistachiochute_core::memory::Activity;
use pistachiochute_core::{catalog, directory, revision, streams, time};
use pistachiochute_messages::catalog_parts::{self, Assembly, MAX_CATALOG_BYTES};
use pistachiochute_messages::{codec, peer};
use pistachiochute_runtime::{clock, metrics};
use smallvec::SmallVec;

use crate::control::links::{Outbox, apply_cached_parts};
use crate::control::state::{HostEntry, KnownVersions, State};
use crate::control::{
    Context, cold_endpoints, crash_evidence, departures, endpoint_limits, evacuations, origins,
    sync,
};
use crate::traffic::{forwarding, memory};
use crate::{adapter, events, sockets};

/// Time in which an accepted connection must begin its first stream.
const OPENING_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest head of a stream, in bytes.
const MAX_HEAD_BYTES: u32 = 16 << 10;

/// Most streams that a link may have open, with `machine` in the settings: the requests that one host
/// may have under way at another.
const MAX_STREAMS: u32 = 512;

/// Memory that a link costs, in bytes, beside what is not decoded yet.
const LINK_BYTES: usize = 16 << 10;

/// Size of the endpoints in one message, in bytes: half of a frame.
const MAX_RECORDS_BYTES: usize = codec::MAX_FRAME_LEN / 2;

/// Upper bound of what a record and its software version take beside their texts, in bytes.
const RECORD_BYTES: usize = 128;

/// Most connections of other hosts. Each host makes one for messages and one for requests.
const MAX_CONNECTIONS: usize = 1_024;

/// Accepts the links of other hosts.
pub(in crate::control) async fn accept<D, S>(cx: Rc<Context<D, S>>, listener: net::TcpListener)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return cx.events.listener_failed("links", &e),
    };
    let open = Rc::new(());
    loop {
        let stream = sockets::accept(&listener, sockets::Peer::Host).await;
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            cx.metrics.decided(metrics::Decision::LinkRefused);
            continue;
        }
        let cx = cx.clone();
        let open = open.clone();
        tokio::task::spawn_local(async move {
            keep_link(&cx, stream).await;
            drop(open);
        });
    }
}

/// Receives on a link until it ends, or others need its room.
async fn keep_link<D, S>(cx: &Rc<Context<D, S>>, stream: tokio::net::TcpStream)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let account = cx.shared.memory().open_on_link(clock::now());
    let Ok(_held) = account.lease(LINK_BYTES).await else {
        return cx.metrics.decided(metrics::Decision::LinkRefused);
    };
    account.set_activity(Activity::Sending, clock::now());
    // The peer logs a lost link and opens it again.
    tokio::select! {
        result = receive(cx, &account, stream) => drop(result),
        _ = account.closing() => cx.metrics.decided(metrics::Decision::LinkRefused),
    }
}

async fn receive<D, S>(
    cx: &Rc<Context<D, S>>,
    account: &memory::Account,
    stream: tokio::net::TcpStream,
) -> eyre::Result<()>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let opening = async {
        let mut builder = h2::server::Builder::new();
        builder.max_header_list_size(MAX_HEAD_BYTES);
        if account.is_bounded() {
            builder.max_concurrent_streams(MAX_STREAMS);
        }
        let mut connection = builder.handshake(stream).await?;
        let first = connection.accept().await;
        Ok::<_, h2::Error>((connection, first))
    };
    let opened = tokio::time::timeout(OPENING_TIMEOUT, opening).await;
    let Ok(opened) = opened else {
        cx.metrics.decided(metrics::Decision::LinkRefused);
        eyre::bail!("no stream in time");
    };
    let (mut connection, mut next) = opened?;
    account.set_activity(Activity::Waiting, clock::now());
    while let Some(accepted) = next {
        let (req, mut respond) = accepted?;
        if let Some(form) = forwarding::Form::of_path(req.uri().path()) {
            let body = req.into_body();
            cx.shared.hand_over(forwarding::IncomingRequest {
                form,
                body,
                respond,
            });
            next = connection.accept().await;
            continue;
        }
        let features = peer::Feature::ALL.map(peer::Feature::as_str).join(",");
        let head = http::Response::builder().header(peer::FEATURES_HEADER, features);
        let answer = respond.send_response(head.body(())?, false)?;
        let cx = cx.clone();
        tokio::task::spawn_local(async move {
            let account = cx.shared.memory().open_on_link(clock::now());
            let result = tokio::select! {
                result = receive_messages(&cx, &account, req.into_body()) => result,
                _ = account.closing() => Err(eyre::eyre!("others need the memory")),
            };
            drop(answer);
            result
        });
        next = connection.accept().await;
    }
    Ok(())
}

/// Host at the other end of a link.
struct Sender {
    name: Arc<str>,
    /// Software versions for its next endpoint records.
    versions: HashMap<directory::Identity, directory::SoftwareVersion>,
    /// Epoch of the store that its revisions belong to, if it names one.
    epoch: Option<revision::Epoch>,
    /// Parts of a catalog.
    catalog: Assembly,
}

async fn receive_messages<D, S>(
    cx: &Rc<Context<D, S>>,
    account: &Arc<memory::Account>,
    mut body: h2::RecvStream,
) -> eyre::Result<()>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut decoder = codec::Decoder::new();
    let mut undecoded = memory::GrowingLease::new(account.clone());
    let mut unfinished = memory::GrowingLease::new(account.clone());
    let mut sender: Option<Sender> = None;
    let mut is_within_message = false;
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        let room = undecoded.reserve(decoder.len() + data.len()).await;
        room.map_err(|_| eyre::eyre!("no memory for a message"))?;
        decoder.extend(&data);
        while let Some(message) = decoder.take()? {
            match (message, &mut sender) {
                (
                    peer::Message::Hello {
                        host,
                        links,
                        domain,
                        up_ms,
                    },
                    _,
                ) => {
                    let domain = domain.to_string();
                    register_peer(cx, &host, HostEntry { links, domain }, up_ms);
                    sender = Some(Sender {
                        name: host,
                        versions: HashMap::new(),
                        epoch: None,
                        catalog: Assembly::new(),
                    });
                }
                (peer::Message::CatalogPart(part), Some(sender)) => {
                    let total = part.total as usize;
                    let room = unfinished.reserve(total.min(MAX_CATALOG_BYTES)).await;
                    room.map_err(|_| eyre::eyre!("no memory for a catalog"))?;
                    apply_catalog_part(cx, sender, &part);
                }
                (message, Some(sender)) => handle_message(cx, sender, message),
                (_, None) => eyre::bail!("message before the name of the sender"),
            }
        }
        is_within_message = note_progress(account, is_within_message, &decoder, data.len());
        if !is_within_message {
            undecoded.clear();
        }
        if let Some(sender) = &mut sender {
            sender.catalog.expire(clock::now());
        }
        if sender.as_ref().is_none_or(|s| s.catalog.is_empty()) {
            unfinished.clear();
        }
    }
    Ok(())
}

/// Notes bytes that have arrived. Returns whether they end within a message: only then a stream is closed
/// for others.
fn note_progress(
    account: &memory::Account,
    was_within_message: bool,
    decoder: &codec::Decoder,
    bytes: usize,
) -> bool {
    let is_within_message = !decoder.is_empty();
    match (was_within_message, is_within_message) {
        (true, true) => account.record_progress(bytes, clock::now()),
        (false, true) => account.set_activity(Activity::Sending, clock::now()),
        (true, false) => account.set_activity(Activity::Waiting, clock::now()),
        (false, false) => {}
    }
    is_within_message
}

/// Registers a host that opened a link to this one.
fn register_peer<D, S>(cx: &Context<D, S>, host: &Arc<str>, entry: HostEntry, up_ms: u32) {
    let up = Duration::from_millis(u64::from(up_ms));
    cx.max_peer_uptime.set(cx.max_peer_uptime.get().max(up));
    let links = entry.links;
    let now = clock::now();
    let is_new = cx
        .state
        .borrow_mut()
        .hosts
        .discover(host.clone(), entry, now);
    if is_new {
        cx.events.host_discovered(host, links);
    }
}

fn handle_message<D, S>(cx: &Rc<Context<D, S>>, sender: &mut Sender, message: peer::Message)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let name = &sender.name;
    let epoch = sender.epoch;
    let epoch = epoch.unwrap_or_else(|| cx.state.borrow().epochs.unnamed());
    match message {
        peer::Message::Hello { .. } => {}
        peer::Message::CatalogPart(part) => apply_catalog_part(cx, sender, &part),
        peer::Message::Status {
            known: version,
            store,
            loads,
        } => {
            let version = KnownVersions::from_message(version, epoch);
            apply_status(cx, name, version, store, loads);
        }
        peer::Message::Carried(loads) => {
            cx.state
                .borrow_mut()
                .load_reports
                .set_relayed_load(name, loads);
        }
        peer::Message::Holdings(parts) => {
            apply_cached_parts(cx, &parts);
        }
        peer::Message::Want(version) => {
            send_updates(cx, name, KnownVersions::from_message(version, epoch));
        }
        peer::Message::StoreEpoch(epoch) => {
            sender.epoch = Some(epoch);
            cx.note_epoch(epoch, sync::Reread::Due);
        }
        peer::Message::Catalog(content) => apply_catalog(cx, name, *content),
        peer::Message::Endpoints { complete, records } => {
            let versions = std::mem::take(&mut sender.versions);
            let source = events::Source::Host(name.clone());
            apply_endpoints(cx, (epoch, complete), records, (&versions, &source));
        }
        peer::Message::EndpointVersions(versions) => {
            let pairs = versions.into_iter().map(|v| (v.identity, v.version));
            sender.versions = pairs.collect();
        }
        message @ (peer::Message::StreamOrigins(_)
        | peer::Message::StreamBeginnings(_)
        | peer::Message::OriginClaim { .. }
        | peer::Message::OriginQuery { .. }
        | peer::Message::OriginAnswer { .. }) => handle_origins(cx, name, message),
        peer::Message::Quarantine(update) => {
            crash_evidence::apply_update(cx, name, update, &[]);
        }
        peer::Message::TimedQuarantine {
            update,
            sent_ages_ms,
        } => crash_evidence::apply_update(cx, name, update, &sent_ages_ms),
        peer::Message::EndpointLimits(records) => {
            endpoint_limits::apply_records(cx, name, &records);
        }
        peer::Message::EndpointDepartures(records) => {
            departures::apply_records(cx, name, &records);
        }
        peer::Message::KnowledgeQuery { asked_at_us, after } => {
            answer_knowledge(cx, name, asked_at_us, epoch.revision(after));
        }
        peer::Message::KnowledgeAnswer {
            asked_at_us,
            age_ms,
            last_change,
        } => apply_knowledge(cx, asked_at_us, age_ms, (epoch, last_change)),
        peer::Message::Evacuations(records) => {
            evacuations::apply_records(cx, (name, epoch), records);
        }
        peer::Message::ColdEndpoints(records) => {
            cold_endpoints::apply_records(cx, (name, epoch), &records);
        }
    }
}

/// Handles a message about where streams began.
fn handle_origins<D, S>(cx: &Rc<Context<D, S>>, name: &Arc<str>, message: peer::Message)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    match message {
        peer::Message::StreamOrigins(origins) => origins::apply_origins(cx, &origins),
        peer::Message::StreamBeginnings(records) => origins::apply_beginnings(cx, &records),
        peer::Message::OriginClaim { id, beginning } => {
            origins::apply_claim(cx, name, id, &beginning);
        }
        peer::Message::OriginQuery {
            id,
            stream,
            service,
            span_ms,
        } => {
            let span = Duration::from_millis(u64::from(span_ms));
            let query = streams::OriginQuery {
                stream,
                service,
                span,
            };
            let answer = origins::answer_host(cx.clone(), name.clone(), id, query);
            tokio::task::spawn_local(answer);
        }
        peer::Message::OriginAnswer { id, version } => {
            origins::apply_answer(cx, name, id, version);
        }
        // All others are the caller's.
        _ => {}
    }
}

fn apply_catalog<D, S>(cx: &Context<D, S>, sender: &Arc<str>, content: catalog::Content)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let decoded = verify::Decoded {
        content,
        findings: Vec::new(),
    };
    cx.apply_catalog(decoded, events::Source::Host(sender.clone()));
}

/// Adds a part of a catalog to those before it, and applies the catalog with its last part.
fn apply_catalog_part<D, S>(
    cx: &Context<D, S>,
    sender: &mut Sender,
    part: &catalog_parts::CatalogPart,
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let now = clock::now();
    match sender.catalog.add(part, now) {
        Ok(Some(content)) => apply_catalog(cx, &sender.name, content),
        Ok(None) => {
            // No other host is asked while one sends.
            let mut state = cx.state.borrow_mut();
            state.catalog_requests.insert(sender.name.clone(), now);
        }
        Err(e) => cx
            .events
            .catalog_parts_dropped(&sender.name, part.version, &e),
    }
}

/// Applies the status of another host.
fn apply_status<D, S>(
    cx: &Context<D, S>,
    sender: &Arc<str>,
    version: KnownVersions,
    store: peer::StoreHealth,
    loads: Option<Vec<load::EndpointLoad>>,
) {
    let now = clock::now();
    let before = |ms| now - Duration::from_millis(u64::from(ms));
    let mut state = cx.state.borrow_mut();
    state.record_status(sender, version, store, now);
    if let Some(loads) = loads {
        state.load_reports.set_own_load(sender, loads);
    }
    state
        .directory
        .apply_store_observation(directory::StoreObservation {
            answering_since: before(store.steady_ms),
            last_answered: before(store.answered_ms),
        });
    if version.catalog == state.state_version().catalog {
        cx.shared.confirm_catalog(before(store.catalog_age_ms));
    }
}

/// Applies endpoint records of another host, with the software versions that it stated.
fn apply_endpoints<D, S>(
    cx: &Context<D, S>,
    (epoch, complete): (revision::Epoch, revision::Revision),
    records: Vec<peer::EndpointRecord>,
    (versions, source): (
        &HashMap<directory::Identity, directory::SoftwareVersion>,
        &events::Source,
    ),
) where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut any = false;
    for record in records {
        let endpoint = record.endpoint.map(|mut endpoint| {
            endpoint.version = versions.get(&endpoint.identity).cloned();
            Arc::new(endpoint)
        });
        let revision = epoch.revision(record.revision);
        any |= sync::apply_endpoint(cx, &record.key, revision, endpoint, source);
    }
    let complete = epoch.revision(complete);
    cx.state.borrow_mut().directory.mark_complete(complete);
    if any {
        cx.publish();
    }
}

/// Tells a host up to when this one knows the endpoints, after the changes that it lacks.
fn answer_knowledge<D, S>(
    cx: &Context<D, S>,
    host: &Arc<str>,
    asked_at_us: u64,
    after: revision::StoredRevision,
) {
    let state = cx.state.borrow();
    let Some(outbox) = state.outboxes.get(host) else {
        return;
    };
    let answer = state.knowledge_answer(asked_at_us, clock::now());
    let Some(answer) = answer.filter(|_| state.directory.knows_removals_since(after)) else {
        return;
    };
    let mut messages = Vec::new();
    if state.directory.last_change() > after {
        messages.extend(newer_endpoints(&state, outbox, after));
    }
    messages.push(answer);
    send_in_order(outbox, messages);
}

/// Applies what another host knows of the endpoints, if this host has all changes that it knows.
fn apply_knowledge<D, S>(
    cx: &Context<D, S>,
    asked_at_us: u64,
    age_ms: u32,
    (epoch, last_change): (revision::Epoch, revision::Revision),
) {
    let state = cx.state.borrow();
    let is_of_earlier_epoch = epoch < state.epochs.current();
    if is_of_earlier_epoch || state.directory.complete_revision() < epoch.revision(last_change) {
        return;
    }
    drop(state);
    let asked_at = time::Time::from_micros(asked_at_us).min(clock::now());
    let age = Duration::from_millis(u64::from(age_ms));
    cx.confirm_endpoints(directory::KnownUpTo::by_host(asked_at, age));
}

/// Sends a host the catalog and the endpoints that are newer than its own.
fn send_updates<D, S>(cx: &Rc<Context<D, S>>, host: &Arc<str>, theirs: KnownVersions) {
    let state = cx.state.borrow();
    let Some(outbox) = state.outboxes.get(host) else {
        return;
    };
    if state.catalog.version() > theirs.catalog {
        outbox.request_catalog();
    }
    send_in_order(outbox, newer_endpoints(&state, outbox, theirs.endpoints));
}

/// Messages with the endpoints that are newer than a revision, each well within a frame. The receiver has all
/// changes once it has applied the last one.
fn newer_endpoints(
    state: &State,
    outbox: &Outbox,
    after: revision::StoredRevision,
) -> SmallVec<[peer::Message; 2]> {
    let epoch = state.epochs.current();
    let newer = state.directory.newer_than(after);
    let records = newer.map(|(key, record)| peer::EndpointRecord {
        key: key.clone(),
        revision: record.revision.within(epoch),
        endpoint: record.endpoint.as_deref().cloned(),
    });
    let not_complete = after.within(epoch);
    let mut messages = SmallVec::new();
    let mut chunk = Vec::new();
    let mut bytes = 0;
    let has_versions = outbox.has_feature(peer::Feature::StreamVersions);
    for record in records {
        let size = record_bytes(&record);
        if bytes + size > MAX_RECORDS_BYTES && !chunk.is_empty() {
            add_endpoints(
                &mut messages,
                has_versions,
                std::mem::take(&mut chunk),
                not_complete,
            );
            bytes = 0;
        }
        bytes += size;
        chunk.push(record);
    }
    let complete = state.directory.complete_revision_for(after).within(epoch);
    add_endpoints(&mut messages, has_versions, chunk, complete);
    messages
}

/// Upper bound of the encoded size of a record with its software version, in bytes.
fn record_bytes(record: &peer::EndpointRecord) -> usize {
    let texts = record.endpoint.as_ref().map_or(0, |endpoint| {
        let version = endpoint.version.as_ref();
        let version = version.map_or(0, |version| version.to_string().len());
        2 * endpoint.identity.id.len() + endpoint.service.len() + endpoint.domain.len() + version
    });
    RECORD_BYTES + record.key.len() + texts
}

/// Adds a message with records, behind one with their software versions if the receiver reads that.
fn add_endpoints(
    messages: &mut SmallVec<[peer::Message; 2]>,
    has_versions: bool,
    records: Vec<peer::EndpointRecord>,
    complete: revision::Revision,
) {
    if has_versions {
        let versions = records.iter().filter_map(endpoint_version);
        messages.push(peer::Message::EndpointVersions(versions.collect()));
    }
    messages.push(peer::Message::Endpoints { complete, records });
}

/// Queues messages up to the first that finds no room.
fn send_in_order<I>(outbox: &Outbox, messages: I)
where
    I: IntoIterator<Item = peer::Message>,
{
    for message in messages {
        // If the outbox is full, the link is stalled, and the host repeats its request later.
        // Endpoints must not arrive without their versions.
        if !outbox.try_send(message) {
            return;
        }
    }
}

/// Software version of the endpoint of a record, if it is known.
fn endpoint_version(record: &peer::EndpointRecord) -> Option<peer::EndpointVersion> {
    let endpoint = record.endpoint.as_ref()?;
    Some(peer::EndpointVersion {
        identity: endpoint.identity.clone(),
        version: endpoint.version.clone()?,
    })
}
