//! Proof of the process behind a connection, without which no stream goes on there.
//!
//! The other end of a connection stays the same process for as long as the connection lives. So a report
//! on a connection proves its version for good. So does a sign of life of the entry's incarnation that is
//! later than the connection: the host connected by its entry, so it had started before, and it had its
//! address all along. The list of endpoints by itself proves nothing, however new it is.

use std::time::Duration;

use pistachiochute_core::{catalog, retry, streams, time};
use pistachiochute_runtime::clock;

use crate::traffic::attempt::Attempt;
use crate::traffic::endpoint_report::ReportedProcess;
use crate::traffic::{Context, beginnings, life, pool};
use crate::{adapter, events};

/// Longest time for which a resumption waits for a sign of life of an endpoint that does not report. Longer
/// than the interval at which endpoints write their entries and the delay of a watch.
const SIGN_WAIT: Duration = Duration::from_millis(2_000);

/// Share of the time after which an attempt counts as stalled that it may wait for a sign of life.
const SIGN_WAIT_SHARE: f64 = 0.8;

/// Interval at which a waiting resumption looks for a sign of life.
const SIGN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What shows that a process has the version of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// Its report on the connection.
    Report,
    /// Its report on the connection, before an earlier request.
    EarlierReport,
    /// A sign of life of the entry's incarnation after the connection was made.
    SignOfLife,
}

impl Proof {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::EarlierReport => "earlier_report",
            Self::SignOfLife => "sign_of_life",
        }
    }
}

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// A stream goes on at this version.
    GoOn(streams::VersionTag),
    /// A stream begins that may be resumed later.
    Begin,
    /// Anything else.
    Other,
}

impl Purpose {
    fn of(attempt: &Attempt<'_>) -> Self {
        match (attempt.version, attempt.plan.route.kind) {
            (Some(version), _) => Self::GoOn(version),
            (None, catalog::RequestKind::ResumableStream) => Self::Begin,
            (None, _) => Self::Other,
        }
    }
}

/// A connection on which the request of an attempt may be sent.
pub(super) struct ClearedConnection {
    pub connection: pool::Connection,
    /// Software version of the process at its other end.
    pub version: ProcessVersion,
}

/// Software version of the process at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessVersion {
    /// The process is the one of its endpoint's entry, which has this version.
    Shown(streams::VersionTag),
    /// The entry by which the host connected has it. Nothing shows that the process is the one of the entry.
    Claimed(streams::VersionTag),
    /// The process has reported another start than that of the entry by which the host connected. Its version is that
    /// of its own entry, once there is one.
    Unlisted {
        /// Its start, in milliseconds since the Unix epoch.
        started_at_ms: u64,
    },
    /// The entry does not say.
    Unknown,
}

impl ProcessVersion {
    /// The version in an entry by which the host connected.
    fn claimed(version: Option<streams::VersionTag>) -> Self {
        version.map_or(Self::Unknown, Self::Claimed)
    }

    /// The version in an entry whose process is at the other end.
    fn shown(version: Option<streams::VersionTag>) -> Self {
        version.map_or(Self::Unknown, Self::Shown)
    }

    /// Tag under which the beginning of a stream is recorded, if it is.
    pub(super) const fn tag(self) -> Option<streams::VersionTag> {
        match self {
            Self::Shown(version) | Self::Claimed(version) => Some(version),
            Self::Unlisted { .. } => Some(streams::VersionTag::UNLISTED),
            Self::Unknown => None,
        }
    }
}

/// Why a connection may not be used.
#[derive(Debug)]
pub(super) struct Unusable {
    pub failure: retry::AttemptFailure,
    pub cause: String,
}

impl From<pool::AcquireError> for Unusable {
    fn from(e: pool::AcquireError) -> Self {
        let failure = match e {
            pool::AcquireError::AtLimit => retry::AttemptFailure::AtLimit,
            pool::AcquireError::Connect(_) | pool::AcquireError::Handshake(_) => {
                retry::AttemptFailure::NotSent
            }
        };
        Self {
            failure,
            cause: e.to_string(),
        }
    }
}

