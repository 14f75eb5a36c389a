//! All attempts of one request: sends it to one endpoint after another, and resumes streams that broke.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{admission, catalog, directory, outcome, reason, retry, time};
use pistachiochute_runtime::clock;

use crate::traffic::answer_head::AnswerHead;
use crate::traffic::attempt::{Attempt, AttemptResult, CompleteAnswer};
use crate::traffic::deliverable::DeliverableAnswer;
use crate::traffic::event_stream::{RequestState, TruncatedStream};
use crate::traffic::opened_stream::OpenedStream;
use crate::traffic::report::Report;
use crate::traffic::{
    Context, attempt, beginnings, cached_parts, crash_watch, endpoints, forwarding, overload,
    permits, slots, suspect_turns,
};
use crate::{adapter, events};

/// Fraction of the target latency after which an idempotent call without an answer is sent to
/// another endpoint.
const CALL_STALL_FACTOR: f64 = 0.6;

/// Multiple of the target latency after which a resumable stream without a response head is sent to
/// another endpoint.
const STREAM_STALL_FACTOR: f64 = 2.5;

/// Hosts that are asked for a permit before an attempt.
const MAX_QUESTIONS: u32 = 6;

/// Result of all attempts of a request.
pub(super) enum FinalAnswer<D>
where
    D: adapter::Dialect,
{
    Complete(DeliverableAnswer),
    Stream(AnswerHead, Box<OpenedStream<D>>),
    /// The answer of another host that refuses the request, which has not run.
    RefusedByHost(CompleteAnswer),
    /// A refusal of this host. Whether the request ran is known from what was sent of it.
    Refused(reason::Refusal),
}

/// Sends a request to one endpoint after another until one answers or no retry is allowed. `report`
/// is `None` for a stream that is resumed, since its answer has already started.
pub(super) async fn attempt_until_answer<D>(
    state: &mut Box<RequestState<D>>,
    after_event: Option<u64>,
    mut report: Option<&mut Report<D>>,
) -> FinalAnswer<D>
where
    D: adapter::Dialect,
{
    let cx = state.cx.clone();
    // The last failure that an endpoint has stated. It is more useful to the caller than a refusal.
    let mut last_answer: Option<CompleteAnswer> = None;
    // Held until an endpoint has answered, or it is known why it has not.
    let _turn = match wait_for_turn(&cx, state).await {
        Ok(turn) => turn,
        Err(reason) => return give_up(state, last_answer, reason),
    };
    loop {
        let now = clock::now();
        if state.plan.deadline.remaining(now).is_none() {
            return give_up(state, last_answer, reason::Refusal::Deadline);
        }
        if crash_watch::is_refused(&cx, state.plan.keys.all()) {
            return give_up(state, last_answer, reason::Refusal::CrashesEndpoints);
        }
        let (result, selected) = match next_target(&cx, state, report.as_deref_mut()).await {
            // The slot is kept until the attempt is over.
            Target::Endpoint(selected, _slot) => {
                let report = report.as_deref_mut();
                let result = attempt_at(&cx, state, &selected, after_event, report).await;
                (result, Some(selected))
            }
            Target::Host => match forwarding::execute(state, after_event).await {
                Some(result) => (result, None),
                None => return give_up(state, last_answer, reason::Refusal::NoEndpoint),
            },
            Target::Nowhere(reason) => return give_up(state, last_answer, reason),
        };
        let (failure, cause, answer) = match result {
            AttemptResult::Complete(answer) => {
                if selected.is_some() {
                    crash_watch::record_proof(&cx, state.plan.keys.all());
                }
                match DeliverableAnswer::of(answer, state.plan.route.kind) {
                    Some(answer) => {
                        state.attempts.sends().settle(outcome::Outcome::Run);
                        return FinalAnswer::Complete(answer);
                    }
                    None => {
                        let cause = "a status that promises what is not known".to_owned();
                        (retry::AttemptFailure::FalsePromise, cause, None)
                    }
                }
            }
            AttemptResult::Stream(head, opened) => {
                state.attempts.sends().settle(outcome::Outcome::Run);
                return FinalAnswer::Stream(head, opened);
            }
            AttemptResult::RefusedByHost(answer) => {
                state.attempts.sends().settle(outcome::Outcome::NotRun);
                return FinalAnswer::RefusedByHost(answer);
            }
            AttemptResult::Failed {
                failure,
                cause,
                answer,
            } => (failure, cause, answer),
        };
        if answer.is_some() {
            // It failed the request, but it goes on.
            crash_watch::record_proof(&cx, state.plan.keys.all());
        }
        last_answer = answer.or(last_answer);
        let next = match (&selected, failure) {
            (Some(selected), retry::AttemptFailure::ConnectionLost) => {
                next_step_after_loss(&cx, state, &selected.endpoint.identity).await
            }
            _ => next_step(&cx, state, failure),
        };
        if let Some(selected) = &selected {
            log_attempt(&cx, state, selected, (failure, &cause, next));
        }
        match next {
            retry::Next::Retry(reason) => cx.metrics.retried(reason),
            retry::Next::GiveUp {
                reason: reason::Refusal::ConnectFailed,
                outcome: outcome::Outcome::NotRun,
            } if state.may_be_forwarded() => state.is_out_of_reach = true,
            retry::Next::GiveUp { reason, .. } => return give_up(state, last_answer, reason),
        }
    }
}

