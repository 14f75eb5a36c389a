//! Asks the process behind a connection for its report, which says when it started.
//!
//! The other end of a connection stays the same process for as long as the connection lives. What a
//! report on a connection says thus holds for every later request on it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use pistachiochute_core::directory;

use crate::adapter;
use crate::traffic::{Context, attempt, pool};

/// Time in which a report must have come as a whole.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// What the report on a connection says of the process at its other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportedProcess {
    /// It is the one that the endpoint's entry describes.
    Same,
    /// It started at another time: another process has the address.
    Other {
        /// Start of that process, in milliseconds since the Unix epoch.
        started_at_ms: u64,
    },
    /// It answered with something that does not say when it started.
    Unknown,
    /// It did not answer in time, or the connection broke.
    NoAnswer,
}

impl ReportedProcess {
    /// Short text for logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other { .. } => "other",
            Self::Unknown => "unknown",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// Asks the process at the other end of a connection whether it is the one of the endpoint's entry.
///
/// The answer holds whether the connection can be used afterwards or not:
/// [`pool::Connection::is_free`] tells.
pub(super) async fn ask<D>(
    cx: &Context<D>,
    connection: &mut pool::Connection,
    endpoint: &directory::Endpoint,
) -> ReportedProcess
where
    D: adapter::Dialect,
{
    let asking = ask_without_timeout(cx, connection, endpoint);
    let result = tokio::time::timeout(REPORT_TIMEOUT, asking).await;
    result.unwrap_or(ReportedProcess::NoAnswer)
}

async fn ask_without_timeout<D>(
    cx: &Context<D>,
    connection: &mut pool::Connection,
    endpoint: &directory::Endpoint,
) -> ReportedProcess
where
    D: adapter::Dialect,
{
    let req = Request::get(cx.dialect.report_path())
        .header(header::HOST, endpoint.address.to_string())
        .body(Full::new(Bytes::new()))
        .expect("a path and an address are valid");
    let Ok(answer) = connection.probe(req).await else {
        return ReportedProcess::NoAnswer;
    };
    let body = match read_body(answer).await {
        Ok(body) => body,
        Err(process) => return process,
    };
    connection.wait_until_free().await;
    let reported = cx.dialect.decode_report(&body);
    compare(&endpoint.identity, reported.ok())
}

/// Reads the body of a report. An answer that is none gives what it says of the process.
async fn read_body(answer: Response<Incoming>) -> Result<Bytes, ReportedProcess> {
    let (parts, body) = answer.into_parts();
    if !may_be_report(parts.status, &parts.headers) {
        return Err(ReportedProcess::Unknown);
    }
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await;
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(ReportedProcess::Unknown),
        Err(_) => Err(ReportedProcess::NoAnswer),
    }
}

/// Whether an answer with this head may be a report. The body of a stream may go on for long.
fn may_be_report(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::OK && !attempt::is_event_stream(headers)
}

/// Compares an entry with a report that could be decoded. Entries without a start describe no certain
/// process.
fn compare(
    entry: &directory::Identity,
    report: Option<adapter::EndpointReport>,
) -> ReportedProcess {
    let started_at_ms = report.and_then(|report| report.started_at_ms);
    match started_at_ms {
        Some(started_at_ms) if entry.is_distinct() => match started_at_ms == entry.started_at_ms {
            true => ReportedProcess::Same,
            false => ReportedProcess::Other { started_at_ms },
        },
        _ => ReportedProcess::Unknown,
    }
}
