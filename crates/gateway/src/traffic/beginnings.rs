//! Where streams begin, and which version that was.
//!
//! A stream is recorded with its first event. Until its process is shown to be the one of the entry by which
//! it was reached, the record is a claim: a sign of life of that incarnation, later than the connection,
//! proves it. A stream goes on only by a proven record.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{directory, reason, streams, time};
use pistachiochute_runtime::clock;

use crate::traffic::endpoint_report::ReportedProcess;
use crate::traffic::event_stream::RequestState;
use crate::traffic::opened_stream::OpenedStream;
use crate::traffic::plan::Plan;
use crate::traffic::proofs::ProcessVersion;
use crate::traffic::{Context, life};
use crate::{adapter, events, shared};

/// Time for which a take-up waits for a sign of life of an endpoint that does not report. Longer than the
/// interval at which endpoints write their entries and the delay of a watch.
const SIGN_WAIT: Duration = Duration::from_millis(2_000);

/// Interval at which a waiting take-up looks for a sign of life.
const SIGN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a take-up without a record waits until all endpoints of its service have written their
/// entries. Longer than the interval at which they do and the delays of two watches.
const ONLY_VERSION_WAIT: Duration = Duration::from_millis(3_000);

/// Interval at which such a take-up asks again.
const ONLY_VERSION_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Records at which software version a stream has begun, so that any host can resume it there. The stream
/// begins with its first event: a run that brought none leaves nothing that another has to fit.
pub(super) fn record<D>(state: &RequestState<D>, opened: &OpenedStream<D>)
where
    D: adapter::Dialect,
{
    let (None, Some(began)) = (state.version, opened.began()) else {
        return;
    };
    let Some(version) = began.version.tag() else {
        return;
    };
    let identity = &began.endpoint.identity;
    let is_shown = match began.version {
        ProcessVersion::Shown(_) => true,
        ProcessVersion::Claimed(_) => is_alive_after(&state.cx, identity, began.connected_at),
        ProcessVersion::Unlisted | ProcessVersion::Unknown => false,
    };
    let beginning = streams::Beginning {
        stream: streams::StreamOrigin {
            stream: state.stream,
            origin: streams::Origin {
                version,
                endpoint: streams::EndpointKey::of_id(&identity.id),
            },
        },
        connected: streams::Connected {
            to: streams::IncarnationTag::of(identity),
            by: began.connected_at,
        },
        is_shown,
    };
    state.cx.shared.local_beginnings.push(beginning);
    let is_claim = matches!(began.version, ProcessVersion::Claimed(_)) && !is_shown;
    if is_claim && is_contested(&state.cx, &began.endpoint.service) {
        let max_connections = state.plan.service().max_connections;
        let proving = prove(
            state.cx.clone(),
            began.endpoint.clone(),
            max_connections,
            beginning,
        );
        tokio::task::spawn_local(proving);
    }
}

/// Whether a service has had several versions lately, so that an endpoint that ends has probably been replaced
/// by one of another version.
fn is_contested<D>(cx: &Context<D>, service: &str) -> bool {
    let view = cx.shared.view();
    view.contested
        .iter()
        .any(|contested| **contested == *service)
}

/// Asks the endpoint of a stream that has just begun for a sign of life, which is not to be had any more once
/// the endpoint has ended.
async fn prove<D>(
    cx: Rc<Context<D>>,
    endpoint: Arc<directory::Endpoint>,
    max_connections: u32,
    beginning: streams::Beginning,
) where
    D: adapter::Dialect,
{
    let reported = life::ask(&cx, &endpoint, max_connections).await;
    if reported == ReportedProcess::Same {
        cx.shared.local_beginnings.push(streams::Beginning {
            is_shown: true,
            ..beginning
        });
    }
}

/// How a stream began.
pub(super) struct Began<'a> {
    /// Endpoint whose entry the host connected by.
    pub endpoint: &'a Arc<directory::Endpoint>,
    /// When the connection was made.
    pub connected_at: time::Time,
    /// Software version of the process.
    pub version: ProcessVersion,
}

