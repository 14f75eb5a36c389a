//! State machine of one replica.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::confirm::{Confirmations, DomainStatus};
use super::log::Log;
use super::start::Starting;
use super::view::View;
use crate::lists::message::Message;
use crate::lists::{Delta, Lists, Snapshot, Version};
use crate::{entity, revision, time};

/// Period of the announcements to one peer.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// Period of the domain reports between watchers.
const REPORT: Duration = Duration::from_secs(2);

/// Period at which a watcher compares its version with the store.
const STORE_READ: Duration = Duration::from_secs(5);

/// Time after which an unanswered request to a peer or the store counts as lost.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a version that nobody announces any more is no longer waited for.
const HIGHEST_KEPT: Duration = Duration::from_secs(60);

/// Time for which the store must be behind before its lists are written back.
const REPAIR_AFTER: Duration = Duration::from_secs(12);

/// What the replica asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a host.
    Send(entity::HostId, Message),
    /// Read the lists from the store and pass the answer to [`Replica::store`].
    ReadStore,
    /// Pass each later delta of the store's history to [`Replica::recorded`], until told not to.
    Watch,
    /// End the watch.
    Unwatch,
    /// The lists in force have changed.
    InForce(Version, Arc<Lists>),
    /// Write the lists to the store if it still has the stated version, and pass the delta to
    /// [`Replica::recorded`].
    Repair {
        /// Version that the store must still have.
        expected: Version,
        /// Delta without changes that ends at the version to write.
        delta: Delta,
        /// The lists to write.
        lists: Arc<Lists>,
    },
}

/// Effects of one event.
pub type Effects = SmallVec<[Effect; 8]>;

/// What a read of the store gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The lists in the store. A store without lists gives [`Version::NONE`].
    Lists(Snapshot),
    /// The store has the version that the replica has.
    Same,
    /// The store did not answer.
    Unavailable,
}

/// One host's copy of the two lists.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) view: View,
    /// Version in force. Never goes down.
    pub(super) version: Version,
    pub(super) lists: Arc<Lists>,
    pub(super) log: Log,
    /// Largest version that anyone announced, and when it was last heard of.
    pub(super) highest: (Version, time::Time),
    pub(super) starting: Option<Starting>,
    /// Peer that was asked for deltas, and when.
    pub(super) fetch: Option<(entity::HostId, time::Time)>,
    /// Since when the store is known to be behind, and with which version.
    pub(super) store_behind: Option<(time::Time, Version)>,
    pub(super) watching: bool,
    pub(super) turn: usize,
    pub(super) next_announce: time::Time,
    pub(super) next_confirm: time::Time,
    pub(super) next_report: time::Time,
    pub(super) next_store_read: time::Time,
    pub(super) next_snapshot: time::Time,
    pub(super) confirmations: Confirmations,
}

impl Replica {
    /// Starts a replica without lists.
    pub fn start(now: time::Time, view: View) -> (Self, Effects) {
        let mut replica = Self {
            view,
            version: Version::NONE,
            lists: Arc::default(),
            log: Log::default(),
            highest: (Version::NONE, now),
            starting: None,
            fetch: None,
            store_behind: None,
            watching: false,
            turn: 0,
            next_announce: now,
            next_confirm: now,
            next_report: now,
            next_store_read: now + STORE_READ,
            next_snapshot: now,
            confirmations: Confirmations::default(),
        };
        let mut effects = Effects::new();
        replica.ask_all(now, &mut effects);
        replica.watch(&mut effects);
        (replica, effects)
    }

