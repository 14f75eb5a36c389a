//! Requests at an endpoint that the scheduler has not granted slots to.

use std::time::Duration;

use crate::time;

/// Time over which the mean is taken, several times the age of load reports: the difference of reports
/// and leases at one moment says little. At first it is shorter, since hosts that begin to ask stop being
/// foreign.
const MEAN_SPAN: Duration = Duration::from_secs(2);
const FIRST_MEAN_SPAN: Duration = Duration::from_millis(200);

/// Part of a request from which on it takes a slot, so that the difference in time of leases and reports
/// does not.
const MIN_PART: f64 = 0.75;

/// Mean of the requests that load reports count beyond the leases of the scheduler.
#[derive(Clone, Copy, Debug)]
pub(super) struct ForeignLoad {
    mean: f64,
    known_since: time::Time,
    updated_at: time::Time,
}

impl ForeignLoad {
    /// Load of an endpoint when the scheduler first hears of it.
    pub(super) fn new(reported: u32, leases: u32, now: time::Time) -> Self {
        Self {
            mean: f64::from(reported) - f64::from(leases),
            known_since: now,
            updated_at: now,
        }
    }

    /// Updates the mean with what has held since the last update.
    pub(super) fn observe(&mut self, reported: u32, leases: u32, now: time::Time) {
        let age = now.since(self.known_since);
        let span = age.clamp(FIRST_MEAN_SPAN, MEAN_SPAN).as_secs_f64();
        let passed = now.since(self.updated_at).as_secs_f64() / span;
        let excess = f64::from(reported) - f64::from(leases);
        self.mean = excess + (self.mean - excess) * (-passed).exp();
        self.updated_at = self.updated_at.max(now);
    }

    /// Counts a request whose lease ended by itself.
    pub(super) fn record_expired(&mut self) {
        self.mean = self.mean.max(0.0) + 1.0;
    }

    /// Slots that it takes.
    pub(super) fn slots(self) -> u32 {
        (self.mean + 1.0 - MIN_PART).max(0.0) as u32
    }
}