/// Clears a connection for the request of an attempt: one that resumes a stream needs a proof of the
/// version at the other end.
///
/// # Errors
///
/// Returns an error if a proof is needed and there is none, or if no other connection can be made.
pub(super) async fn clear<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    connection: pool::Connection,
) -> Result<ClearedConnection, Unusable>
where
    D: adapter::Dialect,
{
    let version = entry_version(attempt);
    let reported = connection.reported();
    match Purpose::of(attempt) {
        Purpose::GoOn(version) => {
            let connection = prove(cx, attempt, version, connection).await?;
            Ok(ClearedConnection {
                connection,
                version: ProcessVersion::Shown(version),
            })
        }
        Purpose::Begin if let Some(pool::Reported::Other { started_at_ms }) = reported => {
            Ok(ClearedConnection {
                connection,
                version: ProcessVersion::Unlisted { started_at_ms },
            })
        }
        Purpose::Begin if shown_by(cx, attempt, &connection).is_some() => Ok(ClearedConnection {
            connection,
            version: ProcessVersion::shown(version),
        }),
        Purpose::Begin if attempt.selected.version.is_none() => {
            learn(cx, attempt, connection).await
        }
        Purpose::Begin | Purpose::Other => Ok(ClearedConnection {
            connection,
            version: ProcessVersion::claimed(version),
        }),
    }
}

/// What is known by now to show that the process at the other end is the one of the entry.
fn shown_by<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    connection: &pool::Connection,
) -> Option<Proof> {
    match connection.reported() {
        Some(pool::Reported::Listed) => return Some(Proof::EarlierReport),
        Some(pool::Reported::Other { .. }) => return None,
        None => {}
    }
    let identity = &attempt.selected.endpoint.identity;
    let is_alive = beginnings::is_alive_after(cx, identity, connection.connected_at());
    is_alive.then_some(Proof::SignOfLife)
}

/// Notes the answer to a request as a sign of life that costs no question: if the process at the other end is known
/// for the one of the entry, that incarnation was alive when the request was sent.
pub(super) fn note_answer<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    connection: &pool::Connection,
    sent_at: time::Time,
) {
    if shown_by(cx, attempt, connection).is_some() {
        let identity = &attempt.selected.endpoint.identity;
        life::record(cx, identity, streams::LifeSign::Alive(sent_at));
    }
}

/// Proves that the process at the other end of a connection has a version.
async fn prove<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    version: streams::VersionTag,
    mut connection: pool::Connection,
) -> Result<pool::Connection, Unusable>
where
    D: adapter::Dialect,
{
    if entry_version(attempt) != Some(version) {
        return Err(refuse(cx, attempt, "entry"));
    }
    if let Some(proof) = shown_by(cx, attempt, &connection) {
        log(cx, attempt, Ok(proof));
        return Ok(connection);
    }
    let reported = ask_at_an_open_one(cx, attempt, &mut connection).await?;
    match reported {
        ReportedProcess::Same if connection.is_free() => {
            log(cx, attempt, Ok(Proof::Report));
            Ok(connection)
        }
        ReportedProcess::Unknown => {
            let connection = free(cx, attempt, connection).await?;
            wait_for_sign(cx, attempt, connection).await
        }
        ReportedProcess::Same | ReportedProcess::Other { .. } | ReportedProcess::NoAnswer => {
            Err(refuse(cx, attempt, reported.as_str()))
        }
    }
}

/// Waits until a write of the entry shows that the process at the other end, which does not report, is the
/// one of the entry.
async fn wait_for_sign<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    connection: pool::Connection,
) -> Result<pool::Connection, Unusable> {
    let end = clock::now() + sign_wait(attempt);
    loop {
        if let Some(proof) = shown_by(cx, attempt, &connection) {
            log(cx, attempt, Ok(proof));
            return Ok(connection);
        }
        if clock::now() >= end {
            return Err(refuse(cx, attempt, ReportedProcess::Unknown.as_str()));
        }
        tokio::time::sleep(SIGN_POLL_INTERVAL).await;
    }
}