    /// Whether the host may serve: it has taken over the largest version of its sources.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.starting.is_none()
    }

    /// Version in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Lists in force.
    #[must_use]
    pub fn lists(&self) -> &Arc<Lists> {
        &self.lists
    }

    /// Largest version that is known to exist. An edit of a store that has a smaller one waits
    /// until the store has been brought up to date.
    #[must_use]
    pub fn highest(&self) -> Version {
        self.highest.0.max(self.version)
    }

    /// The announcement to carry on a probe.
    #[must_use]
    pub const fn announcement(&self) -> Message {
        Message::Announce(self.version)
    }

    /// What each domain has in force of a revision. Only watchers know of other domains at all
    /// times; another host first sends [`Message::AskDomains`] to a watcher.
    #[must_use]
    pub fn status(&self, now: time::Time, revision: revision::Revision) -> Vec<DomainStatus> {
        self.confirmations.status(now, &self.view, revision)
    }

    /// Asks a watcher of the domain for its reports, unless this host is one.
    #[must_use]
    pub fn ask_domains(&self) -> Effects {
        if self.view.is_watcher() {
            return Effects::new();
        }
        let watchers = self.view.watchers(self.view.domain()).iter();
        watchers
            .map(|host| Effect::Send(*host, Message::AskDomains))
            .collect()
    }

    /// Takes over a new view of the live hosts.
    pub fn set_view(&mut self, now: time::Time, view: View) -> Effects {
        let mut effects = Effects::new();
        self.view = view;
        self.confirmations.retain(&self.view);
        self.watch(&mut effects);
        self.settle(now, &mut effects);
        effects
    }

    /// Does what is due.
    pub fn tick(&mut self, now: time::Time) -> Effects {
        let mut effects = Effects::new();
        if now.since(self.highest.1) >= HIGHEST_KEPT {
            self.highest = (self.version, now);
        }
        if self
            .fetch
            .is_some_and(|(_, sent)| now.since(sent) >= ANSWER_TIMEOUT)
        {
            self.fetch = None;
        }
        self.tick_start(now, &mut effects);
        if self.is_ready() && self.next_announce <= now {
            self.next_announce = now + ANNOUNCE;
            self.announce(&mut effects);
        }
        if self.is_ready() && self.next_confirm <= now {
            self.confirm(now, &mut effects);
        }
        if self.view.is_watcher() {
            self.tick_watcher(now, &mut effects);
        }
        effects
    }

    /// Takes a message from another host.
    pub fn receive(&mut self, now: time::Time, from: entity::HostId, message: Message) -> Effects {
        let mut effects = Effects::new();
        match message {
            Message::Announce(version) => self.announced(now, from, version, &mut effects),
            Message::Fetch(version) => self.fetched(now, from, version, &mut effects),
            Message::Deltas(deltas) => self.deltas(now, Some(from), deltas, &mut effects),
            Message::Snapshot(snapshot) => self.snapshot(now, Some(from), snapshot, &mut effects),
            Message::Domains(reports) => self.confirmations.merge(now, reports),
            Message::AskDomains => {
                let reports = self.confirmations.reports(now, &self.view);
                effects.push(Effect::Send(from, Message::Domains(reports)));
            }
        }
        effects
    }

    /// Takes the answer to [`Effect::ReadStore`].
    pub fn store(&mut self, now: time::Time, answer: StoreAnswer) -> Effects {
        let mut effects = Effects::new();
        match answer {
            StoreAnswer::Unavailable => {}
            StoreAnswer::Same => {
                self.store_behind = None;
                self.store_answered(now, &mut effects);
            }
            StoreAnswer::Lists(snapshot) if snapshot.version >= self.version => {
                self.store_behind = None;
                self.snapshot(now, None, snapshot, &mut effects);
                self.store_answered(now, &mut effects);
            }
            StoreAnswer::Lists(snapshot) => {
                self.store_answered(now, &mut effects);
                self.repair(now, snapshot.version, &mut effects);
            }
        }
        effects
    }

    /// Takes a delta that the store has recorded, from the watch or from an edit of this host.
    pub fn recorded(&mut self, now: time::Time, delta: Delta) -> Effects {
        let mut effects = Effects::new();
        self.deltas(now, None, vec![delta], &mut effects);
        if self.version < self.highest() {
            effects.push(Effect::ReadStore);
        }
        effects
    }

    fn tick_watcher(&mut self, now: time::Time, effects: &mut Effects) {
        if self.next_store_read <= now {
            self.next_store_read = now + STORE_READ;
            effects.push(Effect::ReadStore);
        }
        if self.next_report <= now {
            self.next_report = now + REPORT;
            self.report(now, effects);
        }
    }

    /// Starts or ends the watch when the host has become a watcher or is one no more.
    fn watch(&mut self, effects: &mut Effects) {
        let watcher = self.view.is_watcher();
        if watcher != self.watching {
            self.watching = watcher;
            effects.push(if watcher {
                Effect::Watch
            } else {
                Effect::Unwatch
            });
        }
    }

    pub(super) fn heard(&mut self, now: time::Time, version: Version) {
        if version >= self.highest.0 {
            self.highest = (version, now);
        }
    }

    fn deltas(
        &mut self,
        now: time::Time,
        from: Option<entity::HostId>,
        deltas: Vec<Delta>,
        effects: &mut Effects,
    ) {
        let mut applied = Vec::new();
        for delta in deltas {
            self.heard(now, delta.to);
            if delta.from == self.version && delta.to > self.version {
                let lists = Arc::make_mut(&mut self.lists);
                delta.changes.iter().for_each(|change| lists.apply(change));
                self.version = delta.to;
                self.log.push(delta.clone());
                applied.push(delta);
            }
        }
        if !applied.is_empty() {
            self.moved(now, effects);
            self.push(from, &Message::Deltas(applied), effects);
        }
        match from {
            Some(from) if self.version < self.highest() => self.ask(now, from, effects),
            Some(from) => self.peer_answered(now, from, effects),
            None => {}
        }
    }

    fn snapshot(
        &mut self,
        now: time::Time,
        from: Option<entity::HostId>,
        snapshot: Snapshot,
        effects: &mut Effects,
    ) {
        self.heard(now, snapshot.version);
        if snapshot.version > self.version {
            self.version = snapshot.version;
            self.lists = Arc::new(snapshot.lists);
            self.log.clear();
            self.moved(now, effects);
            self.push(from, &Message::Announce(self.version), effects);
        }
        if let Some(from) = from {
            self.peer_answered(now, from, effects);
        }
    }

    /// Follows up a move to a larger version.
    pub(super) fn moved(&mut self, now: time::Time, effects: &mut Effects) {
        self.fetch = None;
        if self.is_ready() {
            effects.push(Effect::InForce(self.version, Arc::clone(&self.lists)));
            self.confirm(now, effects);
        }
    }

    /// Writes the lists back once the store has been behind for long enough.
    fn repair(&mut self, now: time::Time, stored: Version, effects: &mut Effects) {
        let known = self.store_behind.filter(|(_, version)| *version == stored);
        let since = known.map_or(now, |(since, _)| since);
        self.store_behind = Some((since, stored));
        let lasted = now.since(since) >= REPAIR_AFTER;
        let complete = self.is_ready() && self.version == self.highest();
        if lasted && complete && self.view.is_first_watcher() {
            self.store_behind = None;
            effects.push(Effect::Repair {
                expected: stored,
                delta: Delta::after(self.version, Vec::new()),
                lists: Arc::clone(&self.lists),
            });
        }
    }
}