/// Where the next attempt of a request goes.
enum Target<D>
where
    D: adapter::Dialect,
{
    /// To an endpoint, of which the request may have a slot.
    Endpoint(endpoints::SelectedEndpoint, Option<slots::Slot<D>>),
    /// To another host, since this one reaches no endpoint.
    Host,
    /// Nowhere, for this reason.
    Nowhere(reason::Refusal),
}

/// Selects where the next attempt goes. May wait for a slot, or for a place at an overloaded service.
async fn next_target<D>(
    cx: &Rc<Context<D>>,
    state: &mut RequestState<D>,
    report: Option<&mut Report<D>>,
) -> Target<D>
where
    D: adapter::Dialect,
{
    let is_isolated = cx.isolations.is_isolated(&state.plan.service().name);
    let reason = match is_isolated || state.is_out_of_reach {
        true => reason::Refusal::NoEndpoint,
        false => match slots::acquire(cx, state).await {
            slots::Acquired::Slot(selected, slot) => {
                return Target::Endpoint(*selected, Some(slot));
            }
            slots::Acquired::Refused(wait) => {
                if let Some(report) = report {
                    report.record_wait(wait);
                }
                return Target::Nowhere(reason::Refusal::CallSlots);
            }
            slots::Acquired::OwnChoice => {
                if let Err(wait) = overload::admit(cx, state).await {
                    if let Some(report) = report {
                        report.record_wait(wait);
                    }
                    return Target::Nowhere(reason::Refusal::Overloaded);
                }
                match select_with_permit(cx, state).await {
                    Some(selected) => return Target::Endpoint(selected, None),
                    None => no_endpoint_reason(cx, state, report, clock::now()),
                }
            }
        },
    };
    match reason {
        reason::Refusal::NoEndpoint if state.may_be_forwarded() => Target::Host,
        _ => Target::Nowhere(reason),
    }
}

/// Sends a request to an endpoint.
async fn attempt_at<D>(
    cx: &Rc<Context<D>>,
    state: &mut RequestState<D>,
    selected: &endpoints::SelectedEndpoint,
    after_event: Option<u64>,
    report: Option<&mut Report<D>>,
) -> AttemptResult<D>
where
    D: adapter::Dialect,
{
    state.tried.push(selected.choice.endpoint);
    if let Some(departure) = selected.departure {
        let prompt = state.plan.choice_request.prompt.as_ref();
        let tokens = prompt.map_or(0, |prompt| prompt.tokens);
        cx.metrics.departed(departure, tokens);
    }
    if let Some(report) = report {
        report.record_attempt(selected);
    }
    let attempt = Attempt {
        plan: &state.plan,
        outgoing: &state.outgoing,
        selected,
        sends: state.attempts.sends(),
        after_event,
        version: state.version,
        stall_timeout: stall_timeout(cx, state),
    };
    attempt::execute(cx, &attempt).await
}

/// Waits for the turn of a request that may crash endpoints, before its first attempt.
async fn wait_for_turn<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
) -> Result<Option<suspect_turns::Turn>, reason::Refusal>
where
    D: adapter::Dialect,
{
    match state.attempts.count() {
        0 => suspect_turns::wait(cx, &state.plan).await,
        _ => Ok(None),
    }
}

