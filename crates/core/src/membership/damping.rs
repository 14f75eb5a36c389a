//! Flap damping: suppresses hosts and endpoints that change state repeatedly.

use std::time::Duration;

use crate::time;

/// Time in which a penalty decays by half.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Penalty for one change from usable to not usable.
const FLAP_PENALTY: f64 = 1.0;

/// Penalty at which a subject is suppressed.
const SUPPRESS_THRESHOLD: f64 = 2.5;

/// Penalty at which a suppressed subject may be used again.
const REUSE_THRESHOLD: f64 = 1.0;

/// Largest penalty, which bounds the time for which a subject is suppressed.
const MAX_PENALTY: f64 = 5.0;

/// Flap penalty of one host or endpoint.
///
/// Three losses within a few seconds suppress the subject until its penalty has decayed, at most
/// about 46 s after the last loss.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlapDamping {
    /// Penalty at `updated_at`.
    penalty: f64,
    updated_at: time::Time,
    suppressed: bool,
}

impl FlapDamping {
    /// Records that the subject stopped being usable.
    pub fn record_flap(&mut self, now: time::Time) {
        self.decay(now);
        self.penalty = (self.penalty + FLAP_PENALTY).min(MAX_PENALTY);
        self.suppressed |= self.penalty >= SUPPRESS_THRESHOLD;
    }

    /// Whether the subject is suppressed.
    pub fn is_suppressed(&mut self, now: time::Time) -> bool {
        self.decay(now);
        self.suppressed &= self.penalty > REUSE_THRESHOLD;
        self.suppressed
    }

    fn decay(&mut self, now: time::Time) {
        let halves = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.penalty *= (-halves).exp2();
        self.updated_at = now;
    }
}
