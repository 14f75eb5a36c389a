//! Queue of updates that probes and their answers spread through the domain.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::membership::message::{MAX_UPDATES, Subject, Update};

/// Most subjects in the queue. Beyond this, the update with the fewest transmissions left is
/// dropped; the host list and the probes of its subject make up for it at hosts that missed it.
const MAX_QUEUED: usize = 1024;

/// Updates with the number of times that each must still be sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    /// Invariant: at most [`MAX_QUEUED`] entries, each with at least one transmission left.
    pending: BTreeMap<Subject, (Update, u32)>,
}

impl GossipQueue {
    /// Adds an update that is sent `times` times. It replaces any other update of its subject.
    pub fn add(&mut self, update: Update, times: u32) {
        if self.pending.len() >= MAX_QUEUED && !self.pending.contains_key(&update.subject) {
            let fewest_left = self.pending.iter().min_by_key(|(_, (_, left))| *left);
            if let Some(subject) = fewest_left.map(|(subject, _)| *subject) {
                self.pending.remove(&subject);
            }
        }
        self.pending.insert(update.subject, (update, times.max(1)));
    }

    /// Takes the updates for one message, those with the most transmissions left first.
    pub fn take_batch(&mut self) -> SmallVec<[Update; 8]> {
        let mut order: Vec<_> = self
            .pending
            .values()
            .map(|(update, left)| (*left, *update))
            .collect();
        order.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        order.truncate(MAX_UPDATES);
        for (_, update) in &order {
            self.record_sent(update.subject);
        }
        order.into_iter().map(|(_, update)| update).collect()
    }

    fn record_sent(&mut self, subject: Subject) {
        let Some((_, left)) = self.pending.get_mut(&subject) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.pending.remove(&subject);
        }
    }
}
