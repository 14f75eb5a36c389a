//! The hosts of the fleet, by their entries in the store and by what is heard from them.
//!
//! The entry of a host vanishes when its lease ends, which also happens to a host that serves on
//! but that the store turns away. Such a host depends on the others for news, so they go on
//! talking to it for [`UNLISTED_RETENTION`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::time;

/// Time for which others go on talking to a host whose entry is gone.
pub const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Silence after which a host whose entry is gone no longer counts as one that serves.
pub const UNLISTED_LIVENESS_TIMEOUT: Duration = Duration::from_secs(4);

/// One host.
#[derive(Clone, Debug)]
struct HostRecord<E> {
    entry: E,
    /// When its entry was record to be gone, or `None` while it is there.
    unlisted_since: Option<time::Time>,
    last_heard: Option<time::Time>,
}

/// Hosts by name. `E` is what their entries say.
#[derive(Clone, Debug)]
pub struct Roster<E> {
    hosts: BTreeMap<Arc<str>, HostRecord<E>>,
}

impl<E> Default for Roster<E> {
    fn default() -> Self {
        Self {
            hosts: BTreeMap::new(),
        }
    }
}

impl<E> Roster<E>
where
    E: Clone + PartialEq,
{
    /// Takes in the entry of a host. Returns whether it is news.
    pub fn put(&mut self, name: Arc<str>, entry: E) -> bool {
        if let Some(record) = self.hosts.get_mut(&name) {
            let changed = record.unlisted_since.is_some() || record.entry != entry;
            record.unlisted_since = None;
            record.entry = entry;
            return changed;
        }
        let record = HostRecord {
            entry,
            unlisted_since: None,
            last_heard: None,
        };
        self.hosts.insert(name, record);
        true
    }

    /// Takes in that a host spoke that may have no entry. A host that starts while the store is
    /// away learns of the others in this way. Returns whether it is news.
    pub fn discover(&mut self, name: Arc<str>, entry: E, now: time::Time) -> bool {
        if let Some(record) = self.hosts.get_mut(&name) {
            record.last_heard = Some(now);
            return false;
        }
        let record = HostRecord {
            entry,
            unlisted_since: Some(now),
            last_heard: Some(now),
        };
        self.hosts.insert(name, record);
        true
    }

    /// Takes in that the entry of a host is gone.
    pub fn remove(&mut self, name: &str, now: time::Time) {
        if let Some(record) = self.hosts.get_mut(name) {
            record.unlisted_since.get_or_insert(now);
        }
    }

    /// Takes in a whole list: entries that it lacks are gone.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Arc<str>>, now: time::Time) {
        for (name, record) in &mut self.hosts {
            if !listed.contains(name) {
                record.unlisted_since.get_or_insert(now);
            }
        }
    }

    /// Takes in that a host spoke.
    pub fn record_contact(&mut self, name: &str, now: time::Time) {
        if let Some(record) = self.hosts.get_mut(name) {
            record.last_heard = Some(now);
        }
    }

    /// Forgets hosts whose entries have been gone for long and that are silent.
    pub fn tick(&mut self, now: time::Time) {
        self.hosts.retain(|_, record| {
            let is_old = |since| now.since(since) > UNLISTED_RETENTION;
            !record.unlisted_since.is_some_and(is_old) || record.is_recently_heard(now)
        });
    }

    /// Hosts in the order of their names.
    pub fn hosts(&self) -> impl Iterator<Item = (&Arc<str>, &E)> {
        self.hosts
            .iter()
            .map(|(name, record)| (name, &record.entry))
    }

    /// Entry of a host.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&E> {
        self.hosts.get(name).map(|record| &record.entry)
    }

    /// Whether a host serves, as far as is known.
    #[must_use]
    pub fn is_live(&self, name: &str, now: time::Time) -> bool {
        let record = self.hosts.get(name);
        record
            .is_some_and(|record| record.unlisted_since.is_none() || record.is_recently_heard(now))
    }

    /// Hosts that serve, as far as is known.
    #[must_use]
    pub fn live_count(&self, now: time::Time) -> usize {
        let is_live = |record: &&HostRecord<E>| {
            record.unlisted_since.is_none() || record.is_recently_heard(now)
        };
        self.hosts.values().filter(is_live).count()
    }
}

impl<E> HostRecord<E> {
    fn is_recently_heard(&self, now: time::Time) -> bool {
        self.last_heard
            .is_some_and(|at| now.since(at) <= UNLISTED_LIVENESS_TIMEOUT)
    }
}
