//! One attempt: sends a request to one endpoint and evaluates the answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, Version, header, response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use pistachiochute_core::retry::{AttemptFailure, Sends};
use pistachiochute_core::{entity, health, outcome, streams, time};
use pistachiochute_runtime::{clock, metrics};

use crate::adapter;
use crate::traffic::answer_end::AnswerEnd;
use crate::traffic::answer_head::AnswerHead;
use crate::traffic::collect::{CollectError, Pace};
use crate::traffic::opened_stream::{EndpointStream, OpenedStream, StreamSource};
use crate::traffic::plan::Plan;
use crate::traffic::{
    Context, answer_end, collect, endpoints, in_flight, isolation, memory, notices, pool, proofs,
    reply,
};

/// Largest answer that is buffered until it is complete, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Largest body of a refusal that is read so that its connection can be reused, in bytes.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// Time in which the body of a refusal must end.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time beyond the deadline of a request in which the endpoint's own answer to the missed deadline
/// is still accepted.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// A caller's request, prepared for endpoints.
#[derive(Debug)]
pub(super) struct OutgoingRequest {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Account of what is held for the request and its answer.
    pub account: Arc<memory::Account>,
    /// Lease on what the library holds of an answer beside its leased part.
    pub _read_ahead: memory::Held,
    /// Id of the request, by which its answer is matched.
    pub id: Bytes,
}

/// A complete answer of an endpoint.
pub(super) struct CompleteAnswer {
    pub head: AnswerHead,
    pub body: Bytes,
}

/// Result of an attempt.
pub(super) enum AttemptResult<D>
where
    D: adapter::Dialect,
{
    /// A complete answer for the caller.
    Complete(CompleteAnswer),
    /// The head of a stream for the caller, and the source of its events.
    Stream(AnswerHead, Box<OpenedStream<D>>),
    /// The answer of another host that refuses the request, which has not run.
    RefusedByHost(CompleteAnswer),
    /// No answer, or an answer that states a failure.
    Failed {
        failure: AttemptFailure,
        cause: String,
        /// Answer that states a failure, which the caller may get if no other attempt succeeds.
        answer: Option<CompleteAnswer>,
    },
}

impl<D> AttemptResult<D>
where
    D: adapter::Dialect,
{
    /// Short text for logs.
    pub(super) fn summary(&self) -> String {
        match self {
            Self::Complete(answer) => format!("answer {}", answer.head.status().as_u16()),
            Self::Stream(..) => "stream".to_owned(),
            Self::RefusedByHost(answer) => format!("refusal {}", answer.head.status().as_u16()),
            Self::Failed { failure, cause, .. } => format!("{}: {cause}", failure.as_str()),
        }
    }
}

/// Parameters of an attempt.
pub(super) struct Attempt<'a> {
    pub plan: &'a Plan,
    pub outgoing: &'a OutgoingRequest,
    pub selected: &'a endpoints::SelectedEndpoint,
    /// Takes note of what is sent.
    pub sends: &'a Sends,
    /// Id of the last stream event that the caller has received.
    pub after_event: Option<u64>,
    /// Software version that the endpoint must be proven to have, if the request resumes a stream.
    pub version: Option<streams::VersionTag>,
    /// Time without an answer after which the attempt fails, if the request can be sent elsewhere.
    pub stall_timeout: Option<Duration>,
}

pub(super) fn failed<D, C>(failure: AttemptFailure, cause: C) -> AttemptResult<D>
where
    D: adapter::Dialect,
    C: Into<String>,
{
    AttemptResult::Failed {
        failure,
        cause: cause.into(),
        answer: None,
    }
}