/// Result if no attempt succeeded: the last failure that an endpoint has stated if there is one, else a
/// refusal. A refusal also replaces a failure that may not be passed on.
fn give_up<D>(
    state: &RequestState<D>,
    last_answer: Option<CompleteAnswer>,
    reason: reason::Refusal,
) -> FinalAnswer<D>
where
    D: adapter::Dialect,
{
    let kind = state.plan.route.kind;
    let answer = last_answer.and_then(|answer| DeliverableAnswer::of(answer, kind));
    answer.map_or(FinalAnswer::Refused(reason), FinalAnswer::Complete)
}

/// Selects the endpoint of the next attempt, and takes the permit that it needs. An endpoint without a
/// permit is closed then, so that another one is selected.
async fn select_with_permit<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
) -> Option<endpoints::SelectedEndpoint>
where
    D: adapter::Dialect,
{
    cached_parts::learn(cx, state).await;
    for asked in 0..=MAX_QUESTIONS {
        let eligibility = endpoints::Eligibility {
            may_ask: asked < MAX_QUESTIONS,
            ..state.eligibility()
        };
        let mut selected = select_endpoint(cx, state, &eligibility, clock::now())?;
        if permits::obtain(cx, &mut selected).await {
            return Some(selected);
        }
    }
    None
}

/// Selects the endpoint of the next attempt from the current view and loads.
fn select_endpoint<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    eligibility: &endpoints::Eligibility<'_>,
    now: time::Time,
) -> Option<endpoints::SelectedEndpoint>
where
    D: adapter::Dialect,
{
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.update(&cx.shared.view(), now);
    endpoints.apply_remote_cached_parts(&cx.shared, now);
    endpoints.apply_remote_limits(&cx.shared, now);
    endpoints.apply_cold(&cx.shared, now);
    endpoints.apply_pushbacks(&cx.shared);
    endpoints.confirm_list(cx.shared.endpoints_confirmed_at());
    let others = cx.shared.remote_loads();
    let service = &state.plan.service().name;
    endpoints.select(
        service,
        &state.plan.choice_request,
        &others,
        eligibility,
        now,
    )
}

/// Why no endpoint can be selected.
fn no_endpoint_reason<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    report: Option<&mut Report<D>>,
    now: time::Time,
) -> reason::Refusal
where
    D: adapter::Dialect,
{
    let endpoints = cx.endpoints.borrow();
    let service = &state.plan.service().name;
    let eligibility = endpoints::Eligibility {
        may_ask: false,
        ..state.eligibility()
    };
    if let Some(earliest) = endpoints.earliest_opening(service, &eligibility, now) {
        if let Some(report) = report {
            report.record_wait(earliest.wait.unwrap_or_default());
        }
        return match earliest.by {
            admission::Closure::Limit => reason::Refusal::EndpointLimits,
            admission::Closure::Cold => reason::Refusal::EndpointsCold,
            admission::Closure::Pushback | admission::Closure::Brittle => {
                reason::Refusal::EndpointPushback
            }
        };
    }
    let of_version = endpoints::Eligibility {
        version: state.version,
        ..endpoints::Eligibility::default()
    };
    match endpoints.has_eligible(service, &of_version) {
        false if endpoints.has_evacuated(service) => reason::Refusal::DomainEvacuated,
        false if state.version.is_some() => reason::Refusal::StreamVersionGone,
        _ => reason::Refusal::NoEndpoint,
    }
}

/// Time without an answer after which an attempt fails, or `None` if the request cannot be sent
/// elsewhere.
fn stall_timeout<D>(cx: &Rc<Context<D>>, state: &RequestState<D>) -> Option<Duration>
where
    D: adapter::Dialect,
{
    let route = &state.plan.route;
    let service = &state.plan.service().name;
    let is_last = state.attempts.count() + 1 >= route.max_attempts;
    let endpoints = cx.endpoints.borrow();
    if is_last || !endpoints.has_room(service, &state.eligibility(), clock::now()) {
        return None;
    }
    let target = route.target_latency?;
    match route.kind {
        catalog::RequestKind::Idempotent => Some(target.mul_f64(CALL_STALL_FACTOR)),
        catalog::RequestKind::ResumableStream => Some(target.mul_f64(STREAM_STALL_FACTOR)),
        catalog::RequestKind::AtMostOnce | catalog::RequestKind::Stream => None,
    }
}

