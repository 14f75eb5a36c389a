//! Evidence about parts of prompts that crash endpoints: applies what this host observes, exchanges
//! it with other hosts, and keeps accusations in the store, so that they outlast all hosts.
//!
//! Nothing is sent while no endpoint crashes.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{quarantine, time};
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;
use pistachiochute_runtime::platform::key_value;

use crate::adapter;
use crate::control::state::State;
use crate::control::{Context, ages, links, listing};

/// Key prefix of the store entries of accusations.
const ACCUSATIONS_PREFIX: &str = "quarantine/";

/// Interval at which new accusations are written to the store.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// Most records of one kind in one message, which keeps it well below the limit of a frame: a crash
/// may have as many prompts as the state machine keeps.
const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// Most keys of requests in the crashes of one message: two crashes of the largest kind that is kept. A
/// key takes nine bytes, so that it is well below the limit of a frame, too.
const MAX_KEYS_PER_MESSAGE: usize = 16_384;

/// Store entry of an accusation. Its lease ends with the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredAccusation {
    /// Prompts with all of these parts are refused.
    parts: quarantine::Parts,
}

/// Applies the crashes that the traffic thread observes.
pub(super) async fn record_crashes<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let Some(mut crashes) = cx.shared.take_observed_crashes() else {
        return;
    };
    while let Some(observed) = crashes.recv().await {
        // Answers that went on are known before the crash is judged.
        apply_local_proofs(&cx);
        cx.metrics.endpoint_crashed();
        cx.events
            .endpoint_crashed(&observed.endpoint, &observed.crash);
        apply(&cx, quarantine::Update::crash(observed.crash), None);
    }
}

/// Applies the proofs of the traffic thread, drops old evidence, and starts trials that are due.
pub(super) fn tick<D, S>(cx: &Context<D, S>, now: time::Time) {
    apply_local_proofs(cx);
    let mut state = cx.state.borrow_mut();
    state.quarantine.tick(now);
    let has_accusations = !state.quarantine.accusations().is_empty();
    drop(state);
    if has_accusations {
        publish_verdicts(cx, now);
    }
}

/// Applies an update of another host, with the times at which the requests of its crashes were sent as
/// far as they are known.
pub(super) fn apply_update<D, S>(
    cx: &Context<D, S>,
    host: &Arc<str>,
    update: peer::QuarantineUpdate,
    sent_ages_ms: &[Vec<Option<u32>>],
) {
    let now = clock::now();
    apply(cx, from_message(update, sent_ages_ms, now), Some(host));
}

/// Messages with everything that this host knows, for a host that may know nothing.
pub(super) fn state_messages(state: &State, now: time::Time) -> Vec<peer::Message> {
    to_messages(&state.quarantine.state(), now)
}

/// Writes the accusations that are assigned to this host to the store.
pub(super) async fn keep_stored<D, S>(cx: Rc<Context<D, S>>)
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let mut stored: BTreeSet<quarantine::Parts> = BTreeSet::new();
    let mut epoch = cx.state.borrow().epochs.current();
    loop {
        tokio::time::sleep(STORE_INTERVAL).await;
        let current = cx.state.borrow().epochs.current();
        if std::mem::replace(&mut epoch, current) != current {
            // The store may have lost them.
            stored.clear();
        }
        let assigned = assigned_accusations(&cx);
        stored.retain(|parts| assigned.contains(parts));
        for parts in assigned {
            // A call that fails is repeated after the next interval.
            if !stored.contains(&parts) && store(&cx, &parts).await.is_ok() {
                stored.insert(parts);
            }
        }
    }
}

/// Parts of the accusations in force that this host keeps in the store.
fn assigned_accusations<D, S>(cx: &Context<D, S>) -> BTreeSet<quarantine::Parts> {
    let now = clock::now();
    let state = cx.state.borrow();
    let accusations = state.quarantine.accusations().iter();
    let assigned = accusations.filter(|a| !a.is_on_trial(now) && is_assigned_here(&state, a, now));
    assigned
        .map(|accusation| accusation.parts.clone())
        .collect()
}

