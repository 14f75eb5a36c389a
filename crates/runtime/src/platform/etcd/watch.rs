//! Watch of keys on its own thread.
//!
//! The thread reads one message per line and delivers it to a bounded channel. After a lost
//! connection it reconnects from the revision after the last one delivered. If that revision has
//! been compacted, or the store was restored to an older revision, it delivers a reset and
//! continues from the current revision. A connection without data for the idle timeout is closed,
//! which limits the delay that a dead connection can cause.
//!
//! A restore goes undetected if the store has since passed the last revision that the watch saw.
//! Code that must notice such a restore compares contents instead.

use std::io::{BufRead as _, BufReader, Read as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;
use pistachiochute_core::revision::Revision;

use crate::http_client;
use crate::platform::key_value::{self, Error, WatchEvent};
use crate::platform::{etcd, http};

/// Capacity of the channel of events. The thread stops reading while the channel is full.
const MAX_QUEUED_EVENTS: usize = 256;

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 64 << 20;

/// Interval at which a waiting thread checks whether the watch is closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a watch of `keys` from revision `from` on.
pub(super) fn start(
    client: etcd::Etcd,
    keys: key_value::Keys,
    from: Revision,
) -> eyre::Result<key_value::Watch> {
    let (tx, events) = channel::bounded(MAX_QUEUED_EVENTS);
    let closed = Arc::new(AtomicBool::new(false));
    // In the API, revision 0 starts at the current revision. A watch that reconnects before its
    // first event would then miss the changes in between.
    let next_revision = Revision(from.0.max(1));
    let watcher = Watcher {
        client,
        keys,
        next_revision,
        tx,
        closed: Arc::clone(&closed),
    };
    thread::Builder::new()
        .name("key-value-watch".to_owned())
        .spawn(move || watcher.run())?;
    Ok(key_value::Watch::new(events, closed))
}

/// State of the watch thread.
struct Watcher {
    client: etcd::Etcd,
    keys: key_value::Keys,
    /// First revision that has not been delivered.
    next_revision: Revision,
    tx: channel::Sender<WatchEvent>,
    closed: Arc<AtomicBool>,
}

impl Watcher {
    fn run(mut self) {
        while !self.is_closed() {
            let lost = match self.read_connection() {
                Ok(()) => return,
                Err(err) => err,
            };
            if !self.deliver(WatchEvent::Lost(lost)) {
                return;
            }
            self.wait_before_retry();
        }
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    fn wait_before_retry(&self) {
        let end = Instant::now() + self.client.cfg.watch_retry;
        while !self.is_closed() && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            thread::sleep(left.min(CLOSE_POLL_INTERVAL));
        }
    }

    /// Delivers an event. Returns false if the watch is closed or its receiver was dropped.
    fn deliver(&self, event: WatchEvent) -> bool {
        let mut event = event;
        while !self.is_closed() {
            match self.tx.send_timeout(event, CLOSE_POLL_INTERVAL) {
                Ok(()) => return true,
                Err(channel::SendTimeoutError::Disconnected(_)) => return false,
                Err(channel::SendTimeoutError::Timeout(back)) => event = back,
            }
        }
        false
    }

    /// Reads messages from one connection. Returns `Ok` when the watch is closed.
    fn read_connection(&mut self) -> Result<(), Error> {
        let mut reader = BufReader::new(self.connect()?);
        let mut line = Vec::new();
        while !self.is_closed() {
            line.clear();
            let read = (&mut reader)
                .take(MAX_MESSAGE_BYTES)
                .read_until(b'\n', &mut line);
            read.map_err(|err| Error::Unknown {
                reason: err.to_string(),
            })?;
            if line.last() != Some(&b'\n') {
                return Err(Error::Unknown {
                    reason: "watch stream truncated".to_owned(),
                });
            }
            let message: etcd::wire::WatchMessage = etcd::wire::parse(&line)?;
            if !self.handle(message.result)? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn connect(&self) -> Result<http_client::Response, Error> {
        let body = etcd::wire::watch_request(&self.keys, self.next_revision).to_string();
        let cfg = &self.client.cfg;
        let open = |addr| {
            http::post_stream(
                addr,
                "/v3/watch",
                body.as_bytes(),
                cfg.call_timeout,
                cfg.watch_idle,
            )
        };
        let resp = self.client.send(open)?;
        match resp.head.status.as_u16() {
            200 => Ok(resp),
            status => Err(etcd::wire::status_error(status, b"")),
        }
    }

    /// Handles one message. Returns false if the watch is closed or its receiver was dropped.
    fn handle(&mut self, message: etcd::wire::WatchResult) -> Result<bool, Error> {
        let revision = message.header.revision()?;
        let rewound = revision.0 + 1 < self.next_revision.0;
        if message.canceled || rewound {
            self.next_revision = Revision(revision.0 + 1);
            if !self.deliver(WatchEvent::Reset { revision }) {
                return Ok(false);
            }
            return Err(Error::Unknown {
                reason: "watch restarted after a reset".to_owned(),
            });
        }
        if message.created {
            return Ok(true);
        }
        let changes = message.changes()?;
        let Some(last) = changes.last() else {
            self.next_revision = Revision(revision.0 + 1);
            return Ok(self.deliver(WatchEvent::Progress(revision)));
        };
        // While the watch catches up, the revision of the header is ahead of the changes.
        let revision = last.revision();
        self.next_revision = Revision(revision.0 + 1);
        Ok(self.deliver(WatchEvent::Changes { revision, changes }))
    }
}
