//! Answers: written by a pool thread, sent by the listener thread.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::Frame;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the channel between a pool thread and the connection, in chunks.
const MAX_QUEUED_CHUNKS: usize = 4;

/// The caller has closed its connection, or the connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the caller has disconnected")
    }
}

impl std::error::Error for Disconnected {}

/// Handle for answering one request. Dropping it closes the connection without an answer.
#[derive(Debug)]
pub struct Answer {
    tx: oneshot::Sender<http::Response<Body>>,
}

impl Answer {
    /// Creates the handle and the receiver for its response.
    pub(super) fn new() -> (Self, oneshot::Receiver<http::Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        (Self { tx }, rx)
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the connection has ended.
    pub fn send(self, response: http::Response<Bytes>) -> Result<(), Disconnected> {
        self.tx
            .send(response.map(Body::complete))
            .map_err(|_| Disconnected)
    }

    /// Sends the status and headers, and returns a stream for the body.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the connection has ended.
    pub fn start_stream(self, head: http::Response<()>) -> Result<Stream, Disconnected> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let response = head.map(|()| Body::Chunks {
            rx,
            is_flushing: false,
        });
        self.tx.send(response).map_err(|_| Disconnected)?;
        Ok(Stream { tx })
    }
}

/// Item of a streamed body.
#[derive(Debug)]
pub(super) enum Chunk {
    Data(Bytes),
    /// The body is complete.
    End,
}

/// An answer whose body is sent in chunks. Dropping it before [`Stream::finish`] closes the
/// connection early, so that the caller sees a truncated answer.
#[derive(Debug)]
pub struct Stream {
    tx: mpsc::Sender<Chunk>,
}

impl Stream {
    /// Sends a chunk. Blocks while the channel to the connection is full.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the connection has ended.
    pub fn send_chunk(&self, data: Bytes) -> Result<(), Disconnected> {
        self.tx
            .blocking_send(Chunk::Data(data))
            .map_err(|_| Disconnected)
    }

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the connection has ended.
    pub fn finish(self) -> Result<(), Disconnected> {
        self.tx.blocking_send(Chunk::End).map_err(|_| Disconnected)
    }
}

/// Error of a body that ends before it is complete. It makes the HTTP library close the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was truncated")
    }
}

impl std::error::Error for Truncated {}

/// Body of a response.
#[derive(Debug)]
pub(super) enum Body {
    /// A complete body, or `None` once it is sent or if it is empty.
    Complete(Option<Bytes>),
    /// Chunks as a pool thread sends them.
    Chunks {
        rx: mpsc::Receiver<Chunk>,
        /// Whether the stream was truncated and the chunks before are being flushed.
        is_flushing: bool,
    },
}

impl Body {
    /// Creates a complete body. An empty one has no data frame.
    fn complete(bytes: Bytes) -> Self {
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }

    /// Holds the body until it is complete, for a caller that could not tell where a body without a
    /// length ends.
    pub(super) async fn hold(self) -> Result<Self, Truncated> {
        let Self::Chunks { mut rx, .. } = self else {
            return Ok(self);
        };
        let mut body = BytesMut::new();
        loop {
            match rx.recv().await {
                Some(Chunk::Data(data)) => body.extend_from_slice(&data),
                Some(Chunk::End) => return Ok(Self::complete(body.freeze())),
                None => return Err(Truncated),
            }
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let (rx, is_flushing) = match self.get_mut() {
            Self::Complete(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Chunks { rx, is_flushing } => (rx, is_flushing),
        };
        match rx.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Chunk::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Chunk::End)) => Poll::Ready(None),
            // Once a body fails, the library drops the data that it has not sent. Returning
            // `Pending` once lets it send the last chunk, which may state the error.
            Poll::Ready(None) if !std::mem::replace(is_flushing, true) => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(Truncated))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Complete(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Chunks { .. } => http_body::SizeHint::default(),
        }
    }
}
