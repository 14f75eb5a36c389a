//! Socket to an endpoint that notes how long what it brings waits to be read.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use pistachiochute_core::unread;
use pistachiochute_runtime::clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// When this thread is known to have looked at its connections, for all of them.
#[derive(Clone, Debug)]
pub(super) struct Attention(Rc<Cell<unread::Attention>>);

impl Attention {
    pub(super) fn new() -> Self {
        Self(Rc::new(Cell::new(unread::Attention::new(clock::now()))))
    }

    /// Records that the thread has its turn.
    pub(super) fn record(&self) {
        let mut attention = self.0.get();
        attention.record(clock::now());
        self.0.set(attention);
    }
}

impl Default for Attention {
    fn default() -> Self {
        Self::new()
    }
}

/// How the present answer on a connection is read.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    reading: Rc<Cell<unread::Reading>>,
    attention: Attention,
}

impl Watch {
    pub(super) fn new(attention: Attention) -> Self {
        Self {
            reading: Rc::new(Cell::new(unread::Reading::begin(clock::now()))),
            attention,
        }
    }

    /// Begins with the answer to a request that is sent now.
    pub(super) fn begin(&self) {
        self.reading.set(unread::Reading::begin(clock::now()));
    }

    /// What the reading says of the end of the answer.
    pub(super) fn end(&self) -> unread::End {
        self.reading.get().end()
    }

    fn record<F>(&self, record: F)
    where
        F: FnOnce(&mut unread::Reading),
    {
        let mut reading = self.reading.get();
        record(&mut reading);
        self.reading.set(reading);
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
        let now = clock::now();
        let attention = self.watch.attention.0.get();
        match &result {
            Poll::Pending => self.watch.record(|r| r.record_caught_up(now)),
            Poll::Ready(_) => self.watch.record(|r| r.record_read(bytes, &attention, now)),
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
