//! Outcomes that are still to be recorded in their shard.

use crate::journal::{AttemptId, KeyHash, Shard, State};
use crate::time;

/// Outcome of an attempt that its record does not contain yet.
#[derive(Clone, Debug, Hash)]
struct PendingOutcome {
    key: KeyHash,
    attempt: AttemptId,
    state: State,
}

/// Outcomes of one shard that are still to be recorded.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Outbox {
    outcomes: Vec<PendingOutcome>,
    /// Time at which the most urgent outcome is written even if no reservation shares its swap.
    due: time::Time,
}

impl Outbox {
    pub(super) fn push(&mut self, key: KeyHash, attempt: AttemptId, state: State, due: time::Time) {
        self.due = match self.outcomes.is_empty() {
            true => due,
            false => self.due.min(due),
        };
        self.outcomes.push(PendingOutcome {
            key,
            attempt,
            state,
        });
    }

    pub(super) fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Latest time at which the outcomes are written, or `None` if there are none.
    pub(super) fn due(&self) -> Option<time::Time> {
        (!self.outcomes.is_empty()).then_some(self.due)
    }

    pub(super) fn postpone(&mut self, due: time::Time) {
        self.due = due;
    }

    /// Drops the outcomes whose reservation is not in the shard: either the reservation never took
    /// effect, or the outcome is already recorded.
    pub(super) fn retain_reserved(&mut self, shard: &Shard) {
        self.outcomes
            .retain(|outcome| is_reserved_by(shard, &outcome.key, outcome.attempt));
    }

    /// Writes the outcomes into the shard.
    pub(super) fn apply(&self, shard: &mut Shard) {
        for outcome in &self.outcomes {
            if is_reserved_by(shard, &outcome.key, outcome.attempt) {
                shard.end(&outcome.key, outcome.state.clone());
            }
        }
    }
}

fn is_reserved_by(shard: &Shard, key: &KeyHash, attempt: AttemptId) -> bool {
    shard.get(key).is_some_and(|record| {
        record.attempt == attempt && matches!(record.state, State::Reserved { .. })
    })
}
