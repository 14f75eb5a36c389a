//! Decisions on requests, as an immutable snapshot of a [`Quarantine`](super::Quarantine).

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::quarantine::{Accusation, PartKey, Parts, SIMULTANEOUS, evidence};
use crate::time;

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Admitted,
    /// It may be sent if this host has no other trial of these parts under way.
    Trial(Parts),
    /// It is refused: its prompt has these accused parts.
    Refused(Parts),
}

/// Times of the separate crashes that count against each part.
pub(super) type Suspects = HashMap<PartKey, SmallVec<[time::Time; 4]>>;

/// Decisions that follow from the evidence at one time.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// Accusations, with whether this host tries their parts.
    accusations: Vec<(Accusation, bool)>,
    suspects: Arc<Suspects>,
}

impl Verdicts {
    pub(super) const fn new(accusations: Vec<(Accusation, bool)>, suspects: Arc<Suspects>) -> Self {
        Self {
            accusations,
            suspects,
        }
    }

    /// Decides on a request by the shared parts of its prompt.
    #[must_use]
    pub fn admission(&self, prompt: &[PartKey]) -> Admission {
        let mut trial = None;
        for (accusation, is_on_trial) in &self.accusations {
            match (accusation.applies_to(prompt), is_on_trial) {
                (false, _) => {}
                (true, true) => trial = Some(accusation.parts.clone()),
                (true, false) => return Admission::Refused(accusation.parts.clone()),
            }
        }
        trial.map_or(Admission::Admitted, Admission::Trial)
    }

    /// Whether a request that was under way at a crash at `crashed_at` may be the cause: a crash at
    /// another time counts against one of its parts, too.
    #[must_use]
    pub fn is_suspect(&self, prompt: &[PartKey], crashed_at: time::Time) -> bool {
        let is_other = |at: &time::Time| evidence::distance(crashed_at, *at) > SIMULTANEOUS;
        prompt.iter().any(|part| {
            let crashes = self.suspects.get(part);
            crashes.is_some_and(|times| times.iter().any(is_other))
        })
    }

    /// Number of separate crashes that count against a part.
    #[must_use]
    pub fn crashes_against(&self, part: PartKey) -> usize {
        self.suspects.get(&part).map_or(0, SmallVec::len)
    }

    /// Whether any part is accused.
    #[must_use]
    pub fn has_accusations(&self) -> bool {
        !self.accusations.is_empty()
    }
}
