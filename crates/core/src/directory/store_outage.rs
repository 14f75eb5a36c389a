//! Distinguishes deliberate removals from leases that expired because of an outage of the store.

use std::time::Duration;

use crate::time;

/// Time after the recovery of the store within which live endpoints write their entries again.
pub const RENEWAL_GRACE: Duration = Duration::from_millis(2_200);

/// Time after the start of an outage from which on an answer of the store to another host proves
/// that not all hosts were affected. Hosts do not detect an outage at the same moment.
const OUTAGE_DETECTION_SKEW: Duration = Duration::from_millis(500);

/// The latest outage of the store, as this host observed it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    /// When the store first failed to answer. Remains set after the recovery.
    outage_since: Option<time::Time>,
    /// When the store answered again.
    recovered_at: Option<time::Time>,
    /// When the store was last seen to have come back from a copy.
    restored_at: Option<time::Time>,
}

/// Another host's report about its own calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreObservation {
    /// Time since which every call has been answered.
    pub answering_since: time::Time,
    /// When the last call was answered.
    pub last_answered: time::Time,
}

impl StoreOutage {
    /// Records whether the store answered a call.
    pub fn record_call(&mut self, answered: bool, now: time::Time) {
        match (answered, self.outage_since, self.recovered_at) {
            (false, None, _) | (false, Some(_), Some(_)) => {
                *self = Self {
                    outage_since: Some(now),
                    recovered_at: None,
                    restored_at: self.restored_at,
                };
            }
            (true, Some(_), None) => self.recovered_at = Some(now),
            _ => {}
        }
    }

    /// Records that the store has come back from a copy.
    pub fn record_restoration(&mut self, now: time::Time) {
        self.restored_at = Some(now);
    }

    /// Applies another host's report. If the store answered that host throughout, it was
    /// unavailable to this host only, and every endpoint could renew its entry. If it has answered
    /// that host for [`RENEWAL_GRACE`], every live endpoint has written its entry again.
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
            // What a copy does not have is written again later, whoever was out.
            *self = Self {
                restored_at: self.restored_at,
                ..Self::default()
            };
        }
    }

    /// Whether an entry that is removed now may belong to a live endpoint.
    #[must_use]
    pub fn is_removal_uncertain(&self, now: time::Time) -> bool {
        let is_over = |back| now.since(back) >= RENEWAL_GRACE;
        let is_out = self.outage_since.is_some() && !self.recovered_at.is_some_and(is_over);
        is_out || self.restored_at.is_some_and(|at| !is_over(at))
    }
}
