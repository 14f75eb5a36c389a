//! Evidence for and against parts of prompts.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use crate::quarantine::{IncarnationKey, PartKey, Parts, SIMULTANEOUS};
use crate::routing::lru;
use crate::time;

/// Crashes that are kept. The oldest makes room for a new one.
const MAX_CRASHES: usize = 512;

/// Requests of one crash that are kept.
const MAX_REQUESTS: usize = 64;

/// Parts whose last proof is kept.
const MAX_PROOFS: usize = 16_384;

/// Crashes within [`SIMULTANEOUS`] of a crash that are kept with it. More of them would count as one
/// in any case, and each is sent to all hosts.
const MAX_SIMULTANEOUS: usize = 8;

/// Time for which a crash is kept.
const RETENTION: Duration = Duration::from_secs(600);

/// Reports of the crash of an incarnation within this time mean the same crash.
const SAME_CRASH: Duration = Duration::from_millis(300);

/// A request in flight at an endpoint whose process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// Keys of the request.
    pub keys: Parts,
    /// When it was sent to the endpoint, if that is known.
    pub sent_at: Option<time::Time>,
}

impl LostRequest {
    /// Whether a key is that of the request itself. Hosts that state when they sent a request state
    /// its own key last.
    pub(super) fn is_own_key(&self, key: PartKey) -> bool {
        self.sent_at.is_some() && self.keys.last() == Some(&key)
    }

    /// Records that the same request was sent at another time, too. The earlier one counts, and an
    /// unknown one is before any other. Returns whether that changed it.
    fn merge_sent_at(&mut self, other: Option<time::Time>) -> bool {
        let is_earlier = other < self.sent_at;
        self.sent_at = self.sent_at.min(other);
        is_earlier
    }
}

/// The end of an endpoint's process, and the requests that it had begun to process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The incarnation that ended.
    pub incarnation: IncarnationKey,
    /// When its connections were lost.
    pub at: time::Time,
    /// The requests whose answers had not gone on.
    pub requests: SmallVec<[LostRequest; 2]>,
}

impl Crash {
    /// Adds a request from another report on the crash, if there is room. Returns whether the report
    /// said more than was known.
    fn add(&mut self, request: &LostRequest) -> bool {
        let mut known = self.requests.iter_mut();
        if let Some(known) = known.find(|known| known.keys == request.keys) {
            return known.merge_sent_at(request.sent_at);
        }
        let has_room = self.requests.len() < MAX_REQUESTS;
        if has_room {
            self.requests.push(request.clone());
        }
        has_room
    }

    /// Whether every request with a part was sent after an earlier crash.
    fn follows(&self, earlier: time::Time, part: PartKey) -> bool {
        let is_later = |at: time::Time| at >= earlier;
        let with_part = |request: &&LostRequest| request.keys.contains(&part);
        let mut requests = self.requests.iter().filter(with_part);
        requests.all(|request| request.sent_at.is_some_and(is_later))
    }
}

/// An answer on a part went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// The part.
    pub part: PartKey,
    /// When the answer went on.
    pub at: time::Time,
}

/// Crashes and proofs, as far as this host knows.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    /// By number, in the order in which they became known. Invariant: at most [`MAX_CRASHES`].
    crashes: BTreeMap<u64, Crash>,
    /// Numbers of the crashes with a prompt that has a part, in their order.
    by_part: HashMap<PartKey, SmallVec<[u64; 4]>>,
    next_number: u64,
    /// Time of the last proof of each part.
    proofs: lru::LruMap<PartKey, time::Time>,
    /// Incarnations that were reported to have crashed, and have not.
    refuted: lru::LruMap<IncarnationKey, ()>,
}

impl Evidence {
    pub(super) fn new() -> Self {
        Self {
            crashes: BTreeMap::new(),
            by_part: HashMap::new(),
            next_number: 0,
            proofs: lru::LruMap::new(MAX_PROOFS),
            refuted: lru::LruMap::new(MAX_CRASHES),
        }
    }

