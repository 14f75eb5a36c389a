//! HTTP calls to the platform with bounded time and size.

use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

/// Bounds of one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// Longest time until the answer is whole.
    pub(super) total: Duration,
    /// Longest answer, in bytes.
    pub(super) answer: u64,
}

/// Why a call has no whole answer.
#[derive(Debug)]
pub(super) enum Failure {
    /// No connection was made.
    NotSent(io::Error),
    /// The call was sent, at least in part.
    Sent(String),
}

/// A whole answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Sends a `GET`.
pub(super) fn get(addr: SocketAddr, path: &str, bounds: Bounds) -> Result<Answer, Failure> {
    let req = attohttpc::get(format!("http://{addr}{path}"));
    let sent = prepare(req, bounds.total).timeout(bounds.total).send();
    whole(sent.map_err(failure)?, bounds.answer)
}

/// Sends a `POST` with a JSON body.
pub(super) fn post(
    addr: SocketAddr,
    path: &str,
    body: &[u8],
    bounds: Bounds,
) -> Result<Answer, Failure> {
    let req = attohttpc::post(format!("http://{addr}{path}"));
    let req = prepare(req, bounds.total)
        .header("content-type", "application/json")
        .bytes(body);
    let sent = req.timeout(bounds.total).send();
    whole(sent.map_err(failure)?, bounds.answer)
}

/// Sends a `POST` whose answer is a stream that may be silent for `idle` at most.
pub(super) fn open(
    addr: SocketAddr,
    path: &str,
    body: &[u8],
    connect: Duration,
    idle: Duration,
) -> Result<attohttpc::Response, Failure> {
    let req = attohttpc::post(format!("http://{addr}{path}"));
    let req = prepare(req, connect)
        .header("content-type", "application/json")
        .bytes(body);
    req.read_timeout(idle).send().map_err(failure)
}

/// Sets what all calls have in common. The platform is reached by IP number, so that no proxy of
/// the environment applies, and it does not redirect.
fn prepare<B>(
    req: attohttpc::RequestBuilder<B>,
    timeout: Duration,
) -> attohttpc::RequestBuilder<B> {
    req.connect_timeout(timeout)
        .read_timeout(timeout)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
}

/// Sorts an error of the client by whether the call may have been sent.
///
/// Only errors that the system call to connect alone gives are proof that it was not. A timeout
/// may come from connecting as well as from reading.
fn failure(err: attohttpc::Error) -> Failure {
    let text = err.to_string();
    match err.into_kind() {
        attohttpc::ErrorKind::Io(err) if is_connect_error(err.kind()) => Failure::NotSent(err),
        _ => Failure::Sent(text),
    }
}

const fn is_connect_error(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::AddrNotAvailable
    )
}

/// Reads an answer up to its end.
///
/// The client checks the last chunk of a chunked body, but takes a body that ends before its
/// declared length as whole, so the length is checked here. It hides whether a body without a
/// length was chunked or ended with its connection. All answers of the platform are JSON objects,
/// and no beginning of a JSON object is one itself, so parsing them detects the remaining cuts.
fn whole(resp: attohttpc::Response, max: u64) -> Result<Answer, Failure> {
    let (status, headers, reader) = resp.split();
    let length = headers
        .get("content-length")
        .and_then(|value| value.to_str().ok());
    let length = length.and_then(|text| text.parse::<u64>().ok());
    let mut body = Vec::new();
    let read = reader.take(max.saturating_add(1)).read_to_end(&mut body);
    read.map_err(|err| Failure::Sent(format!("the answer was cut: {err}")))?;
    let got = body.len() as u64;
    if got > max {
        return Err(Failure::Sent(format!(
            "the answer is longer than {max} bytes"
        )));
    }
    match length {
        Some(length) if length != got => {
            let reason = format!("the answer was cut after {got} of {length} bytes");
            Err(Failure::Sent(reason))
        }
        _ => Ok(Answer {
            status: status.as_u16(),
            body: body.into(),
        }),
    }
}
