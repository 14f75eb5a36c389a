//! Pings on a connection that is in use and silent.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pistachiochute_core::liveness;
use tokio::sync::Notify;
use tokio::time;

use crate::clock;

/// Use of one connection, shared by its streams and its pings.
#[derive(Clone)]
pub struct Monitor {
    shared: Arc<Shared>,
}

struct Shared {
    link: Mutex<liveness::Link>,
    /// Wakes the pings when a stream is opened.
    opened: Notify,
    /// Time in which a ping must be answered.
    deadline: Duration,
}

/// A stream that is open on a connection. Counted as closed when it is dropped, because the
/// future that holds it may be dropped at any point.
pub struct Open {
    shared: Arc<Shared>,
}

impl Shared {
    fn link(&self) -> MutexGuard<'_, liveness::Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Monitor {
    /// Makes the monitor of a new connection, which is pinged after `silence` while it is in use.
    pub fn new(silence: Duration, deadline: Duration) -> Self {
        let cfg = liveness::LinkConfig {
            ping_after_ms: silence.as_millis() as u64,
            ping_deadline_ms: deadline.as_millis() as u64,
            ..liveness::LinkConfig::default()
        };
        let link = Mutex::new(liveness::Link::new(cfg, clock::now()));
        let shared = Shared {
            link,
            opened: Notify::new(),
            deadline,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Counts a stream as open.
    pub fn open(&self) -> Open {
        self.shared.link().stream_opened(clock::now());
        self.shared.opened.notify_one();
        Open {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Sends pings as the connection needs them. Returns when it must be given up.
    pub async fn watch(self, mut pings: h2::PingPong) {
        loop {
            let check = self.shared.link().check(clock::now());
            match check {
                liveness::Check::Wait(None) => self.shared.opened.notified().await,
                liveness::Check::Wait(Some(due)) => time::sleep(due.since(clock::now())).await,
                liveness::Check::Ping(_) => {
                    let pong = pings.ping(h2::Ping::opaque());
                    match time::timeout(self.shared.deadline, pong).await {
                        Ok(Ok(_)) => self.shared.link().record_received(clock::now()),
                        Ok(Err(_)) | Err(_) => return,
                    }
                }
                liveness::Check::Silent => return,
            }
        }
    }
}

impl Open {
    /// Records that something arrived on the stream.
    pub fn heard(&self) {
        self.shared.link().record_received(clock::now());
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.link().stream_closed();
    }
}
