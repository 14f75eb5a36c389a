//! One call to an endpoint, with resumption of a cut stream.

use std::io;
use std::net;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use pistachiochute_core::{outcome, reason, request, units};
use pistachiochute_messages::forward;

use crate::endpoint::{answer_sender, events};
use crate::{endpoint, http_client};

/// Times that a cut stream is resumed before the call fails.
const MAX_RESUMES: u32 = 3;

/// Largest piece of an answer that is not a stream of events, in bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A call to one endpoint.
#[derive(Debug)]
pub struct Call<'a> {
    /// Address of the endpoint.
    pub addr: net::SocketAddr,
    /// Request to send.
    pub head: &'a forward::Forward,
    /// Body of the request.
    pub body: &'a Bytes,
    /// Times after which the call is given up.
    pub timeouts: endpoint::Timeouts,
}

/// Why a part of a call stopped.
enum AttemptError {
    ReceiverClosed,
    Failed(endpoint::Failure),
    /// The stream was cut after the event with this id, if any.
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
    /// Sends the request and passes the answer on. The end marker is left to the caller.
    pub fn run(&self, sender: &mut answer_sender::AnswerSender) -> endpoint::CallResult {
        let mut last_event_id = self.head.resume_after;
        let mut resumes = 0;
        loop {
            let mut progress = Progress {
                last_event_id,
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
                    if !self.may_resume(&progress) || resumes > MAX_RESUMES {
                        let failure = endpoint::Failure::new(reason, outcome::Outcome::Run);
                        return endpoint::CallResult::Failed(failure);
                    }
                    last_event_id = progress.last_event_id;
                }
            }
        }
    }

    /// Whether the call may be sent again to go on with a cut stream. An endpoint that does not
    /// know resumption would run it a second time.
    fn may_resume(&self, progress: &Progress) -> bool {
        progress.last_event_id.is_some()
            && self.head.idempotency == request::Idempotency::Idempotent
    }

    fn attempt(
        &self,
        sender: &mut answer_sender::AnswerSender,
        progress: &mut Progress,
    ) -> Result<(), AttemptError> {
        let response = self.send(sender, progress.last_event_id)?;
        let status = response.head.status.as_u16();
        endpoint_refusal(&response).map_or(Ok(()), Err)?;
        if progress.last_event_id.is_some() && status != http::StatusCode::OK {
            return Err(AttemptError::Truncated(reason::Refusal::ConnectionLost));
        }
        let content_type = response.header(http::header::CONTENT_TYPE.as_str());
        sender.send_head(status, content_type.clone())?;
        if content_type.starts_with(b"text/event-stream") {
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

    /// The request as the endpoint gets it.
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

/// A request that cannot be sent, since its path is none.
fn malformed() -> AttemptError {
    let reason = reason::Refusal::BadRequest;
    endpoint::Failure::new(reason, outcome::Outcome::NotRun).into()
}

/// Ends the call of a receiver that went away.
///
/// Closing the connection stops the engine. A cancel by the id of the request could reach it after
/// a newer attempt has taken the same run over, and would end that one.
const fn receiver_closed() -> endpoint::CallResult {
    let reason = reason::Refusal::CallerGone;
    endpoint::CallResult::Failed(endpoint::Failure::new(reason, outcome::Outcome::Run))
}

/// How far the answer has come.
struct Progress {
    /// Id of the last whole event.
    last_event_id: Option<u32>,
    /// Tokens that the endpoint reports to have used.
    used: Option<units::Tokens>,
}

/// A request that could not be connected did not run; any later failure may have come after.
fn send_failure(e: http_client::Error) -> AttemptError {
    let (reason, outcome) = match e {
        http_client::Error::NotSent(_) => {
            (reason::Refusal::ConnectFailed, outcome::Outcome::NotRun)
        }
        http_client::Error::TimedOut => (reason::Refusal::Stalled, outcome::Outcome::Unknown),
        http_client::Error::ConnectionLost(_) | http_client::Error::TooLong(_) => {
            (reason::Refusal::ConnectionLost, outcome::Outcome::Unknown)
        }
        http_client::Error::Cancelled => return AttemptError::ReceiverClosed,
    };
    endpoint::Failure::new(reason, outcome).into()
}

/// Failure that an endpoint's own refusal before running stands for.
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
        progress.used = progress.used.max(event.data().and_then(used_tokens));
        progress.last_event_id = event.id.or(progress.last_event_id);
        sender.send_chunk(event.bytes.clone(), event.id)?;
        if event.done {
            return Ok(());
        }
    }
}

/// Why a stream of events ended early.
fn truncation_error(e: &io::Error) -> AttemptError {
    match e.kind() {
        io::ErrorKind::BrokenPipe => AttemptError::ReceiverClosed,
        io::ErrorKind::TimedOut => AttemptError::Truncated(reason::Refusal::Stalled),
        _ => AttemptError::Truncated(reason::Refusal::ConnectionLost),
    }
}

/// Reads a whole body before any of it is passed on.
fn read_body(
    response: http_client::Response,
    sender: &mut answer_sender::AnswerSender,
) -> Result<(), AttemptError> {
    let truncated =
        |reason| AttemptError::from(endpoint::Failure::new(reason, outcome::Outcome::Run));
    let mut body = response.read_to_end(u64::MAX).map_err(|e| match e {
        http_client::Error::Cancelled => AttemptError::ReceiverClosed,
        http_client::Error::TimedOut => truncated(reason::Refusal::Stalled),
        http_client::Error::NotSent(_)
        | http_client::Error::ConnectionLost(_)
        | http_client::Error::TooLong(_) => truncated(reason::Refusal::AnswerIncomplete),
    })?;
    while !body.is_empty() {
        let chunk = body.split_to(body.len().min(MAX_CHUNK_BYTES));
        sender.send_chunk(chunk, None)?;
    }
    Ok(())
}

/// Tokens that an OpenAI-compatible event or answer reports to have used.
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
