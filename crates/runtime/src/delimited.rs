//! Answers that the end of their connection delimits, since their callers speak HTTP/1.0.
//!
//! Such a caller takes an answer for complete when its connection is closed in order (RFC 9112, section 8). The system
//! closes connections in order whatever the reason, also when it ends the process. So a connection is set to be reset
//! when an answer of this kind begins, and may be closed in order once all of the answer is written.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Buf;
use http::{Response, Version};
use http_body::{Frame, SizeHint};
use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What of a connection's present answer its end tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum State {
    /// Nothing: the answer says where it ends.
    Framed,
    /// That the answer is complete, which it is not.
    Partial,
    /// That the answer is complete, which it is once its last bytes are written.
    Whole,
}

/// What the end of a connection would tell its caller, shared by the connection and its answers.
#[derive(Clone, Debug, Default)]
pub struct Delimiter(Arc<AtomicU8>);

impl Delimiter {
    fn set(&self, state: State) {
        self.0.store(state as u8, Ordering::Release);
    }

    fn is(&self, state: State) -> bool {
        self.0.load(Ordering::Acquire) == state as u8
    }

    /// The answer to a request that came in a version on the connection. It is delimited by the connection if its body
    /// has no known length and the caller knows no chunks.
    #[must_use]
    pub fn answer<B>(&self, version: Version, response: Response<B>) -> Response<Body<B>>
    where
        B: http_body::Body,
    {
        let has_length = response.body().size_hint().exact().is_some();
        let is_delimited = version < Version::HTTP_11 && !has_length;
        if is_delimited {
            self.set(State::Partial);
        }
        response.map(|body| Body {
            body,
            delimiter: is_delimited.then(|| self.clone()),
        })
    }
}

/// Body of an answer, which tells its connection when it is complete.
#[derive(Debug)]
pub struct Body<B> {
    body: B,
    /// `None` if the connection does not delimit the body.
    delimiter: Option<Delimiter>,
}

impl<B> http_body::Body for Body<B>
where
    B: http_body::Body + Unpin,
    B::Data: Buf,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(cx);
        // The library asks for no more frames after the last one of a body that knows which it is.
        let is_whole = match &frame {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => this.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if let (true, Some(delimiter)) = (is_whole, &this.delimiter) {
            delimiter.set(State::Whole);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Socket of a caller. It is reset when it is dropped, or the process ends, while its end would tell that an answer is
/// complete which is not.
#[derive(Debug)]
pub struct Socket<T> {
    stream: T,
    delimiter: Delimiter,
    /// Whether the system resets the connection when it is closed.
    is_reset_on_close: bool,
}

impl<T> Socket<T>
where
    T: AsFd,
{
    /// Wraps a socket whose answers come from [`Delimiter::answer`].
    #[must_use]
    pub const fn new(stream: T, delimiter: Delimiter) -> Self {
        Self {
            stream,
            delimiter,
            is_reset_on_close: false,
        }
    }

    /// Has the system reset the connection from the first byte on of an answer that it delimits.
    ///
    /// # Errors
    ///
    /// The system does not take the option. Nothing may be written then.
    fn guard(&mut self) -> io::Result<()> {
        if self.is_reset_on_close || self.delimiter.is(State::Framed) {
            return Ok(());
        }
        self.set_reset_on_close(true)
    }

    fn set_reset_on_close(&mut self, is_reset: bool) -> io::Result<()> {
        let linger = is_reset.then_some(Duration::ZERO);
        sockopt::set_socket_linger(&self.stream, linger)?;
        self.is_reset_on_close = is_reset;
        Ok(())
    }
}

impl<T> AsyncRead for Socket<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<T> AsyncWrite for Socket<T>
where
    T: AsyncWrite + AsFd + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.guard()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guard()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// The library shuts a connection down once all of its answers are written.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_reset_on_close {
            if !self.delimiter.is(State::Whole) {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            self.set_reset_on_close(false)?;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
