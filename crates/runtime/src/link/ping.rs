//! Pings on connections that have open streams and receive nothing.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pistachiochute_core::liveness;
use tokio::sync::Notify;
use tokio::time;

use crate::clock;

/// Tracks the activity of one connection. Shared by its streams and the task that sends its pings.
#[derive(Clone)]
pub struct Monitor {
    shared: Arc<Shared>,
}

struct Shared {
    link: Mutex<liveness::Link>,
    /// Wakes the ping task when a stream is opened.
    stream_opened: Notify,
    /// Timeout of a ping.
    ping_timeout: Duration,
}

/// Guard of an open stream. Dropping it counts the stream as closed, since the future that holds it
/// may be dropped at any point.
pub struct OpenStream {
    shared: Arc<Shared>,
}

impl Shared {
    fn link(&self) -> MutexGuard<'_, liveness::Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Monitor {
    /// Creates the monitor of a new connection. While streams are open, the connection is pinged
    /// after `ping_after` without received data.
    pub fn new(ping_after: Duration, ping_timeout: Duration) -> Self {
        let cfg = liveness::LinkConfig {
            ping_after_ms: ping_after.as_millis() as u64,
            ping_deadline_ms: ping_timeout.as_millis() as u64,
            ..liveness::LinkConfig::default()
        };
        let link = Mutex::new(liveness::Link::new(cfg, clock::now()));
        let shared = Shared {
            link,
            stream_opened: Notify::new(),
            ping_timeout,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Counts a stream as open.
    pub fn open_stream(&self) -> OpenStream {
        self.shared.link().stream_opened(clock::now());
        self.shared.stream_opened.notify_one();
        OpenStream {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Sends pings as needed. Returns when the connection must be closed, because a ping was not
    /// answered in time or failed.
    pub async fn run(self, mut pings: h2::PingPong) {
        loop {
            let check = self.shared.link().check(clock::now());
            match check {
                liveness::Check::Wait(None) => self.shared.stream_opened.notified().await,
                liveness::Check::Wait(Some(due)) => time::sleep(due.since(clock::now())).await,
                liveness::Check::Ping(_) => {
                    let pong = pings.ping(h2::Ping::opaque());
                    match time::timeout(self.shared.ping_timeout, pong).await {
                        Ok(Ok(_)) => self.shared.link().record_received(clock::now()),
                        Ok(Err(_)) | Err(_) => return,
                    }
                }
                liveness::Check::Silent => return,
            }
        }
    }
}

impl OpenStream {
    /// Records that data arrived on the stream.
    pub fn record_received(&self) {
        self.shared.link().record_received(clock::now());
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.shared.link().stream_closed();
    }
}
