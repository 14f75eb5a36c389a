//! What a host knows of one entry.

use std::sync::Arc;

use crate::directory::{Endpoint, State};
use crate::{revision, time};

/// One entry at its newest known revision.
#[derive(Clone, Debug)]
pub struct Record {
    /// Revision of the last change of the entry.
    pub revision: revision::Revision,
    /// The endpoint, or `None` if the entry is gone or cannot be used.
    pub endpoint: Option<Arc<Endpoint>>,
    /// Set while the entry is gone and the endpoint is kept in use for the time being: the last
    /// revision at which the entry is known to have been there. Its removal may have come at any
    /// revision after that one, since a list only shows that the entry is gone by then.
    pub lapsing_after: Option<revision::Revision>,
    /// The last usable entry under this key, by which an older one that arrives late is known.
    pub last: Option<Arc<Endpoint>>,
    /// When this host learned of the change.
    pub since: time::Time,
}

impl Record {
    pub(super) fn new(
        revision: revision::Revision,
        endpoint: Option<Arc<Endpoint>>,
        last: Option<Arc<Endpoint>>,
        since: time::Time,
    ) -> Self {
        Self {
            revision,
            endpoint,
            lapsing_after: None,
            last,
            since,
        }
    }

    /// The record of the entry once it is gone by `revision` and its endpoint is kept in use, or
    /// `None` if there is no endpoint to keep.
    pub(super) fn lapse(&self, revision: revision::Revision, since: time::Time) -> Option<Self> {
        let endpoint = self.endpoint.clone()?;
        Some(Self {
            revision,
            last: Some(endpoint.clone()),
            endpoint: Some(endpoint),
            lapsing_after: Some(self.lapsing_after.unwrap_or(self.revision)),
            since,
        })
    }

    /// Whether the entry is gone and the endpoint is kept in use for the time being.
    #[must_use]
    pub const fn is_lapsing(&self) -> bool {
        self.lapsing_after.is_some()
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

    /// Whether the entry still names an endpoint.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        self.endpoint.is_some()
    }

    /// Whether the same endpoint may be used under both records.
    pub(super) fn serves_like(&self, other: Option<&Self>) -> bool {
        match (self.usable(), other.and_then(Self::usable)) {
            (Some(one), Some(other)) => one.serves_like(other),
            (None, None) => true,
            _ => false,
        }
    }

    /// Ends the use of an endpoint whose entry is gone. Returns whether it had been kept.
    pub(super) fn end_lapse(&mut self, now: time::Time) -> bool {
        if !self.is_lapsing() {
            return false;
        }
        *self = Self::new(self.revision, None, self.last.take(), now);
        true
    }
}
