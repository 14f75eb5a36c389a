//! Serves one request: plan, attempts, answer.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Uri, header, request, response};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use pistachiochute_core::{catalog, outcome, reason, retry, time};
use pistachiochute_runtime::clock;
use smallvec::SmallVec;

use crate::shared::Phase;
use crate::traffic::exchange::{Attempt, Exchanged, Opened, Outgoing, Whole};
use crate::traffic::plan::{Plan, plan};
use crate::traffic::relay::{Cut, Origin, Relay};
use crate::traffic::reply::Reply;
use crate::traffic::report::Report;
use crate::traffic::{Context, exchange, fleet, reply};
use crate::{adapter, events};

/// Largest body if no catalog is in force, in bytes.
const DEFAULT_BODY_BYTES: usize = 4 << 20;

/// Time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Part of its target latency after which an idempotent call without an answer is sent to
/// another endpoint.
const CALL_STALL: f64 = 0.6;

/// Multiple of its target latency after which a resumable stream without a head is begun at
/// another endpoint.
const STREAM_STALL: f64 = 2.5;

/// Time before the end of a stopping host from which on it takes no streams.
const STOPPING_STREAM: Duration = Duration::from_millis(4_600);

/// Time before the end of a stopping host from which on it takes no calls.
const STOPPING_CALL: Duration = Duration::from_millis(1_000);

/// Serves a request.
pub(super) async fn serve<D>(
    cx: Rc<Context<D>>,
    req: Request<Incoming>,
) -> Result<Response<Reply<D>>, Infallible>
where
    D: adapter::Dialect,
{
    let mut report = Report::new(&cx, clock::now());
    let (head, body) = req.into_parts();
    let mut response = match receive(&cx, &mut report, &head, body).await {
        Ok((plan, metadata, body)) => run(&cx, report, plan, &metadata, head, body).await,
        Err(reason) => refuse(report, reason, outcome::Outcome::NotRun),
    };
    if cx.shared.phase() > Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Reads a whole request and plans it. The body is read in any case, since closing a connection
/// with unread bytes may destroy the answer on its way.
async fn receive<D>(
    cx: &Rc<Context<D>>,
    report: &mut Report<D>,
    head: &request::Parts,
    body: Incoming,
) -> Result<(Plan, adapter::RequestMetadata, Bytes), reason::Refusal>
where
    D: adapter::Dialect,
{
    let view = cx.shared.view().clone();
    let max = view
        .catalog
        .as_ref()
        .map_or(DEFAULT_BODY_BYTES, |c| c.content().limits.max_body_bytes);
    let reading = Limited::new(body, max).collect();
    let body = match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err(reason::Refusal::BodyTooLarge);
        }
        Ok(Err(_)) | Err(_) => return Err(reason::Refusal::BodyTruncated),
    };
    let metadata = cx.dialect.request_metadata(head)?;
    report.identify(&metadata.id);
    let age = cx.shared.catalog_age(report.arrived());
    let plan = plan(&view, age, head, &metadata, report.arrived())?;
    report.planned(&plan);
    if !can_finish(cx, &plan, report.arrived()) {
        return Err(reason::Refusal::Draining);
    }
    let mut fleet = cx.fleet.borrow_mut();
    fleet.follow(&view);
    let service = plan.service().name.clone();
    fleet.budget(&service, view.hosts).deposit();
    Ok((plan, metadata, body))
}

/// Whether a host that stops can expect to finish a request before its end.
fn can_finish<D>(cx: &Rc<Context<D>>, plan: &Plan, now: time::Time) -> bool
where
    D: adapter::Dialect,
{
    let needed = match plan.route.kind.is_stream() {
        true => STOPPING_STREAM,
        false => STOPPING_CALL,
    };
    cx.ends.get().is_none_or(|end| end.since(now) >= needed)
}

