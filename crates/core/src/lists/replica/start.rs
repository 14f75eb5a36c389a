//! How a replica starts: it asks the store and several peers and takes the largest version.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::state::{Effect, Effects, Replica};
use crate::lists::Version;
use crate::lists::message::Message;
use crate::{entity, time};

/// Longest wait of a starting host for the sources that have not answered.
const START_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of a starting host for a version that was announced and cannot be fetched.
const START_GIVE_UP: Duration = Duration::from_secs(10);

/// Peers that a starting host asks at once.
const START_PEERS: usize = 4;

/// Whom a starting host still waits for.
#[derive(Clone, Debug)]
pub(super) struct Starting {
    /// When the host started.
    pub(super) started: time::Time,
    /// When the sources were last asked.
    pub(super) since: time::Time,
    /// Peers that were asked and have not answered.
    pub(super) peers: SmallVec<[entity::HostId; START_PEERS]>,
    /// Whether the store has answered, and had lists or none.
    pub(super) store: bool,
}

impl Replica {
    /// Asks again when the sources have not answered in time.
    pub(super) fn tick_start(&mut self, now: time::Time, effects: &mut Effects) {
        let waited = |starting: &Starting| now.since(starting.since) >= START_WAIT;
        if !self.starting.as_ref().is_some_and(waited) {
            return;
        }
        self.settle(now, effects);
        if self.starting.is_some() {
            self.ask_all(now, effects);
        }
    }

    /// Asks the store and a few peers for their lists.
    pub(super) fn ask_all(&mut self, now: time::Time, effects: &mut Effects) {
        let local = self.view.peers();
        let remote = self.view.remote_watchers();
        let skip = self.turn;
        self.turn = self.turn.wrapping_add(1);
        let rotate = |hosts: &[entity::HostId], n: usize| -> SmallVec<[entity::HostId; 4]> {
            let cycle = hosts.iter().cycle().skip(skip % hosts.len().max(1));
            cycle.take(n.min(hosts.len())).copied().collect()
        };
        let remote = rotate(&remote, 1);
        let mut peers = rotate(&local, START_PEERS - remote.len());
        peers.extend(remote);
        let store = self
            .starting
            .as_ref()
            .is_some_and(|starting| starting.store);
        if !store {
            effects.push(Effect::ReadStore);
        }
        let fetches = peers
            .iter()
            .map(|peer| Effect::Send(*peer, Message::Fetch(self.version)));
        effects.extend(fetches);
        let started = self
            .starting
            .as_ref()
            .map_or(now, |starting| starting.started);
        self.starting = Some(Starting {
            started,
            since: now,
            peers,
            store,
        });
    }

    pub(super) fn store_answered(&mut self, now: time::Time, effects: &mut Effects) {
        if let Some(starting) = &mut self.starting {
            starting.store = true;
        }
        self.settle(now, effects);
    }

    pub(super) fn peer_answered(
        &mut self,
        now: time::Time,
        peer: entity::HostId,
        effects: &mut Effects,
    ) {
        if let Some(starting) = &mut self.starting {
            starting.peers.retain(|other| *other != peer);
        }
        self.settle(now, effects);
    }

    /// Ends the start when the sources have answered, or when one has and the wait is over.
    pub(super) fn settle(&mut self, now: time::Time, effects: &mut Effects) {
        let Some(starting) = &self.starting else {
            return;
        };
        let waited = now.since(starting.since) >= START_WAIT;
        let all = starting.store && starting.peers.is_empty();
        let some = starting.store || self.version > Version::NONE;
        let given_up = now.since(starting.started) >= START_GIVE_UP;
        let complete = self.version == self.highest() || given_up;
        if complete && (all || (waited && some)) {
            self.starting = None;
            effects.push(Effect::InForce(self.version, Arc::clone(&self.lists)));
            self.confirm(now, effects);
        }
    }
}
