//! One attempt: a request is sent to one endpoint, and its answer is judged.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header, response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use pistachiochute_core::health;
use pistachiochute_core::retry::AttemptFailure;
use pistachiochute_runtime::clock;

use crate::adapter;
use crate::traffic::plan::Plan;
use crate::traffic::{Context, fleet, pool, reply};

/// Largest answer that is held until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 16 << 20;

/// Grace beyond the deadline of a request for the endpoint's own word on it.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// A caller's request, ready to be sent.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Id of the request.
    pub id: Bytes,
}

/// A whole answer of an endpoint.
pub(super) struct Whole {
    pub parts: response::Parts,
    pub body: Bytes,
}

/// A stream that an endpoint has begun.
pub(super) struct Opened<D>
where
    D: adapter::Dialect,
{
    pub body: Incoming,
    pub in_progress: fleet::InProgress<D>,
    pub connection: pool::Connection,
    pub idle_limit: Option<Duration>,
}

/// How an attempt went.
pub(super) enum Exchanged<D>
where
    D: adapter::Dialect,
{
    /// A whole answer for the caller.
    Whole(Whole),
    /// The head of a stream for the caller, and where its events come from.
    Stream(response::Parts, Box<Opened<D>>),
    /// No answer for the caller, or one that says that the endpoint failed.
    Ended {
        ending: AttemptFailure,
        cause: String,
        /// The endpoint's own answer, which the caller gets if there is no other.
        failure: Option<Whole>,
    },
}

/// Where and how a request is sent.
pub(super) struct Attempt<'a> {
    pub plan: &'a Plan,
    pub outgoing: &'a Outgoing,
    pub chosen: &'a fleet::Chosen,
    /// Id of the last event that the caller has already.
    pub after_event: Option<u64>,
    /// Time after which silence counts as a failure, if the request can be repeated.
    pub stall: Option<Duration>,
}

fn ended<D, C>(ending: AttemptFailure, cause: C) -> Exchanged<D>
where
    D: adapter::Dialect,
    C: Into<String>,
{
    Exchanged::Ended {
        ending,
        cause: cause.into(),
        failure: None,
    }
}