/// Software version at which a stream goes on that has events.
///
/// # Errors
///
/// Returns an error if no version is proven.
pub(super) async fn resumed_version<D>(
    cx: &Rc<Context<D>>,
    plan: &Plan,
    stream: Option<streams::StreamKey>,
) -> Result<streams::VersionTag, reason::Refusal>
where
    D: adapter::Dialect,
{
    let query = streams::OriginQuery {
        stream,
        service: plan.service().name.clone(),
        span: plan.longest_span(),
    };
    let started = clock::now();
    loop {
        let verdict = match cx.shared.query_origin(query.clone()).await {
            streams::Answer::Version(version) => return Ok(version),
            streams::Answer::Unknown if may_become_known(cx, plan, &query, started) => {
                tokio::time::sleep(ONLY_VERSION_POLL_INTERVAL).await;
                continue;
            }
            streams::Answer::Unknown => return Err(reason::Refusal::StreamVersionUnknown),
            streams::Answer::Claim(claim) => examine(cx, plan, &claim).await,
        };
        match verdict {
            Verdict::Proven(version) => return Ok(version),
            Verdict::MayBeProven if clock::now().since(started) < SIGN_WAIT => {
                tokio::time::sleep(SIGN_POLL_INTERVAL).await;
            }
            Verdict::MayBeProven | Verdict::Unproven => {
                return Err(reason::Refusal::StreamVersionUnknown);
            }
        }
    }
}

/// Whether a stream without a record may turn out to have begun at the only version of its service.
fn may_become_known<D>(
    cx: &Context<D>,
    plan: &Plan,
    query: &streams::OriginQuery,
    started: time::Time,
) -> bool {
    let now = clock::now();
    let has_time = plan.deadline.remaining(now).is_some();
    query.stream.is_some()
        && has_time
        && now.since(started) < ONLY_VERSION_WAIT
        && has_one_version(&cx.shared.view(), &query.service)
}

/// Whether all listed endpoints of a service have the same version, and it is known.
fn has_one_version(view: &shared::View, service: &str) -> bool {
    let listed = view.endpoints.iter().chain(&view.leaving);
    let mut versions = listed
        .filter(|endpoint| *endpoint.service == *service)
        .map(|endpoint| endpoint.version.as_ref());
    match versions.next() {
        Some(Some(first)) => versions.all(|version| version == Some(first)),
        Some(None) | None => false,
    }
}

/// What is known of a claim after its endpoint was asked.
enum Verdict {
    /// The stream began at this version.
    Proven(streams::VersionTag),
    /// The endpoint does not report; a write of its entry may still show that it lives.
    MayBeProven,
    /// Nothing shows it.
    Unproven,
}

/// Looks for a sign of life of the endpoint of a claim, and asks the endpoint if there is none.
async fn examine<D>(cx: &Rc<Context<D>>, plan: &Plan, claim: &streams::Beginning) -> Verdict
where
    D: adapter::Dialect,
{
    let connected = claim.connected;
    let known = cx.endpoints.borrow().incarnation(connected.to);
    let Some(endpoint) = known else {
        log(cx, claim, Err("not listed"));
        return Verdict::Unproven;
    };
    if !has_version(&endpoint, claim.stream.origin.version) {
        log(cx, claim, Err("another version"));
        return Verdict::Unproven;
    }
    if is_alive_after(cx, &endpoint.identity, connected.by) {
        log(cx, claim, Ok("sign_of_life"));
        return Verdict::Proven(claim.stream.origin.version);
    }
    let max_connections = plan.service().max_connections;
    match life::ask(cx, &endpoint, max_connections).await {
        ReportedProcess::Same => {
            log(cx, claim, Ok("report"));
            Verdict::Proven(claim.stream.origin.version)
        }
        ReportedProcess::Unknown => Verdict::MayBeProven,
        reported @ (ReportedProcess::Other | ReportedProcess::NoAnswer) => {
            log(cx, claim, Err(reported.as_str()));
            Verdict::Unproven
        }
    }
}

/// Whether a sign of life of an incarnation is as late as a point in time.
pub(super) fn is_alive_after<D>(
    cx: &Context<D>,
    identity: &directory::Identity,
    at: time::Time,
) -> bool {
    let mut endpoints = cx.endpoints.borrow_mut();
    endpoints.apply_entry_writes(&cx.shared);
    endpoints.was_alive_after(identity, at)
}

fn has_version(endpoint: &directory::Endpoint, version: streams::VersionTag) -> bool {
    let own = endpoint.version.as_ref();
    own.is_some_and(|own| streams::VersionTag::new(&endpoint.service, own) == version)
}

fn log<D>(cx: &Context<D>, claim: &streams::Beginning, proof: Result<&'static str, &'static str>) {
    cx.events.stream_claim(&events::StreamClaimLogEntry {
        stream: claim.stream.stream,
        version: claim.stream.origin.version,
        incarnation: claim.connected.to,
        connected_for: clock::now().since(claim.connected.by),
        proof,
    });
}
