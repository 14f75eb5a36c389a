//! Responses of the admin API.

use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::reason;
use serde_json::{Value, json};

use crate::listener;

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// A response to an operator.
#[derive(Clone, Debug)]
pub struct Reply {
    status: u16,
    content_type: &'static str,
    body: String,
    retry_after: Option<Duration>,
}

impl Reply {
    /// Creates a JSON response.
    pub fn json(status: u16, value: &Value) -> Self {
        let body = format!("{value:#}\n");
        Self {
            status,
            content_type: "application/json",
            body,
            retry_after: None,
        }
    }

    /// Creates a plain-text response.
    pub fn text(status: u16, text: &str) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: text.to_owned(),
            retry_after: None,
        }
    }

    /// Creates a response with metrics in the Prometheus text format.
    pub fn metrics(text: String) -> Self {
        Self {
            status: 200,
            content_type: METRICS_TYPE,
            body: text,
            retry_after: None,
        }
    }

    /// Creates an error response with a reason code.
    pub fn error<M>(reason: reason::Refusal, message: M) -> Self
    where
        M: Into<String>,
    {
        Self::error_with(reason, message, json!({}))
    }

    /// Creates an error response with a reason code and further fields.
    pub fn error_with<M>(reason: reason::Refusal, message: M, fields: Value) -> Self
    where
        M: Into<String>,
    {
        let mut error = fields;
        error["code"] = json!(reason);
        error["message"] = json!(message.into());
        Self::json(reason.status(), &json!({ "error": error }))
    }

    /// Creates the response of a host that has no thread free for another admin request.
    pub fn busy() -> Self {
        Self {
            retry_after: Some(Duration::from_secs(1)),
            ..Self::error(reason::Refusal::TooManyConnections, "the host is busy")
        }
    }

    /// Adds a `Retry-After` header.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }

    /// Sends the response.
    pub fn send(self, answer: listener::Answer) {
        let mut response = http::Response::new(Bytes::from(self.body));
        *response.status_mut() =
            http::StatusCode::from_u16(self.status).expect("statuses of the host are valid");
        let headers = response.headers_mut();
        let content_type = http::HeaderValue::from_static(self.content_type);
        headers.insert(http::header::CONTENT_TYPE, content_type);
        if let Some(delay) = self.retry_after {
            let seconds = http::HeaderValue::from(delay.as_secs().max(1));
            headers.insert(http::header::RETRY_AFTER, seconds);
        }
        // Errors are ignored: the operator may have disconnected.
        let _ = answer.send(response);
    }
}
