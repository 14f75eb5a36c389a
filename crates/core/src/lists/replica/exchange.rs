//! Messages between replicas: announcements, confirmations, reports and missing deltas.

use std::time::Duration;

use super::state::{ANSWER_TIMEOUT, Effect, Effects, Replica};
use crate::lists::message::Message;
use crate::lists::{Lists, Snapshot, Version};
use crate::{entity, time};

/// Interval of confirmations to the watchers of the domain.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum time between two snapshots that a host sends, to any peer.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

impl Replica {
    /// Announces the version in force to the next peer, and as a watcher also to the next watcher
    /// of another domain.
    pub(super) fn send_announcements(&mut self, effects: &mut Effects) {
        self.round_robin = self.round_robin.wrapping_add(1);
        let mut send = |hosts: &[entity::HostId]| {
            if !hosts.is_empty() {
                let to = hosts[self.round_robin % hosts.len()];
                effects.push(Effect::Send(to, Message::Announce(self.version)));
            }
        };
        send(&self.view.peers());
        if self.view.is_watcher() {
            send(&self.view.remote_watchers());
        }
    }

    /// Confirms the version in force to the watchers of the domain.
    pub(super) fn send_confirmation(&mut self, now: time::Time, effects: &mut Effects) {
        self.next_confirm = now + CONFIRM_INTERVAL;
        let own = self.view.host();
        self.confirmations
            .record_confirmation(now, &self.view, own, self.version.revision);
        let watchers = self.view.watchers(self.view.domain()).iter();
        let others = watchers.filter(|host| **host != own);
        effects.extend(others.map(|host| Effect::Send(*host, Message::Announce(self.version))));
    }

    /// Sends the domain reports to one watcher of another domain, in turn, and to the other
    /// watchers of this domain.
    pub(super) fn send_reports(&mut self, now: time::Time, effects: &mut Effects) {
        let own = self.view.host();
        self.confirmations
            .record_confirmation(now, &self.view, own, self.version.revision);
        let reports = self.confirmations.reports(now, &self.view);
        let remote = self.view.remote_watchers();
        if remote.is_empty() {
            return;
        }
        let to = remote[self.round_robin.wrapping_mul(3) % remote.len()];
        effects.push(Effect::Send(to, Message::Domains(reports.clone())));
        let local = self.view.watchers(self.view.domain()).iter();
        let others = local.filter(|host| **host != own);
        effects.extend(others.map(|host| Effect::Send(*host, Message::Domains(reports.clone()))));
    }

    /// Handles the version of a peer: sends it what it lacks, or fetches what this host lacks.
    pub(super) fn handle_announce(
        &mut self,
        now: time::Time,
        from: entity::HostId,
        version: Version,
        effects: &mut Effects,
    ) {
        self.confirmations
            .record_confirmation(now, &self.view, from, version.revision);
        self.observe_version(now, version);
        if version < self.version {
            self.send_missing(now, from, version, effects);
        }
        if version > self.version {
            self.fetch_from(now, from, effects);
        } else {
            self.peer_answered(now, from, effects);
        }
    }

    /// Handles a request for what follows the version of a peer. A peer that is not behind gets an
    /// announcement instead.
    pub(super) fn handle_fetch(
        &mut self,
        now: time::Time,
        from: entity::HostId,
        version: Version,
        effects: &mut Effects,
    ) {
        if version < self.version {
            self.send_missing(now, from, version, effects);
        } else {
            effects.push(Effect::Send(from, Message::Announce(self.version)));
        }
    }

    /// Sends a peer the deltas after its version, or a snapshot if the log does not have them. The
    /// snapshot is skipped if another one was sent less than [`MIN_SNAPSHOT_INTERVAL`] ago.
    pub(super) fn send_missing(
        &mut self,
        now: time::Time,
        to: entity::HostId,
        version: Version,
        effects: &mut Effects,
    ) {
        if let Some(deltas) = self.log.after(version) {
            effects.push(Effect::Send(to, Message::Deltas(deltas)));
        } else if self.next_snapshot <= now {
            self.next_snapshot = now + MIN_SNAPSHOT_INTERVAL;
            let snapshot = Snapshot {
                version: self.version,
                lists: Lists::clone(&self.lists),
            };
            effects.push(Effect::Send(to, Message::Snapshot(snapshot)));
        }
    }

    /// Fetches what this host lacks from a peer, unless another fetch is pending.
    pub(super) fn fetch_from(
        &mut self,
        now: time::Time,
        peer: entity::HostId,
        effects: &mut Effects,
    ) {
        let waiting = self
            .pending_fetch
            .is_some_and(|(_, sent)| now.since(sent) < ANSWER_TIMEOUT);
        if !waiting {
            self.pending_fetch = Some((peer, now));
            effects.push(Effect::Send(peer, Message::Fetch(self.version)));
        }
    }

    /// Sends a message to all peers except the one that it came from.
    pub(super) fn forward_to_peers(
        &self,
        from: Option<entity::HostId>,
        message: &Message,
        effects: &mut Effects,
    ) {
        let peers = self.view.peers();
        let others = peers.iter().filter(|peer| Some(**peer) != from);
        effects.extend(others.map(|peer| Effect::Send(*peer, message.clone())));
    }
}