/// Runs one attempt, and reports its result to the health checks.
pub(super) async fn execute<D>(cx: &Rc<Context<D>>, attempt: &Attempt<'_>) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let now = clock::now();
    let remaining = attempt.plan.deadline.remaining(now).unwrap_or_default();
    let stall_timeout = attempt.stall_timeout.unwrap_or(Duration::MAX);
    let timeout = match stall_timeout < remaining {
        true => stall_timeout,
        false => remaining + DEADLINE_GRACE,
    };
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout(timeout, send_request(cx, attempt)) => {
            result.unwrap_or_else(|_| failed(AttemptFailure::Stalled, "no answer in time"))
        }
        () = loss_of_service(cx, attempt) => {
            failed(AttemptFailure::Stalled, "no endpoint of the service is reached")
        }
        () = isolation::count_as_unanswered(cx, attempt.selected) => unreachable!("waits for ever"),
    };
    observe_health(cx, attempt, &result);
    result
}

/// Waits until no endpoint of the service can be reached, if the request can then be sent elsewhere.
async fn loss_of_service<D>(cx: &Context<D>, attempt: &Attempt<'_>) {
    match attempt.plan.route.kind.is_idempotent() {
        true => cx.isolations.wait_for(&attempt.plan.service().name).await,
        false => std::future::pending().await,
    }
}

/// Reports the result of an attempt to the health checks.
fn observe_health<D>(cx: &Rc<Context<D>>, attempt: &Attempt<'_>, result: &AttemptResult<D>)
where
    D: adapter::Dialect,
{
    let observation = match result {
        AttemptResult::Complete(_)
        | AttemptResult::Stream(..)
        | AttemptResult::RefusedByHost(_) => health::Observation::Completed,
        AttemptResult::Failed { failure, .. } => match failure {
            AttemptFailure::NotSent => health::Observation::ConnectFailed,
            AttemptFailure::EndpointReplaced => health::Observation::Replaced,
            AttemptFailure::ConnectionLost | AttemptFailure::Stalled => {
                health::Observation::Stalled
            }
            AttemptFailure::AtLimit
            | AttemptFailure::Leaving
            | AttemptFailure::PushedBack
            | AttemptFailure::PermitExpired
            | AttemptFailure::Expired
            | AttemptFailure::Unproven
            | AttemptFailure::Refused
            | AttemptFailure::Failed
            | AttemptFailure::FalsePromise
            | AttemptFailure::InvalidAnswer => return,
        },
    };
    if matches!(
        observation,
        health::Observation::ConnectFailed | health::Observation::Stalled
    ) {
        isolation::record_failure(cx, attempt.selected);
    }
    let now = clock::now();
    cx.endpoints
        .borrow_mut()
        .observe_health(attempt.selected.choice.endpoint, observation, now);
}

async fn send_request<D>(cx: &Rc<Context<D>>, attempt: &Attempt<'_>) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let plan = attempt.plan;
    let prompt = plan.choice_request.prompt.as_ref();
    let in_flight = in_flight::InFlightRequest::start(cx, attempt.selected, prompt, clock::now());
    let at_most_once = !plan.route.kind.is_idempotent();
    let max = plan.service().max_connections;
    let hosts = cx.shared.view().hosts;
    let acquired = cx
        .pool
        .acquire(&attempt.selected.endpoint, at_most_once, max, hosts);
    let connection = match acquired.await {
        Ok(connection) => connection,
        Err(e @ pool::AcquireError::AtLimit) => {
            return failed(AttemptFailure::AtLimit, e.to_string());
        }
        Err(e) => {
            if e.is_timeout() {
                let id = attempt.selected.choice.endpoint;
                cx.endpoints
                    .borrow_mut()
                    .record_connect_timeout(id, clock::now());
            }
            return failed(AttemptFailure::NotSent, e.to_string());
        }
    };
    if connection.is_new() {
        isolation::record_connection(cx, &attempt.selected.endpoint.service);
    }
    let mut cleared = match proofs::clear(cx, attempt, connection).await {
        Ok(cleared) => cleared,
        Err(unusable) => return failed(unusable.failure, unusable.cause),
    };
    // Looked at here, after the last wait: the process may have been paused meanwhile.
    let Some(remaining) = plan.deadline.remaining(clock::now()) else {
        return failed(
            AttemptFailure::Expired,
            "the deadline passed before the request was sent",
        );
    };
    let req = match build_request(cx, attempt, remaining) {
        Ok(req) => req,
        Err(e) => return failed(AttemptFailure::NotSent, e.to_string()),
    };
    if let Some(failure) = withdrawn(cx, attempt.selected.choice.endpoint) {
        return failed(failure, "withdrawn while the host connected");
    }
    if !attempt.selected.permit.is_valid(clock::now()) {
        cx.metrics.decided(metrics::Decision::PermitExpired);
        return failed(
            AttemptFailure::PermitExpired,
            "the permit ran out while the host connected",
        );
    }
    let sent_at = clock::now();
    match cleared.connection.send(req, attempt.sends).await {
        Ok(answer) => {
            let answer = (answer, sent_at);
            evaluate_answer(cx, attempt, answer, cleared, in_flight).await
        }
        Err(mut e) => {
            let failure = match e.take_message() {
                Some(_) => AttemptFailure::NotSent,
                None => AttemptFailure::ConnectionLost,
            };
            let cause = e.into_error().to_string();
            if failure == AttemptFailure::ConnectionLost {
                report_broken_answer(
                    attempt,
                    &in_flight,
                    outcome::AnswerProgress::NotBegun,
                    &cause,
                );
            }
            failed(failure, cause)
        }
    }
}

/// Why an endpoint that was selected before takes no more requests, if it does not.
fn withdrawn<D>(cx: &Rc<Context<D>>, endpoint: entity::EndpointId) -> Option<AttemptFailure>
where
    D: adapter::Dialect,
{
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&cx.shared.view(), clock::now());
    endpoints.withdrawn(endpoint, clock::now())
}

