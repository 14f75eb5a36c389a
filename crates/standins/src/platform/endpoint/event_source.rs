//! Body of a stream of events.

use std::io;
use std::ops::Range;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_core::Stream;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::platform::endpoint::{CancellationGuard, Handler, Incarnation};

/// A stream, which is cut half-way through event `cut_at`.
pub(super) struct EventSource {
    pub incarnation: Arc<Incarnation>,
    pub request: String,
    pub ids: Range<u64>,
    pub pause: Duration,
    pub cut_at: Option<u64>,
}

impl Handler {
    /// Body of a stream.
    pub(super) fn events(
        self: Arc<Self>,
        source: EventSource,
    ) -> impl Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + Sync + 'static {
        let (tx, rx) = mpsc::channel(1);
        let guard = CancellationGuard {
            handler: self,
            is_done: false,
        };
        tokio::spawn(async move {
            let mut guard = guard;
            let mut due = tokio::time::Instant::now();
            for id in source.ids {
                due += source.pause;
                tokio::time::sleep_until(due).await;
                guard.handler.wait_while_silent().await;
                let event = source.incarnation.event(&source.request, id);
                let is_cut = source.cut_at == Some(id);
                let bytes = match is_cut {
                    true => Bytes::from(event[..event.len() / 2].to_owned()),
                    false => Bytes::from(event),
                };
                if tx.send(Ok(Frame::data(bytes))).await.is_err() {
                    return;
                }
                if is_cut {
                    guard.is_done = true;
                    // Gives the part of the event time to be sent before the connection is cut.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    drop(tx.send(Err(io::Error::other("cut"))).await);
                    return;
                }
            }
            guard.is_done = true;
        });
        Receiver(rx)
    }
}

/// Adapts a channel receiver to a stream.
pub(super) struct Receiver(pub mpsc::Receiver<Result<Frame<Bytes>, io::Error>>);

impl Stream for Receiver {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}
