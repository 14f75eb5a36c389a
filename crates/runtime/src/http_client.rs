//! Blocking HTTP/1.1 client that opens a new connection for every call.
//!
//! A new connection cannot have gone dead while idle in a pool, and closing it cancels the call on
//! the server. The connection is driven by the thread that waits for the answer.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::{fmt, io};

use bytes::{Buf as _, Bytes, BytesMut};
use http::{HeaderValue, Request, StatusCode, header, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pistachiochute_core::answer;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

/// Timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Timeout of connecting.
    pub connect: Duration,
    /// Longest time without data from the server.
    pub idle: Duration,
    /// Time until the answer must be complete, or `None` for an endless stream.
    pub total: Option<Duration>,
}

/// When a call is cancelled before it is complete.
#[derive(Clone, Debug)]
pub enum Cancellation {
    /// The call runs to its end.
    Never,
    /// The call is cancelled when the receiver of the channel is dropped.
    OnReceiverClosed(mpsc::Sender<answer::Frame>),
}

impl Cancellation {
    /// Waits until the call is cancelled.
    async fn cancelled(&self) {
        match self {
            Self::Never => std::future::pending().await,
            Self::OnReceiverClosed(tx) => tx.closed().await,
        }
    }
}

/// Why a call failed or its answer ended early.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be established, so the request was not sent.
    NotSent(io::Error),
    /// The server sent no data for the idle timeout, or the total timeout has passed.
    TimedOut,
    /// The connection was lost before the answer was complete.
    ConnectionLost(hyper::Error),
    /// The server ended HTTP on the connection with this interim status, so no answer follows.
    NoFinalAnswer(StatusCode),
    /// The answer exceeds this number of bytes.
    TooLong(u64),
    /// The call was cancelled.
    Cancelled,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(e) => write!(f, "connect: {e}"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::ConnectionLost(e) => write!(f, "connection lost: {e}"),
            Self::NoFinalAnswer(status) => write!(f, "no answer after status {status}"),
            Self::TooLong(max) => write!(f, "the answer is longer than {max} bytes"),
            Self::Cancelled => f.write_str("the answer is no longer wanted"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Error> for io::Error {
    fn from(e: Error) -> Self {
        let kind = match &e {
            Error::NotSent(e) => e.kind(),
            Error::TimedOut => io::ErrorKind::TimedOut,
            Error::ConnectionLost(_) => io::ErrorKind::ConnectionReset,
            Error::NoFinalAnswer(_) | Error::TooLong(_) => io::ErrorKind::InvalidData,
            Error::Cancelled => io::ErrorKind::BrokenPipe,
        };
        Self::new(kind, e)
    }
}

/// A call in progress and the executor that drives its connection.
struct Call {
    runtime: Runtime,
    idle: Duration,
    end: Option<Instant>,
    cancellation: Cancellation,
}

impl Call {
    /// Drives the connection until `arrival` completes, the call is cancelled, or it times out.
    fn wait<T, F>(&self, arrival: F) -> Result<T, Error>
    where
        F: Future<Output = T>,
    {
        self.runtime.block_on(async {
            let idle_deadline = Instant::now() + self.idle;
            let deadline = self.end.map_or(idle_deadline, |end| end.min(idle_deadline));
            tokio::select! {
                biased;
                arrived = arrival => Ok(arrived),
                () = self.cancellation.cancelled() => Err(Error::Cancelled),
                () = time::sleep_until(deadline) => Err(Error::TimedOut),
            }
        })
    }
}

/// Sends a request and waits for the status and headers of its answer.
///
/// The target of the request is a path. This function sets the `Host` and `Connection` headers.
///
/// # Errors
///
/// Only [`Error::NotSent`] guarantees that the server did not receive the request.
pub fn send(
    addr: SocketAddr,
    mut req: Request<Full<Bytes>>,
    timeouts: Timeouts,
    cancellation: Cancellation,
) -> Result<Response, Error> {
    let host = HeaderValue::try_from(addr.to_string());
    let host = host.map_err(|e| Error::NotSent(io::Error::other(e)))?;
    req.headers_mut().insert(header::HOST, host);
    let close = HeaderValue::from_static("close");
    req.headers_mut().insert(header::CONNECTION, close);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::NotSent)?;
    let connecting = async {
        let end = timeouts.total.map(|total| Instant::now() + total);
        let limit = timeouts.total.unwrap_or(Duration::MAX);
        let sender = connect(addr, timeouts.connect.min(limit)).await;
        sender.map(|sender| (sender, end))
    };
    let (mut sender, end) = runtime.block_on(connecting).map_err(Error::NotSent)?;
    let call = Call {
        runtime,
        idle: timeouts.idle,
        end,
        cancellation,
    };
    let answer = call.wait(sender.send_request(req))?;
    let (head, body) = answer.map_err(Error::ConnectionLost)?.into_parts();
    if head.status.is_informational() {
        return Err(Error::NoFinalAnswer(head.status));
    }
    Ok(Response {
        head,
        body,
        buffered: Bytes::new(),
        call,
    })
}

async fn connect(
    addr: SocketAddr,
    timeout: Duration,
) -> io::Result<http1::SendRequest<Full<Bytes>>> {
    let connecting = tokio::net::TcpStream::connect(addr);
    let stream = time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    // A connection error also fails the one call on the connection, which reports it.
    tokio::spawn(async { drop(connection.await) });
    Ok(sender)
}

/// A body that was read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// The server declared the length of the body, or sent its last chunk.
    Whole(Bytes),
    /// The body ended with its connection, as it also does at a server that stops half-way.
    Unframed(Bytes),
}