/// Makes attempts until one gives an answer or none is left.
async fn run<D>(
    cx: &Rc<Context<D>>,
    mut report: Report<D>,
    plan: Plan,
    metadata: &adapter::RequestMetadata,
    head: request::Parts,
    body: Bytes,
) -> Response<Reply<D>>
where
    D: adapter::Dialect,
{
    let outgoing = outgoing(head, body, metadata);
    let attempts = retry::Attempts::new(plan.route.kind, plan.route.max_attempts);
    let mut origin = Box::new(Origin {
        cx: cx.clone(),
        plan,
        outgoing,
        attempts,
        tried: SmallVec::new(),
    });
    let after = metadata.after_event;
    match attempt_until_answer(&mut origin, after, Some(&mut report)).await {
        Answer::Whole(answer) => deliver(report, answer),
        Answer::Stream(parts, opened) => {
            let mut response = Response::from_parts(parts, ());
            response.headers_mut().remove(header::CONTENT_LENGTH);
            report.answered(response.status().as_u16());
            let relay = Relay::new(origin, opened, after, report);
            response.map(|()| Reply::Stream(Box::pin(relay)))
        }
        Answer::None { reason, outcome } => refuse(report, reason, outcome),
    }
}

/// What the attempts at a request gave.
enum Answer<D>
where
    D: adapter::Dialect,
{
    Whole(Whole),
    Stream(response::Parts, Box<Opened<D>>),
    None {
        reason: reason::Refusal,
        outcome: outcome::Outcome,
    },
}

/// Sends a request to one endpoint after another, as far as that is allowed. `report` is `None` for
/// a stream that is resumed, whose answer has begun already.
async fn attempt_until_answer<D>(
    origin: &mut Box<Origin<D>>,
    after_event: Option<u64>,
    mut report: Option<&mut Report<D>>,
) -> Answer<D>
where
    D: adapter::Dialect,
{
    let cx = origin.cx.clone();
    // The last failure that an endpoint answered, which is better than none of our own.
    let mut failed: Option<Whole> = None;
    loop {
        let now = clock::now();
        let outcome = origin.attempts.outcome();
        if now >= origin.plan.deadline {
            return give_up(origin, failed, reason::Refusal::Deadline, outcome);
        }
        let Some(chosen) = choose(&cx, origin, now) else {
            return give_up(origin, failed, reason::Refusal::NoEndpoint, outcome);
        };
        origin.tried.push(chosen.choice.endpoint);
        if let Some(report) = &mut report {
            report.tries(&chosen);
        }
        let stall = stall(&cx, origin);
        let attempt = Attempt {
            plan: &origin.plan,
            outgoing: &origin.outgoing,
            chosen: &chosen,
            after_event,
            stall,
        };
        let (ending, cause, failure) = match exchange::exchange(&cx, &attempt).await {
            Exchanged::Whole(whole) => return Answer::Whole(whole),
            Exchanged::Stream(parts, opened) => return Answer::Stream(parts, opened),
            Exchanged::Ended {
                ending,
                cause,
                failure,
            } => (ending, cause, failure),
        };
        failed = failure.or(failed);
        let next = next(&cx, origin, ending);
        log_attempt(&cx, origin, &chosen, (ending, &cause, next));
        match next {
            retry::Next::Retry(reason) => cx.metrics.retried(reason),
            retry::Next::GiveUp { reason, outcome } => {
                return give_up(origin, failed, reason, outcome);
            }
        }
    }
}

/// The last answer: the endpoint's own failure if there is one, else a refusal.
fn give_up<D>(
    origin: &Origin<D>,
    failure: Option<Whole>,
    reason: reason::Refusal,
    outcome: outcome::Outcome,
) -> Answer<D>
where
    D: adapter::Dialect,
{
    let Some(failure) = failure else {
        return Answer::None { reason, outcome };
    };
    match reply::promises_not_run(failure.parts.status) && !origin.plan.route.kind.is_idempotent() {
        true => Answer::None { reason, outcome },
        false => Answer::Whole(failure),
    }
}

/// Chooses the endpoint of the next attempt by what is known now.
fn choose<D>(cx: &Rc<Context<D>>, origin: &Origin<D>, now: time::Time) -> Option<fleet::Chosen>
where
    D: adapter::Dialect,
{
    let mut fleet = cx.fleet.borrow_mut();
    fleet.follow(&cx.shared.view());
    fleet.apply_remote_cached_parts(&cx.shared, now);
    let others = cx.shared.remote_loads();
    let service = &origin.plan.service().name;
    fleet.choose(service, &origin.plan.need, &others, &origin.tried, now)
}