/// Reports an answer that is not a stream and that its endpoint broke off.
fn report_broken_answer<D>(
    attempt: &Attempt<'_>,
    in_flight: &in_flight::InFlightRequest<D>,
    progress: outcome::AnswerProgress,
    cause: &str,
) where
    D: adapter::Dialect,
{
    let broken = in_flight::BrokenAnswer {
        progress,
        has_gone_on: false,
        cause,
    };
    in_flight.report_broken_answer(attempt.outgoing, attempt.plan.keys.all(), &broken);
}

/// Builds the request for the selected endpoint.
fn build_request<D>(
    cx: &Rc<Context<D>>,
    attempt: &Attempt<'_>,
    remaining: Duration,
) -> http::Result<Request<Full<Bytes>>>
where
    D: adapter::Dialect,
{
    let outgoing = attempt.outgoing;
    let mut req = Request::builder()
        .method(outgoing.method.clone())
        .uri(outgoing.target.clone())
        .body(Full::new(outgoing.body.clone()))?;
    *req.headers_mut() = outgoing.headers.clone();
    let call = adapter::CallMetadata {
        endpoint: &attempt.selected.endpoint,
        remaining,
        account: attempt.plan.account.as_deref(),
        priority: attempt
            .plan
            .choice_request
            .prompt
            .is_some()
            .then_some(attempt.plan.priority),
        after_event: attempt.after_event,
        copy_from: attempt.selected.copy_from,
    };
    cx.dialect.set_call_headers(req.headers_mut(), &call);
    Ok(req)
}

/// Records that an endpoint answered, and the load that it states, whatever else it says.
fn record_head<D>(cx: &Context<D>, attempt: &Attempt<'_>, head: &adapter::ResponseMetadata) {
    let id = attempt.selected.choice.endpoint;
    let now = clock::now();
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.record_answer(id, now);
    if let Some(load) = head.load {
        endpoints.record_reported_load(id, load, now);
    }
    drop(endpoints);
    isolation::record_answer(cx, &attempt.selected.endpoint.service);
}

