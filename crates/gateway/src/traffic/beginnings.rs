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

/// Time for which a take-up waits for the proof of another host, if this one does not reach the endpoint. The
/// host that began the stream asks with the first event.
const OTHER_HOST_WAIT: Duration = Duration::from_millis(400);

/// Interval at which a waiting take-up looks for a proof.
const SIGN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a take-up without a record waits until all endpoints of its service have written their
/// entries. Longer than the interval at which they do and the delays of two watches.
const ONLY_VERSION_WAIT: Duration = Duration::from_millis(3_000);

/// Interval at which such a take-up asks again.
const ONLY_VERSION_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Records at which software version a stream has begun, so that any host can resume it there. The stream
/// begins with its first event: a run that brought none leaves nothing that another has to fit. Returns the
/// claim if the endpoint may have to be asked later.
pub(super) fn record<D>(state: &RequestState<D>, opened: &OpenedStream<D>) -> Option<Claim>
where
    D: adapter::Dialect,
{
    let (None, Some(began)) = (state.version, opened.began()) else {
        return None;
    };
    let version = began.version.tag()?;
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
    let claim = is_claim.then(|| Claim {
        endpoint: began.endpoint.clone(),
        beginning,
    })?;
    if is_worth_a_question(&state.cx, began.endpoint) {
        claim.prove(state);
        return None;
    }
    Some(claim)
}

/// A record of a stream that is not proven, and for whose proof its endpoint has not been asked.
pub(super) struct Claim {
    endpoint: Arc<directory::Endpoint>,
    beginning: streams::Beginning,
}

impl Claim {
    /// Asks the endpoint for a sign of life, beside whatever goes on. It is not to be had any more once the
    /// endpoint has ended, or by a host that does not reach it.
    pub(super) fn prove<D>(self, state: &RequestState<D>)
    where
        D: adapter::Dialect,
    {
        let cx = state.cx.clone();
        let max_connections = state.plan.service().max_connections;
        tokio::task::spawn_local(async move {
            let reported = life::ask(&cx, &self.endpoint, max_connections).await;
            if reported == ReportedProcess::Same {
                cx.shared.local_beginnings.push(streams::Beginning {
                    is_shown: true,
                    ..self.beginning
                });
            }
        });
    }
}

/// Whether an endpoint is asked for a sign of life as soon as a stream has begun there: it has given this host
/// none yet, or its service has had several versions lately, so that a process that ends has probably been
/// replaced by one of another version.
fn is_worth_a_question<D>(cx: &Context<D>, endpoint: &directory::Endpoint) -> bool {
    let view = cx.shared.view();
    let mut contested = view.contested.iter();
    contested.any(|service| *service == endpoint.service)
        || !cx.endpoints.borrow().has_sign_of_life(&endpoint.identity)
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
        let waited = clock::now().since(started);
        let verdict = match cx.shared.query_origin(query.after_waiting(waited)).await {
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
            Verdict::MayBeProven(wait) if clock::now().since(started) < wait => {
                tokio::time::sleep(SIGN_POLL_INTERVAL).await;
            }
            Verdict::MayBeProven(_) | Verdict::Unproven => {
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
    /// It may still be shown within this time of the take-up.
    MayBeProven(Duration),
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
        // A write of its entry may show that it lives.
        ReportedProcess::Unknown => Verdict::MayBeProven(SIGN_WAIT),
        reported @ ReportedProcess::NoAnswer => {
            log(cx, claim, Err(reported.as_str()));
            Verdict::MayBeProven(OTHER_HOST_WAIT)
        }
        reported @ ReportedProcess::Other => {
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
