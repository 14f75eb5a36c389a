//! Updates that still have to be repeated.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::membership::message::{MAX_UPDATES, Subject, Update};

/// Subjects whose updates are repeated at once. Beyond this the most repeated is forgotten; the
/// host list and the probes of the subject itself bring what was missed.
const MAX_QUEUED: usize = 1024;

/// Updates with the number of times that each has still to be sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    /// Invariant: at most [`MAX_QUEUED`], each with at least one time left.
    pending: BTreeMap<Subject, (Update, u32)>,
}

impl GossipQueue {
    /// Adds an update that is to be sent `times` times. It replaces another of the same subject.
    pub fn add(&mut self, update: Update, times: u32) {
        if self.pending.len() >= MAX_QUEUED && !self.pending.contains_key(&update.subject) {
            let most_repeated = self.pending.iter().min_by_key(|(_, (_, left))| *left);
            if let Some(subject) = most_repeated.map(|(subject, _)| *subject) {
                self.pending.remove(&subject);
            }
        }
        self.pending.insert(update.subject, (update, times.max(1)));
    }

    /// Takes the updates for one message, those repeated least first.
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
