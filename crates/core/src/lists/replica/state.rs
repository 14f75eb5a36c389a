//! State machine of one replica.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::confirm::{Confirmations, DomainStatus};
use super::log::DeltaLog;
use super::start::Starting;
use super::view::View;
use crate::lists::message::Message;
use crate::lists::{Delta, Lists, Snapshot, Version};
use crate::{entity, revision, time};

/// Interval of announcements to one peer.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of domain reports between watchers.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a watcher compares its version with the store.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a fetch from a peer that was not answered counts as lost.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a version that no host announces any more is no longer waited for.
const HIGHEST_VERSION_TTL: Duration = Duration::from_secs(60);

/// Time for which the store must be behind at the same version before it is repaired.
const REPAIR_DELAY: Duration = Duration::from_secs(12);

/// Action that the caller of the state machine has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a host.
    Send(entity::HostId, Message),
    /// Read the lists from the store and pass the answer to [`Replica::handle_store_answer`].
    ReadStore,
    /// Watch the history in the store and pass each later delta to
    /// [`Replica::handle_recorded_delta`], until [`Effect::Unwatch`].
    Watch,
    /// End the watch.
    Unwatch,
    /// The lists in force have changed.
    InForce(Version, Arc<Lists>),
    /// Write the lists to the store if it still has the expected version. After success, pass the
    /// delta to [`Replica::handle_recorded_delta`].
    Repair {
        /// Version that the store must still have.
        expected: Version,
        /// Delta without changes that leads to the version to write.
        delta: Delta,
        /// The lists to write.
        lists: Arc<Lists>,
    },
}

/// Effects of one event.
pub type Effects = SmallVec<[Effect; 8]>;

