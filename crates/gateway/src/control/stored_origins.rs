//! Keeps the origins of streams in the store while a service has several software versions, so that
//! streams go on after all hosts were lost at once.
//!
//! Two hosts that have the origins of a whole mesh, or the relays of a domain, write what is new several
//! times a second. The entries of a host are a ring: the oldest is replaced. While each service has one
//! version, an entry says which, and nothing else is written.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::membership::overlay::Role;
use pistachiochute_core::{routing, streams, time};
use pistachiochute_messages::codec;
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::adapter;
use crate::control::state::State;
use crate::control::{Context, listing};
use crate::shared;

/// Key prefix of the entries.
const BEGINNINGS_PREFIX: &str = "beginnings/";

/// Key prefix of the entries of an earlier build, which do not name incarnations.
const ORIGINS_PREFIX: &str = "streams/";

/// Key of the entry with the services that have one version.
const ONLY_VERSIONS_KEY: &str = "stream-versions";

/// Interval at which new origins are written. Streams that began in the last one before all hosts are
/// lost are not taken up.
const STORE_INTERVAL: Duration = Duration::from_millis(150);

/// Entries of one host. With one in each interval they cover the time that a stream may last.
const SLOTS: u32 = 128;

/// Time for which a version counts after its last endpoint was listed: longer than most streams last.
pub(super) const CONTESTED_SPAN: Duration = Duration::from_secs(20);

/// Most origins in one entry. More are written in the following intervals.
const MAX_ORIGINS_PER_ENTRY: usize = 4_096;

/// Upper bound of the size of an encoded origin, in bytes.
const MAX_ORIGIN_BYTES: usize = 64;

/// Hosts of a mesh that write, so that one may be cut off from the store.
const WRITERS: usize = 2;

/// Hash by which the writers of a mesh are chosen.
const WRITERS_TASK: u64 = 0x7374_7265_616d;

/// Lease of an entry that stays.
const NO_LEASE: key_value::LeaseId = key_value::LeaseId(0);

/// Time to live of the lease of the entries with origins.
const LEASE: Duration = Duration::from_secs(120);

/// Time after which entries get another lease, so that each lives for [`streams::RETENTION`] at least.
const LEASE_RENEWAL: Duration = Duration::from_secs(60);

/// Lease under which this host writes now.
#[derive(Clone, Copy)]
struct Lease {
    id: key_value::LeaseId,
    granted_at: time::Time,
}

/// Writes new origins while they matter, and this host is to write them.
pub(super) async fn keep_stored<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut lease: Option<Lease> = None;
    let mut written: u64 = 0;
    let mut slot: u32 = 0;
    let mut only_versions = None;
    let mut epoch = cx.state.borrow().epochs.current();
    loop {
        tokio::time::sleep(STORE_INTERVAL).await;
        let current = cx.state.borrow().epochs.current();
        if std::mem::replace(&mut epoch, current) != current {
            // The store may have lost all of it.
            (lease, written, only_versions) = (None, 0, None);
        }
        write_only_versions(&cx, &mut only_versions).await;
        let batch = next_batch(&cx.state.borrow(), written, clock::now());
        if batch.origins.is_empty() {
            written = batch.next;
            continue;
        }
        // A call that fails is repeated after the next interval.
        if write(&cx, &mut lease, slot, &batch.origins).await.is_ok() {
            written = batch.next;
            slot = (slot + 1) % SLOTS;
        }
    }
}

/// Writes which services have one version, if that has changed.
async fn write_only_versions<D, S>(cx: &Context<D, S>, written: &mut Option<streams::OnlyVersions>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let now = clock::now();
    let current = {
        let state = cx.state.borrow();
        if !is_writer(&state, now) {
            return;
        }
        state.versions.only_versions(CONTESTED_SPAN, now)
    };
    if current.is_empty() || written.as_ref() == Some(&current) {
        return;
    }
    let value = serde_json::to_vec(&current).expect("names and numbers are valid JSON");
    let result = cx.store.put(ONLY_VERSIONS_KEY, &value, NO_LEASE).await;
    // A call that fails is repeated after the next interval.
    *written = result.is_ok().then_some(current);
}

/// Origins to write, and the number from which on the next ones are new.
struct Batch {
    origins: Vec<streams::StoredBeginning>,
    next: u64,
}

