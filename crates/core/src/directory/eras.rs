//! Eras of the store that a host has known.

use crate::directory::RENEWAL_GRACE;
use crate::revision::Era;
use crate::time;

/// Eras of the store, as far as this host knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eras {
    first: Option<Era>,
    current: Option<Era>,
    /// When this host learned of the last change.
    restored_at: Option<time::Time>,
}

impl Eras {
    /// Records an era that the store or another host names. Returns whether the store has come back from a copy
    /// since, as far as this host knew.
    pub fn learn(&mut self, era: Era, now: time::Time) -> bool {
        self.first.get_or_insert(era);
        let known = *self.current.get_or_insert(era);
        let is_restoration = era > known;
        if is_restoration {
            self.current = Some(era);
            self.restored_at = Some(now);
        }
        is_restoration
    }

    /// The last era, if any is known.
    #[must_use]
    pub const fn named(&self) -> Option<Era> {
        self.current
    }

    /// The last era.
    #[must_use]
    pub fn current(&self) -> Era {
        self.current.unwrap_or_default()
    }

    /// Era of what a host says that names none. Such a host does not notice when the era changes, so that its
    /// revisions are of the first one.
    #[must_use]
    pub fn unnamed(&self) -> Era {
        self.first.unwrap_or_default()
    }

    /// Whether some of what was written before the last change may not be written again yet.
    #[must_use]
    pub fn is_restoring(&self, now: time::Time) -> bool {
        self.restored_at
            .is_some_and(|at| now.since(at) < RENEWAL_GRACE)
    }
}
