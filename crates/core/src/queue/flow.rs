//! Queue of one account.

use std::collections::VecDeque;

use super::entry::Entry;
use super::virtual_time::VirtualTime;
use crate::units;

/// Entries of one account, and its tag in virtual time.
#[derive(Debug)]
pub(super) struct Flow<T> {
    /// Start tag of the next entry.
    pub(super) tag: VirtualTime,
    /// Weight of the account, as in the last entry added.
    pub(super) weight: u32,
    /// Entries in order of service. Invariant: priorities do not increase.
    pub(super) entries: VecDeque<Entry<T>>,
    /// Sum of the entries' costs.
    pub(super) cost: units::Tokens,
}

impl<T> Flow<T> {
    pub(super) fn new(tag: VirtualTime, weight: u32) -> Self {
        Self {
            tag,
            weight,
            entries: VecDeque::new(),
            cost: units::Tokens::ZERO,
        }
    }

    /// Adds an entry behind those of the same priority and returns its index.
    pub(super) fn insert(&mut self, entry: Entry<T>) -> usize {
        let index = self
            .entries
            .partition_point(|other| other.priority >= entry.priority);
        self.weight = entry.weight;
        self.cost += entry.cost;
        self.entries.insert(index, entry);
        index
    }

    /// Removes the entry at an index.
    pub(super) fn remove(&mut self, index: usize) -> Option<Entry<T>> {
        let entry = self.entries.remove(index)?;
        self.cost -= entry.cost;
        Some(entry)
    }

    /// Queued work divided by the account's weight.
    pub(super) fn backlog(&self) -> VirtualTime {
        VirtualTime::span(self.cost, self.weight)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