/// Time after which silence of an endpoint counts as a failure.
fn stall<D>(cx: &Rc<Context<D>>, origin: &Origin<D>) -> Option<Duration>
where
    D: adapter::Dialect,
{
    let route = &origin.plan.route;
    let service = &origin.plan.service().name;
    let is_last = origin.attempts.count() + 1 >= route.max_attempts;
    if is_last || !cx.fleet.borrow().has_other(service, &origin.tried) {
        return None;
    }
    let target = route.target_latency?;
    match route.kind {
        catalog::Kind::Idempotent => Some(target.mul_f64(CALL_STALL)),
        catalog::Kind::ResumableStream => Some(target.mul_f64(STREAM_STALL)),
        catalog::Kind::AtMostOnce | catalog::Kind::Stream => None,
    }
}

/// Decides what follows an attempt, and takes a repeat from the budget if one follows.
fn next<D>(
    cx: &Rc<Context<D>>,
    origin: &mut Origin<D>,
    ending: retry::AttemptFailure,
) -> retry::Next
where
    D: adapter::Dialect,
{
    let hosts = cx.shared.view().hosts;
    let service = origin.plan.service().name.clone();
    origin.attempts.record_failure(ending, || {
        let mut fleet = cx.fleet.borrow_mut();
        fleet
            .budget(&service, hosts)
            .withdraw(retry::Charge::Budget)
    })
}

fn log_attempt<D>(
    cx: &Rc<Context<D>>,
    origin: &Origin<D>,
    chosen: &fleet::Chosen,
    (ending, cause, next): (retry::AttemptFailure, &str, retry::Next),
) where
    D: adapter::Dialect,
{
    let next = match next {
        retry::Next::Retry(reason) => reason.as_str(),
        retry::Next::GiveUp { reason, .. } => reason.as_str(),
    };
    cx.events.attempt(&events::AttemptLine {
        request: &String::from_utf8_lossy(&origin.outgoing.id),
        endpoint: &chosen.endpoint.identity,
        choice: &chosen.choice,
        ending: ending.as_str(),
        cause,
        next,
    });
}

/// The request as endpoints get it, apart from what differs from attempt to attempt.
fn outgoing(
    mut head: request::Parts,
    body: Bytes,
    metadata: &adapter::RequestMetadata,
) -> Outgoing {
    reply::strip_connection_headers(&mut head.headers);
    for name in [header::CONTENT_LENGTH, header::EXPECT] {
        head.headers.remove(name);
    }
    let target = head.uri.path_and_query().cloned();
    Outgoing {
        method: head.method,
        target: target.map_or_else(|| Uri::from_static("/"), Uri::from),
        headers: head.headers,
        body,
        id: metadata.id.clone(),
    }
}

fn deliver<D>(mut report: Report<D>, answer: Whole) -> Response<Reply<D>>
where
    D: adapter::Dialect,
{
    report.answered(answer.parts.status.as_u16());
    report.passed(0);
    report.end("whole");
    Response::from_parts(answer.parts, reply::whole(answer.body))
}

fn refuse<D>(
    mut report: Report<D>,
    reason: reason::Refusal,
    outcome: outcome::Outcome,
) -> Response<Reply<D>>
where
    D: adapter::Dialect,
{
    let left = report.deadline().since(clock::now());
    let spread = (left, report.arrived().as_micros());
    let response = reply::refusal(reason, outcome, spread);
    report.refused(reason, outcome, response.status().as_u16());
    report.end("refused");
    response
}

/// Goes on with a stream that broke, at another endpoint.
pub(super) async fn resume<D>(
    mut origin: Box<Origin<D>>,
    after: Option<u64>,
    cause: String,
) -> (Box<Origin<D>>, Result<Opened<D>, Cut>)
where
    D: adapter::Dialect,
{
    let cx = origin.cx.clone();
    if let retry::Next::GiveUp { .. } =
        next(&cx, &mut origin, retry::AttemptFailure::ConnectionLost)
    {
        return (origin, Err(Cut::new(cause)));
    }
    cx.metrics.retried(reason::Retry::Resume);
    let result = match attempt_until_answer(&mut origin, after, None).await {
        Answer::Stream(_, opened) => Ok(*opened),
        Answer::Whole(_) => Err(Cut::new("no stream where one was to go on")),
        Answer::None { reason, .. } => Err(Cut::new(reason.as_str())),
    };
    (origin, result)
}
