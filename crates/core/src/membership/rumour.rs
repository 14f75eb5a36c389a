//! Updates that still have to be repeated.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::membership::message::{MAX_UPDATES, Subject, Update};

/// Subjects whose updates are repeated at once. Beyond this the most repeated is forgotten; the
/// host list and the probes of the subject itself bring what was missed.
const MAX_RUMOURS: usize = 1024;

/// Updates with the number of times that each has still to be sent.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    /// Invariant: at most [`MAX_RUMOURS`], each with at least one time left.
    left: BTreeMap<Subject, (Update, u32)>,
}

impl Rumours {
    /// Adds an update that is to be sent `times` times. It replaces another of the same subject.
    pub fn add(&mut self, update: Update, times: u32) {
        if self.left.len() >= MAX_RUMOURS && !self.left.contains_key(&update.subject) {
            let most_repeated = self.left.iter().min_by_key(|(_, (_, left))| *left);
            if let Some(subject) = most_repeated.map(|(subject, _)| *subject) {
                self.left.remove(&subject);
            }
        }
        self.left.insert(update.subject, (update, times.max(1)));
    }

    /// Takes the updates for one message, those repeated least first.
    pub fn take(&mut self) -> SmallVec<[Update; 8]> {
        let mut order: Vec<_> = self
            .left
            .values()
            .map(|(update, left)| (*left, *update))
            .collect();
        order.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        order.truncate(MAX_UPDATES);
        for (_, update) in &order {
            self.sent(update.subject);
        }
        order.into_iter().map(|(_, update)| update).collect()
    }

    fn sent(&mut self, subject: Subject) {
        let Some((_, left)) = self.left.get_mut(&subject) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.left.remove(&subject);
        }
    }
}
