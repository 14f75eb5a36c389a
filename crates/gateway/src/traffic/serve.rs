//! Serves one request: reads and routes it, and answers the caller. [`attempts`] sends it to endpoints.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Uri, header, request};
use hyper::body::{Body as _, Incoming};
use pistachiochute_core::{outcome, reason, retry, streams, time};
use pistachiochute_runtime::clock;
use smallvec::SmallVec;

use crate::shared::Phase;
use crate::traffic::attempt::{CompleteAnswer, OutgoingRequest};
use crate::traffic::collect::{CollectError, Pace};
use crate::traffic::deliverable::DeliverableAnswer;
use crate::traffic::event_stream::{EventStream, RequestState};
use crate::traffic::plan::{Plan, plan};
use crate::traffic::reply::ReplyBody;
use crate::traffic::report::Report;
use crate::traffic::{
    Context, attempts, beginnings, collect, connection, forwarding, memory, pool, reply,
};
use crate::{adapter, shared};

/// Largest request body while there is no catalog, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest body that is read before anything else of its request is looked at, in bytes.
const SMALL_BODY_BYTES: u64 = 16 << 10;

/// Time in which the rest of a body that is not wanted is read and dropped, so that closing the
/// connection does not destroy the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time from the start of a host in which it expects its first state, from the store or other hosts.
/// Requests that come before wait for it.
const STARTUP_DURATION: Duration = Duration::from_millis(800);

/// Interval at which a waiting request looks for the first state.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time before the deadline of a graceful stop from which on streams are refused.
const MIN_TIME_FOR_STREAM: Duration = Duration::from_millis(4_700);

/// Time before the deadline of a graceful stop from which on calls are refused.
const MIN_TIME_FOR_CALL: Duration = Duration::from_millis(1_000);

