//! Settings of the journal.

use std::time::Duration;

use crate::journal::{ActionKey, ShardId, UnixMillis};
use crate::reason;

/// Window of time in which keys are accepted and records are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Window {
    /// Maximum age of an accepted key, in milliseconds.
    pub retention_ms: u64,
    /// Maximum time by which a key may lie ahead of the host's clock, in milliseconds.
    pub ahead_ms: u64,
    /// Maximum error of the clock of any host, in milliseconds.
    pub skew_ms: u64,
    /// Range of key times that one shard covers, in milliseconds.
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
    /// Returns [`reason::Refusal::KeyExpired`] for a key that is too old, and
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

    /// First segment that has to be retained.
    ///
    /// Every host refuses every key of an earlier segment, even if this host's clock is ahead and
    /// the other host's clock is behind by the full skew.
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
    /// Window of time in which keys are accepted and records are retained.
    pub window: Window,
    /// Number of shards over which the keys of one segment are distributed.
    pub slots: u16,
    /// Minimum interval between two swaps of one slot, in milliseconds. Together with `slots` it
    /// bounds the writes per second at any rate of actions.
    pub swap_interval_ms: u64,
    /// Longest time for which an outcome waits for a reservation with which to share a swap, in
    /// milliseconds.
    pub outcome_linger_ms: u64,
    /// Maximum number of attempts that wait for one shard.
    pub max_waiting: usize,
    /// Maximum number of attempts that wait, run or have an outcome that is not recorded yet.
    pub max_running: usize,
    /// Maximum number of idle shards whose content is cached.
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

    /// Minimum interval between two swaps of one slot.
    #[must_use]
    pub const fn swap_interval(&self) -> Duration {
        Duration::from_millis(self.swap_interval_ms)
    }

    /// Longest time for which an outcome waits for a reservation with which to share a swap.
    #[must_use]
    pub const fn outcome_linger(&self) -> Duration {
        Duration::from_millis(self.outcome_linger_ms)
    }
}
