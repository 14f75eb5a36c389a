//! Log of recent deltas, from which peers that are behind catch up.

use std::collections::VecDeque;

use crate::lists::{Delta, Version};

/// Maximum number of deltas in the log.
const MAX_DELTAS: usize = 64;

/// Maximum number of changes in all deltas of the log.
const MAX_CHANGES: usize = 1_024;

/// Consecutive deltas that end at the version in force.
#[derive(Clone, Debug, Default)]
pub(super) struct DeltaLog {
    /// Invariant: each delta starts where the one before it ends.
    deltas: VecDeque<Delta>,
    /// Number of changes in all deltas.
    changes: usize,
}

impl DeltaLog {
    /// Appends a delta and evicts the oldest ones above the limits.
    pub(super) fn push(&mut self, delta: Delta) {
        self.changes += delta.changes.len();
        self.deltas.push_back(delta);
        while self.deltas.len() > MAX_DELTAS || self.changes > MAX_CHANGES {
            let Some(oldest) = self.deltas.pop_front() else {
                break;
            };
            self.changes -= oldest.changes.len();
        }
    }

    pub(super) fn clear(&mut self) {
        self.deltas.clear();
        self.changes = 0;
    }

    /// The deltas that follow a version, or `None` if the log does not have all of them.
    pub(super) fn after(&self, version: Version) -> Option<Vec<Delta>> {
        let first = self.deltas.iter().position(|delta| delta.from == version)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }
}
