//! Writes answers and refusals to callers.

use std::io;
use std::io::Write as _;
use std::time::Duration;

use bytes::Bytes;
use chunked_transfer::Encoder;
use pistachiochute_core::{answer, outcome, reason, request, retry};

use crate::entry::parse;
use crate::{endpoint, entry};

/// Bytes that are no chunk of a chunked body.
const NO_CHUNK: &[u8] = b"!\r\n";

/// A refusal, or an error in the place of the rest of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Id of the request.
    pub request: request::RequestId,
    /// Reason code.
    pub reason: reason::Refusal,
    /// Whether the request ran.
    pub outcome: outcome::Outcome,
    /// Delay after which the caller may come back.
    pub retry_after: Option<Duration>,
    /// What happened, for the caller.
    pub message: String,
}

impl Refused {
    /// A request that was refused when it was read.
    pub fn parse(request: request::RequestId, fault: parse::Fault) -> Self {
        Self {
            request,
            reason: fault.reason,
            outcome: outcome::Outcome::NotRun,
            retry_after: None,
            message: fault.message,
        }
    }

    /// A request for which the host has no thread.
    pub fn busy(request: request::RequestId) -> Self {
        Self {
            request,
            reason: reason::Refusal::TooManyConnections,
            outcome: outcome::Outcome::NotRun,
            retry_after: Some(Duration::from_secs(1)),
            message: "the host serves as many requests as it may".to_owned(),
        }
    }

    /// A request that is not sent again.
    pub fn given_up(request: request::RequestId, given_up: retry::GivenUp) -> Self {
        let message = match given_up.reason == given_up.cause {
            true => format!("the request failed: {}", given_up.reason),
            false => format!(
                "the request failed: {} after {}",
                given_up.reason, given_up.cause
            ),
        };
        Self {
            request,
            reason: given_up.reason,
            outcome: given_up.outcome,
            retry_after: given_up.retry_after,
            message,
        }
    }

    fn body(&self) -> String {
        let error = serde_json::json!({
            "error": {
                "code": self.reason,
                "message": self.message,
                "outcome": self.outcome,
                "request_id": self.request.to_string(),
            }
        });
        error.to_string()
    }
}

/// Answers with a line of text.
pub fn text(req: tiny_http::Request, status: u16, text: &str) {
    let response = tiny_http::Response::from_string(text).with_status_code(status);
    // The caller may be gone, which nobody needs to know.
    let _ = req.respond(response);
}

/// Counts and logs a refusal.
pub fn count(cx: &entry::Context, refused: &Refused) {
    cx.metrics.refused(refused.reason);
    slog::info!(cx.log, "refused";
        "request" => %refused.request, "reason" => %refused.reason,
        "outcome" => %refused.outcome);
}

/// A refusal as the bytes of an answer that ends its connection.
pub fn raw(refused: &Refused) -> Bytes {
    let body = refused.body();
    let status = refused.reason.status();
    let head = format!(
        "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         {}: {}\r\nretry-after: 1\r\nconnection: close\r\n\r\n",
        tiny_http::StatusCode(status).default_reason_phrase(),
        body.len(),
        endpoint::OUTCOME_HEADER,
        refused.outcome,
    );
    Bytes::from(head + &body)
}

/// Answers with a refusal.
pub fn refuse(cx: &entry::Context, req: tiny_http::Request, refused: &Refused) {
    count(cx, refused);
    let mut response = tiny_http::Response::from_string(refused.body())
        .with_status_code(refused.reason.status())
        .with_header(field("content-type", "application/json"))
        .with_header(field(
            endpoint::REQUEST_HEADER,
            &refused.request.to_string(),
        ))
        .with_header(field(endpoint::OUTCOME_HEADER, refused.outcome.as_str()));
    if let Some(delay) = refused.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0);
        response = response.with_header(field("retry-after", &format!("{seconds:.0}")));
    }
    let _ = req.respond(response);
}

/// Answers with a whole answer of an endpoint.
pub fn whole(
    req: tiny_http::Request,
    request: request::RequestId,
    head: &answer::Head,
    body: Bytes,
) -> io::Result<()> {
    let content_type = String::from_utf8_lossy(&head.content_type);
    let response = tiny_http::Response::from_data(body)
        .with_status_code(head.status)
        .with_header(field("content-type", &content_type))
        .with_header(field(endpoint::REQUEST_HEADER, &request.to_string()))
        .with_header(field(
            endpoint::OUTCOME_HEADER,
            outcome::Outcome::Run.as_str(),
        ))
        .with_chunked_threshold(usize::MAX);
    req.respond(response)
}

fn field(name: &str, value: &str) -> tiny_http::Header {
    tiny_http::Header::from_bytes(name, value).unwrap_or_else(|()| {
        // Only a value from an endpoint can fail; an empty one is always well-formed.
        tiny_http::Header::from_bytes("x-invalid", "").expect("constant header is well-formed")
    })
}

/// An answer that is written piece by piece.
pub struct Streaming {
    encoder: Encoder<Box<dyn io::Write + Send + 'static>>,
}

impl Streaming {
    /// Writes the head of the answer.
    pub fn start(
        req: tiny_http::Request,
        request: request::RequestId,
        head: &answer::Head,
    ) -> io::Result<Self> {
        let mut writer = req.into_writer();
        let content_type = String::from_utf8_lossy(&head.content_type);
        let reason = tiny_http::StatusCode(head.status);
        write!(
            writer,
            "HTTP/1.1 {} {}\r\ncontent-type: {content_type}\r\ncache-control: no-store\r\n\
             {}: {request}\r\n{}: {}\r\ntransfer-encoding: chunked\r\n\r\n",
            head.status,
            reason.default_reason_phrase(),
            endpoint::REQUEST_HEADER,
            endpoint::OUTCOME_HEADER,
            outcome::Outcome::Run,
        )?;
        writer.flush()?;
        Ok(Self {
            encoder: Encoder::with_flush_after_write(writer),
        })
    }

    /// Writes a piece. The encoder hands it to a buffered writer, which has to be flushed apart.
    pub fn piece(&mut self, data: &[u8]) -> io::Result<()> {
        self.encoder.write_all(data)?;
        self.encoder.get_mut().flush()
    }

    /// Ends a whole answer.
    pub fn close(self) -> io::Result<()> {
        drop(self.encoder);
        Ok(())
    }

    /// Ends an answer that is not whole: an error event, then bytes that are no chunk, so that no
    /// client takes the answer for whole.
    pub fn abort(mut self, refused: &Refused) -> io::Result<()> {
        write!(self.encoder, "event: error\ndata: {}\n\n", refused.body())?;
        let writer = self.encoder.get_mut();
        writer.write_all(NO_CHUNK)?;
        writer.flush()
    }
}
