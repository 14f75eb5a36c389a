//! Where streams begin, and which version that was.
//!
//! A stream is recorded with its first event. Until its process is shown to be the one of the entry by which
//! it was reached, the record is a claim: a sign of life of that incarnation, later than the connection,
//! proves it. A stream goes on only by a proven record.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::streams::{IncarnationTag, KnownProcess};
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

/// Time for which a take-up waits for the proof of another host, if this one has none from the endpoint. The host
/// that began the stream asks when it breaks off, and tells what it hears with its next message about streams.
const OTHER_HOST_WAIT: Duration = Duration::from_millis(700);

/// Time for which a take-up waits for the entry of the process that began the stream. A process writes its entry when
/// it starts, and hosts read it with their next watch.
const ENTRY_WAIT: Duration = Duration::from_millis(2_000);

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
    let listed = &began.endpoint.identity;
    let (process, to) = match began.version {
        ProcessVersion::Unlisted { started_at_ms } => {
            let identity = directory::Identity {
                id: listed.id.clone(),
                started_at_ms,
            };
            (KnownProcess::Reported, IncarnationTag::of(&identity))
        }
        ProcessVersion::Shown(_) => (KnownProcess::Listed, IncarnationTag::of(listed)),
        ProcessVersion::Claimed(_) | ProcessVersion::Unknown => {
            let is_alive = is_alive_after(&state.cx, listed, began.connected_at);
            let process = match is_alive {
                true => KnownProcess::Listed,
                false => KnownProcess::Claimed,
            };
            (process, IncarnationTag::of(listed))
        }
    };
    let beginning = streams::Beginning {
        stream: streams::StreamOrigin {
            stream: state.stream,
            origin: streams::Origin {
                version,
                endpoint: streams::EndpointKey::of_id(&listed.id),
            },
        },
        connected: streams::Connected {
            to,
            by: began.connected_at,
        },
        process,
    };
    state.cx.shared.local_beginnings.push(beginning);
    (process == KnownProcess::Claimed).then(|| Claim {
        endpoint: began.endpoint.clone(),
        beginning,
    })
}

/// A record of a stream that is not proven, and for whose proof its endpoint has not been asked.
pub(super) struct Claim {
    endpoint: Arc<directory::Endpoint>,
    beginning: streams::Beginning,
}

impl Claim {
    /// Looks for a sign of life of the endpoint, and asks it beside whatever goes on if there is none. It is not to
    /// be had any more once the endpoint has ended, or by a host that does not reach it.
    pub(super) fn prove<D>(self, state: &RequestState<D>)
    where
        D: adapter::Dialect,
    {
        let cx = state.cx.clone();
        if self.is_shown(&cx) {
            return self.tell(&cx);
        }
        let max_connections = state.plan.service().max_connections;
        tokio::task::spawn_local(async move {
            let reported = life::ask(&cx, &self.endpoint, max_connections).await;
            if reported == ReportedProcess::Same {
                self.tell(&cx);
            }
        });
    }

    /// Whether the endpoint has given a sign of life since.
    fn is_shown<D>(&self, cx: &Context<D>) -> bool {
        let connected = self.beginning.connected;
        is_alive_after(cx, &self.endpoint.identity, connected.by)
    }

    /// Records that the claim is proven.
    fn tell<D>(&self, cx: &Context<D>) {
        cx.shared.local_beginnings.push(streams::Beginning {
            process: KnownProcess::Listed,
            ..self.beginning
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
    let mut last = None;
    loop {
        let waited = clock::now().since(started);
        let (claim, verdict) = match cx.shared.query_origin(query.after_waiting(waited)).await {
            streams::Answer::Version(version) => return Ok(version),
            streams::Answer::Unknown if may_become_known(cx, plan, &query, started) => {
                tokio::time::sleep(ONLY_VERSION_POLL_INTERVAL).await;
                continue;
            }
            streams::Answer::Unknown => return Err(reason::Refusal::StreamVersionUnknown),
            streams::Answer::Claim(claim) => (claim, examine(cx, plan, &claim, last).await),
        };
        match verdict {
            Verdict::Proven(version) => return Ok(version),
            Verdict::MayBeProven(_, wait) if may_wait(plan, started, wait) => {
                last = Some(verdict);
                tokio::time::sleep(SIGN_POLL_INTERVAL).await;
            }
            Verdict::MayBeProven(reason, _) => {
                log(cx, &claim, Err(reason));
                return Err(reason::Refusal::StreamVersionUnknown);
            }
            Verdict::Unproven => return Err(reason::Refusal::StreamVersionUnknown),
        }
    }
}

/// Whether a take-up that has waited since `started` may go on waiting.
fn may_wait(plan: &Plan, started: time::Time, wait: Duration) -> bool {
    let now = clock::now();
    now.since(started) < wait && plan.deadline.remaining(now).is_some()
}

/// Whether a stream without a record may turn out to have begun at the only version of its service.
fn may_become_known<D>(
    cx: &Context<D>,
    plan: &Plan,
    query: &streams::OriginQuery,
    started: time::Time,
) -> bool {
    query.stream.is_some()
        && may_wait(plan, started, ONLY_VERSION_WAIT)
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
#[derive(Clone, Copy, Debug)]
enum Verdict {
    /// The stream began at this version.
    Proven(streams::VersionTag),
    /// Nothing has shown it yet, for this reason, and it may still be shown within this time of the take-up.
    MayBeProven(&'static str, Duration),
    /// Nothing shows it.
    Unproven,
}

/// Looks for a sign of life of the endpoint of a claim, and asks the endpoint if there is none. `last` is the verdict
/// before: an endpoint that has answered is not asked again.
async fn examine<D>(
    cx: &Rc<Context<D>>,
    plan: &Plan,
    claim: &streams::Beginning,
    last: Option<Verdict>,
) -> Verdict
where
    D: adapter::Dialect,
{
    let connected = claim.connected;
    if claim.process == KnownProcess::Reported {
        // Its entry is looked for with each question.
        return Verdict::MayBeProven("unlisted", ENTRY_WAIT);
    }
    let known = cx.endpoints.borrow().incarnation(connected.to);
    let Some(endpoint) = known else {
        return Verdict::MayBeProven("not listed", OTHER_HOST_WAIT);
    };
    if !has_version(&endpoint, claim.stream.origin.version) {
        log(cx, claim, Err("another version"));
        return Verdict::Unproven;
    }
    if is_alive_after(cx, &endpoint.identity, connected.by) {
        log(cx, claim, Ok("sign_of_life"));
        return Verdict::Proven(claim.stream.origin.version);
    }
    if let Some(verdict @ Verdict::MayBeProven(reason, _)) = last
        && reason != ReportedProcess::NoAnswer.as_str()
    {
        return verdict;
    }
    let max_connections = plan.service().max_connections;
    match life::ask(cx, &endpoint, max_connections).await {
        ReportedProcess::Same => {
            log(cx, claim, Ok("report"));
            Verdict::Proven(claim.stream.origin.version)
        }
        // A write of its entry may show that it lives.
        reported @ ReportedProcess::Unknown => Verdict::MayBeProven(reported.as_str(), SIGN_WAIT),
        reported @ (ReportedProcess::NoAnswer | ReportedProcess::Other { .. }) => {
            Verdict::MayBeProven(reported.as_str(), OTHER_HOST_WAIT)
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