async fn store<D, S>(cx: &Context<D, S>, parts: &quarantine::Parts) -> Result<(), key_value::Error>
where
    D: adapter::Dialect,
    S: adapter::Store,
{
    let entry = StoredAccusation {
        parts: parts.clone(),
    };
    let value = serde_json::to_vec(&entry).expect("numbers are valid JSON");
    let key = format!("{ACCUSATIONS_PREFIX}{:016x}", hash(parts));
    let lease = cx.store.grant(quarantine::QUARANTINE).await?;
    cx.store.put(&key, &value, lease).await
}

/// Accusations that hosts have left in the store.
#[derive(Debug, Default)]
pub(super) struct StoredAccusations(Vec<quarantine::Parts>);

impl StoredAccusations {
    /// Adds the accusation of an entry, if it is the entry of one. One that cannot be read is logged.
    pub(super) fn add<D, S>(&mut self, cx: &Context<D, S>, entry: &key_value::Entry) {
        let is_meant = entry.key.starts_with(ACCUSATIONS_PREFIX.as_bytes());
        if !is_meant || !listing::has_usual_size(cx, entry) {
            return;
        }
        match serde_json::from_slice::<StoredAccusation>(&entry.value) {
            Ok(stored) => self.0.push(stored.parts),
            Err(e) => cx
                .events
                .entry_invalid(&entry.key, entry.modified, &e.into()),
        }
    }
}

/// Adopts the accusations that hosts have left in the store, from the first read of all entries. Later
/// ones come from other hosts.
pub(super) fn adopt_stored<D, S>(cx: &Context<D, S>, stored: StoredAccusations) {
    let now = clock::now();
    let mut update = quarantine::Update::default();
    let accusing = stored.0.into_iter().filter(|parts| !parts.is_empty());
    let accusations = accusing.map(|parts| quarantine::Accusation::new(parts, now, now));
    update.accusations.extend(accusations);
    apply(cx, update, None);
}

/// Hash of accused parts, the same on every host.
fn hash(parts: &[quarantine::PartKey]) -> u64 {
    let bytes: Vec<u8> = parts
        .iter()
        .flat_map(|part| part.as_u64().to_le_bytes())
        .collect();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Whether this host, among all that are live, writes an accusation to the store and tries its
/// parts.
fn is_assigned_here(state: &State, accusation: &quarantine::Accusation, now: time::Time) -> bool {
    state.is_assigned_here(hash(&accusation.parts), |name| {
        state.hosts.is_live(name, now)
    })
}

fn apply_local_proofs<D, S>(cx: &Context<D, S>) {
    let mut parts: Vec<quarantine::PartKey> = Vec::new();
    while let Some(prompt) = cx.shared.proven_prompts.pop() {
        parts.extend(prompt);
    }
    if parts.is_empty() {
        return;
    }
    parts.sort_unstable();
    parts.dedup();
    apply(cx, quarantine::Update::proofs(&parts, clock::now()), None);
}

/// Applies an update of this host, or of the host `source`.
fn apply<D, S>(cx: &Context<D, S>, update: quarantine::Update, source: Option<&Arc<str>>) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let effects = state.quarantine.apply(update, now);
    links::flood(&mut state, &to_messages(&effects.forward, now), source);
    drop(state);
    for (accusation, crashes) in &effects.accused {
        cx.metrics.parts_accused();
        cx.events.parts_accused(&accusation.parts, *crashes);
    }
    for part in &effects.cleared {
        cx.events.part_cleared(*part);
    }
    if effects.left_out > 0 {
        cx.events.crash_evidence_left_out(effects.left_out);
    }
    if effects.verdicts_changed {
        publish_verdicts(cx, now);
    }
}

fn publish_verdicts<D, S>(cx: &Context<D, S>, now: time::Time) {
    let state = cx.state.borrow();
    let verdicts = state
        .quarantine
        .verdicts(now, |accusation| is_assigned_here(&state, accusation, now));
    drop(state);
    cx.shared.publish_verdicts(verdicts);
}

