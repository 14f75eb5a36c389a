//! Answers and refusals to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use pistachiochute_core::{answer, name, outcome, reason, request, retry};

use crate::entry::parse;
use crate::listener::{Answer, Disconnected, EVENT_STREAM, Stream};
use crate::{control, endpoint, entry};

/// A refusal, or the error that ends an incomplete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Id of the request.
    pub request: request::RequestId,
    /// Reason code.
    pub reason: reason::Refusal,
    /// Whether the request ran, as far as the host can tell.
    pub outcome: outcome::Outcome,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Message for the caller.
    pub message: String,
}

impl Refused {
    /// Refuses a request that failed validation.
    pub fn invalid(request: request::RequestId, error: parse::RequestError) -> Self {
        Self {
            request,
            reason: error.reason,
            outcome: outcome::Outcome::NotRun,
            retry_after: None,
            message: error.message,
        }
    }

    /// Refuses a request that the control thread did not admit.
    pub fn not_admitted(request: request::RequestId, refused: control::Refused) -> Self {
        Self {
            request,
            reason: refused.reason,
            outcome: outcome::Outcome::NotRun,
            retry_after: refused.retry_after,
            message: refused.message,
        }
    }

    /// Refuses a request because all entry threads or connections are in use.
    pub fn busy(request: request::RequestId) -> Self {
        Self {
            request,
            reason: reason::Refusal::TooManyConnections,
            outcome: outcome::Outcome::NotRun,
            retry_after: Some(Duration::from_secs(1)),
            message: "the host serves as many requests as it may".to_owned(),
        }
    }

    /// Refuses a request that is not retried any further.
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

/// Sends a plain-text answer.
pub fn text(answer: Answer, status: StatusCode, text: &'static str) {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()));
    *response.status_mut() = status;
    set(&mut response, header::CONTENT_TYPE.as_str(), "text/plain");
    // The caller may have disconnected, in which case there is nothing left to do.
    let _ = answer.send(response);
}

/// Builds a JSON answer.
fn json(status: StatusCode, body: String) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let name = header::CONTENT_TYPE.as_str();
    set(&mut response, name, "application/json");
    response
}

/// Sends a list of models in the format of the OpenAI API.
pub fn models(answer: Answer, request: request::RequestId, models: &[name::ModelName]) {
    let model = |name| {
        serde_json::json!({
            "id": name, "object": "model", "created": 0, "owned_by": "pistachiochute",
        })
    };
    let data: Vec<_> = models.iter().map(model).collect();
    let body = serde_json::json!({ "object": "list", "data": data }).to_string();
    let mut response = json(StatusCode::OK, body);
    set_outcome(&mut response, request, outcome::Outcome::Run);
    // The caller may have disconnected, in which case there is nothing left to do.
    let _ = answer.send(response);
}

/// Counts a refusal in the metrics and logs it.
pub fn record_refusal(cx: &entry::Context, refused: &Refused) {
    cx.metrics.refused(refused.reason);
    slog::info!(cx.log, "refused";
        "request" => %refused.request, "reason" => %refused.reason,
        "outcome" => %refused.outcome);
}

/// Encodes a refusal as a complete HTTP answer that closes its connection.
pub fn raw_refusal(refused: &Refused) -> Bytes {
    let body = refused.body();
    let status = status_of(refused.reason.status());
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         {}: {}\r\nretry-after: 1\r\nconnection: close\r\n\r\n",
        body.len(),
        endpoint::OUTCOME_HEADER,
        refused.outcome,
    );
    Bytes::from(head + &body)
}

/// Sends a refusal.
pub fn refuse(cx: &entry::Context, answer: Answer, refused: &Refused) {
    record_refusal(cx, refused);
    let mut response = json(status_of(refused.reason.status()), refused.body());
    set_outcome(&mut response, refused.request, refused.outcome);
    if let Some(delay) = refused.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0);
        let seconds = format!("{seconds:.0}");
        set(&mut response, header::RETRY_AFTER.as_str(), &seconds);
    }
    // The caller may have disconnected, in which case there is nothing left to do.
    let _ = answer.send(response);
}

/// Sends a complete answer of an endpoint.
pub fn complete(
    answer: Answer,
    request: request::RequestId,
    head: &answer::Head,
    body: Bytes,
) -> Result<(), Disconnected> {
    answer.send(endpoint_head(request, head).map(|()| body))
}

/// Builds the status and headers for an answer of an endpoint.
fn endpoint_head(request: request::RequestId, head: &answer::Head) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status_of(head.status);
    // A content type that is not a valid header value is left out.
    if let Ok(value) = HeaderValue::from_bytes(&head.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    set_outcome(&mut response, request, outcome::Outcome::Run);
    response
}

/// Converts a status code. Invalid codes can only come from an endpoint and become 502.
fn status_of(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

fn set_outcome<B>(
    response: &mut Response<B>,
    request: request::RequestId,
    outcome: outcome::Outcome,
) {
    set(response, endpoint::REQUEST_HEADER, &request.to_string());
    set(response, endpoint::OUTCOME_HEADER, outcome.as_str());
}

/// Sets a header to a value that the host itself produces.
fn set<B>(response: &mut Response<B>, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("values of the host are plain ASCII");
    response.headers_mut().insert(name, value);
}

/// A streamed answer of an endpoint, by what may stand in its body.
#[derive(Debug)]
pub enum Streamed {
    /// Events, between which an error event may stand.
    Events(Stream),
    /// A body in which any other text would be taken for a part of it.
    Opaque(Stream),
}

impl Streamed {
    /// Sends a chunk of the answer.
    pub fn send_chunk(&self, data: Bytes) -> Result<(), Disconnected> {
        match self {
            Self::Events(stream) | Self::Opaque(stream) => stream.send_chunk(data),
        }
    }

    /// Ends a complete answer.
    pub fn finish(self) -> Result<(), Disconnected> {
        match self {
            Self::Events(stream) | Self::Opaque(stream) => stream.finish(),
        }
    }

    /// Closes the connection of an incomplete answer, after an error event if there may be one.
    pub fn abort(self, refused: &Refused) {
        match self {
            Self::Events(stream) => {
                let event = format!("event: error\ndata: {}\n\n", refused.body());
                // The caller may have disconnected, in which case there is nothing left to do.
                let _ = stream.send_chunk(Bytes::from(event));
            }
            Self::Opaque(stream) => drop(stream),
        }
    }
}

/// Starts a streamed answer of an endpoint.
pub fn stream(
    answer: Answer,
    request: request::RequestId,
    head: &answer::Head,
) -> Result<Streamed, Disconnected> {
    let mut response = endpoint_head(request, head);
    set(&mut response, header::CACHE_CONTROL.as_str(), "no-store");
    let stream = answer.start_stream(response)?;
    match head.content_type.starts_with(EVENT_STREAM) {
        true => Ok(Streamed::Events(stream)),
        false => Ok(Streamed::Opaque(stream)),
    }
}
