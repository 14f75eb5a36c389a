//! Shards of the journal, stored as values of the key-value service.
//!
//! Shards are written with a lease that outlives the retention period of every key that the shard
//! can hold. The service deletes a shard when its lease expires, so no host has to.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::{journal, revision, time};

use crate::clock;
use crate::platform::key_value;

/// Key prefix of shards.
const PREFIX: &str = "journal/";

/// Time during which one lease is attached to the shards that are written.
const LEASE_REUSE_PERIOD: Duration = Duration::from_secs(60);

/// Safety margin added to the lifetime of a lease.
const LEASE_MARGIN: Duration = Duration::from_secs(60);

/// Shards of the journal in the key-value service.
pub struct Store {
    service: Arc<dyn key_value::KeyValue>,
    /// Time to live of a new lease.
    ttl: Duration,
    /// Current lease, and when it was granted.
    lease: Mutex<Option<(key_value::LeaseId, time::Time)>>,
}

/// Returns the event for a call that was not sent.
pub fn not_sent(effect: &journal::Effect) -> Option<journal::Event> {
    match effect {
        journal::Effect::Read { call, .. } => Some(journal::Event::ReadFailed(*call)),
        journal::Effect::Swap { call, .. } => Some(journal::Event::SwapFailed(*call)),
        journal::Effect::Dispatch { .. } | journal::Effect::Answer { .. } => None,
    }
}

impl Store {
    /// Creates a store on a key-value service.
    pub fn new(service: Arc<dyn key_value::KeyValue>, window: &journal::Window) -> Self {
        let retained_ms =
            window.retention_ms + window.ahead_ms + window.segment_ms + 2 * window.skew_ms;
        Self {
            service,
            ttl: Duration::from_millis(retained_ms) + LEASE_REUSE_PERIOD + LEASE_MARGIN,
            lease: Mutex::new(None),
        }
    }

    /// Makes a call and returns its result as an event.
    pub fn call(&self, effect: journal::Effect) -> Option<journal::Event> {
        match effect {
            journal::Effect::Read { call, shard } => Some(self.read(call, shard)),
            journal::Effect::Swap {
                call,
                shard,
                expected,
                content,
            } => Some(self.swap(call, shard, expected, &content)),
            journal::Effect::Dispatch { .. } | journal::Effect::Answer { .. } => None,
        }
    }

    fn read(&self, call: journal::CallId, shard: journal::ShardId) -> journal::Event {
        let found = self.service.range(&key_value::Keys::One(key(shard)));
        match found.ok().and_then(|found| decode_shard(&found)) {
            Some(stored) => journal::Event::Loaded { call, stored },
            None => journal::Event::ReadFailed(call),
        }
    }

    fn swap(
        &self,
        call: journal::CallId,
        shard: journal::ShardId,
        expected: journal::ModRevision,
        content: &journal::Shard,
    ) -> journal::Event {
        let (Ok(value), Some(lease)) = (content.encode(), self.lease()) else {
            return journal::Event::SwapFailed(call);
        };
        let key = key(shard);
        let modified = revision::Revision(expected.0);
        let lease = Some(lease);
        let txn = key_value::Txn {
            compares: vec![key_value::Compare::Modified(key.clone(), modified)],
            success: vec![key_value::Op::Put {
                key: key.clone(),
                value,
                lease,
            }],
            failure: vec![key_value::Op::Range(key_value::Keys::One(key))],
        };
        match self.service.txn(&txn) {
            Ok(committed) if committed.succeeded => journal::Event::Swapped {
                call,
                revision: journal::ModRevision(committed.revision.0),
            },
            Ok(committed) => match committed.ranges.first().and_then(decode_shard) {
                Some(stored) => journal::Event::Conflict { call, stored },
                None => journal::Event::SwapUnknown(call),
            },
            Err(e) if e.had_no_effect() => {
                self.drop_lease();
                journal::Event::SwapFailed(call)
            }
            Err(_) => journal::Event::SwapUnknown(call),
        }
    }

    /// Returns a lease that outlives every shard that is written now, granting a new one if needed.
    fn lease(&self) -> Option<key_value::LeaseId> {
        let now = clock::now();
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((id, granted)) = *lease
            && now.since(granted) < LEASE_REUSE_PERIOD
        {
            return Some(id);
        }
        let id = self.service.grant(self.ttl).ok()?;
        *lease = Some((id, now));
        Some(id)
    }

    /// Drops the current lease, in case the service rejected it. The next swap grants a new one.
    fn drop_lease(&self) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

fn key(shard: journal::ShardId) -> Bytes {
    Bytes::from(format!("{PREFIX}{shard}"))
}

/// Decodes the shard that was read, or returns `None` if the value is not a valid shard.
fn decode_shard(found: &key_value::RangeResult) -> Option<journal::StoredShard> {
    let Some(entry) = found.entries.first() else {
        return Some(journal::StoredShard::default());
    };
    Some(journal::StoredShard {
        revision: journal::ModRevision(entry.modified.0),
        shard: journal::Shard::decode(&entry.value).ok()?,
    })
}