/// Decides what follows the loss of a connection whose answer had not gone on: a request that may
/// have crashed the endpoint is not sent again.
async fn next_step_after_loss<D>(
    cx: &Rc<Context<D>>,
    state: &mut RequestState<D>,
    endpoint: &directory::Identity,
) -> retry::Next
where
    D: adapter::Dialect,
{
    let failure = retry::AttemptFailure::ConnectionLost;
    if crash_watch::is_suspect(cx, endpoint, &state.plan).await {
        let reason = reason::Refusal::CrashSuspect;
        return state.attempts.give_up_after(failure, reason);
    }
    next_step(cx, state, failure)
}

/// Decides what follows a failed attempt. A retry is withdrawn from the budget.
fn next_step<D>(
    cx: &Rc<Context<D>>,
    state: &mut RequestState<D>,
    failure: retry::AttemptFailure,
) -> retry::Next
where
    D: adapter::Dialect,
{
    let hosts = cx.shared.view().hosts;
    let service = state.plan.service().name.clone();
    state.attempts.record_failure(failure, || {
        let mut endpoints = cx.endpoints.borrow_mut();
        endpoints
            .budget(&service, hosts)
            .withdraw(retry::Charge::Budget)
    })
}

fn log_attempt<D>(
    cx: &Rc<Context<D>>,
    state: &RequestState<D>,
    selected: &endpoints::SelectedEndpoint,
    (failure, cause, next): (retry::AttemptFailure, &str, retry::Next),
) where
    D: adapter::Dialect,
{
    let next = match next {
        retry::Next::Retry(reason) => reason.as_str(),
        retry::Next::GiveUp { reason, .. } => reason.as_str(),
    };
    cx.events.attempt(&events::AttemptLogEntry {
        request: &String::from_utf8_lossy(&state.outgoing.id),
        endpoint: &selected.endpoint.identity,
        choice: &selected.choice,
        failure: failure.as_str(),
        cause,
        next,
    });
}

/// A stream that its endpoint broke off.
#[derive(Debug)]
pub(super) struct BrokenStream {
    /// Id of the last event that the caller has received.
    pub after_event: Option<u64>,
    /// Endpoint that broke it off, unless it came through another host.
    pub endpoint: Option<Arc<directory::Endpoint>>,
    /// Whether it went on for long enough to clear its prompt.
    pub has_gone_on: bool,
    /// Error text.
    pub cause: String,
}

/// Continues a broken stream at another endpoint.
pub(super) async fn resume<D>(
    mut state: Box<RequestState<D>>,
    broken: BrokenStream,
) -> (
    Box<RequestState<D>>,
    Result<OpenedStream<D>, TruncatedStream>,
)
where
    D: adapter::Dialect,
{
    let cx = state.cx.clone();
    let after_event = broken.after_event;
    let next = match &broken.endpoint {
        Some(endpoint) if !broken.has_gone_on => {
            next_step_after_loss(&cx, &mut state, &endpoint.identity).await
        }
        _ => next_step(&cx, &mut state, retry::AttemptFailure::ConnectionLost),
    };
    match next {
        retry::Next::Retry(_) => {}
        retry::Next::GiveUp { reason, .. } => {
            let cause = match reason {
                reason::Refusal::CrashSuspect => reason.as_str().to_owned(),
                _ => broken.cause,
            };
            return (state, Err(TruncatedStream::new(cause)));
        }
    }
    if after_event.is_some() && state.version.is_none() {
        match beginnings::resumed_version(&cx, &state.plan, Some(state.stream)).await {
            Ok(version) => state.version = Some(version),
            Err(reason) => return (state, Err(TruncatedStream::new(reason.as_str()))),
        }
    }
    cx.metrics.retried(reason::Retry::Resume);
    let result = match attempt_until_answer(&mut state, after_event, None).await {
        FinalAnswer::Stream(_, opened) => Ok(*opened),
        FinalAnswer::Complete(_) | FinalAnswer::RefusedByHost(_) => Err(TruncatedStream::new(
            "endpoint did not answer the resumption with a stream",
        )),
        FinalAnswer::Refused(reason) => Err(TruncatedStream::new(reason.as_str())),
    };
    (state, result)
}