/// Origins of services with several versions that were recorded after the first `written` ones.
fn next_batch(state: &State, written: u64, now: time::Time) -> Batch {
    let contested = state.versions.contested(CONTESTED_SPAN, now);
    if contested.is_empty() || !is_writer(state, now) {
        // What is recorded meanwhile is written once it matters.
        return Batch {
            origins: Vec::new(),
            next: written,
        };
    }
    let mut next = written;
    let mut origins = Vec::new();
    for (number, stream, record) in state.origins.recorded_from(written) {
        if origins.len() >= MAX_ORIGINS_PER_ENTRY {
            break;
        }
        next = number + 1;
        let known = state.versions.version_of(&record);
        let origin = streams::Origin {
            version: known.unwrap_or(record.origin.version),
            ..record.origin
        };
        let is_unlisted = origin.version == streams::VersionTag::UNLISTED;
        if contested.contains(&origin.version) || is_unlisted {
            origins.push(streams::StoredBeginning {
                stream: streams::StreamOrigin { stream, origin },
                incarnation: record.incarnation(),
                was_shown: is_reported(&record) || state.versions.is_certain(&record),
            });
        }
    }
    Batch { origins, next }
}

/// Whether the process that began a stream has said which one it is.
const fn is_reported(record: &streams::OriginRecord) -> bool {
    matches!(record.proof, streams::Proof::Reported(_))
}

/// Whether this host writes. Members of a domain with relays do not: their relays have all they know.
fn is_writer(state: &State, now: time::Time) -> bool {
    match state.overlay.role {
        Role::Relay => true,
        Role::Member => false,
        Role::Mesh => {
            let score = |name: &str| {
                routing::rendezvous::score(WRITERS_TASK, shared::host_hash(name) as u32)
            };
            let own = score(&state.name);
            let live = state.hosts.hosts().map(|(name, _)| name);
            let live = live.filter(|name| state.hosts.is_live(name, now));
            live.filter(|name: &&Arc<str>| score(name) > own).count() < WRITERS
        }
    }
}

async fn write<D, S>(
    cx: &Context<D, S>,
    lease: &mut Option<Lease>,
    slot: u32,
    origins: &[streams::StoredBeginning],
) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let now = clock::now();
    let current = lease.filter(|lease| now.since(lease.granted_at) < LEASE_RENEWAL);
    let current = match current {
        Some(current) => current,
        None => Lease {
            id: cx.store.grant(LEASE).await?,
            granted_at: now,
        },
    };
    *lease = Some(current);
    let key = format!("{BEGINNINGS_PREFIX}{}/{slot}", cx.settings.host.name);
    let value = codec::encode(&origins).expect("a bounded list of numbers");
    let result = cx.store.put(&key, &value, current.id).await;
    if result.is_err() {
        // The store may have lost the lease.
        *lease = None;
    }
    result
}

/// Origins that hosts have left in the store.
#[derive(Default)]
pub(super) struct StoredOrigins {
    beginnings: Vec<streams::StoredBeginning>,
    origins: Vec<streams::StoredOrigin>,
    only_versions: Option<streams::OnlyVersions>,
}

impl StoredOrigins {
    /// Adds the origins of an entry, if it is the entry of such. One that cannot be read is logged.
    pub(super) fn add<D, S>(&mut self, cx: &Context<D, S>, entry: &key_value::Entry) {
        let key = &entry.key;
        if key.starts_with(BEGINNINGS_PREFIX.as_bytes()) {
            let records: Vec<streams::StoredBeginning> = decode_records(cx, entry);
            self.beginnings.extend(records);
        } else if key.starts_with(ORIGINS_PREFIX.as_bytes()) {
            let records: Vec<streams::StoredOrigin> = decode_records(cx, entry);
            self.origins.extend(records);
        } else if key == ONLY_VERSIONS_KEY.as_bytes() && listing::has_usual_size(cx, entry) {
            match serde_json::from_slice(&entry.value) {
                Ok(only) => self.only_versions = Some(only),
                Err(e) => cx.events.entry_invalid(key, entry.modified, &e.into()),
            }
        }
    }
}

/// Adopts the origins that hosts have left in the store, from the first read of all entries. Later ones
/// come from other hosts.
pub(super) fn adopt<D, S>(cx: &Context<D, S>, stored: StoredOrigins) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    if let Some(only) = stored.only_versions {
        state.versions.adopt(only);
    }
    for beginning in &stored.beginnings {
        state.origins.record_stored(beginning, now);
    }
    for origin in &stored.origins {
        state.origins.record_stored_origin(origin, now);
    }
    drop(state);
    let count = stored.beginnings.len() + stored.origins.len();
    if count > 0 {
        cx.events.origins_adopted(count);
    }
}

/// Decodes the records of an entry. One that cannot be read, or that has more records than a host writes, is
/// logged and has none.
fn decode_records<D, S, Record>(cx: &Context<D, S>, entry: &key_value::Entry) -> Vec<Record>
where
    Record: serde::de::DeserializeOwned,
{
    let bytes = entry.value.len();
    if bytes > MAX_ORIGINS_PER_ENTRY * MAX_ORIGIN_BYTES {
        cx.events.entry_too_large(&entry.key, entry.modified, bytes);
        return Vec::new();
    }
    codec::decode_frame(&entry.value).unwrap_or_else(|e| {
        cx.events
            .entry_invalid(&entry.key, entry.modified, &e.into());
        Vec::new()
    })
}
