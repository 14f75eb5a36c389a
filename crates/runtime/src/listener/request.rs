//! Requests read from connections.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use pistachiochute_core::reason;
use tokio::time;

/// Time for which the rest of a refused request is read and discarded while the answer is sent.
/// Closing a connection with unread data resets it, and the caller could lose the answer.
const LINGER: Duration = Duration::from_millis(200);

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// Largest body, in bytes.
    pub max_bytes: u64,
    /// Timeout of reading the body.
    pub timeout: Duration,
}

/// A request with its body.
#[derive(Debug)]
pub struct Request {
    /// Method, target and headers.
    pub head: http::request::Parts,
    /// The complete body, or why there is none.
    pub body: Result<Bytes, BodyError>,
}

impl Request {
    /// Reads the body of a request.
    pub(super) async fn read(req: http::Request<Incoming>, limits: BodyLimits) -> Self {
        let (head, mut body) = req.into_parts();
        let reading = time::timeout(limits.timeout, read_body(&mut body, limits.max_bytes)).await;
        let body_result = reading.unwrap_or_else(|_| {
            let message = "the body did not arrive in time";
            Err(BodyError::Truncated(message.to_owned()))
        });
        if body_result.is_err() {
            discard(body);
        }
        Self {
            head,
            body: body_result,
        }
    }

    /// Path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Path and query.
    #[must_use]
    pub fn target(&self) -> &str {
        let target = self.head.uri.path_and_query();
        target.map_or("", http::uri::PathAndQuery::as_str)
    }

    /// Value of a header, if the request has it.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&http::HeaderValue> {
        self.head.headers.get(name)
    }
}

/// Why a request has no complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The body ended early or did not arrive in time.
    Truncated(String),
}

impl BodyError {
    /// Returns the reason code and message for the sender, where `max` is the limit in bytes.
    #[must_use]
    pub fn refusal(self, max: u64) -> (reason::Refusal, String) {
        match self {
            Self::TooLarge => {
                let message = format!("the body exceeds {max} bytes");
                (reason::Refusal::BodyTooLarge, message)
            }
            Self::Truncated(message) => (reason::Refusal::BodyTruncated, message),
        }
    }
}

/// Reads a body of at most `max` bytes.
async fn read_body(body: &mut Incoming, max: u64) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max {
        return Err(BodyError::TooLarge);
    }
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    match Limited::new(body, max).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(e) => Err(BodyError::Truncated(e.to_string())),
    }
}

/// Reads and discards the rest of a body in the background.
fn discard(mut body: Incoming) {
    let discarding = async move { while let Some(Ok(_)) = body.frame().await {} };
    drop(tokio::spawn(time::timeout(LINGER, discarding)));
}
