//! Socket to an endpoint that notes how long what it brings waits to be read.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use pistachiochute_core::unread;
use pistachiochute_runtime::clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How the present answer on a connection is read.
#[derive(Clone, Debug)]
pub(super) struct Watch(Rc<Cell<unread::Reading>>);

impl Watch {
    pub(super) fn new() -> Self {
        Self(Rc::new(Cell::new(unread::Reading::begin(clock::now()))))
    }

    /// Begins with the answer to a request that is sent now.
    pub(super) fn begin(&self) {
        self.0.set(unread::Reading::begin(clock::now()));
    }

    /// Whether the answer stayed unread for so long that the endpoint may have cut it off.
    pub(super) fn may_be_cut(&self) -> bool {
        self.0.get().may_be_cut()
    }

    fn record<F>(&self, record: F)
    where
        F: FnOnce(&mut unread::Reading),
    {
        let mut reading = self.0.get();
        record(&mut reading);
        self.0.set(reading);
    }
}

/// A socket, and the watch of its connection.
#[derive(Debug)]
pub(super) struct Watched<T> {
    stream: T,
    watch: Watch,
}

impl<T> Watched<T> {
    pub(super) const fn new(stream: T, watch: Watch) -> Self {
        Self { stream, watch }
    }
}

impl<T> AsyncRead for Watched<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        match &result {
            Poll::Pending => self.watch.record(|r| r.record_caught_up(clock::now())),
            Poll::Ready(_) => self.watch.record(|r| r.record_read(bytes, clock::now())),
        }
        result
    }
}

impl<T> AsyncWrite for Watched<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
