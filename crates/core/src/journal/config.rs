//! Settings of the journal.

use std::time::Duration;

use crate::journal::{ActionKey, ShardId, UnixMillis};
use crate::reason;

/// How long keys are accepted and records are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Window {
    /// Age up to which a key is accepted, in milliseconds.
    pub retention_ms: u64,
    /// How far a key's time may lie ahead of the host's clock, in milliseconds.
    pub ahead_ms: u64,
    /// Most that the clock of any host is wrong by, in milliseconds.
    pub skew_ms: u64,
    /// Span of the key times that one shard holds, in milliseconds.
    pub segment_ms: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            retention_ms: 10 * 60 * 1_000,
            ahead_ms: 60 * 1_000,
            skew_ms: 5 * 1_000,
            segment_ms: 4 * 1_000,
        }
    }
}

impl Window {
    /// Checks the time of a key against the clock of the host.
    ///
    /// # Errors
    ///
    /// Returns [`reason::Refusal::KeyExpired`] for a key that is too old and
    /// [`reason::Refusal::KeyAhead`] for one that lies too far ahead.
    pub fn check(&self, key: &ActionKey, clock: UnixMillis) -> Result<(), reason::Refusal> {
        if clock > key.issued_at.plus(self.retention_ms) {
            return Err(reason::Refusal::KeyExpired);
        }
        if key.issued_at > clock.plus(self.ahead_ms) {
            return Err(reason::Refusal::KeyAhead);
        }
        Ok(())
    }

    /// First segment that has to be kept.
    ///
    /// Every key of an earlier segment is refused by every host, even if this clock is ahead and
    /// the other one behind by the whole skew.
    #[must_use]
    pub const fn first_retained_segment(&self, clock: UnixMillis) -> u64 {
        let refused_everywhere = self.retention_ms + 2 * self.skew_ms;
        clock.0.saturating_sub(refused_everywhere) / self.segment_ms
    }

    /// Segment of a key.
    #[must_use]
    pub const fn segment(&self, key: &ActionKey) -> u64 {
        key.issued_at.0 / self.segment_ms
    }
}

/// Settings of the journal. Every host has to run with the same `window` and `slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// How long keys are accepted and records are kept.
    pub window: Window,
    /// Number of shards that the keys of one segment are spread over.
    pub slots: u16,
    /// Shortest time between two swaps of one slot, in milliseconds. With `slots` it bounds the
    /// writes a second, whatever the rate of actions is.
    pub swap_interval_ms: u64,
    /// Longest time that an outcome waits for a reservation to share its swap, in milliseconds.
    pub outcome_linger_ms: u64,
    /// Most attempts that wait for one shard.
    pub max_waiting: usize,
    /// Most attempts that the host has reserved or dispatched and not yet recorded.
    pub max_running: usize,
    /// Most shards whose content is held in memory while nothing waits for them.
    pub max_cached: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Window::default(),
            slots: 16,
            swap_interval_ms: 125,
            outcome_linger_ms: 1_000,
            max_waiting: 512,
            max_running: 4_096,
            max_cached: 64,
        }
    }
}

impl Config {
    /// Shard of a key.
    #[must_use]
    pub fn shard(&self, key: &ActionKey) -> ShardId {
        let hash = u16::from_le_bytes([key.hash.0[0], key.hash.0[1]]);
        ShardId {
            segment: self.window.segment(key),
            slot: hash % self.slots.max(1),
        }
    }

    /// Shortest time between two swaps of one slot.
    #[must_use]
    pub const fn swap_interval(&self) -> Duration {
        Duration::from_millis(self.swap_interval_ms)
    }

    /// Longest time that an outcome waits for a reservation to share its swap.
    #[must_use]
    pub const fn outcome_linger(&self) -> Duration {
        Duration::from_millis(self.outcome_linger_ms)
    }
}
