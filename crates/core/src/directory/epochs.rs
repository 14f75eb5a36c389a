//! Epochs of the store that a host has known.

use crate::directory::RENEWAL_GRACE;
use crate::revision::Epoch;
use crate::time;

/// Epochs of the store, as far as this host knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Epochs {
    first: Option<Epoch>,
    current: Option<Epoch>,
    /// When this host learned of the last change.
    restored_at: Option<time::Time>,
}

impl Epochs {
    /// Records an epoch that the store or another host names. Returns whether the store has come back from a copy
    /// since, as far as this host knew.
    pub fn learn(&mut self, epoch: Epoch, now: time::Time) -> bool {
        self.first.get_or_insert(epoch);
        let known = *self.current.get_or_insert(epoch);
        let is_restoration = epoch > known;
        if is_restoration {
            self.current = Some(epoch);
            self.restored_at = Some(now);
        }
        is_restoration
    }

    /// The last epoch, if any is known.
    #[must_use]
    pub const fn named(&self) -> Option<Epoch> {
        self.current
    }

    /// The last epoch.
    #[must_use]
    pub fn current(&self) -> Epoch {
        self.current.unwrap_or_default()
    }

    /// Epoch of what a host says that names none. Such a host does not notice when the epoch changes, so that its
    /// revisions are of the first one.
    #[must_use]
    pub fn unnamed(&self) -> Epoch {
        self.first.unwrap_or_default()
    }

    /// Whether what arrives now may have been written again after the last change, by whom ever. What is written
    /// within [`RENEWAL_GRACE`] arrives somewhat later.
    #[must_use]
    pub fn may_be_rewritten(&self, now: time::Time) -> bool {
        self.restored_at
            .is_some_and(|at| now.since(at) < RENEWAL_GRACE * 2)
    }

    /// Whether some of what was written before the last change may not be written again yet.
    #[must_use]
    pub fn is_restoring(&self, now: time::Time) -> bool {
        self.restored_at
            .is_some_and(|at| now.since(at) < RENEWAL_GRACE)
    }
}
