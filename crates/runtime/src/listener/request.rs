//! Requests as they are read from connections.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time;

/// Time in which the rest of a request is discarded beside its answer, so that closing the
/// connection does not discard the answer.
const LINGER: Duration = Duration::from_millis(200);

/// Bounds on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// Longest body, in bytes.
    pub bytes: u64,
    /// Time in which it must arrive.
    pub time: Duration,
}

/// A request that was read.
#[derive(Debug)]
pub struct Request {
    /// Method, target and headers.
    pub head: http::request::Parts,
    /// The whole body, or why there is none.
    pub body: Result<Bytes, BodyFault>,
}

impl Request {
    /// Reads a request whole.
    pub(super) async fn read(req: http::Request<Incoming>, bounds: Bounds) -> Self {
        let (head, mut body) = req.into_parts();
        let reading = time::timeout(bounds.time, read_body(&mut body, bounds.bytes)).await;
        let whole = reading.unwrap_or_else(|_| {
            let message = "the body did not arrive in time";
            Err(BodyFault::Truncated(message.to_owned()))
        });
        if whole.is_err() {
            discard(body);
        }
        Self { head, body: whole }
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

    /// Value of a header, or nothing.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&http::HeaderValue> {
        self.head.headers.get(name)
    }
}

/// Why a request has no whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is longer than the bound.
    TooLarge,
    /// It ended early or did not arrive in time.
    Truncated(String),
}

/// Reads a body within its bound.
async fn read_body(body: &mut Incoming, max: u64) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > max {
        return Err(BodyFault::TooLarge);
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyFault::Truncated(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        whole.extend_from_slice(&data);
        if whole.len() as u64 > max {
            return Err(BodyFault::TooLarge);
        }
    }
    Ok(whole.freeze())
}

/// Reads the rest of a body beside its answer.
fn discard(mut body: Incoming) {
    let discarding = async move { while let Some(Ok(_)) = body.frame().await {} };
    drop(tokio::spawn(time::timeout(LINGER, discarding)));
}