    /// All crashes that are kept.
    pub(super) fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values()
    }

    /// All parts in the prompts of crashes that are kept.
    pub(super) fn parts(&self) -> impl Iterator<Item = PartKey> {
        self.by_part.keys().copied()
    }

    /// Time of the last proof of a part.
    pub(super) fn last_proof(&self, part: PartKey) -> Option<time::Time> {
        self.proofs.get(&part).copied()
    }

    /// Records a crash. Returns what was not known of it.
    ///
    /// An incarnation ends once. If it is reported again later, it has not crashed, and both reports
    /// count for nothing: a network cut may refuse connections, too.
    pub(super) fn record_crash(&mut self, mut crash: Crash) -> Option<Crash> {
        crash.requests.truncate(MAX_REQUESTS);
        if self.refuted.get(&crash.incarnation).is_some() {
            return None;
        }
        if self.has_ended_before(&crash) {
            self.refute(crash.incarnation);
            return Some(crash);
        }
        let is_same = |(_, known): &(&u64, &mut Crash)| {
            known.incarnation == crash.incarnation && distance(known.at, crash.at) < SAME_CRASH
        };
        let Some((number, known)) = self.crashes.iter_mut().find(is_same) else {
            let is_one_of_many = self.simultaneous(crash.at) >= MAX_SIMULTANEOUS;
            return (!is_one_of_many).then(|| self.insert_crash(crash));
        };
        crash.requests.retain(|request| known.add(request));
        let number = *number;
        self.index(number, &crash);
        (!crash.requests.is_empty()).then_some(crash)
    }

    /// Whether an incarnation is known to have crashed at another time.
    fn has_ended_before(&self, crash: &Crash) -> bool {
        self.crashes.values().any(|known| {
            known.incarnation == crash.incarnation && distance(known.at, crash.at) >= SAME_CRASH
        })
    }

    /// Drops the requests of an incarnation that has not crashed.
    fn refute(&mut self, incarnation: IncarnationKey) {
        self.refuted.insert(incarnation, ());
        let mut refuted = Vec::new();
        for (number, crash) in &mut self.crashes {
            if crash.incarnation == incarnation {
                let requests = std::mem::take(&mut crash.requests);
                refuted.push((*number, requests));
            }
        }
        for (number, requests) in refuted {
            self.remove_from_index(number, &requests);
        }
    }

    /// Number of crashes that happened with one at `at`.
    fn simultaneous(&self, at: time::Time) -> usize {
        let is_simultaneous = |crash: &&Crash| distance(crash.at, at) <= SIMULTANEOUS;
        self.crashes.values().filter(is_simultaneous).count()
    }

    fn insert_crash(&mut self, crash: Crash) -> Crash {
        if self.crashes.len() >= MAX_CRASHES {
            self.remove_oldest();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.index(number, &crash);
        self.crashes.insert(number, crash.clone());
        crash
    }

    fn index(&mut self, number: u64, crash: &Crash) {
        for part in crash.requests.iter().flat_map(|request| &request.keys) {
            let numbers = self.by_part.entry(*part).or_default();
            if !numbers.contains(&number) {
                numbers.push(number);
            }
        }
    }

    fn remove_oldest(&mut self) {
        let Some((number, crash)) = self.crashes.pop_first() else {
            return;
        };
        self.remove_from_index(number, &crash.requests);
    }

    fn remove_from_index(&mut self, number: u64, requests: &[LostRequest]) {
        for part in requests.iter().flat_map(|request| &request.keys) {
            let Some(numbers) = self.by_part.get_mut(part) else {
                continue;
            };
            numbers.retain(|n| *n != number);
            if numbers.is_empty() {
                self.by_part.remove(part);
            }
        }
    }

    /// Records a proof. Returns whether it counts against a crash that is kept.
    pub(super) fn record_proof(&mut self, proof: Proof) -> bool {
        let previous = self.last_proof(proof.part);
        if previous.is_some_and(|previous| previous >= proof.at) {
            return false;
        }
        self.proofs.insert(proof.part, proof.at);
        self.with_part(proof.part).any(|crash| {
            let was_open = previous.is_none_or(|previous| crash.at > previous);
            was_open && crash.at <= proof.at
        })
    }

    /// Drops old crashes.
    pub(super) fn tick(&mut self, now: time::Time) {
        let is_old = |crash: &Crash| now.since(crash.at) >= RETENTION;
        while self.crashes.values().next().is_some_and(is_old) {
            self.remove_oldest();
        }
    }

    /// Crashes with a prompt that has a part.
    fn with_part(&self, part: PartKey) -> impl Iterator<Item = &Crash> {
        let numbers = self.by_part.get(&part).into_iter().flatten();
        numbers.filter_map(|number| self.crashes.get(number))
    }

    /// Crashes that count against a part: those with a prompt that has the part and is not
    /// explained by another cause, after the last proof.
    pub(super) fn against<F>(&self, part: PartKey, is_explained: F) -> Vec<&Crash>
    where
        F: Fn(&Parts) -> bool,
    {
        let last_proof = self.last_proof(part);
        let counts = |crash: &&Crash| {
            let is_unproven = last_proof.is_none_or(|proof| crash.at > proof);
            let mut requests = crash.requests.iter().map(|request| &request.keys);
            is_unproven && requests.any(|keys| keys.contains(&part) && !is_explained(keys))
        };
        self.with_part(part).filter(counts).collect()
    }

    /// Keys that are in every request of these crashes that has `part`, and that no answer has
    /// proven since the first of them.
    pub(super) fn companions(&self, part: PartKey, crashes: &[&Crash]) -> Parts {
        let requests = crashes.iter().flat_map(|crash| &crash.requests);
        let mut keys = requests.map(|request| &request.keys);
        let with_part = |keys: &&Parts| keys.contains(&part);
        let Some(first) = keys.find(with_part) else {
            return Parts::new();
        };
        let mut common = first.clone();
        common.dedup();
        for keys in keys.filter(with_part) {
            common.retain(|part| keys.contains(part));
        }
        let first_at = crashes.iter().map(|crash| crash.at).min();
        common.retain(|part| self.last_proof(*part) < first_at);
        common
    }
}

/// Time between two points, whichever is earlier.
pub(super) fn distance(a: time::Time, b: time::Time) -> Duration {
    a.since(b).max(b.since(a))
}

/// Number of separate crashes that count against a part.
pub(super) fn separate(crashes: &[&Crash], part: PartKey) -> usize {
    separate_times(crashes, part).len()
}

/// Times of the separate crashes that count against a part. One within [`SIMULTANEOUS`] of an earlier
/// one counts as one with it, unless its requests with the part were sent after that one: then it
/// has no cause in common with it but the part.
pub(super) fn separate_times(crashes: &[&Crash], part: PartKey) -> SmallVec<[time::Time; 4]> {
    let mut crashes: SmallVec<[&Crash; 8]> = crashes.iter().copied().collect();
    crashes.sort_unstable_by_key(|crash| crash.at);
    let mut separate: SmallVec<[time::Time; 4]> = SmallVec::new();
    for crash in crashes {
        let is_separate =
            |last: &time::Time| crash.at.since(*last) > SIMULTANEOUS || crash.follows(*last, part);
        if separate.last().is_none_or(is_separate) {
            separate.push(crash.at);
        }
    }
    separate
}
