//! Answers to operators.

use std::time::Duration;

use pistachiochute_core::reason;
use serde_json::{Value, json};

/// Type of a text that Prometheus reads.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// An answer to an operator.
#[derive(Clone, Debug)]
pub struct Reply {
    status: u16,
    content_type: &'static str,
    body: String,
    retry_after: Option<Duration>,
}

impl Reply {
    /// A JSON answer.
    pub fn json(status: u16, value: &Value) -> Self {
        let body = format!("{value:#}\n");
        Self {
            status,
            content_type: "application/json",
            body,
            retry_after: None,
        }
    }

    /// A line of text.
    pub fn text(status: u16, text: &str) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: text.to_owned(),
            retry_after: None,
        }
    }

    /// Metrics for Prometheus.
    pub fn metrics(text: String) -> Self {
        Self {
            status: 200,
            content_type: METRICS_TYPE,
            body: text,
            retry_after: None,
        }
    }

    /// An error with its reason code.
    pub fn error<M>(reason: reason::Refusal, message: M) -> Self
    where
        M: Into<String>,
    {
        Self::error_with(reason, message, json!({}))
    }

    /// An error with its reason code and further fields beside the message.
    pub fn error_with<M>(reason: reason::Refusal, message: M, fields: Value) -> Self
    where
        M: Into<String>,
    {
        let mut error = fields;
        error["code"] = json!(reason);
        error["message"] = json!(message.into());
        Self::json(reason.status(), &json!({ "error": error }))
    }

    /// The answer of a host that serves as many operators as it may.
    pub fn busy() -> Self {
        Self {
            retry_after: Some(Duration::from_secs(1)),
            ..Self::error(reason::Refusal::TooManyConnections, "the host is busy")
        }
    }

    /// The answer with a delay after which the operator may come back.
    pub fn after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }

    /// Sends the answer.
    pub fn send(self, req: tiny_http::Request) {
        let mut response =
            tiny_http::Response::from_string(self.body).with_status_code(self.status);
        response.add_header(field("content-type", self.content_type));
        if let Some(delay) = self.retry_after {
            response.add_header(field("retry-after", &delay.as_secs().max(1).to_string()));
        }
        // The operator may be gone, which nobody needs to know.
        let _ = req.respond(response);
    }
}

fn field(name: &str, value: &str) -> tiny_http::Header {
    tiny_http::Header::from_bytes(name, value).expect("names and values are plain ASCII")
}
