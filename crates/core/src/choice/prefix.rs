//! Index of the endpoints that probably hold each prompt part in their prefix cache.
//!
//! Entries come from requests that this host sends and from announcements of other hosts. Engines
//! evict parts without notice, so an entry expires some time after its last use.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::choice::{held, prompt};
use crate::{entity, time};

/// Time after its last use for which a part counts as cached. Engines evict the least recently
/// used parts.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Maximum parts in the index.
const MAX_PARTS: usize = 8_192;

/// Interval at which an entry that stays in use is announced to other hosts again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(8);

/// An endpoint that probably holds a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) endpoint: entity::EndpointId,
    /// Number of this record in the order in which records were made.
    pub(super) recorded: u64,
    used_at: time::Time,
    /// When the entry was last announced to other hosts, or by one of them.
    announced_at: Option<time::Time>,
}

impl Holder {
    /// Whether the endpoint probably still holds the part.
    pub(super) fn is_fresh(&self, now: time::Time) -> bool {
        now.since(self.used_at) < RETENTION
    }
}

/// Prompt parts, each with the endpoints that recently used it.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// Invariant: the holders of a part are in order of the endpoints.
    holders: HashMap<u64, SmallVec<[Holder; 3]>>,
    records: u64,
}

impl PrefixIndex {
    /// Records that a prompt is sent to an endpoint. Returns the keys of the parts to announce to
    /// other hosts.
    pub fn record_use(
        &mut self,
        prompt: &prompt::Prompt,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) -> SmallVec<[u64; 4]> {
        let shared = prompt.parts.len().saturating_sub(1);
        let mut to_announce = SmallVec::new();
        for (i, part) in prompt.parts.iter().enumerate() {
            let holder = self.holder_entry(part.key, endpoint, now);
            holder.used_at = now;
            let is_recent = |at| now.since(at) < ANNOUNCE_INTERVAL;
            if i < shared && !holder.announced_at.is_some_and(is_recent) {
                holder.announced_at = Some(now);
                to_announce.push(part.key);
            }
        }
        to_announce
    }

    /// Records the announcement of another host that an endpoint uses a part.
    pub fn record_remote_use(&mut self, key: u64, endpoint: entity::EndpointId, now: time::Time) {
        let holder = self.holder_entry(key, endpoint, now);
        holder.used_at = now;
        holder.announced_at = Some(now);
    }

    /// Returns the usable endpoint that holds the longest prefix of a prompt, with the length of
    /// that prefix in tokens.
    pub fn best_holder<F>(
        &self,
        prompt: &prompt::Prompt,
        now: time::Time,
        is_usable: F,
    ) -> Option<(entity::EndpointId, u32)>
    where
        F: Fn(entity::EndpointId) -> bool,
    {
        held::Held::new(self, prompt, now).best(is_usable)
    }

    /// Endpoints that held a part, in order of the endpoints.
    pub(super) fn holders(&self, key: u64) -> &[Holder] {
        self.holders.get(&key).map_or(&[], |holders| holders)
    }

    /// Returns the entry of a holder, which is added if missing. Evicts old entries first if the
    /// index is over [`MAX_PARTS`].
    fn holder_entry(
        &mut self,
        key: u64,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) -> &mut Holder {
        if self.holders.len() > MAX_PARTS {
            self.evict_expired(now);
        }
        let holders = self.holders.entry(key).or_default();
        let place = holders.binary_search_by_key(&endpoint, |h| h.endpoint);
        let i = place.unwrap_or_else(|i| {
            let holder = Holder {
                endpoint,
                recorded: self.records,
                used_at: now,
                announced_at: None,
            };
            holders.insert(i, holder);
            self.records += 1;
            i
        });
        &mut holders[i]
    }

    /// Removes the entries of an endpoint that no longer exists.
    pub fn remove_endpoint(&mut self, endpoint: entity::EndpointId) {
        self.holders.retain(|_, holders| {
            holders.retain(|h| h.endpoint != endpoint);
            !holders.is_empty()
        });
    }

    /// Evicts entries older than [`RETENTION`]. Clears the index if that does not bring it within
    /// [`MAX_PARTS`].
    fn evict_expired(&mut self, now: time::Time) {
        self.holders.retain(|_, holders| {
            holders.retain(|h| h.is_fresh(now));
            !holders.is_empty()
        });
        if self.holders.len() > MAX_PARTS {
            self.holders.clear();
        }
    }
}