/// Time for which an attempt waits for a sign of life. It ends before the endpoint counts as stalled.
fn sign_wait(attempt: &Attempt<'_>) -> Duration {
    let stall = attempt.stall_timeout;
    let longest = stall.map_or(SIGN_WAIT, |stall| stall.mul_f64(SIGN_WAIT_SHARE));
    longest.min(SIGN_WAIT)
}

/// Learns the version of the process at the other end of a connection. The request is sent whatever the
/// process says of itself.
async fn learn<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    mut connection: pool::Connection,
) -> Result<ClearedConnection, Unusable>
where
    D: adapter::Dialect,
{
    let reported = ask_at_an_open_one(cx, attempt, &mut connection).await?;
    let version = match reported {
        // What was said on a connection that has closed holds for no other one.
        ReportedProcess::Same if connection.is_free() => {
            ProcessVersion::shown(entry_version(attempt))
        }
        ReportedProcess::Other { started_at_ms } if connection.is_free() => {
            ProcessVersion::Unlisted { started_at_ms }
        }
        ReportedProcess::Same
        | ReportedProcess::Other { .. }
        | ReportedProcess::Unknown
        | ReportedProcess::NoAnswer => ProcessVersion::claimed(entry_version(attempt)),
    };
    Ok(ClearedConnection {
        connection: free(cx, attempt, connection).await?,
        version,
    })
}

/// Asks on a connection. One that was idle, and that the endpoint may have closed, gives way to a new one
/// if nothing answers.
async fn ask_at_an_open_one<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    connection: &mut pool::Connection,
) -> Result<ReportedProcess, Unusable>
where
    D: adapter::Dialect,
{
    let endpoint = &attempt.selected.endpoint;
    let is_reused = !connection.is_new();
    let reported = life::ask_and_record(cx, connection, endpoint).await;
    if reported != ReportedProcess::NoAnswer || !is_reused {
        return Ok(reported);
    }
    *connection = open(cx, attempt).await?;
    Ok(life::ask_and_record(cx, connection, endpoint).await)
}

/// A connection that takes a request: this one, or a new one if a probe has used it up.
async fn free<D>(
    cx: &Context<D>,
    attempt: &Attempt<'_>,
    connection: pool::Connection,
) -> Result<pool::Connection, Unusable>
where
    D: adapter::Dialect,
{
    match connection.is_free() {
        true => Ok(connection),
        false => {
            drop(connection);
            open(cx, attempt).await
        }
    }
}

async fn open<D>(cx: &Context<D>, attempt: &Attempt<'_>) -> Result<pool::Connection, Unusable>
where
    D: adapter::Dialect,
{
    let max = attempt.plan.service().max_connections;
    let hosts = cx.shared.view().hosts;
    let opened = cx.pool.open(&attempt.selected.endpoint, max, hosts).await;
    Ok(opened?)
}

/// Software version in the entry of the endpoint of an attempt.
fn entry_version(attempt: &Attempt<'_>) -> Option<streams::VersionTag> {
    let endpoint = &attempt.selected.endpoint;
    let version = endpoint.version.as_ref()?;
    Some(streams::VersionTag::new(&endpoint.service, version))
}

fn refuse<D>(cx: &Context<D>, attempt: &Attempt<'_>, reported: &'static str) -> Unusable {
    log(cx, attempt, Err(reported));
    Unusable {
        failure: retry::AttemptFailure::Unproven,
        cause: format!("version not proven: {reported}"),
    }
}

fn log<D>(cx: &Context<D>, attempt: &Attempt<'_>, proof: Result<Proof, &str>) {
    let confirmed_at = cx.shared.endpoints_confirmed_at();
    let list_age: Duration = clock::now().since(confirmed_at);
    cx.events.stream_version(&events::StreamVersionLogEntry {
        request: &String::from_utf8_lossy(&attempt.outgoing.id),
        endpoint: &attempt.selected.endpoint.identity,
        version: attempt.version,
        proof: proof.map(Proof::as_str),
        list_age,
    });
}
