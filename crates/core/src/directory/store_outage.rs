//! Tells removals in calm times from entries that lapsed while the store was away.

use std::time::Duration;

use crate::time;

/// Time after the return of the store within which endpoints that live on write their entries
/// again.
pub const RENEWAL_GRACE: Duration = Duration::from_millis(2_200);

/// Time into an outage after which an answer of the store to another host proves that it was not
/// away for all: hosts do not notice an outage at the same moment.
const OUTAGE_DETECTION_SKEW: Duration = Duration::from_millis(500);

/// When the store was last away, as this host saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    /// When the store first failed to answer, while it is away and for a while after.
    outage_since: Option<time::Time>,
    /// When it answered again.
    recovered_at: Option<time::Time>,
}

/// What another host says of its calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreObservation {
    /// Since when every call was answered.
    pub answering_since: time::Time,
    /// When the last call was answered.
    pub last_answered: time::Time,
}

impl StoreOutage {
    /// Notes whether the store answers.
    pub fn record_call(&mut self, answered: bool, now: time::Time) {
        match (answered, self.outage_since, self.recovered_at) {
            (false, None, _) | (false, Some(_), Some(_)) => {
                *self = Self {
                    outage_since: Some(now),
                    recovered_at: None,
                };
            }
            (true, Some(_), None) => self.recovered_at = Some(now),
            _ => {}
        }
    }

    /// Takes in what another host says. If the store answered it all the while, it was away for
    /// this host only, and no endpoint failed to renew its entry. If the store has answered it for
    /// [`RENEWAL_GRACE`], every endpoint that lives on has written its entry again.
    pub fn apply_observation(&mut self, observation: StoreObservation) {
        let Some(start) = self.outage_since else {
            return;
        };
        let was_never_out = observation.answering_since <= start;
        let has_recovered =
            observation.last_answered.since(observation.answering_since) >= RENEWAL_GRACE;
        if (was_never_out || has_recovered)
            && observation.last_answered >= start + OUTAGE_DETECTION_SKEW
        {
            *self = Self::default();
        }
    }

    /// Whether a removal that is seen now may be that of an endpoint that lives on.
    #[must_use]
    pub fn is_removal_uncertain(&self, now: time::Time) -> bool {
        let is_over = |back| now.since(back) >= RENEWAL_GRACE;
        self.outage_since.is_some() && !self.recovered_at.is_some_and(is_over)
    }
}
