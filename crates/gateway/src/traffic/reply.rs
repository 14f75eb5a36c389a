//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use pistachiochute_core::{outcome, reason, retry};

use crate::adapter;
use crate::traffic::event_stream;

/// Hop-by-hop headers, which concern one connection only.
const CONNECTION_HEADERS: [header::HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::HeaderName::from_static("keep-alive"),
    header::HeaderName::from_static("proxy-connection"),
];

/// Body of an answer to a caller.
pub(super) enum ReplyBody<D>
where
    D: adapter::Dialect,
{
    /// Complete body, or `None` once it is consumed or if it is empty.
    Full(Option<Bytes>),
    /// Stream of events.
    Stream(Pin<Box<event_stream::EventStream<D>>>),
}

impl<D> Body for ReplyBody<D>
where
    D: adapter::Dialect,
{
    type Data = Bytes;
    type Error = event_stream::TruncatedStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, event_stream::TruncatedStream>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates the body of a complete answer; an empty one has no frame.
pub(super) fn full_body<D>(bytes: Bytes) -> ReplyBody<D>
where
    D: adapter::Dialect,
{
    ReplyBody::Full((!bytes.is_empty()).then_some(bytes))
}

/// Tokens of the `Connection` header.
pub(super) fn connection_tokens(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}

/// Whether callers take a status to mean that the request has not run and will not.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Headers that are meant for the ends of a request. A `Connection` header must not name them (RFC 9110, section 7.6.1).
const END_TO_END_HEADERS: [header::HeaderName; 7] = [
    header::AUTHORIZATION,
    header::CONTENT_ENCODING,
    header::CONTENT_RANGE,
    header::CONTENT_TYPE,
    header::HOST,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// Removes hop-by-hop headers, including those that the `Connection` header names unless they are meant for the ends of
/// a request: by HTTP, or as `end_to_end` has them.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap, end_to_end: &[header::HeaderName]) {
    let is_kept =
        |name: &header::HeaderName| END_TO_END_HEADERS.contains(name) || end_to_end.contains(name);
    let named: Vec<header::HeaderName> = connection_tokens(headers)
        .filter_map(|name| name.parse().ok())
        .filter(|name| !is_kept(name))
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// JSON body of a refusal.
#[derive(serde::Serialize)]
struct RefusalBody {
    error: reason::Refusal,
    outcome: outcome::Outcome,
}

/// Why an answer is a refusal of this host, kept beside it for a host that has passed the request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RefusalNote {
    pub reason: reason::Refusal,
    pub outcome: outcome::Outcome,
}

/// Creates the answer to a request that was refused or that failed. What was sent of it decides what
/// the answer promises. `retry_after` is the delay after which the caller should retry, if it may help.
pub(super) fn refusal<D>(
    reason: reason::Refusal,
    sends: &retry::Sends,
    retry_after: Duration,
) -> Response<ReplyBody<D>>
where
    D: adapter::Dialect,
{
    let outcome = sends.outcome();
    let refused = RefusalBody {
        error: reason,
        outcome,
    };
    let body = serde_json::to_vec(&refused).expect("two names are valid JSON");
    let mut response = Response::new(full_body(Bytes::from(body)));
    let status = refusal_status(reason, outcome);
    *response.status_mut() = status;
    let note = RefusalNote { reason, outcome };
    response.extensions_mut().insert(note);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let is_retryable =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    if is_retryable {
        headers.insert(header::RETRY_AFTER, retry_after_value(retry_after));
    }
    response
}

/// Status of a refusal. Statuses that imply that the request has not run are used only if that is
/// certain.
fn refusal_status(reason: reason::Refusal, outcome: outcome::Outcome) -> StatusCode {
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    match outcome {
        outcome::Outcome::NotRun => status,
        _ if implies_not_run(status) => StatusCode::BAD_GATEWAY,
        _ => status,
    }
}

/// Value of `Retry-After`, in seconds with three decimals.
fn retry_after_value(delay: Duration) -> HeaderValue {
    let text = format!("{}.{:03}", delay.as_secs(), delay.subsec_millis());
    HeaderValue::from_str(&text).expect("digits and a point")
}
