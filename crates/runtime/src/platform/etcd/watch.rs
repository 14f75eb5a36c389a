//! Watch of keys on a thread of its own.
//!
//! The thread reads one message a line, delivers it to a bounded channel, and connects again from
//! the revision after the last that it delivered. When the history there is gone, or the store has
//! gone back to an older revision, it says so and goes on from the present. A connection that is
//! silent for longer than the set time is given up, so that one that lost its peer costs no more
//! than that.
//!
//! A store that was restored to an older revision and has since passed the last one that was seen
//! cannot be told from one that was not; what depends on that compares contents.

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

/// Messages that wait to be taken; the thread stops reading beyond them.
const MAX_QUEUED_EVENTS: usize = 256;

/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 64 << 20;

/// Longest sleep between two looks at whether the watch is closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a watch of `keys` from revision `from` on.
pub(super) fn start(
    client: etcd::Etcd,
    keys: key_value::Keys,
    from: Revision,
) -> eyre::Result<key_value::Watch> {
    let (tx, events) = channel::bounded(MAX_QUEUED_EVENTS);
    let closed = Arc::new(AtomicBool::new(false));
    // Revision 0 of the API means the present, which a watch that connects again would miss.
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

/// State of the thread of a watch.
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

    /// Delivers an event. Returns false if nobody takes events any more.
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

    /// Reads one connection. `Ok` means that the watch is closed.
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
                    reason: "the watch was cut".to_owned(),
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

    /// Takes one message. Returns false if nobody takes events any more.
    fn handle(&mut self, message: etcd::wire::WatchResult) -> Result<bool, Error> {
        let revision = message.header.revision()?;
        let rewound = revision.0 + 1 < self.next_revision.0;
        if message.canceled || rewound {
            self.next_revision = Revision(revision.0 + 1);
            if !self.deliver(WatchEvent::Reset { revision }) {
                return Ok(false);
            }
            return Err(Error::Unknown {
                reason: "the watch starts anew".to_owned(),
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
        // The header may be ahead of the changes while the watch catches up.
        let revision = last.revision();
        self.next_revision = Revision(revision.0 + 1);
        Ok(self.deliver(WatchEvent::Changes { revision, changes }))
    }
}
