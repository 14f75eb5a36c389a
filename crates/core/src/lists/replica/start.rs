//! Start of a replica: it queries the store and several peers, and adopts the largest version.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::state::{Effect, Effects, Replica};
use crate::lists::Version;
use crate::lists::message::Message;
use crate::{entity, time};

/// Time that a starting host waits for the store and the peers before it queries them again, or
/// starts without those that have not answered.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a starting host no longer waits for a version that was announced but could not
/// be fetched.
const START_DEADLINE: Duration = Duration::from_secs(10);

/// Number of peers that a starting host queries at once.
const START_PEERS: usize = 4;

/// Progress of the start.
#[derive(Clone, Debug)]
pub(super) struct Starting {
    /// Time of the start.
    pub(super) started: time::Time,
    /// Time of the last queries.
    pub(super) asked_at: time::Time,
    /// Peers that were queried and have not answered.
    pub(super) pending_peers: SmallVec<[entity::HostId; START_PEERS]>,
    /// Whether the store has answered, with or without lists.
    pub(super) store_answered: bool,
}

impl Replica {
    /// After [`SOURCE_TIMEOUT`], ends the start if possible or repeats the queries.
    pub(super) fn tick_start(&mut self, now: time::Time, effects: &mut Effects) {
        let waited = |starting: &Starting| now.since(starting.asked_at) >= SOURCE_TIMEOUT;
        if !self.starting.as_ref().is_some_and(waited) {
            return;
        }
        self.finish_start_if_ready(now, effects);
        if self.starting.is_some() {
            self.query_sources(now, effects);
        }
    }

    /// Queries the store, unless it has answered before, and up to [`START_PEERS`] peers, one of
    /// them a watcher of another domain. Each round starts with the next peer.
    pub(super) fn query_sources(&mut self, now: time::Time, effects: &mut Effects) {
        let local = self.view.peers();
        let remote = self.view.remote_watchers();
        let skip = self.round_robin;
        self.round_robin = self.round_robin.wrapping_add(1);
        let rotate = |hosts: &[entity::HostId], n: usize| -> SmallVec<[entity::HostId; 4]> {
            let cycle = hosts.iter().cycle().skip(skip % hosts.len().max(1));
            cycle.take(n.min(hosts.len())).copied().collect()
        };
        let remote = rotate(&remote, 1);
        let mut peers = rotate(&local, START_PEERS - remote.len());
        peers.extend(remote);
        let store_answered = self
            .starting
            .as_ref()
            .is_some_and(|starting| starting.store_answered);
        if !store_answered {
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
            asked_at: now,
            pending_peers: peers,
            store_answered,
        });
    }

    /// Records an answer of the store.
    pub(super) fn store_answered(&mut self, now: time::Time, effects: &mut Effects) {
        if let Some(starting) = &mut self.starting {
            starting.store_answered = true;
        }
        self.finish_start_if_ready(now, effects);
    }

    /// Records an answer of a peer.
    pub(super) fn peer_answered(
        &mut self,
        now: time::Time,
        peer: entity::HostId,
        effects: &mut Effects,
    ) {
        if let Some(starting) = &mut self.starting {
            starting.pending_peers.retain(|other| *other != peer);
        }
        self.finish_start_if_ready(now, effects);
    }

    /// Ends the start if the replica has the largest version that was announced (or
    /// [`START_DEADLINE`] is over), and either all sources have answered, or [`SOURCE_TIMEOUT`] is
    /// over and the store or a peer with lists has answered.
    pub(super) fn finish_start_if_ready(&mut self, now: time::Time, effects: &mut Effects) {
        let Some(starting) = &self.starting else {
            return;
        };
        let waited = now.since(starting.asked_at) >= SOURCE_TIMEOUT;
        let all = starting.store_answered && starting.pending_peers.is_empty();
        let some = starting.store_answered || self.version > Version::NONE;
        let given_up = now.since(starting.started) >= START_DEADLINE;
        let complete = self.version == self.highest_version() || given_up;
        if complete && (all || (waited && some)) {
            self.starting = None;
            effects.push(Effect::InForce(self.version, Arc::clone(&self.lists)));
            self.send_confirmation(now, effects);
        }
    }
}
