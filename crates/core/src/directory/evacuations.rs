//! Failure domains whose endpoints are to get no more requests, as operators ask.

use std::collections::HashMap;
use std::sync::Arc;

use crate::directory::TOMBSTONE_RETENTION;
use crate::{revision, time};

/// Domains of which a record is kept. More than any fleet has: an entry may name a domain that does
/// not exist.
const MAX_RECORDS: usize = 64;

/// What an operator has last said of a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The domain.
    pub domain: Arc<str>,
    /// Revision at which the store wrote or removed the entry.
    pub revision: revision::StoredRevision,
    /// Whether the domain is evacuated, or was taken back.
    pub is_evacuated: bool,
}

/// Record of one domain.
#[derive(Clone, Copy, Debug)]
struct Record {
    revision: revision::StoredRevision,
    is_evacuated: bool,
    learned_at: time::Time,
    /// Whether this host has known the domain as evacuated.
    was_evacuated: bool,
}

/// A domain that was taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnedDomain {
    /// The domain.
    pub domain: Arc<str>,
    /// When this host learned of it.
    pub since: time::Time,
}

/// What is known of all domains. The later revision counts, whatever arrives later.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Invariant: at most [`MAX_RECORDS`].
    records: HashMap<Arc<str>, Record>,
}

impl Evacuations {
    /// Records a statement. Returns whether it is news: newer than what was known, and not that a domain is
    /// in use of which nothing was known. The revision of the latter is kept all the same, so that an older
    /// statement that arrives after it does not count.
    pub fn record(&mut self, evacuation: &Evacuation, now: time::Time) -> bool {
        let known = self.records.get(&evacuation.domain);
        let is_newer = match known {
            Some(known) => known.revision < evacuation.revision,
            None => self.records.len() < MAX_RECORDS,
        };
        if !is_newer {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.was_evacuated);
        let record = Record {
            revision: evacuation.revision,
            is_evacuated: evacuation.is_evacuated,
            learned_at: now,
            was_evacuated: was_evacuated || evacuation.is_evacuated,
        };
        self.records.insert(evacuation.domain.clone(), record);
        record.was_evacuated
    }

    /// Statements that follow from a complete list of the evacuated domains at a revision: those of the
    /// list, and that all others were taken back.
    #[must_use]
    pub fn changes_to(
        &self,
        listed: Vec<(Arc<str>, revision::StoredRevision)>,
        revision: revision::StoredRevision,
    ) -> Vec<Evacuation> {
        let is_listed = |domain: &Arc<str>| listed.iter().any(|(listed, _)| listed == domain);
        let missing = self.records.iter();
        let missing = missing.filter(|(domain, r)| r.is_evacuated && !is_listed(domain));
        let taken_back = missing.map(|(domain, _)| Evacuation {
            domain: domain.clone(),
            revision,
            is_evacuated: false,
        });
        let mut changes: Vec<_> = taken_back.collect();
        changes.extend(listed.into_iter().map(|(domain, revision)| Evacuation {
            domain,
            revision,
            is_evacuated: true,
        }));
        changes
    }

    /// Whether a domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        let record = self.records.get(domain);
        record.is_some_and(|record| record.is_evacuated)
    }

    /// Whether nothing is known of any domain.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Domains that were taken back less than [`TOMBSTONE_RETENTION`] ago, and that this host has known as
    /// evacuated.
    pub fn returned(&self) -> impl Iterator<Item = ReturnedDomain> + '_ {
        let is_returned = |record: &Record| record.was_evacuated && !record.is_evacuated;
        let returned = self.records.iter().filter(move |(_, r)| is_returned(r));
        returned.map(|(domain, record)| ReturnedDomain {
            domain: domain.clone(),
            since: record.learned_at,
        })
    }

    /// Everything that is known, for a host that may know nothing.
    pub fn iter(&self) -> impl Iterator<Item = Evacuation> + '_ {
        self.records.iter().map(|(domain, record)| Evacuation {
            domain: domain.clone(),
            revision: record.revision,
            is_evacuated: record.is_evacuated,
        })
    }

    /// Forgets domains that were taken back long ago.
    pub fn tick(&mut self, now: time::Time) {
        self.records.retain(|_, record| {
            record.is_evacuated || now.since(record.learned_at) < TOMBSTONE_RETENTION
        });
    }
}
