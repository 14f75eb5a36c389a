//! Entries, revisions and leases of the key-value service.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};

use super::api;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum number of changes in the history. Older ones are compacted.
const MAX_HISTORY: usize = 16_384;

/// Maximum number of leases.
const MAX_LEASES: usize = 65_536;

/// Id of the only member; also the cluster id and the Raft term.
const MEMBER: api::Int64 = api::Int64(1);

/// An error answer: HTTP status, gRPC code and message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ApiError {
    pub(super) status: u16,
    pub(super) code: u32,
    pub(super) message: &'static str,
}

const TOO_LARGE: ApiError = ApiError {
    status: 400,
    code: 3,
    message: "etcdserver: request is too large",
};
const NO_LEASE: ApiError = ApiError {
    status: 404,
    code: 5,
    message: "etcdserver: requested lease not found",
};
const LEASE_EXISTS: ApiError = ApiError {
    status: 400,
    code: 9,
    message: "etcdserver: lease already exists",
};
const TOO_MANY_LEASES: ApiError = ApiError {
    status: 429,
    code: 8,
    message: "etcdserver: too many leases",
};

#[derive(Clone, Debug)]
struct Item {
    value: Bytes,
    created: i64,
    modified: i64,
    version: i64,
    lease: i64,
}

#[derive(Clone, Debug)]
struct LeaseEntry {
    ttl: Duration,
    expires: Instant,
}

/// Contents of the key-value service at one revision.
#[derive(Clone, Debug)]
pub(super) struct Store {
    revision: i64,
    items: BTreeMap<Bytes, Item>,
    leases: BTreeMap<i64, LeaseEntry>,
    last_lease: i64,
    history: VecDeque<(i64, api::Event)>,
    /// Revision up to and including which the history is compacted.
    compacted: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            compacted: 0,
        }
    }
}

impl Store {
    pub(super) fn header(&self) -> api::Header {
        api::Header {
            cluster_id: MEMBER,
            member_id: MEMBER,
            revision: api::Int64(self.revision),
            raft_term: MEMBER,
        }
    }

    pub(super) fn revision(&self) -> i64 {
        self.revision
    }

