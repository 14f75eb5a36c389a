//! Endpoints that are cold: they bear only so many requests a second until they have warmed up.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::directory::TOMBSTONE_RETENTION;
use crate::{rate_limits, revision, time};

/// Longest time for which one statement counts. An endpoint that stays cold repeats it.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(30);

/// Difference in the end of a cold time from which on it is news. What an entry says is up to a
/// heartbeat and the delay of a watch old, by varying times.
const NEWS_THRESHOLD: Duration = Duration::from_millis(300);

/// What the entry of an endpoint says of how long it stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdEndpoint {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// Revision of the entry.
    pub revision: revision::StoredRevision,
    /// Requests that it bears from all hosts together.
    pub rate: rate_limits::RequestRate,
    /// Until when it is cold. In the past if it is warm.
    pub until: time::Time,
}

/// What the entry of a cold endpoint says while the rate of its service is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnratedEntry {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Revision of the entry.
    pub revision: revision::StoredRevision,
    /// Until when it is cold. Not after now if it is warm.
    pub until: time::Time,
}

impl UnratedEntry {
    /// The statement of the entry at the rate of its service.
    #[must_use]
    pub const fn at_rate(&self, rate: rate_limits::RequestRate) -> ColdEndpoint {
        ColdEndpoint {
            endpoint: self.endpoint,
            revision: self.revision,
            rate,
            until: self.until,
        }
    }
}

/// All endpoints that are, or lately were, cold. The later revision counts.
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    by_endpoint: HashMap<u64, ColdEndpoint>,
    /// Last entries of cold endpoints for which no rate is known yet.
    unrated: HashMap<u64, UnratedEntry>,
}

impl ColdEndpoints {
    /// Keeps an entry until a catalog may name the rate. That of a warm endpoint only ends an older one.
    pub fn keep(&mut self, mut entry: UnratedEntry, now: time::Time) {
        entry.until = entry.until.min(now + MAX_COLD_TIME);
        let known = self.unrated.get(&entry.endpoint);
        if known.is_some_and(|known| known.revision >= entry.revision) {
            return;
        }
        match entry.until > now {
            true => self.unrated.insert(entry.endpoint, entry),
            false => self.unrated.remove(&entry.endpoint),
        };
    }

    /// Takes the entries that were kept.
    pub fn take_kept(&mut self) -> Vec<UnratedEntry> {
        std::mem::take(&mut self.unrated).into_values().collect()
    }

    /// Records a statement. Returns whether it is news: it is newer than what was known, and says that
    /// the endpoint is cold for noticeably longer or shorter, or at another rate.
    pub fn record(&mut self, mut cold: ColdEndpoint, now: time::Time) -> bool {
        cold.until = cold.until.min(now + MAX_COLD_TIME);
        let is_cold = cold.until > now;
        let Some(known) = self.by_endpoint.get_mut(&cold.endpoint) else {
            if is_cold {
                self.by_endpoint.insert(cold.endpoint, cold);
            }
            return is_cold;
        };
        if known.revision >= cold.revision {
            return false;
        }
        // Two ends that have both passed say the same.
        let (before, after) = (known.until.max(now), cold.until.max(now));
        let difference = before.since(after).max(after.since(before));
        let is_news = difference >= NEWS_THRESHOLD || (is_cold && known.rate != cold.rate);
        match is_news {
            true => *known = cold,
            // The small differences of several entries do not add up to news that is never told.
            false => known.revision = cold.revision,
        }
        is_news
    }

    /// Endpoints that are cold, for a host that may know none.
    pub fn iter(&self, now: time::Time) -> impl Iterator<Item = ColdEndpoint> + '_ {
        let all = self.by_endpoint.values();
        all.filter(move |cold| cold.until > now).copied()
    }

    /// Whether nothing is known of any endpoint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty() && self.unrated.is_empty()
    }

    /// Forgets endpoints that have been warm for long.
    pub fn tick(&mut self, now: time::Time) {
        self.by_endpoint
            .retain(|_, cold| now.since(cold.until) < TOMBSTONE_RETENTION);
        self.unrated.retain(|_, entry| entry.until > now);
    }
}
