//! Liveness of one link between two hosts.

use std::time::Duration;

use crate::time;

/// Deadlines of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConfig {
    /// Time without data on a link in use after which a ping is sent, in milliseconds.
    pub ping_after_ms: u64,
    /// Time without data after a ping after which the link is closed, in milliseconds.
    pub ping_deadline_ms: u64,
    /// Time without data after which a link must answer a ping before it carries a request with
    /// at-most-once semantics, in milliseconds.
    pub trusted_ms: u64,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            ping_after_ms: 1_000,
            ping_deadline_ms: 1_000,
            trusted_ms: 2_000,
        }
    }
}

/// Action that a link needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Nothing before the given time, or nothing at all (`None`) while the link is idle.
    Wait(Option<time::Time>),
    /// Send a ping now, and check again at the given time.
    Ping(time::Time),
    /// The link is silent: close it and end its streams as lost.
    Silent,
}

/// Liveness state of one link.
#[derive(Clone, Debug)]
pub struct Link {
    cfg: LinkConfig,
    /// Last time at which anything arrived.
    last_received: time::Time,
    /// When the link came into use, that is, when the number of open streams rose from zero.
    in_use_since: Option<time::Time>,
    /// When the pending ping was sent. Invariant: nothing has arrived since.
    pinged_at: Option<time::Time>,
    /// Number of open streams.
    open_streams: u32,
}

impl Link {
    /// Creates the state of a link that was connected at the given time.
    #[must_use]
    pub const fn new(cfg: LinkConfig, now: time::Time) -> Self {
        Self {
            cfg,
            last_received: now,
            in_use_since: None,
            pinged_at: None,
            open_streams: 0,
        }
    }

    /// Records that something arrived.
    pub fn record_received(&mut self, now: time::Time) {
        self.last_received = self.last_received.max(now);
        self.pinged_at = None;
    }

    /// Records that a stream was opened.
    pub fn stream_opened(&mut self, now: time::Time) {
        self.open_streams += 1;
        self.in_use_since.get_or_insert(now);
    }

    /// Records that a stream was closed.
    pub fn stream_closed(&mut self) {
        self.open_streams = self.open_streams.saturating_sub(1);
        if self.open_streams == 0 {
            self.in_use_since = None;
            self.pinged_at = None;
        }
    }

    /// Whether data arrived recently enough for the link to carry a request with at-most-once
    /// semantics.
    #[must_use]
    pub fn is_trusted(&self, now: time::Time) -> bool {
        now.since(self.last_received) <= Duration::from_millis(self.cfg.trusted_ms)
    }

    /// Returns the action that the link needs now. After [`Check::Ping`] the ping counts as sent.
    pub fn check(&mut self, now: time::Time) -> Check {
        let Some(in_use_since) = self.in_use_since else {
            return Check::Wait(None);
        };
        let deadline = Duration::from_millis(self.cfg.ping_deadline_ms);
        if let Some(pinged) = self.pinged_at {
            let due = pinged + deadline;
            return if now >= due {
                Check::Silent
            } else {
                Check::Wait(Some(due))
            };
        }
        let silent_since = self.last_received.max(in_use_since);
        let due = silent_since + Duration::from_millis(self.cfg.ping_after_ms);
        if now < due {
            return Check::Wait(Some(due));
        }
        self.pinged_at = Some(now);
        Check::Ping(now + deadline)
    }
}
