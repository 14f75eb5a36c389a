//! A host's record of one entry.

use std::sync::Arc;

use crate::directory::{Endpoint, Source, State};
use crate::{revision, time};

/// One entry at its latest known revision.
#[derive(Clone, Debug)]
pub struct Record {
    /// Revision of the last change of the entry.
    pub revision: revision::StoredRevision,
    /// The endpoint, or `None` if the entry was removed or cannot be used.
    pub endpoint: Option<Arc<Endpoint>>,
    /// Set while the entry's removal is unconfirmed and the endpoint stays in use: the last
    /// revision at which the entry is known to have existed. The removal may have happened at any
    /// later revision, since a list only shows that it happened before the list was read.
    pub unconfirmed_after: Option<revision::StoredRevision>,
    /// The last usable entry under this key, which shows whether an entry that arrives later is
    /// older.
    pub last_endpoint: Option<Arc<Endpoint>>,
    /// When this host learned of the change.
    pub learned_at: time::Time,
    /// Whether the endpoint is out of use although the store shows it, from a copy of an earlier time.
    pub is_withheld: bool,
}

impl Record {
    pub(super) fn new(
        revision: revision::StoredRevision,
        endpoint: Option<Arc<Endpoint>>,
        last_endpoint: Option<Arc<Endpoint>>,
        learned_at: time::Time,
    ) -> Self {
        Self {
            revision,
            endpoint,
            unconfirmed_after: None,
            last_endpoint,
            learned_at,
            is_withheld: false,
        }
    }

    /// Returns the record of the entry after an unconfirmed removal that happened at `revision` or
    /// before, or `None` if there is no endpoint to keep in use.
    pub(super) fn with_unconfirmed_removal(
        &self,
        revision: revision::StoredRevision,
        learned_at: time::Time,
    ) -> Option<Self> {
        let endpoint = self.endpoint.clone()?;
        Some(Self {
            revision,
            last_endpoint: Some(endpoint.clone()),
            endpoint: Some(endpoint),
            unconfirmed_after: Some(self.unconfirmed_after.unwrap_or(self.revision)),
            learned_at,
            is_withheld: false,
        })
    }

    /// Returns the record after a write that was sent before the last known one. It shows nothing of the
    /// endpoint, so that a removal in doubt stays in doubt.
    pub(super) fn with_late_write(
        &self,
        revision: revision::StoredRevision,
        learned_at: time::Time,
    ) -> Self {
        Self {
            revision,
            learned_at,
            ..self.clone()
        }
    }

    /// Whether an entry may only be what a copy of the store says of an endpoint that has gone, or that leaves:
    /// the first one of a later epoch, and each after it, until the endpoint writes a new one.
    pub(super) fn withholds(
        &self,
        revision: revision::StoredRevision,
        endpoint: &Endpoint,
    ) -> bool {
        let may_be_of_copy = self.is_withheld || revision.epoch() > self.revision.epoch();
        let is_out_of_use = self.usable().is_none();
        let is_known = |last: &Arc<Endpoint>| {
            last.identity.id == endpoint.identity.id && !last.is_older_than(endpoint)
        };
        may_be_of_copy && is_out_of_use && self.last_endpoint.as_ref().is_some_and(is_known)
    }

    /// Returns the record after an entry that is withheld.
    pub(super) fn with_entry_of_copy(
        &self,
        revision: revision::StoredRevision,
        learned_at: time::Time,
    ) -> Self {
        Self {
            is_withheld: true,
            ..self.with_late_write(revision, learned_at)
        }
    }

    /// Returns the record after a change that came before the one of this record, or `None` if it shows
    /// nothing new. It does if the entry was removed later, at an unknown revision, and the removal is in
    /// doubt: another host has confirmed the removal, or the endpoint had said that it leaves.
    pub(super) fn with_earlier_change(
        &self,
        revision: revision::StoredRevision,
        endpoint: Option<Arc<Endpoint>>,
        source: Source,
        learned_at: time::Time,
    ) -> Option<Self> {
        let last_seen = self.unconfirmed_after?;
        if revision <= last_seen {
            return None;
        }
        let last = self.last_endpoint.as_deref();
        match (endpoint, source) {
            (None, Source::Store) => None,
            (None, Source::Host) => {
                let last = self.last_endpoint.clone();
                Some(Self::new(self.revision, None, last, learned_at))
            }
            (Some(endpoint), _) if last.is_some_and(|last| endpoint.is_older_than(last)) => None,
            (Some(endpoint), _) => Some(Self {
                revision: self.revision,
                last_endpoint: Some(endpoint.clone()),
                endpoint: Some(endpoint),
                unconfirmed_after: Some(revision),
                learned_at,
                is_withheld: false,
            }),
        }
    }

    /// Whether the entry's removal is unconfirmed, so that the endpoint stays in use.
    #[must_use]
    pub const fn is_removal_unconfirmed(&self) -> bool {
        self.unconfirmed_after.is_some()
    }

    /// The endpoint, if new requests may be sent to it.
    #[must_use]
    pub fn usable(&self) -> Option<&Arc<Endpoint>> {
        let endpoint = self.endpoint.as_ref()?;
        match endpoint.state {
            State::Ready => Some(endpoint),
            State::Leaving => None,
        }
    }

    /// Whether the record has an endpoint.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        self.endpoint.is_some()
    }

    /// Whether both records have the same usable endpoint, or neither has one.
    pub(super) fn has_same_usable_endpoint(&self, other: Option<&Self>) -> bool {
        match (self.usable(), other.and_then(Self::usable)) {
            (Some(one), Some(other)) => one.eq_ignoring_heartbeat(other),
            (None, None) => true,
            _ => false,
        }
    }

    /// Confirms the removal of the entry, which ends the use of its endpoint. Returns whether the
    /// removal was unconfirmed before.
    pub(super) fn confirm_removal(&mut self, now: time::Time) -> bool {
        if !self.is_removal_unconfirmed() {
            return false;
        }
        *self = Self::new(self.revision, None, self.last_endpoint.take(), now);
        true
    }
}
