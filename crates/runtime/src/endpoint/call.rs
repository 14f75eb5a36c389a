//! One call to an endpoint, which resumes truncated event streams.

use std::io;
use std::net;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use pistachiochute_core::{outcome, reason, request, units};
use pistachiochute_messages::forward;

use crate::endpoint::{answer_sender, events, place};
use crate::{endpoint, http_client};

/// Number of times that a truncated stream is resumed before the call fails.
const MAX_RESUMES: u32 = 3;

/// Maximum chunk size of an answer that is not an event stream, in bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A call to one endpoint.
#[derive(Debug)]
pub struct Call<'a> {
    /// Address of the endpoint.
    pub addr: net::SocketAddr,
    /// Forwarded request, without its body.
    pub head: &'a forward::Forward,
    /// Body of the request.
    pub body: &'a Bytes,
    /// Timeouts of the call.
    pub timeouts: endpoint::Timeouts,
}

/// Why one HTTP exchange of a call ended early.
enum AttemptError {
    ReceiverClosed,
    Failed(endpoint::Failure),
    /// The event stream ended before its end marker, for this reason. It may be resumed.
    Truncated(reason::Refusal),
}

impl From<answer_sender::ReceiverClosed> for AttemptError {
    fn from(_: answer_sender::ReceiverClosed) -> Self {
        Self::ReceiverClosed
    }
}

impl From<endpoint::Failure> for AttemptError {
    fn from(failure: endpoint::Failure) -> Self {
        Self::Failed(failure)
    }
}