/// Result of a read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The lists in the store. Their version is [`Version::NONE`] if the store has none.
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
    /// Version in force. Never decreases.
    pub(super) version: Version,
    pub(super) lists: Arc<Lists>,
    pub(super) log: DeltaLog,
    /// Largest version that was announced, and the time of its last announcement.
    pub(super) highest_announced: (Version, time::Time),
    pub(super) starting: Option<Starting>,
    /// Peer of the last fetch that is not answered yet, and the time of the fetch.
    pub(super) pending_fetch: Option<(entity::HostId, time::Time)>,
    /// Time since which the store has been behind at the same version, and this version.
    pub(super) store_behind_since: Option<(time::Time, Version)>,
    pub(super) watching: bool,
    /// Counter that selects the next peer.
    pub(super) round_robin: usize,
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
            log: DeltaLog::default(),
            highest_announced: (Version::NONE, now),
            starting: None,
            pending_fetch: None,
            store_behind_since: None,
            watching: false,
            round_robin: 0,
            next_announce: now,
            next_confirm: now,
            next_report: now,
            next_store_read: now + STORE_READ_INTERVAL,
            next_snapshot: now,
            confirmations: Confirmations::default(),
        };
        let mut effects = Effects::new();
        replica.query_sources(now, &mut effects);
        replica.update_watch(&mut effects);
        (replica, effects)
    }

    /// Whether the start is complete, so that the host may serve.
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

    /// Largest version that was announced or is in force. A store with a smaller version is not
    /// edited before it has been repaired.
    #[must_use]
    pub fn highest_version(&self) -> Version {
        self.highest_announced.0.max(self.version)
    }

    /// The announcement to piggyback on a membership probe.
    #[must_use]
    pub const fn announcement(&self) -> Message {
        Message::Announce(self.version)
    }

    /// Progress of a revision in each domain. Only watchers have the reports of other domains at
    /// all times; another host first requests them with [`Replica::ask_domains`].
    #[must_use]
    pub fn status(&self, now: time::Time, revision: revision::Revision) -> Vec<DomainStatus> {
        self.confirmations.status(now, &self.view, revision)
    }

    /// Requests the reports of the watchers of the domain, unless this host is one.
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

    /// Replaces the view of the live hosts.
    pub fn set_view(&mut self, now: time::Time, view: View) -> Effects {
        let mut effects = Effects::new();
        self.view = view;
        self.confirmations.retain(&self.view);
        self.update_watch(&mut effects);
        self.finish_start_if_ready(now, &mut effects);
        effects
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: time::Time) -> Effects {
        let mut effects = Effects::new();
        if now.since(self.highest_announced.1) >= HIGHEST_VERSION_TTL {
            self.highest_announced = (self.version, now);
        }
        if self
            .pending_fetch
            .is_some_and(|(_, sent)| now.since(sent) >= ANSWER_TIMEOUT)
        {
            self.pending_fetch = None;
        }
        self.tick_start(now, &mut effects);
        if self.is_ready() && self.next_announce <= now {
            self.next_announce = now + ANNOUNCE_INTERVAL;
            self.send_announcements(&mut effects);
        }
        if self.is_ready() && self.next_confirm <= now {
            self.send_confirmation(now, &mut effects);
        }
        if self.view.is_watcher() {
            self.tick_watcher(now, &mut effects);
        }
        effects
    }

    /// Handles a message from another host.
    pub fn handle_message(
        &mut self,
        now: time::Time,
        from: entity::HostId,
        message: Message,
    ) -> Effects {
        let mut effects = Effects::new();
        match message {
            Message::Announce(version) => self.handle_announce(now, from, version, &mut effects),
            Message::Fetch(version) => self.handle_fetch(now, from, version, &mut effects),
            Message::Deltas(deltas) => self.apply_deltas(now, Some(from), deltas, &mut effects),
            Message::Snapshot(snapshot) => {
                self.apply_snapshot(now, Some(from), snapshot, &mut effects)
            }
            Message::Domains(reports) => self.confirmations.merge(now, reports),
            Message::AskDomains => {
                let reports = self.confirmations.reports(now, &self.view);
                effects.push(Effect::Send(from, Message::Domains(reports)));
            }
        }
        effects
    }

    /// Handles the answer to [`Effect::ReadStore`].
    pub fn handle_store_answer(&mut self, now: time::Time, answer: StoreAnswer) -> Effects {
        let mut effects = Effects::new();
        match answer {
            StoreAnswer::Unavailable => {}
            StoreAnswer::Same => {
                self.store_behind_since = None;
                self.store_answered(now, &mut effects);
            }
            StoreAnswer::Lists(snapshot) if snapshot.version >= self.version => {
                self.store_behind_since = None;
                self.apply_snapshot(now, None, snapshot, &mut effects);
                self.store_answered(now, &mut effects);
            }
            StoreAnswer::Lists(snapshot) => {
                self.store_answered(now, &mut effects);
                self.repair_if_due(now, snapshot.version, &mut effects);
            }
        }
        effects
    }

    /// Handles a delta that the store has recorded, from the watch or from an edit of this host.
    pub fn handle_recorded_delta(&mut self, now: time::Time, delta: Delta) -> Effects {
        let mut effects = Effects::new();
        self.apply_deltas(now, None, vec![delta], &mut effects);
        if self.version < self.highest_version() {
            effects.push(Effect::ReadStore);
        }
        effects
    }

    fn tick_watcher(&mut self, now: time::Time, effects: &mut Effects) {
        if self.next_store_read <= now {
            self.next_store_read = now + STORE_READ_INTERVAL;
            effects.push(Effect::ReadStore);
        }
        if self.next_report <= now {
            self.next_report = now + REPORT_INTERVAL;
            self.send_reports(now, effects);
        }
    }

    /// Starts or ends the watch when the host has become a watcher or has ceased to be one.
    fn update_watch(&mut self, effects: &mut Effects) {
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

    /// Records that a version exists.
    pub(super) fn observe_version(&mut self, now: time::Time, version: Version) {
        if version >= self.highest_announced.0 {
            self.highest_announced = (version, now);
        }
    }

    /// Applies the deltas that continue the version in force, and forwards them.
    fn apply_deltas(
        &mut self,
        now: time::Time,
        from: Option<entity::HostId>,
        deltas: Vec<Delta>,
        effects: &mut Effects,
    ) {
        let mut applied = Vec::new();
        for delta in deltas {
            self.observe_version(now, delta.to);
            if delta.from == self.version && delta.to > self.version {
                let lists = Arc::make_mut(&mut self.lists);
                delta.changes.iter().for_each(|change| lists.apply(change));
                self.version = delta.to;
                self.log.push(delta.clone());
                applied.push(delta);
            }
        }
        if !applied.is_empty() {
            self.version_changed(now, effects);
            self.forward_to_peers(from, &Message::Deltas(applied), effects);
        }
        match from {
            Some(from) if self.version < self.highest_version() => {
                self.fetch_from(now, from, effects)
            }
            Some(from) => self.peer_answered(now, from, effects),
            None => {}
        }
    }

    /// Replaces the lists by a snapshot with a larger version, and announces it to the peers.
    fn apply_snapshot(
        &mut self,
        now: time::Time,
        from: Option<entity::HostId>,
        snapshot: Snapshot,
        effects: &mut Effects,
    ) {
        self.observe_version(now, snapshot.version);
        if snapshot.version > self.version {
            self.version = snapshot.version;
            self.lists = Arc::new(snapshot.lists);
            self.log.clear();
            self.version_changed(now, effects);
            self.forward_to_peers(from, &Message::Announce(self.version), effects);
        }
        if let Some(from) = from {
            self.peer_answered(now, from, effects);
        }
    }

    /// Reports and confirms a larger version in force, once the start is complete.
    pub(super) fn version_changed(&mut self, now: time::Time, effects: &mut Effects) {
        self.pending_fetch = None;
        if self.is_ready() {
            effects.push(Effect::InForce(self.version, Arc::clone(&self.lists)));
            self.send_confirmation(now, effects);
        }
    }

    /// Repairs the store once it has been behind for [`REPAIR_DELAY`]. Only the first watcher of a
    /// domain does so, and only with the largest version that was announced.
    fn repair_if_due(&mut self, now: time::Time, stored: Version, effects: &mut Effects) {
        let known = self
            .store_behind_since
            .filter(|(_, version)| *version == stored);
        let since = known.map_or(now, |(since, _)| since);
        self.store_behind_since = Some((since, stored));
        let lasted = now.since(since) >= REPAIR_DELAY;
        let complete = self.is_ready() && self.version == self.highest_version();
        if lasted && complete && self.view.is_first_watcher() {
            self.store_behind_since = None;
            effects.push(Effect::Repair {
                expected: stored,
                delta: Delta::after(self.version, Vec::new()),
                lists: Arc::clone(&self.lists),
            });
        }
    }
}