/// An answer whose body is read as a stream.
pub struct Response {
    /// Status and headers.
    pub head: response::Parts,
    body: Incoming,
    /// Bytes of the last chunk that have not been read.
    buffered: Bytes,
    call: Call,
}

impl fmt::Debug for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Response")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl Response {
    /// Value of a header, or empty if the answer has none.
    #[must_use]
    pub fn header(&self, name: &str) -> Bytes {
        let value = self.head.headers.get(name);
        value.map_or_else(Bytes::new, |value| Bytes::copy_from_slice(value.as_bytes()))
    }

    /// Reads the body to its end, up to `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated, stalls or exceeds `max` bytes, or if the call is
    /// cancelled.
    pub fn read_to_end(mut self, max: u64) -> Result<Body, Error> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = self.next_chunk()? {
            if (buf.len() + chunk.len()) as u64 > max {
                return Err(Error::TooLong(max));
            }
            buf.extend_from_slice(&chunk);
        }
        let body = buf.freeze();
        match is_framed(&self.head) {
            true => Ok(Body::Whole(body)),
            false => Ok(Body::Unframed(body)),
        }
    }

    /// Returns the next chunk of the body, or `None` at its end.
    fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = self.call.wait(self.body.frame())?;
            let Some(frame) = frame.transpose().map_err(Error::ConnectionLost)? else {
                return Ok(None);
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

/// Whether the head tells where the body ends (RFC 9112, section 6.3).
fn is_framed(head: &response::Parts) -> bool {
    let codings = head.headers.get_all(header::TRANSFER_ENCODING);
    match (head.status, codings.iter().next_back()) {
        (StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED, _) => true,
        (_, Some(coding)) => ends_with_chunked(coding),
        (_, None) => head.headers.contains_key(header::CONTENT_LENGTH),
    }
}

fn ends_with_chunked(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|&b| b == b',').next();
    last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

impl io::Read for Response {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.buffered.is_empty() {
            match self.next_chunk()? {
                Some(chunk) => self.buffered = chunk,
                None => return Ok(0),
            }
        }
        let len = buf.len().min(self.buffered.len());
        self.buffered.copy_to_slice(&mut buf[..len]);
        Ok(len)
    }
}
