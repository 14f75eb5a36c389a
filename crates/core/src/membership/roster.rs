//! The hosts of the fleet, by their entries in the store and by the messages that they send.
//!
//! The entry of a host is removed when its lease expires. This also happens to a host that is
//! still serving but that the store rejects. Such a host depends on the others for updates, so
//! they stay linked to it for [`UNLISTED_RETENTION`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::time;

/// Time for which others stay linked to a host after its entry was removed.
pub const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Silence after which a host without an entry no longer counts as live.
pub const UNLISTED_LIVENESS_TIMEOUT: Duration = Duration::from_secs(4);

/// One host.
#[derive(Clone, Debug)]
struct HostRecord<E> {
    entry: E,
    /// When this host found the entry to be removed, or `None` while it exists.
    unlisted_since: Option<time::Time>,
    last_heard: Option<time::Time>,
}

/// Hosts by name. `E` is the content of their entries.
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
    /// Adds or replaces the entry of a host. Returns whether the entry changed or was listed anew.
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

    /// Records a message of a host that may have no entry. This is how a host that starts during
    /// an outage of the store learns of the others. Returns whether the host is new.
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

    /// Records that the entry of a host was removed.
    pub fn remove(&mut self, name: &str, now: time::Time) {
        if let Some(record) = self.hosts.get_mut(name) {
            record.unlisted_since.get_or_insert(now);
        }
    }

    /// Records that all entries that are not in a complete list were removed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Arc<str>>, now: time::Time) {
        for (name, record) in &mut self.hosts {
            if !listed.contains(name) {
                record.unlisted_since.get_or_insert(now);
            }
        }
    }

    /// Records that a message of a host arrived.
    pub fn record_contact(&mut self, name: &str, now: time::Time) {
        if let Some(record) = self.hosts.get_mut(name) {
            record.last_heard = Some(now);
        }
    }

    /// Drops silent hosts whose entries were removed longer ago than [`UNLISTED_RETENTION`].
    pub fn tick(&mut self, now: time::Time) {
        self.hosts.retain(|_, record| {
            let has_expired = |since| now.since(since) > UNLISTED_RETENTION;
            !record.unlisted_since.is_some_and(has_expired) || record.is_recently_heard(now)
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

    /// Whether a host is live: it has an entry, or a message of it arrived within
    /// [`UNLISTED_LIVENESS_TIMEOUT`].
    #[must_use]
    pub fn is_live(&self, name: &str, now: time::Time) -> bool {
        let record = self.hosts.get(name);
        record
            .is_some_and(|record| record.unlisted_since.is_none() || record.is_recently_heard(now))
    }

    /// Number of live hosts.
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
