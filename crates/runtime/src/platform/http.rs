//! HTTP calls to the platform with limits on time and size.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;

use crate::http_client;

/// Limits of one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Longest time until the answer is complete.
    pub(super) timeout: Duration,
    /// Largest answer, in bytes.
    pub(super) max_bytes: u64,
}

/// Why a call has no complete answer.
#[derive(Debug)]
pub(super) enum Failure {
    /// The request was not sent.
    NotSent(io::Error),
    /// The request was sent, at least in part.
    Sent(String),
}

/// A complete answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Sends a `GET` and reads the answer.
pub(super) fn get(addr: SocketAddr, path: &str, limits: Limits) -> Result<Answer, Failure> {
    let req = Request::get(path).body(Full::default());
    read_all(req, addr, limits)
}

/// Sends a `POST` with a JSON body and reads the answer.
pub(super) fn post(
    addr: SocketAddr,
    path: &str,
    body: &[u8],
    limits: Limits,
) -> Result<Answer, Failure> {
    read_all(json(path, body), addr, limits)
}

/// Sends a `POST` whose answer is an endless stream. Reading the stream fails after `idle` without
/// data.
pub(super) fn post_stream(
    addr: SocketAddr,
    path: &str,
    body: &[u8],
    connect: Duration,
    idle: Duration,
) -> Result<http_client::Response, Failure> {
    let timeouts = http_client::Timeouts {
        connect,
        idle,
        total: None,
    };
    send(json(path, body), addr, timeouts)
}

fn json(path: &str, body: &[u8]) -> http::Result<Request<Full<Bytes>>> {
    Request::post(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::copy_from_slice(body)))
}

fn send(
    req: http::Result<Request<Full<Bytes>>>,
    addr: SocketAddr,
    timeouts: http_client::Timeouts,
) -> Result<http_client::Response, Failure> {
    let req = req.map_err(|e| Failure::NotSent(io::Error::other(e)))?;
    let sent = http_client::send(addr, req, timeouts, http_client::Cancellation::Never);
    sent.map_err(|e| match e {
        http_client::Error::NotSent(e) => Failure::NotSent(e),
        e => Failure::Sent(e.to_string()),
    })
}

/// Sends a request and reads its answer to the end.
///
/// The HTTP client detects a body that is shorter than its declared length or that lacks its last
/// chunk. A body that ends with its connection can be truncated without an error, but all answers
/// of the platform are JSON objects, and no proper prefix of a JSON object parses as one.
fn read_all(
    req: http::Result<Request<Full<Bytes>>>,
    addr: SocketAddr,
    limits: Limits,
) -> Result<Answer, Failure> {
    let timeouts = http_client::Timeouts {
        connect: limits.timeout,
        idle: limits.timeout,
        total: Some(limits.timeout),
    };
    let resp = send(req, addr, timeouts)?;
    let status = resp.head.status.as_u16();
    let body = resp.read_to_end(limits.max_bytes).map_err(|e| match e {
        http_client::Error::TooLong(_) => Failure::Sent(e.to_string()),
        e => Failure::Sent(format!("the answer was cut: {e}")),
    })?;
    match body {
        http_client::Body::Whole(body) | http_client::Body::Unframed(body) => {
            Ok(Answer { status, body })
        }
    }
}
