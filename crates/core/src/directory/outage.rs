//! Tells removals in calm times from entries that lapsed while the store was away.

use std::time::Duration;

use crate::time;

/// Time after the return of the store within which endpoints that live on write their entries
/// again.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// When the store was last away, as this host saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    is_away: bool,
    /// When the store was first seen to answer after it was away.
    back_since: Option<time::Time>,
}

impl Outage {
    /// Notes whether the store answers.
    pub fn note(&mut self, answers: bool, now: time::Time) {
        if self.is_away && answers {
            self.back_since = Some(now);
        }
        self.is_away = !answers;
    }

    /// Whether a removal that is seen now may be that of an endpoint that lives on.
    #[must_use]
    pub fn may_lapse(&self, now: time::Time) -> bool {
        let is_new = |since| now.since(since) < LAPSE_GRACE;
        self.is_away || self.back_since.is_some_and(is_new)
    }
}