/// Time before the deadline of a graceful stop at which requests without an answer get a final one.
const STOP_ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// Interval at which a request looks for the deadline of a stop that has just begun.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves a request.
pub(super) async fn serve<D>(
    cx: Rc<Context<D>>,
    connection: Rc<connection::Connection>,
    req: Request<Incoming>,
) -> Result<Response<ReplyBody<D>>, Infallible>
where
    D: adapter::Dialect,
{
    let mut report = Report::new(&cx, connection, clock::now());
    let (head, body) = req.into_parts();
    let must_close = report.connection().is_too_far_ahead();
    let origin = forwarding::Origin::Caller;
    let mut response = match receive(&cx, &mut report, &head, body).await {
        Ok((admitted, body)) => answer_request(&cx, report, admitted, origin, head, body).await,
        Err(reason) => refuse(report, reason),
    };
    if cx.shared.phase() > Phase::Serving || must_close {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Serves a request that another host has passed on.
pub(super) async fn serve_forwarded<D>(
    cx: &Rc<Context<D>>,
    head: request::Parts,
    (body, account): (Bytes, Arc<memory::Account>),
    origin: forwarding::Origin,
) -> Response<ReplyBody<D>>
where
    D: adapter::Dialect,
{
    let (number, connection) = cx.connections.add(account, clock::now());
    let mut report = Report::new(cx, connection, clock::now());
    report.record_from_host();
    let response = match cx.shared.phase() > Phase::Serving {
        true => refuse(report, reason::Refusal::Draining),
        false => match admit(cx, &mut report, &head, &body, origin) {
            Ok(admitted) => answer_request(cx, report, admitted, origin, head, body).await,
            Err(reason) => refuse(report, reason),
        },
    };
    cx.connections.remove(number);
    response
}

/// Largest body of a request, in bytes.
pub(super) fn max_body_bytes(view: &shared::View) -> usize {
    view.catalog.as_ref().map_or(DEFAULT_MAX_BODY_BYTES, |c| {
        c.content().limits.max_body_bytes
    })
}

/// A request that is to be sent to endpoints.
struct Admitted {
    plan: Plan,
    metadata: adapter::RequestMetadata,
}

/// Reads and routes a request. The rest of a body that is not wanted is dropped for some time, since
/// closing a connection with unread bytes resets it, which may destroy the answer in transit.
async fn receive<D>(
    cx: &Rc<Context<D>>,
    report: &mut Report<D>,
    head: &request::Parts,
    mut body: Incoming,
) -> Result<(Admitted, Bytes), reason::Refusal>
where
    D: adapter::Dialect,
{
    wait_for_first_state(cx).await;
    let max = max_body_bytes(&cx.shared.view());
    let refusal = match read_body(cx, report, head, &mut body, max).await {
        Ok(bytes) => {
            report.connection().request_read();
            let admitted = admit(cx, report, head, &bytes, forwarding::Origin::Caller)?;
            return Ok((admitted, bytes));
        }
        Err(refusal) => refusal,
    };
    let waits_for_leave = head.headers.contains_key(header::EXPECT);
    if refusal != reason::Refusal::BodyTruncated && !waits_for_leave {
        let discarding = collect::discard(body, max);
        drop(tokio::time::timeout(DISCARD_TIMEOUT, discarding).await);
    }
    Err(refusal)
}

/// Reads the body of a request. A large one is only read if the request is allowed.
async fn read_body<D>(
    cx: &Rc<Context<D>>,
    report: &Report<D>,
    head: &request::Parts,
    body: &mut Incoming,
    max: usize,
) -> Result<Bytes, reason::Refusal>
where
    D: adapter::Dialect,
{
    if report.connection().is_too_far_ahead() {
        return Err(reason::Refusal::SentAhead);
    }
    if body
        .size_hint()
        .upper()
        .is_none_or(|size| size > SMALL_BODY_BYTES)
    {
        let arrived = report.arrived();
        let metadata = cx.dialect.request_metadata(head)?;
        let age = cx.shared.catalog_age(arrived);
        plan(&cx.shared.view(), age, head, &metadata, &[], arrived)?;
    }
    let account = report.connection().account();
    let pace = Pace::Caller(clock::now() + BODY_TIMEOUT);
    let reading = collect::collect(body, account, max, pace);
    reading.await.map_err(|e| match e {
        CollectError::TooLarge => reason::Refusal::BodyTooLarge,
        CollectError::NoRoom => reason::Refusal::MemoryShort,
        CollectError::Stalled | CollectError::Body(_) => reason::Refusal::BodyTruncated,
    })
}

/// Routes a request and decides whether it is sent to endpoints.
fn admit<D>(
    cx: &Rc<Context<D>>,
    report: &mut Report<D>,
    head: &request::Parts,
    body: &[u8],
    origin: forwarding::Origin,
) -> Result<Admitted, reason::Refusal>
where
    D: adapter::Dialect,
{
    let view = cx.shared.view().clone();
    let mut metadata = cx.dialect.request_metadata(head)?;
    report.set_id(&metadata.id);
    let arrived = report.arrived();
    if let forwarding::Origin::Host(terms) = origin {
        apply_terms(&view, &terms, &mut metadata, arrived)?;
    }
    let age = cx.shared.catalog_age(arrived);
    let mut plan = plan(&view, age, head, &metadata, body, arrived)?;
    if let forwarding::Origin::Host(terms) = origin {
        plan.route.max_attempts = plan.route.max_attempts.min(terms.attempts);
    }
    report.record_plan(&plan);
    if !fits_before_stop(cx, &plan, arrived) {
        return Err(reason::Refusal::Draining);
    }
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&view, arrived);
    // The host that took the request from its caller has counted it.
    if origin == forwarding::Origin::Caller {
        let service = plan.service().name.clone();
        endpoints.budget(&service, view.hosts).deposit();
    }
    Ok(Admitted { plan, metadata })
}

/// Applies the terms of another host to a request.
fn apply_terms(
    view: &shared::View,
    terms: &forwarding::Terms,
    metadata: &mut adapter::RequestMetadata,
    now: time::Time,
) -> Result<(), reason::Refusal> {
    let version = view.catalog.as_ref().map(|catalog| catalog.version());
    // With an older catalog, this host would serve what the other one knows to be withdrawn.
    if version < Some(terms.catalog) {
        return Err(reason::Refusal::NotReady);
    }
    metadata.timeout = Some(terms.deadline.since(now));
    if terms.after_event.is_some() {
        metadata.after_event = terms.after_event;
        metadata.resumes.get_or_insert_with(|| metadata.id.clone());
    }
    Ok(())
}

/// Waits until a host that has just started can serve, but not beyond [`STARTUP_DURATION`].
async fn wait_for_first_state<D>(cx: &Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    let is_starting = || clock::now().since(cx.started) < STARTUP_DURATION;
    while !cx.shared.view().can_serve() && is_starting() {
        tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Whether a request can be expected to end before the deadline of a graceful stop, if one runs.
fn fits_before_stop<D>(cx: &Rc<Context<D>>, plan: &Plan, now: time::Time) -> bool
where
    D: adapter::Dialect,
{
    let min_time = match plan.route.kind.is_stream() {
        true => MIN_TIME_FOR_STREAM,
        false => MIN_TIME_FOR_CALL,
    };
    cx.stop_deadline
        .get()
        .is_none_or(|end| end.since(now) >= min_time)
}

/// Sends a request to endpoints and creates the answer for the caller.
async fn answer_request<D>(
    cx: &Rc<Context<D>>,
    mut report: Report<D>,
    Admitted { plan, metadata }: Admitted,
    origin: forwarding::Origin,
    mut head: request::Parts,
    body: Bytes,
) -> Response<ReplyBody<D>>
where
    D: adapter::Dialect,
{
    let stream = stream_key(&metadata);
    let resumes = plan.route.kind.is_stream() && metadata.resumes_stream();
    let version = match origin.version() {
        Some(version) => Some(version),
        None if resumes => match beginnings::resumed_version(cx, &plan, stream).await {
            Ok(version) => Some(version),
            Err(reason) => return refuse(report, reason),
        },
        None => None,
    };
    let account = report.connection().account().clone();
    let Ok(read_ahead) = account.lease(pool::READ_AHEAD_BYTES).await else {
        let reason = reason::Refusal::MemoryShort;
        return refuse(report, reason);
    };
    let end_to_end = cx.dialect.end_to_end_headers();
    reply::strip_connection_headers(&mut head.headers, end_to_end);
    let outgoing = outgoing_request(head, body, (account, read_ahead), &metadata);
    let sends = report.sends().clone();
    let attempts = retry::Attempts::of(sends, plan.route.kind, plan.route.max_attempts);
    let mut state = Box::new(RequestState {
        cx: cx.clone(),
        plan,
        outgoing,
        attempts,
        tried: SmallVec::new(),
        stream: stream.unwrap_or_else(|| streams::StreamKey::of_request(&metadata.id)),
        version,
        origin,
        asked: SmallVec::new(),
        is_out_of_reach: false,
        place: None,
    });
    let after_event = metadata.after_event;
    let answer = tokio::select! {
        biased;
        answer = attempts::attempt_until_answer(&mut state, after_event, Some(&mut report)) => answer,
        () = stop_deadline_is_near(cx) => attempts::FinalAnswer::Refused(reason::Refusal::Draining),
    };
    match answer {
        attempts::FinalAnswer::Complete(answer) => complete(report, answer),
        attempts::FinalAnswer::Stream(head, opened) => {
            report.record_answer(head.status().as_u16());
            report.connection().stream_began(state.plan.deadline.at());
            let stream = EventStream::new(state, opened, after_event, report);
            head.into_response(ReplyBody::Stream(Box::pin(stream)))
        }
        attempts::FinalAnswer::RefusedByHost(answer) => pass_refusal(report, answer),
        attempts::FinalAnswer::Refused(reason) => refuse(report, reason),
    }
}

/// Waits until a graceful stop is about to cut off what remains.
async fn stop_deadline_is_near<D>(cx: &Rc<Context<D>>)
where
    D: adapter::Dialect,
{
    let mut phases = cx.shared.subscribe_phase();
    // Does not fail: the sender lives as long as the context.
    drop(phases.wait_for(|phase| *phase >= Phase::Leaving).await);
    let deadline = loop {
        match cx.stop_deadline.get() {
            Some(deadline) => break deadline,
            None => tokio::time::sleep(STOP_POLL_INTERVAL).await,
        }
    };
    let remaining = deadline.since(clock::now());
    tokio::time::sleep(remaining.saturating_sub(STOP_ANSWER_RESERVE)).await;
}

/// Key of the stream that a request resumes or begins, or `None` if it resumes a stream without
/// naming it.
fn stream_key(metadata: &adapter::RequestMetadata) -> Option<streams::StreamKey> {
    let first_id = match metadata.resumes_stream() {
        true => metadata.resumes.as_ref()?,
        false => &metadata.id,
    };
    Some(streams::StreamKey::of_request(first_id))
}

/// Prepares the parts of a request that are the same for all attempts.
fn outgoing_request(
    mut head: request::Parts,
    body: Bytes,
    (account, read_ahead): (Arc<memory::Account>, memory::Held),
    metadata: &adapter::RequestMetadata,
) -> OutgoingRequest {
    for name in [header::CONTENT_LENGTH, header::EXPECT] {
        head.headers.remove(name);
    }
    let target = head.uri.path_and_query().cloned();
    OutgoingRequest {
        method: head.method,
        target: target.map_or_else(|| Uri::from_static("/"), Uri::from),
        headers: head.headers,
        body,
        account,
        _read_ahead: read_ahead,
        id: metadata.id.clone(),
    }
}

fn complete<D>(mut report: Report<D>, answer: DeliverableAnswer) -> Response<ReplyBody<D>>
where
    D: adapter::Dialect,
{
    report.record_answer(answer.status().as_u16());
    report.record_events(0);
    report.finish("whole");
    answer.into_response()
}

/// Answer to a request that another host refuses. That host knows only of what it was sent itself.
fn pass_refusal<D>(mut report: Report<D>, answer: CompleteAnswer) -> Response<ReplyBody<D>>
where
    D: adapter::Dialect,
{
    if report.sends().outcome() != outcome::Outcome::NotRun {
        return refuse(report, reason::Refusal::NoEndpoint);
    }
    report.record_refusal_of_host(answer.head.status().as_u16());
    report.finish("refused by another host");
    answer.head.into_response(reply::full_body(answer.body))
}

fn refuse<D>(mut report: Report<D>, reason: reason::Refusal) -> Response<ReplyBody<D>>
where
    D: adapter::Dialect,
{
    let response = reply::refusal(reason, report.sends(), report.retry_after(reason));
    report.record_refusal(reason, response.status().as_u16());
    report.finish("refused");
    response
}
