//! The hosts of the fleet, by their entries in the store and by what is heard from them.
//!
//! The entry of a host vanishes when its lease ends, which also happens to a host that serves on
//! but that the store turns away. Such a host depends on the others for news, so they go on
//! talking to it for [`UNLISTED_KEPT`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::time;

/// Time for which others go on talking to a host whose entry is gone.
pub const UNLISTED_KEPT: Duration = Duration::from_secs(60);

/// Silence after which a host whose entry is gone no longer counts as one that serves.
pub const UNLISTED_SILENCE: Duration = Duration::from_secs(4);

/// One host.
#[derive(Clone, Debug)]
struct Seen<E> {
    entry: E,
    /// When its entry was seen to be gone, or `None` while it is there.
    unlisted: Option<time::Time>,
    heard: Option<time::Time>,
}

/// Hosts by name. `E` is what their entries say.
#[derive(Clone, Debug)]
pub struct Roster<E> {
    hosts: BTreeMap<Arc<str>, Seen<E>>,
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
        if let Some(seen) = self.hosts.get_mut(&name) {
            let is_news = seen.unlisted.is_some() || seen.entry != entry;
            seen.unlisted = None;
            seen.entry = entry;
            return is_news;
        }
        let seen = Seen {
            entry,
            unlisted: None,
            heard: None,
        };
        self.hosts.insert(name, seen);
        true
    }

    /// Takes in that a host spoke that may have no entry. A host that starts while the store is
    /// away learns of the others in this way. Returns whether it is news.
    pub fn meet(&mut self, name: Arc<str>, entry: E, now: time::Time) -> bool {
        if let Some(seen) = self.hosts.get_mut(&name) {
            seen.heard = Some(now);
            return false;
        }
        let seen = Seen {
            entry,
            unlisted: Some(now),
            heard: Some(now),
        };
        self.hosts.insert(name, seen);
        true
    }

    /// Takes in that the entry of a host is gone.
    pub fn remove(&mut self, name: &str, now: time::Time) {
        if let Some(seen) = self.hosts.get_mut(name) {
            seen.unlisted.get_or_insert(now);
        }
    }

    /// Takes in a whole list: entries that it lacks are gone.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Arc<str>>, now: time::Time) {
        for (name, seen) in &mut self.hosts {
            if !listed.contains(name) {
                seen.unlisted.get_or_insert(now);
            }
        }
    }

    /// Takes in that a host spoke.
    pub fn hear(&mut self, name: &str, now: time::Time) {
        if let Some(seen) = self.hosts.get_mut(name) {
            seen.heard = Some(now);
        }
    }

    /// Forgets hosts whose entries have been gone for long and that are silent.
    pub fn tick(&mut self, now: time::Time) {
        self.hosts.retain(|_, seen| {
            let is_old = |since| now.since(since) > UNLISTED_KEPT;
            !seen.unlisted.is_some_and(is_old) || seen.is_heard(now)
        });
    }

    /// Hosts in the order of their names.
    pub fn hosts(&self) -> impl Iterator<Item = (&Arc<str>, &E)> {
        self.hosts.iter().map(|(name, seen)| (name, &seen.entry))
    }

    /// Entry of a host.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&E> {
        self.hosts.get(name).map(|seen| &seen.entry)
    }

    /// Whether a host serves, as far as is known.
    #[must_use]
    pub fn serves(&self, name: &str, now: time::Time) -> bool {
        let seen = self.hosts.get(name);
        seen.is_some_and(|seen| seen.unlisted.is_none() || seen.is_heard(now))
    }

    /// Hosts that serve, as far as is known.
    #[must_use]
    pub fn serving(&self, now: time::Time) -> usize {
        let serves = |seen: &&Seen<E>| seen.unlisted.is_none() || seen.is_heard(now);
        self.hosts.values().filter(serves).count()
    }
}

impl<E> Seen<E> {
    fn is_heard(&self, now: time::Time) -> bool {
        self.heard
            .is_some_and(|at| now.since(at) <= UNLISTED_SILENCE)
    }
}
