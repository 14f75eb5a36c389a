//! Which endpoints are preferred for streams that may go on elsewhere. Preferences prove nothing.

use std::time::Duration;

use pistachiochute_core::{entity, streams, time};

use crate::traffic::endpoints::{Eligibility, EndpointTable, Entry};

/// Time from a lost connection to a confirmation of the list of endpoints after which the endpoint is no
/// longer avoided for streams that go on. It may have restarted under its id with another version, and its
/// new entry comes after up to one heartbeat and one delay of the watch. Proves nothing.
pub(super) const RESTART_NOTICE: Duration = Duration::from_secs(3);

impl EndpointTable {
    /// Leaves the endpoints at which a stream is likely to go on, or to begin so that it can go on later, if there are
    /// such.
    pub(super) fn prefer_provable(
        &self,
        service: &str,
        ids: &mut Vec<entity::EndpointId>,
        eligibility: &Eligibility<'_>,
    ) {
        if eligibility.version.is_some() {
            self.prefer(ids, |entry| self.is_version_likely(entry));
        } else if eligibility.may_be_resumed {
            self.prefer(ids, |entry| !entry.has_ended);
            if self
                .contested
                .iter()
                .any(|contested| **contested == *service)
            {
                let is_nameless =
                    |entry: &Entry| self.restarts.is_nameless(&entry.endpoint.identity.id);
                self.prefer_most(ids, |entry| !is_nameless(entry));
            }
        }
    }

    /// Removes the endpoints that are not preferred if there are others: those that are unlikely to prove the
    /// version of their entries.
    fn prefer<F>(&self, ids: &mut Vec<entity::EndpointId>, is_preferred: F)
    where
        F: Fn(&Entry) -> bool,
    {
        let is_preferred =
            |id: &entity::EndpointId| self.entries.get(*id).is_some_and(&is_preferred);
        if ids.iter().any(is_preferred) {
            ids.retain(is_preferred);
        }
    }

    /// The same, if most endpoints are preferred, so that none gets more than half again of its share.
    fn prefer_most<F>(&self, ids: &mut Vec<entity::EndpointId>, is_preferred: F)
    where
        F: Fn(&Entry) -> bool,
    {
        let all = ids.len();
        let mut preferred = ids.clone();
        self.prefer(&mut preferred, is_preferred);
        if 3 * preferred.len() >= 2 * all {
            *ids = preferred;
        }
    }

    /// Whether a stream begins at an endpoint without a question to its process: it is known to live, and signs of
    /// life soon show whether the connection was its own. One that goes down and up may end before, and where several
    /// versions serve, the next process is probably of another one.
    pub(super) fn may_begin_by_list(&self, entry: &Entry, now: time::Time) -> bool {
        let is_list_recent = now.since(self.list_confirmed_at) <= streams::MAX_LIST_AGE;
        is_list_recent
            && entry.alive_at.is_some()
            && self.is_version_likely(entry)
            && !self.contested.contains(&entry.endpoint.service)
            && !self.restarts.is_restless(&entry.endpoint.identity.id, now)
    }

    /// Whether nothing puts the version in an entry in doubt. A connection that this host has lost does so
    /// until a list has come that would show the next version, or the process has given a sign of life.
    pub(super) fn is_version_likely(&self, entry: &Entry) -> bool {
        let is_explained = |lost_at: time::Time| {
            let is_alive = entry.alive_at.is_some_and(|at| lost_at < at);
            is_alive || lost_at + RESTART_NOTICE <= self.list_confirmed_at
        };
        !entry.has_ended && entry.lost_at.is_none_or(is_explained)
    }
}