/// Messages that carry an update, none if it says nothing: for hosts that read the times of requests,
/// and for others.
fn to_messages(update: &quarantine::Update, now: time::Time) -> Vec<peer::Message> {
    let proofs = update.proofs.iter().map(|proof| peer::ProofRecord {
        part: proof.part,
        age_ms: ages::age_of(proof.at, now),
    });
    let accusations = update.accusations.iter().map(|a| peer::AccusationRecord {
        parts: a.parts.clone(),
        age_ms: ages::age_of(a.since, now),
        remaining_ms: ages::millis(a.until.since(now)),
    });
    let mut proofs: Vec<_> = proofs.collect();
    let mut crashes = update.crashes.clone();
    let mut accusations: Vec<_> = accusations.collect();
    let mut messages = Vec::new();
    while !(proofs.is_empty() && crashes.is_empty() && accusations.is_empty()) {
        let proofs_chunk = take_chunk(&mut proofs);
        // Crashes must not arrive before the proofs that contradict them.
        let crashes_chunk = match proofs.is_empty() {
            true => take_crashes(&mut crashes),
            false => Vec::new(),
        };
        let update = peer::QuarantineUpdate {
            proofs: proofs_chunk,
            crashes: crashes_chunk.iter().map(|c| crash_record(c, now)).collect(),
            accusations: match proofs.is_empty() && crashes.is_empty() {
                true => take_chunk(&mut accusations),
                false => Vec::new(),
            },
        };
        messages.push(peer::Message::TimedQuarantine {
            update: update.clone(),
            sent_ages_ms: crashes_chunk.iter().map(|c| sent_ages(c, now)).collect(),
        });
        messages.push(peer::Message::Quarantine(update));
    }
    messages
}

fn crash_record(crash: &quarantine::Crash, now: time::Time) -> peer::CrashRecord {
    let keys = crash.requests.iter().map(|request| request.keys.clone());
    peer::CrashRecord {
        incarnation: crash.incarnation,
        age_ms: ages::age_of(crash.at, now),
        prompts: keys.collect(),
    }
}

/// Time since each request of a crash was sent, in milliseconds.
fn sent_ages(crash: &quarantine::Crash, now: time::Time) -> Vec<Option<u32>> {
    let sent_at = crash.requests.iter().map(|request| request.sent_at);
    sent_at
        .map(|at| at.map(|at| ages::age_of(at, now)))
        .collect()
}

fn take_chunk<T>(records: &mut Vec<T>) -> Vec<T> {
    let count = records.len().min(MAX_RECORDS_PER_MESSAGE);
    records.drain(..count).collect()
}

/// Takes as many crashes as fit into a message, one at least.
fn take_crashes(crashes: &mut Vec<quarantine::Crash>) -> Vec<quarantine::Crash> {
    let mut keys = 0;
    let fitting = crashes
        .iter()
        .take(MAX_RECORDS_PER_MESSAGE)
        .take_while(|crash| {
            let is_first = keys == 0;
            let requests = crash.requests.iter();
            keys += requests.map(|request| request.keys.len()).sum::<usize>();
            is_first || keys <= MAX_KEYS_PER_MESSAGE
        });
    let count = fitting.count();
    crashes.drain(..count).collect()
}

fn from_message(
    update: peer::QuarantineUpdate,
    sent_ages_ms: &[Vec<Option<u32>>],
    now: time::Time,
) -> quarantine::Update {
    let proofs = update.proofs.into_iter().map(|proof| quarantine::Proof {
        part: proof.part,
        at: ages::time_of(proof.age_ms, now),
    });
    let crashes = update.crashes.into_iter().enumerate().map(|(i, crash)| {
        let sent_ages_ms = sent_ages_ms.get(i).map_or(&[][..], Vec::as_slice);
        let sent_at = sent_ages_ms.iter().copied().chain(std::iter::repeat(None));
        let requests = crash.prompts.into_iter().zip(sent_at);
        let requests = requests.map(|(keys, age_ms)| quarantine::LostRequest {
            keys,
            sent_at: age_ms.map(|age_ms| ages::time_of(age_ms, now)),
        });
        quarantine::Crash {
            incarnation: crash.incarnation,
            at: ages::time_of(crash.age_ms, now),
            requests: requests.collect(),
        }
    });
    let accusations = update.accusations.into_iter();
    let accusations = accusations.map(|a| quarantine::Accusation {
        parts: a.parts,
        since: ages::time_of(a.age_ms, now),
        until: now + ages::from_millis(a.remaining_ms),
    });
    quarantine::Update {
        proofs: proofs.collect(),
        crashes: crashes.collect(),
        accusations: accusations.collect(),
    }
}