impl Call<'_> {
    /// Sends the request and forwards the answer to `sender`. Does not send the end of the answer,
    /// which is up to the caller of this function.
    pub fn run(&self, sender: &mut answer_sender::AnswerSender) -> endpoint::CallResult {
        let mut resume_after = self.head.resume_after;
        let mut resumes = 0;
        loop {
            let mut progress = Progress {
                place: place::Place::resumed_after(resume_after),
                used: None,
            };
            match self.attempt(sender, &mut progress) {
                Ok(()) => {
                    return endpoint::CallResult::Complete {
                        used: progress.used,
                    };
                }
                Err(AttemptError::ReceiverClosed) => return receiver_closed(),
                Err(AttemptError::Failed(failure)) => return endpoint::CallResult::Failed(failure),
                Err(AttemptError::Truncated(reason)) => {
                    resumes += 1;
                    resume_after = self.resumable_after(&progress);
                    if resume_after.is_none() || resumes > MAX_RESUMES {
                        let failure = endpoint::Failure::new(reason, outcome::Outcome::Run);
                        return endpoint::CallResult::Failed(failure);
                    }
                }
            }
        }
    }

    /// Piece after which a truncated stream may be resumed by sending the request again. An endpoint
    /// that does not support resumption would run it a second time, so the request must be
    /// idempotent.
    fn resumable_after(&self, progress: &Progress) -> Option<u32> {
        let is_idempotent = self.head.idempotency == request::Idempotency::Idempotent;
        progress.place.resumable_after().filter(|_| is_idempotent)
    }

    fn attempt(
        &self,
        sender: &mut answer_sender::AnswerSender,
        progress: &mut Progress,
    ) -> Result<(), AttemptError> {
        let resume_after = progress.place.resumable_after();
        let response = self.send(sender, resume_after)?;
        endpoint_refusal(&response).map_or(Ok(()), Err)?;
        let is_stream = is_event_stream(&response);
        if resume_after.is_some() && !is_stream {
            return Err(AttemptError::Truncated(reason::Refusal::ConnectionLost));
        }
        let content_type = response.header(http::header::CONTENT_TYPE.as_str());
        sender.send_head(response.head.status.as_u16(), content_type)?;
        if is_stream {
            return read_events(response, sender, progress);
        }
        read_body(response, sender)
    }

    fn send(
        &self,
        sender: &answer_sender::AnswerSender,
        last_event_id: Option<u32>,
    ) -> Result<http_client::Response, AttemptError> {
        let timeouts = http_client::Timeouts {
            connect: self.timeouts.connect,
            idle: self.timeouts.stall,
            total: Some(self.head.remaining),
        };
        let req = self.request(last_event_id).map_err(|_| malformed())?;
        http_client::send(self.addr, req, timeouts, sender.cancellation()).map_err(send_failure)
    }

    /// Builds the HTTP request to the endpoint.
    fn request(&self, last_event_id: Option<u32>) -> http::Result<http::Request<Full<Bytes>>> {
        let path = std::str::from_utf8(&self.head.path).unwrap_or("/");
        let method = match self.head.method {
            forward::Method::Get => http::Method::GET,
            forward::Method::Post => http::Method::POST,
        };
        let mut builder = http::Request::builder()
            .method(method)
            .uri(path)
            .header(endpoint::REQUEST_HEADER, self.head.request.to_string())
            .header(endpoint::PRIORITY_HEADER, self.head.priority.to_string());
        if let Ok(content_type) = http::HeaderValue::from_bytes(&self.head.content_type)
            && !content_type.is_empty()
        {
            builder = builder.header(http::header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = self.head.idempotency_key {
            builder = builder.header(endpoint::KEY_HEADER, key.to_string());
        }
        if let Some(id) = last_event_id {
            builder = builder.header("last-event-id", id.to_string());
        }
        builder.body(Full::new(self.body.clone()))
    }
}

/// Failure of a request whose path is not a valid URI.
fn malformed() -> AttemptError {
    let reason = reason::Refusal::BadRequest;
    endpoint::Failure::new(reason, outcome::Outcome::NotRun).into()
}

/// Result of a call whose receiver is closed.
///
/// Closing the connection stops the engine. A cancel request by request id is not sent: it could
/// arrive after a newer attempt has resumed the same run, and would cancel that attempt.
const fn receiver_closed() -> endpoint::CallResult {
    let reason = reason::Refusal::CallerGone;
    endpoint::CallResult::Failed(endpoint::Failure::new(reason, outcome::Outcome::Run))
}

/// Progress of the answer.
struct Progress {
    /// Place after the last complete event.
    place: place::Place,
    /// Number of tokens used, as reported by the endpoint.
    used: Option<units::Tokens>,
}

/// Classifies a failure to send. Without a connection the request did not run; after any later
/// failure it may have run.
fn send_failure(e: http_client::Error) -> AttemptError {
    let (reason, outcome) = match e {
        http_client::Error::NotSent(_) => {
            (reason::Refusal::ConnectFailed, outcome::Outcome::NotRun)
        }
        http_client::Error::TimedOut => (reason::Refusal::Stalled, outcome::Outcome::Unknown),
        http_client::Error::ConnectionLost(_) | http_client::Error::TooLong(_) => {
            (reason::Refusal::ConnectionLost, outcome::Outcome::Unknown)
        }
        http_client::Error::NoFinalAnswer(_) => {
            (reason::Refusal::AnswerIncomplete, outcome::Outcome::Unknown)
        }
        http_client::Error::Cancelled => return AttemptError::ReceiverClosed,
    };
    endpoint::Failure::new(reason, outcome).into()
}

/// Detects an answer in which the endpoint refuses the request without running it.
fn endpoint_refusal(response: &http_client::Response) -> Option<AttemptError> {
    let outcome = response.header(endpoint::OUTCOME_HEADER);
    if outcome != outcome::Outcome::NotRun.as_str() {
        return None;
    }
    let retry_after = response.header(http::header::RETRY_AFTER.as_str());
    let seconds = std::str::from_utf8(&retry_after)
        .ok()
        .and_then(|text| text.parse().ok());
    Some(AttemptError::Failed(endpoint::Failure {
        reason: reason::Refusal::EndpointRefused,
        outcome: outcome::Outcome::NotRun,
        retry_after: seconds.map(Duration::from_secs),
    }))
}

/// Whether the answer is a stream of events that the endpoint runs. Any other status answers the
/// request as a whole.
fn is_event_stream(response: &http_client::Response) -> bool {
    let content_type = response.header(http::header::CONTENT_TYPE.as_str());
    response.head.status == http::StatusCode::OK && content_type.starts_with(b"text/event-stream")
}

fn read_events(
    response: http_client::Response,
    sender: &mut answer_sender::AnswerSender,
    progress: &mut Progress,
) -> Result<(), AttemptError> {
    let mut events = events::EventReader::new(response);
    loop {
        let event = match events.next_event() {
            Ok(Some(event)) => event,
            Ok(None) => return Err(AttemptError::Truncated(reason::Refusal::ConnectionLost)),
            Err(e) => return Err(truncation_error(&e)),
        };
        let Some(place) = progress.place.advance(event.kind) else {
            return Err(AttemptError::Truncated(reason::Refusal::AnswerIncomplete));
        };
        progress.place = place;
        progress.used = progress.used.max(event.data().and_then(used_tokens));
        sender.send_chunk(event.bytes.clone(), event.id())?;
        if event.kind == events::Kind::End {
            return Ok(());
        }
    }
}

/// Classifies a read error of an event stream.
fn truncation_error(e: &io::Error) -> AttemptError {
    match e.kind() {
        io::ErrorKind::BrokenPipe => AttemptError::ReceiverClosed,
        io::ErrorKind::TimedOut => AttemptError::Truncated(reason::Refusal::Stalled),
        _ => AttemptError::Truncated(reason::Refusal::ConnectionLost),
    }
}

/// Reads the complete body before forwarding any of it.
fn read_body(
    response: http_client::Response,
    sender: &mut answer_sender::AnswerSender,
) -> Result<(), AttemptError> {
    let truncated =
        |reason| AttemptError::from(endpoint::Failure::new(reason, outcome::Outcome::Run));
    let content_type = response.header(http::header::CONTENT_TYPE.as_str());
    let body = response.read_to_end(u64::MAX).map_err(|e| match e {
        http_client::Error::Cancelled => AttemptError::ReceiverClosed,
        http_client::Error::TimedOut => truncated(reason::Refusal::Stalled),
        http_client::Error::NotSent(_)
        | http_client::Error::ConnectionLost(_)
        | http_client::Error::NoFinalAnswer(_)
        | http_client::Error::TooLong(_) => truncated(reason::Refusal::AnswerIncomplete),
    })?;
    let mut body = match body {
        http_client::Body::Whole(body) => body,
        http_client::Body::Unframed(body) if is_whole_json(&content_type, &body) => body,
        http_client::Body::Unframed(_) => {
            return Err(truncated(reason::Refusal::AnswerIncomplete));
        }
    };
    while !body.is_empty() {
        let chunk = body.split_to(body.len().min(MAX_CHUNK_BYTES));
        sender.send_chunk(chunk, None)?;
    }
    Ok(())
}

/// Whether the body is a JSON object or array. No proper prefix of one is valid JSON.
fn is_whole_json(content_type: &[u8], body: &[u8]) -> bool {
    content_type.starts_with(b"application/json")
        && matches!(body.trim_ascii_start(), [b'{' | b'[', ..])
        && serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

/// Parses the number of used tokens in an OpenAI-compatible event or answer.
fn used_tokens(data: &[u8]) -> Option<units::Tokens> {
    #[derive(serde::Deserialize)]
    struct Usage {
        total_tokens: u64,
    }
    #[derive(serde::Deserialize)]
    struct Answer {
        usage: Option<Usage>,
    }
    let answer: Answer = serde_json::from_slice(data).ok()?;
    answer.usage.map(|usage| units::Tokens(usage.total_tokens))
}
