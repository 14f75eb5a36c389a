//! Answers that a thread of a pool gives and the thread of the connections sends.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Frame;
use tokio::sync::{mpsc, oneshot};

/// Chunks of a stream that wait to be sent.
const MAX_QUEUED_CHUNKS: usize = 4;

/// The caller has left, or its connection is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the caller is gone")
    }
}

impl std::error::Error for Disconnected {}

/// The answer that a caller waits for. A connection whose answer is dropped is closed without one.
#[derive(Debug)]
pub struct Answer {
    tx: oneshot::Sender<http::Response<Body>>,
}

impl Answer {
    /// Makes an answer, and the receiver that it comes to.
    pub(super) fn new() -> (Self, oneshot::Receiver<http::Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        (Self { tx }, rx)
    }

    /// Answers with a whole body.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if nobody waits any more.
    pub fn send(self, response: http::Response<Bytes>) -> Result<(), Disconnected> {
        self.tx
            .send(response.map(Body::complete))
            .map_err(|_| Disconnected)
    }

    /// Begins an answer that is sent piece by piece.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if nobody waits any more.
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

/// A part of a stream.
#[derive(Debug)]
pub(super) enum Chunk {
    Data(Bytes),
    /// The stream is whole.
    End,
}

/// An answer that is sent piece by piece. If it is dropped before [`Stream::finish`], the caller
/// sees that it was cut.
#[derive(Debug)]
pub struct Stream {
    tx: mpsc::Sender<Chunk>,
}

impl Stream {
    /// Sends a piece. Waits while the caller is slower than its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the connection has ended.
    pub fn send_chunk(&self, data: Bytes) -> Result<(), Disconnected> {
        self.tx
            .blocking_send(Chunk::Data(data))
            .map_err(|_| Disconnected)
    }

    /// Ends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the connection has ended.
    pub fn finish(self) -> Result<(), Disconnected> {
        self.tx.blocking_send(Chunk::End).map_err(|_| Disconnected)
    }
}

/// The stream ends before it is whole, and its connection with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut")
    }
}

impl std::error::Error for Truncated {}

/// Body of an answer.
#[derive(Debug)]
pub(super) enum Body {
    /// A whole body.
    Complete(Option<Bytes>),
    /// Chunks as they come.
    Chunks {
        rx: mpsc::Receiver<Chunk>,
        /// Whether the stream is cut and what was sent before is being flushed.
        is_flushing: bool,
    },
}

impl Body {
    /// A whole body; an empty one has no frame.
    fn complete(bytes: Bytes) -> Self {
        Self::Complete((!bytes.is_empty()).then_some(bytes))
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
            // The library drops what it has not sent yet once a body fails, so it gets one turn
            // to send the last piece, which may say why the stream is cut.
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
