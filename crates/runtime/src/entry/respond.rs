//! Writes answers and refusals to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use pistachiochute_core::{answer, name, outcome, reason, request, retry};

use crate::entry::parse;
use crate::listener::{Answer, Disconnected, Stream};
use crate::{control, endpoint, entry};

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
    pub fn invalid(request: request::RequestId, error: parse::RequestError) -> Self {
        Self {
            request,
            reason: error.reason,
            outcome: outcome::Outcome::NotRun,
            retry_after: None,
            message: error.message,
        }
    }

    /// A request that the control thread did not admit.
    pub fn not_admitted(request: request::RequestId, refused: control::Refused) -> Self {
        Self {
            request,
            reason: refused.reason,
            outcome: outcome::Outcome::NotRun,
            retry_after: refused.retry_after,
            message: refused.message,
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
pub fn text(answer: Answer, status: StatusCode, text: &'static str) {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()));
    *response.status_mut() = status;
    set(&mut response, header::CONTENT_TYPE.as_str(), "text/plain");
    // The caller may be gone, which nobody needs to know.
    let _ = answer.send(response);
}

/// A JSON answer.
fn json(status: StatusCode, body: String) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let name = header::CONTENT_TYPE.as_str();
    set(&mut response, name, "application/json");
    response
}

/// Answers with models, in the form of the OpenAI API.
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
    // The caller may be gone, which nobody needs to know.
    let _ = answer.send(response);
}

/// Counts and logs a refusal.
pub fn record_refusal(cx: &entry::Context, refused: &Refused) {
    cx.metrics.refused(refused.reason);
    slog::info!(cx.log, "refused";
        "request" => %refused.request, "reason" => %refused.reason,
        "outcome" => %refused.outcome);
}

/// A refusal as the bytes of an answer that ends its connection.
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

/// Answers with a refusal.
pub fn refuse(cx: &entry::Context, answer: Answer, refused: &Refused) {
    record_refusal(cx, refused);
    let mut response = json(status_of(refused.reason.status()), refused.body());
    set_outcome(&mut response, refused.request, refused.outcome);
    if let Some(delay) = refused.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0);
        let seconds = format!("{seconds:.0}");
        set(&mut response, header::RETRY_AFTER.as_str(), &seconds);
    }
    // The caller may be gone, which nobody needs to know.
    let _ = answer.send(response);
}

/// Answers with a whole answer of an endpoint.
pub fn complete(
    answer: Answer,
    request: request::RequestId,
    head: &answer::Head,
    body: Bytes,
) -> Result<(), Disconnected> {
    answer.send(endpoint_head(request, head).map(|()| body))
}

/// Status and headers of an endpoint's answer.
fn endpoint_head(request: request::RequestId, head: &answer::Head) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status_of(head.status);
    // A content type that no header can carry is left out.
    if let Ok(value) = HeaderValue::from_bytes(&head.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    set_outcome(&mut response, request, outcome::Outcome::Run);
    response
}

/// Status of a code. One that is none can only come from an endpoint.
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

/// Sets a header to a value of the host's own.
fn set<B>(response: &mut Response<B>, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("values of the host are plain ASCII");
    response.headers_mut().insert(name, value);
}

/// Begins an answer of an endpoint that is sent piece by piece.
pub fn stream(
    answer: Answer,
    request: request::RequestId,
    head: &answer::Head,
) -> Result<Stream, Disconnected> {
    let mut response = endpoint_head(request, head);
    set(&mut response, header::CACHE_CONTROL.as_str(), "no-store");
    answer.start_stream(response)
}

/// Ends an answer that is not whole: an error event, and then the connection.
pub fn abort(stream: Stream, refused: &Refused) {
    let event = format!("event: error\ndata: {}\n\n", refused.body());
    // The caller may be gone, which nobody needs to know.
    let _ = stream.send_chunk(Bytes::from(event));
}
