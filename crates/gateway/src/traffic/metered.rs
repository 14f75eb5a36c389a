//! Socket of a caller that notes what the HTTP library does not tell: when a head begins, and whether
//! the caller keeps answers waiting. It also keeps from the library what leaves open where a request
//! ends.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use pistachiochute_core::framing;
use pistachiochute_runtime::clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::traffic::connection;

/// What the library reads in place of a head that is refused. It answers 400, after the answers before it,
/// and closes the connection.
const INVALID_HEAD: &[u8] = b"\0\r\n\r\n";

/// How a refusal reaches the library.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    /// As bytes of an invalid head, of which these are still to be read. What follows is dropped, so that
    /// the answers before the refusal go on.
    Head(&'static [u8]),
    /// As an error of the body.
    Body,
}

/// A socket, and the connection that it belongs to.
#[derive(Debug)]
pub(super) struct Metered<T> {
    stream: T,
    connection: Rc<connection::Connection>,
    /// `None` if callers are not held to it.
    framing: Option<framing::Framing>,
    refusal: Option<Refusal>,
}

impl<T> Metered<T> {
    /// Wraps the socket of a connection.
    pub(super) fn new(stream: T, connection: Rc<connection::Connection>) -> Self {
        let is_bounded = connection.account().is_bounded();
        Self {
            stream,
            connection,
            framing: is_bounded.then(framing::Framing::default),
            refusal: None,
        }
    }

    /// Looks at bytes that have arrived, before the library does. Returns how many it may read.
    fn inspect(&mut self, bytes: &[u8]) -> usize {
        let Some(framing) = &mut self.framing else {
            return bytes.len();
        };
        let sound = framing.read(bytes);
        self.connection.set_within_head(framing.is_within_head());
        if let Some(fault) = framing.fault() {
            self.connection.framing_refused(fault);
            self.refusal = Some(match framing.place() {
                framing::Place::Head => Refusal::Head(INVALID_HEAD),
                framing::Place::Body => Refusal::Body,
            });
        }
        sound
    }

    /// Lets the library read a refusal. Returns `None` if it has.
    fn read_refusal(&mut self, buf: &mut ReadBuf<'_>) -> Option<io::Result<()>> {
        match &mut self.refusal {
            None | Some(Refusal::Head([])) => None,
            Some(Refusal::Head(rest)) => {
                let (piece, left) = rest.split_at(rest.len().min(buf.remaining()));
                buf.put_slice(piece);
                *rest = left;
                Some(Ok(()))
            }
            Some(Refusal::Body) => Some(Err(io::ErrorKind::InvalidData.into())),
        }
    }

    fn note(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Pending => self.connection.write_blocked(clock::now()),
            Poll::Ready(Ok(bytes)) => self.connection.written(*bytes),
            Poll::Ready(Err(_)) => {}
        }
        written
    }
}

impl<T> AsyncRead for Metered<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(result) = self.read_refusal(buf) {
            return Poll::Ready(result);
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() == before {
            return result;
        }
        if self.refusal.is_some() {
            buf.set_filled(before);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.connection.bytes_arrived();
        let sound = self.inspect(&buf.filled()[before..]);
        buf.set_filled(before + sound);
        if sound > 0 {
            return result;
        }
        // Nothing would be the end of the stream.
        Poll::Ready(self.read_refusal(buf).unwrap_or(Ok(())))
    }
}

impl<T> AsyncWrite for Metered<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes once its own buffers are empty.
        self.connection.flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
