//! Deadlines of an answer that is in progress.

use std::time::Duration;

use crate::time;

/// Time limits of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StallConfig {
    /// Maximum time from the dispatch to the first chunk, in milliseconds.
    pub first_ms: u64,
    /// Maximum time between two chunks, in milliseconds.
    pub between_ms: u64,
}

impl Default for StallConfig {
    fn default() -> Self {
        Self {
            first_ms: 30_000,
            between_ms: 10_000,
        }
    }
}

/// Stall deadline of one answer.
#[derive(Clone, Copy, Debug)]
pub struct StallDeadline {
    cfg: StallConfig,
    deadline: time::Time,
}

impl StallDeadline {
    /// Starts the deadline at the dispatch.
    #[must_use]
    pub fn new(cfg: StallConfig, now: time::Time) -> Self {
        let deadline = now + Duration::from_millis(cfg.first_ms);
        Self { cfg, deadline }
    }

    /// Records that a chunk arrived.
    pub fn record_progress(&mut self, now: time::Time) {
        self.deadline = now + Duration::from_millis(self.cfg.between_ms);
    }

    /// Time at which the answer counts as stalled.
    #[must_use]
    pub const fn deadline(&self) -> time::Time {
        self.deadline
    }

    /// Whether the answer has stalled.
    #[must_use]
    pub fn is_stalled(&self, now: time::Time) -> bool {
        now >= self.deadline
    }
}
