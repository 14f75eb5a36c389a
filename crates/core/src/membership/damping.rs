//! Holds out what comes and goes.

use std::time::Duration;

use crate::time;

/// Time in which a penalty falls by half.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Penalty of one change from usable to not usable.
const FLAP_PENALTY: f64 = 1.0;

/// Penalty at which a subject is held out.
const SUPPRESS_THRESHOLD: f64 = 2.5;

/// Penalty at which a subject that was held out is let in again.
const REUSE_THRESHOLD: f64 = 1.0;

/// Largest penalty, which bounds the time that a subject is held out.
const MAX_PENALTY: f64 = 5.0;

/// Penalty of one host or endpoint for its changes.
///
/// Three losses within a few seconds hold the subject out until the penalty has decayed, at most
/// about 46 s after the last of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlapDamping {
    /// Penalty at `at`.
    penalty: f64,
    at: time::Time,
    suppressed: bool,
}

impl FlapDamping {
    /// Records that the subject stopped being usable.
    pub fn record_flap(&mut self, now: time::Time) {
        self.decay(now);
        self.penalty = (self.penalty + FLAP_PENALTY).min(MAX_PENALTY);
        self.suppressed |= self.penalty >= SUPPRESS_THRESHOLD;
    }

    /// Whether the subject is held out.
    pub fn is_suppressed(&mut self, now: time::Time) -> bool {
        self.decay(now);
        self.suppressed &= self.penalty > REUSE_THRESHOLD;
        self.suppressed
    }

    fn decay(&mut self, now: time::Time) {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.penalty *= (-halves).exp2();
        self.at = now;
    }
}