/// Evaluates the head of the answer to a request that was sent at a point in time, and reads its body unless it is a
/// stream.
async fn evaluate_answer<D>(
    cx: &Rc<Context<D>>,
    attempt: &Attempt<'_>,
    (answer, sent_at): (Response<Incoming>, time::Time),
    cleared: proofs::ClearedConnection,
    in_flight: in_flight::InFlightRequest<D>,
) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let proofs::ClearedConnection {
        connection,
        version,
    } = cleared;
    let (mut parts, body) = answer.into_parts();
    let metadata = cx.dialect.response_metadata(&parts);
    record_head(cx, attempt, &metadata);
    if parts.version != Version::HTTP_11 {
        let endpoint = &attempt.selected.endpoint.identity;
        let said = (parts.version, parts.status);
        cx.events
            .answer_version(&attempt.outgoing.id, endpoint, said);
    }
    let answered = answered_request(&metadata, attempt.outgoing, &connection);
    let is_elsewhere = is_of_another_endpoint(parts.status, &metadata);
    if answered != AnsweredRequest::Unknown && !is_elsewhere {
        notices::record(cx, attempt.selected, &metadata);
    }
    if answered != AnsweredRequest::Own {
        return failed(AttemptFailure::InvalidAnswer, "answer to another request");
    }
    notices::record_limit(cx, attempt.selected, metadata.limit, in_flight.started());
    notices::record_admission(cx, attempt.selected, &metadata, in_flight.started());
    if is_elsewhere {
        return failed(
            AttemptFailure::EndpointReplaced,
            "another endpoint has the address",
        );
    }
    proofs::note_answer(cx, attempt, &connection, sent_at);
    if metadata.is_not_run {
        let cause = format!("refused with status {}", parts.status.as_u16());
        let id = attempt.selected.choice.endpoint;
        let idle_limit = idle_limit(&parts, &metadata);
        tokio::task::spawn_local(drain(cx.clone(), id, body, connection, idle_limit));
        return failed(AttemptFailure::Refused, cause);
    }
    if !metadata.is_sealed {
        return unsealed(parts.status);
    }
    cx.dialect.strip_internal_headers(&mut parts.headers);
    let idle_limit = idle_limit(&parts, &metadata);
    let framing = answer_end::framing(&attempt.outgoing.method, &parts);
    let head = match AnswerHead::of(parts, cx.dialect.end_to_end_headers()) {
        Ok(head) => head,
        Err(e) => return failed(AttemptFailure::InvalidAnswer, e.to_string()),
    };
    if head.status().is_success() && is_event_stream(head.headers()) {
        let source = StreamSource::Endpoint(EndpointStream {
            connected_at: connection.connected_at(),
            body,
            in_flight,
            connection: Some(connection),
            idle_limit,
            framing,
            version,
        });
        return AttemptResult::Stream(head, Box::new(OpenedStream::new(source)));
    }
    let body = AnswerBody {
        body,
        framing,
        connection,
        idle_limit,
    };
    let result = read_answer(cx, attempt, head, body).await;
    if let AttemptResult::Failed {
        failure: AttemptFailure::ConnectionLost,
        cause,
        ..
    } = &result
    {
        report_broken_answer(attempt, &in_flight, outcome::AnswerProgress::Begun, cause);
    }
    result
}

/// Whether another endpoint has answered, which the request is not meant for. Such a one has not run it, and
/// seals nothing.
fn is_of_another_endpoint(status: StatusCode, head: &adapter::ResponseMetadata) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST && (head.is_not_run || !head.is_sealed)
}

/// Result of an attempt whose answer bears no seal of its endpoint.
fn unsealed<D>(status: StatusCode) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let cause = format!("status {} without a seal", status.as_u16());
    match status.is_success() {
        true => failed(AttemptFailure::InvalidAnswer, cause),
        false => failed(AttemptFailure::Failed, cause),
    }
}

/// Request that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnsweredRequest {
    /// The request of the attempt.
    Own,
    /// An earlier one on the same connection, and thus of the same process.
    Earlier,
    /// Neither: the endpoint may not have made the answer.
    Unknown,
}

/// Request that an answer belongs to. On a reused connection, a late answer to an earlier request may
/// arrive first. The id of the answer must then match, as must any id on a new connection.
fn answered_request(
    head: &adapter::ResponseMetadata,
    outgoing: &OutgoingRequest,
    connection: &pool::Connection,
) -> AnsweredRequest {
    match &head.id {
        Some(id) if *id == outgoing.id => AnsweredRequest::Own,
        None if connection.is_new() => AnsweredRequest::Own,
        _ if connection.is_new() => AnsweredRequest::Unknown,
        _ => AnsweredRequest::Earlier,
    }
}