/// Makes one attempt.
pub(super) async fn exchange<D>(cx: &Rc<Context<D>>, attempt: &Attempt<'_>) -> Exchanged<D>
where
    D: adapter::Dialect,
{
    let now = clock::now();
    let left = attempt.plan.deadline.since(now);
    let limit = attempt.stall.unwrap_or(Duration::MAX);
    let result = match limit < left {
        true => tokio::time::timeout(limit, exchange_in(cx, attempt, left)).await,
        false => tokio::time::timeout(left + DEADLINE_GRACE, exchange_in(cx, attempt, left)).await,
    };
    let exchanged = result.unwrap_or_else(|_| ended(AttemptFailure::Stalled, "no answer in time"));
    sign(cx, attempt, &exchanged);
    exchanged
}

/// Tells the health checks how the attempt went.
fn sign<D>(cx: &Rc<Context<D>>, attempt: &Attempt<'_>, exchanged: &Exchanged<D>)
where
    D: adapter::Dialect,
{
    let sign = match exchanged {
        Exchanged::Whole(_) | Exchanged::Stream(..) => health::Observation::Completed,
        Exchanged::Ended { ending, .. } => match ending {
            AttemptFailure::NotSent => health::Observation::ConnectFailed,
            AttemptFailure::EndpointReplaced => health::Observation::Replaced,
            AttemptFailure::ConnectionLost | AttemptFailure::Stalled => {
                health::Observation::Stalled
            }
            AttemptFailure::AtLimit
            | AttemptFailure::Refused
            | AttemptFailure::Failed
            | AttemptFailure::InvalidAnswer => return,
        },
    };
    let now = clock::now();
    cx.fleet
        .borrow_mut()
        .sign(attempt.chosen.choice.endpoint, sign, now);
}

async fn exchange_in<D>(cx: &Rc<Context<D>>, attempt: &Attempt<'_>, left: Duration) -> Exchanged<D>
where
    D: adapter::Dialect,
{
    let plan = attempt.plan;
    let prompt = plan.need.prompt.as_ref();
    let in_progress = fleet::InProgress::begin(cx, &attempt.chosen.choice, prompt, clock::now());
    let at_most_once = !plan.route.kind.is_idempotent();
    let max = plan.service().max_connections;
    let hosts = cx.shared.view().hosts;
    let taken = cx
        .pool
        .take(&attempt.chosen.endpoint, at_most_once, max, hosts);
    let mut connection = match taken.await {
        Ok(connection) => connection,
        Err(e @ pool::NoConnection::AtLimit) => {
            return ended(AttemptFailure::AtLimit, e.to_string());
        }
        Err(e) => return ended(AttemptFailure::NotSent, e.to_string()),
    };
    let req = match request(cx, attempt, left) {
        Ok(req) => req,
        Err(e) => return ended(AttemptFailure::NotSent, e.to_string()),
    };
    match connection.sender().try_send_request(req).await {
        Ok(answer) => judge(cx, attempt, answer, connection, in_progress).await,
        Err(mut e) => {
            let ending = match e.take_message() {
                Some(_) => AttemptFailure::NotSent,
                None => AttemptFailure::ConnectionLost,
            };
            ended(ending, e.into_error().to_string())
        }
    }
}

/// The request as the endpoint gets it.
fn request<D>(
    cx: &Rc<Context<D>>,
    attempt: &Attempt<'_>,
    left: Duration,
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
        endpoint: &attempt.chosen.endpoint,
        remaining: left,
        account: attempt.plan.account.as_deref(),
        priority: attempt
            .plan
            .need
            .prompt
            .is_some()
            .then_some(attempt.plan.priority),
        after_event: attempt.after_event,
        copy_from: attempt.chosen.copy_from,
    };
    cx.dialect.set_call_headers(req.headers_mut(), &call);
    Ok(req)
}

/// Judges the head of an answer, and takes in its body unless it is a stream.
async fn judge<D>(
    cx: &Rc<Context<D>>,
    attempt: &Attempt<'_>,
    answer: Response<Incoming>,
    connection: pool::Connection,
    in_progress: fleet::InProgress<D>,
) -> Exchanged<D>
where
    D: adapter::Dialect,
{
    let (mut parts, body) = answer.into_parts();
    let head = cx.dialect.response_metadata(&parts);
    if let Some(load) = head.load {
        let now = clock::now();
        cx.fleet
            .borrow_mut()
            .stated(attempt.chosen.choice.endpoint, load, now);
    }
    // A late answer to an earlier request may stand where this one is due.
    let may_be_late = head.id.is_some() || !connection.is_new();
    if may_be_late && head.id.as_ref() != Some(&attempt.outgoing.id) {
        return ended(AttemptFailure::InvalidAnswer, "answer to another request");
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return ended(
            AttemptFailure::EndpointReplaced,
            "another endpoint has the address",
        );
    }
    if head.is_not_run {
        let cause = format!("refused with status {}", parts.status.as_u16());
        drain(body, connection, head.idle_limit).await;
        return ended(AttemptFailure::Refused, cause);
    }
    if !head.is_sealed {
        let cause = format!("status {} without a seal", parts.status.as_u16());
        return match parts.status.is_success() {
            true => ended(AttemptFailure::InvalidAnswer, cause),
            false => ended(AttemptFailure::Failed, cause),
        };
    }
    cx.dialect.strip_internal_headers(&mut parts.headers);
    let closes = closes(&parts.headers);
    reply::strip_connection_headers(&mut parts.headers);
    let idle_limit = if closes {
        Some(Duration::ZERO)
    } else {
        head.idle_limit
    };
    if parts.status.is_success() && is_event_stream(&parts.headers) {
        let opened = Opened {
            body,
            in_progress,
            connection,
            idle_limit,
        };
        return Exchanged::Stream(parts, Box::new(opened));
    }
    collect(parts, body, connection, idle_limit).await
}

/// Takes in a whole answer.
async fn collect<D>(
    mut parts: response::Parts,
    body: Incoming,
    connection: pool::Connection,
    idle_limit: Option<Duration>,
) -> Exchanged<D>
where
    D: adapter::Dialect,
{
    let body = match Limited::new(body, MAX_WHOLE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return ended(AttemptFailure::ConnectionLost, format!("body: {e}")),
    };
    connection.keep(idle_limit);
    // The library states the length of what it sends.
    parts.headers.remove(header::CONTENT_LENGTH);
    let whole = Whole { parts, body };
    if whole.parts.status.is_server_error() {
        let cause = format!("status {}", whole.parts.status.as_u16());
        return Exchanged::Ended {
            ending: AttemptFailure::Failed,
            cause,
            failure: Some(whole),
        };
    }
    Exchanged::Whole(whole)
}

/// Reads a body that nobody needs, so that its connection can be kept.
async fn drain(body: Incoming, connection: pool::Connection, idle_limit: Option<Duration>) {
    const MAX_DRAINED_BYTES: usize = 64 << 10;
    if Limited::new(body, MAX_DRAINED_BYTES)
        .collect()
        .await
        .is_ok()
    {
        connection.keep(idle_limit);
    }
}

fn closes(headers: &HeaderMap) -> bool {
    reply::connection_tokens(headers).any(|token| token.eq_ignore_ascii_case("close"))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