    /// Revision up to and including which the history is compacted.
    pub(super) fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Compacts the history up to and including `revision`.
    pub(super) fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| *at <= self.compacted)
        {
            self.history.pop_front();
        }
    }

    pub(super) fn range(&self, range: &api::Range) -> Value {
        let found = self.items.iter().filter(|(key, _)| range.contains(key));
        let mut entries: Vec<_> = found.map(|(key, item)| entry(key, item)).collect();
        let count = entries.len();
        if let Ok(limit @ 1..) = usize::try_from(range.limit.0) {
            entries.truncate(limit);
        }
        if range.keys_only {
            entries
                .iter_mut()
                .for_each(|entry| entry.value = api::Base64::default());
        }
        json!({
            "header": self.header(),
            "more": entries.len() < count,
            "kvs": entries,
            "count": count.to_string(),
        })
    }

    pub(super) fn put(&mut self, put: &api::Put) -> Result<Value, ApiError> {
        self.check(put)?;
        self.revision += 1;
        self.write(put);
        Ok(json!({ "header": self.header() }))
    }

    pub(super) fn delete_range(&mut self, range: &api::Range) -> Value {
        self.revision += 1;
        let deleted = self.remove(|key, _| range.contains(key));
        if deleted == 0 {
            self.revision -= 1;
        }
        json!({ "header": self.header(), "deleted": deleted.to_string() })
    }

    /// Executes the branch that the compares of the transaction select, as one revision.
    pub(super) fn txn(&mut self, txn: &api::Txn) -> Result<Value, ApiError> {
        let succeeded = txn.compare.iter().all(|compare| self.compare(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        for op in ops {
            if let api::Op::Put(put) = op {
                self.check(put)?;
            }
        }
        let before = self.revision;
        self.revision += 1;
        let mut changed = false;
        let responses: Vec<_> = ops.iter().map(|op| self.apply(op, &mut changed)).collect();
        if !changed {
            self.revision = before;
        }
        Ok(json!({ "header": self.header(), "succeeded": succeeded, "responses": responses }))
    }

    fn apply(&mut self, op: &api::Op, changed: &mut bool) -> Value {
        match op {
            api::Op::Range(range) => json!({ "response_range": self.range(range) }),
            api::Op::Put(put) => {
                self.write(put);
                *changed = true;
                json!({ "response_put": { "header": self.header() } })
            }
            api::Op::DeleteRange(range) => {
                let deleted = self.remove(|key, _| range.contains(key));
                *changed |= deleted > 0;
                json!({ "response_delete_range": { "deleted": deleted.to_string() } })
            }
        }
    }

    fn compare(&self, compare: &api::Compare) -> bool {
        let item = self.items.get(&compare.key.0);
        let number = |f: fn(&Item) -> i64| item.map_or(0, f);
        let ordering = match compare.target {
            api::CompareTarget::Version => number(|item| item.version).cmp(&compare.version.0),
            api::CompareTarget::Create => {
                number(|item| item.created).cmp(&compare.create_revision.0)
            }
            api::CompareTarget::Mod => number(|item| item.modified).cmp(&compare.mod_revision.0),
            api::CompareTarget::Lease => number(|item| item.lease).cmp(&compare.lease.0),
            api::CompareTarget::Value => {
                // Any comparison with the value of a missing key fails.
                let Some(item) = item else { return false };
                item.value.cmp(&compare.value.0)
            }
        };
        match compare.result {
            api::CompareResult::Equal => ordering.is_eq(),
            api::CompareResult::NotEqual => ordering.is_ne(),
            api::CompareResult::Greater => ordering.is_gt(),
            api::CompareResult::Less => ordering.is_lt(),
        }
    }

    fn check(&self, put: &api::Put) -> Result<(), ApiError> {
        if put.value.0.len() > MAX_VALUE_BYTES {
            return Err(TOO_LARGE);
        }
        if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
            return Err(NO_LEASE);
        }
        Ok(())
    }

    fn write(&mut self, put: &api::Put) {
        let before = self.items.get(&put.key.0);
        let item = Item {
            value: put.value.0.clone(),
            created: before.map_or(self.revision, |item| item.created),
            modified: self.revision,
            version: before.map_or(1, |item| item.version + 1),
            lease: put.lease.0,
        };
        self.record(api::EventKind::Put, entry(&put.key.0, &item));
        self.items.insert(put.key.0.clone(), item);
    }

    fn remove<F>(&mut self, is_selected: F) -> usize
    where
        F: Fn(&Bytes, &Item) -> bool,
    {
        let found = self
            .items
            .iter()
            .filter(|(key, item)| is_selected(key, item));
        let keys: Vec<Bytes> = found.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.items.remove(key);
            let deleted = Item {
                value: Bytes::new(),
                created: 0,
                modified: self.revision,
                version: 0,
                lease: 0,
            };
            self.record(api::EventKind::Delete, entry(key, &deleted));
        }
        keys.len()
    }

    fn record(&mut self, kind: api::EventKind, kv: api::Entry) {
        self.history
            .push_back((self.revision, api::Event { kind, kv }));
        if self.history.len() > MAX_HISTORY {
            let oldest = self.history[0].0;
            self.compact(oldest);
        }
    }

    /// Changes to keys in `range` at revision `from` and later.
    pub(super) fn changes(&self, range: &api::Range, from: i64) -> Vec<api::Event> {
        let start = self.history.partition_point(|(at, _)| *at < from);
        let changes = self.history.range(start..);
        changes
            .filter(|(_, event)| range.contains(&event.kv.key.0))
            .map(|(_, event)| event.clone())
            .collect()
    }

    pub(super) fn grant(&mut self, lease: &api::Lease) -> Result<Value, ApiError> {
        if self.leases.len() >= MAX_LEASES {
            return Err(TOO_MANY_LEASES);
        }
        let id = if lease.id.0 == 0 {
            self.last_lease + 1
        } else {
            lease.id.0
        };
        if self.leases.contains_key(&id) {
            return Err(LEASE_EXISTS);
        }
        self.last_lease = self.last_lease.max(id);
        let ttl = Duration::from_secs(u64::try_from(lease.ttl.0).unwrap_or(0).max(1));
        self.leases.insert(
            id,
            LeaseEntry {
                ttl,
                expires: Instant::now() + ttl,
            },
        );
        Ok(self.lease_answer(id, ttl))
    }

    /// Renews a lease. The answer for a lease that does not exist has a TTL of zero.
    pub(super) fn keep_alive(&mut self, lease: &api::Lease) -> Value {
        let ttl = match self.leases.get_mut(&lease.id.0) {
            Some(lease_entry) => {
                lease_entry.expires = Instant::now() + lease_entry.ttl;
                lease_entry.ttl
            }
            None => Duration::ZERO,
        };
        json!({ "result": self.lease_answer(lease.id.0, ttl) })
    }

    pub(super) fn revoke(&mut self, lease: &api::Lease) -> Result<Value, ApiError> {
        self.leases.remove(&lease.id.0).ok_or(NO_LEASE)?;
        self.remove_leased(lease.id.0);
        Ok(json!({ "header": self.header() }))
    }

    fn lease_answer(&self, id: i64, ttl: Duration) -> Value {
        let ttl = ttl.as_secs().to_string();
        json!({ "header": self.header(), "ID": api::Int64(id), "TTL": ttl })
    }

    fn remove_leased(&mut self, lease: i64) {
        self.revision += 1;
        if self.remove(|_, item| item.lease == lease) == 0 {
            self.revision -= 1;
        }
    }

    /// Removes the expired leases and the entries attached to them.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease_entry)| lease_entry.expires <= now);
        let ids: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            self.leases.remove(&id);
            self.remove_leased(id);
        }
    }
}

fn entry(key: &Bytes, item: &Item) -> api::Entry {
    api::Entry {
        key: api::Base64(key.clone()),
        create_revision: api::Int64(item.created),
        mod_revision: api::Int64(item.modified),
        version: api::Int64(item.version),
        value: api::Base64(item.value.clone()),
        lease: api::Int64(item.lease),
    }
}