/// Body of an answer that is read as a whole.
struct AnswerBody {
    body: Incoming,
    framing: outcome::Framing,
    connection: pool::Connection,
    idle_limit: Option<Duration>,
}

/// Reads the body of a complete answer.
async fn read_answer<D>(
    cx: &Rc<Context<D>>,
    attempt: &Attempt<'_>,
    head: AnswerHead,
    answer: AnswerBody,
) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    let account = &attempt.outgoing.account;
    let reading = collect::collect(answer.body, account, MAX_ANSWER_BYTES, Pace::Unbounded);
    let body = match reading.await {
        Ok(body) => body,
        Err(CollectError::Body(e)) => {
            return failed(AttemptFailure::ConnectionLost, format!("body: {e}"));
        }
        // The endpoint has run the request, and is not to blame.
        Err(CollectError::NoRoom) => return failed(AttemptFailure::Failed, "body: no memory"),
        Err(CollectError::TooLarge | CollectError::Stalled) => {
            return failed(AttemptFailure::ConnectionLost, "body: too long");
        }
    };
    match AnswerEnd::of(answer.framing) {
        AnswerEnd::Framed => answer.connection.release(answer.idle_limit),
        AnswerEnd::ClosedByEndpoint if body.is_empty() => {
            return failed(AttemptFailure::ConnectionLost, "closed before its body");
        }
        AnswerEnd::ClosedByEndpoint => {
            let end = answer.connection.end_of_reading();
            // Makes room for the connection of the check.
            drop(answer.connection);
            let endpoint = &attempt.selected.endpoint;
            let max_connections = attempt.plan.service().max_connections;
            let proof = answer_end::check_life(cx, endpoint, max_connections, end).await;
            if let Err(e) = proof {
                return failed(AttemptFailure::ConnectionLost, e.to_string());
            }
        }
        AnswerEnd::Broken(cause) => return failed(AttemptFailure::ConnectionLost, cause),
    }
    let answer = CompleteAnswer { head, body };
    let failure = match answer.head.status() {
        // The endpoint did not say that it has not run the request.
        status if reply::implies_not_run(status) => AttemptFailure::FalsePromise,
        status if status.is_server_error() => AttemptFailure::Failed,
        _ => return AttemptResult::Complete(answer),
    };
    AttemptResult::Failed {
        failure,
        cause: format!("status {}", answer.head.status().as_u16()),
        answer: Some(answer),
    }
}

/// Reads and discards a body, so that its connection can be reused. A body that does not end is a
/// failure of the endpoint, and its connection is closed.
async fn drain<D>(
    cx: Rc<Context<D>>,
    endpoint: entity::EndpointId,
    body: Incoming,
    connection: pool::Connection,
    idle_limit: Option<Duration>,
) where
    D: adapter::Dialect,
{
    let reading = Limited::new(body, MAX_DRAINED_BYTES).collect();
    let result = tokio::time::timeout(DRAIN_TIMEOUT, reading).await;
    if matches!(result, Ok(Ok(_))) {
        return connection.release(idle_limit);
    }
    let stalled = health::Observation::Stalled;
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.observe_health(endpoint, stalled, clock::now());
}

/// Idle time after which the endpoint closes the connection of an answer, if it says so. One that it does not say to
/// keep as HTTP/1.1 does takes no other request.
fn idle_limit(parts: &response::Parts, metadata: &adapter::ResponseMetadata) -> Option<Duration> {
    match parts.version == Version::HTTP_11 && !closes_connection(&parts.headers) {
        true => metadata.idle_limit,
        false => Some(Duration::ZERO),
    }
}

fn closes_connection(headers: &HeaderMap) -> bool {
    reply::connection_tokens(headers).any(|token| token.eq_ignore_ascii_case("close"))
}

pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
