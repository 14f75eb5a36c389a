//! Tells removals in calm times from entries that lapsed while the store was away.

use std::time::Duration;

use crate::time;

/// Time after the return of the store within which endpoints that live on write their entries
/// again.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Time into an outage after which an answer of the store to another host proves that it was not
/// away for all: hosts do not notice an outage at the same moment.
const PROOF_DELAY: Duration = Duration::from_millis(500);

/// When the store was last away, as this host saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// When the store first failed to answer, while it is away and for a while after.
    away_since: Option<time::Time>,
    /// When it answered again.
    back_since: Option<time::Time>,
}

/// What another host says of its calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Witness {
    /// Since when every call was answered.
    pub steady_since: time::Time,
    /// When the last call was answered.
    pub answered: time::Time,
}

impl Outage {
    /// Notes whether the store answers.
    pub fn note(&mut self, answers: bool, now: time::Time) {
        match (answers, self.away_since, self.back_since) {
            (false, None, _) | (false, Some(_), Some(_)) => {
                *self = Self {
                    away_since: Some(now),
                    back_since: None,
                };
            }
            (true, Some(_), None) => self.back_since = Some(now),
            _ => {}
        }
    }

    /// Takes in what another host says. If the store answered it all the while, it was away for
    /// this host only, and no endpoint failed to renew its entry. If the store has answered it for
    /// [`LAPSE_GRACE`], every endpoint that lives on has written its entry again.
    pub fn hear(&mut self, witness: Witness) {
        let Some(away) = self.away_since else { return };
        let was_steady = witness.steady_since <= away;
        let has_been_back = witness.answered.since(witness.steady_since) >= LAPSE_GRACE;
        if (was_steady || has_been_back) && witness.answered >= away + PROOF_DELAY {
            *self = Self::default();
        }
    }

    /// Whether a removal that is seen now may be that of an endpoint that lives on.
    #[must_use]
    pub fn may_lapse(&self, now: time::Time) -> bool {
        let is_over = |back| now.since(back) >= LAPSE_GRACE;
        self.away_since.is_some() && !self.back_since.is_some_and(is_over)
    }
}
