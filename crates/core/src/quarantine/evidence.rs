//! Evidence for and against parts of prompts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::quarantine::{IncarnationKey, PartKey, Parts, SIMULTANEOUS};
use crate::routing::lru;
use crate::time;

/// Crashes that are kept. The oldest makes room for a new one.
const MAX_CRASHES: usize = 512;

/// Requests of one crash that are kept.
const MAX_REQUESTS: usize = 64;

/// Keys of the requests of one crash that are kept: four of the largest prompts that fit into a head. A
/// request whose keys do not fit is left out as a whole.
const MAX_KEYS_PER_CRASH: usize = 8_192;

/// Keys of the requests of all crashes that are kept. The oldest crash makes room for a new one.
const MAX_KEYS: usize = 65_536;

/// Parts in no crash that is kept whose last proof is kept.
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
        let has_room = self.has_room_for(request);
        if has_room {
            self.requests.push(request.clone());
        }
        has_room
    }

    fn has_room_for(&self, request: &LostRequest) -> bool {
        self.requests.len() < MAX_REQUESTS && self.keys() + request.keys.len() <= MAX_KEYS_PER_CRASH
    }

    /// Its requests, with their references if the crash is kept under a number.
    fn requests(&self, number: CrashNumber) -> impl Iterator<Item = (RequestRef, &Parts)> {
        let requests = self.requests.iter().enumerate();
        requests.map(move |(position, request)| {
            let reference = RequestRef {
                crash: number,
                position: position as u16,
            };
            (reference, &request.keys)
        })
    }

    /// Number of keys of its requests.
    fn keys(&self) -> usize {
        self.requests.iter().map(|request| request.keys.len()).sum()
    }

    /// Leaves out what is beyond the bounds. Returns the number of requests that it leaves out.
    fn limit(&mut self) -> usize {
        let before = self.requests.len();
        let requests = std::mem::take(&mut self.requests);
        for request in requests {
            if self.has_room_for(&request) {
                self.requests.push(request);
            }
        }
        before - self.requests.len()
    }
}

/// A crash that counts against a part, with its requests that have the part.
#[derive(Clone, Debug)]
pub(super) struct CrashWithPart<'a> {
    pub number: CrashNumber,
    pub crash: &'a Crash,
    /// Invariant: not empty.
    pub requests: SmallVec<[&'a LostRequest; 2]>,
}

impl CrashWithPart<'_> {
    /// Whether every request with the part was sent after an earlier crash.
    fn follows(&self, earlier: time::Time) -> bool {
        let is_later = |at: time::Time| at >= earlier;
        let mut requests = self.requests.iter();
        requests.all(|request| request.sent_at.is_some_and(is_later))
    }
}

/// Number of a crash, in the order in which crashes became known.
pub(super) type CrashNumber = u64;

/// A request of a crash that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct RequestRef {
    pub crash: CrashNumber,
    /// Position among the requests of the crash.
    pub position: u16,
}

/// What is known of a part in a crash that is kept.
#[derive(Clone, Debug, Default)]
struct PartEvidence {
    /// Requests with the part. Invariant: sorted, so that those of one crash are together, and not empty.
    lost: SmallVec<[RequestRef; 2]>,
    last_proof: Option<time::Time>,
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
    crashes: BTreeMap<CrashNumber, Crash>,
    /// Parts in prompts of these crashes. Their proofs are kept as long as the crashes that they speak
    /// against, however many other parts are proven.
    by_part: HashMap<PartKey, PartEvidence>,
    next_number: CrashNumber,
    /// Number of keys in `crashes`. Invariant: at most [`MAX_KEYS`].
    keys: usize,
    /// Requests of crashes that did not fit into the bounds.
    left_out: usize,
    /// Time of the last proof of each part that is not in `by_part`.
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
            keys: 0,
            left_out: 0,
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
        match self.by_part.get(&part) {
            Some(known) => known.last_proof,
            None => self.proofs.get(&part).copied(),
        }
    }

    /// Number of requests that were left out since this was last asked, since crashes had too many
    /// or too large ones.
    pub(super) fn take_left_out(&mut self) -> usize {
        std::mem::take(&mut self.left_out)
    }

    /// All requests of crashes that are kept.
    pub(super) fn requests(&self) -> impl Iterator<Item = (RequestRef, &Parts)> {
        let crashes = self.crashes.iter();
        crashes.flat_map(|(number, crash)| crash.requests(*number))
    }

    /// Records a crash. Returns what was not known of it.
    ///
    /// An incarnation ends once. If it is reported again later, it has not crashed, and both reports
    /// count for nothing: a network cut may refuse connections, too.
    pub(super) fn record_crash(&mut self, mut crash: Crash) -> Option<Crash> {
        self.left_out += crash.limit();
        if self.refuted.get(&crash.incarnation).is_some() {
            return None;
        }
        if self.has_ended_before(&crash) {
            self.refute(crash.incarnation);
            return Some(crash);
        }
        let is_same = |(_, known): &(&CrashNumber, &mut Crash)| {
            known.incarnation == crash.incarnation && distance(known.at, crash.at) < SAME_CRASH
        };
        let Some((number, known)) = self.crashes.iter_mut().find(is_same) else {
            let is_one_of_many = self.simultaneous(crash.at) >= MAX_SIMULTANEOUS;
            return (!is_one_of_many).then(|| self.insert_crash(crash));
        };
        let keys_before = known.keys();
        crash.requests.retain(|request| known.add(request));
        self.keys += known.keys() - keys_before;
        let number = *number;
        self.index(number);
        self.make_room(0);
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
                self.keys -= crash.keys();
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
        self.make_room(crash.keys());
        let number = self.next_number;
        self.next_number += 1;
        self.keys += crash.keys();
        self.crashes.insert(number, crash.clone());
        self.index(number);
        crash
    }

    /// Drops the oldest crashes until as many more keys fit.
    fn make_room(&mut self, keys: usize) {
        while self.keys + keys > MAX_KEYS && !self.crashes.is_empty() {
            self.remove_oldest();
        }
    }

    /// Enters a crash into the index, or the requests of it that are not there yet.
    fn index(&mut self, number: CrashNumber) {
        let Some(crash) = self.crashes.get(&number) else {
            return;
        };
        for (request, keys) in crash.requests(number) {
            for part in keys {
                let proofs = &mut self.proofs;
                let known = self.by_part.entry(*part).or_insert_with(|| PartEvidence {
                    lost: SmallVec::new(),
                    last_proof: proofs.remove(part),
                });
                if let Err(place) = known.lost.binary_search(&request) {
                    known.lost.insert(place, request);
                }
            }
        }
    }

    fn remove_oldest(&mut self) {
        let Some((number, crash)) = self.crashes.pop_first() else {
            return;
        };
        self.keys -= crash.keys();
        self.remove_from_index(number, &crash.requests);
    }

    fn remove_from_index(&mut self, number: CrashNumber, requests: &[LostRequest]) {
        for part in requests.iter().flat_map(|request| &request.keys) {
            let Some(known) = self.by_part.get_mut(part) else {
                continue;
            };
            known.lost.retain(|request| request.crash != number);
            if !known.lost.is_empty() {
                continue;
            }
            if let Some(at) = known.last_proof {
                self.proofs.insert(*part, at);
            }
            self.by_part.remove(part);
        }
    }

    /// Records a proof. Returns whether it counts against a crash that is kept.
    pub(super) fn record_proof(&mut self, proof: Proof) -> bool {
        let previous = self.last_proof(proof.part);
        if previous.is_some_and(|previous| previous >= proof.at) {
            return false;
        }
        let Some(known) = self.by_part.get_mut(&proof.part) else {
            self.proofs.insert(proof.part, proof.at);
            return false;
        };
        known.last_proof = Some(proof.at);
        let mut lost = known.lost.iter();
        lost.any(|request| {
            self.crashes.get(&request.crash).is_some_and(|crash| {
                let was_open = previous.is_none_or(|previous| crash.at > previous);
                was_open && crash.at <= proof.at
            })
        })
    }

    /// Drops old crashes. Returns whether there was one.
    pub(super) fn tick(&mut self, now: time::Time) -> bool {
        let before = self.crashes.len();
        let is_old = |crash: &Crash| now.since(crash.at) >= RETENTION;
        while self.crashes.values().next().is_some_and(is_old) {
            self.remove_oldest();
        }
        self.crashes.len() < before
    }

    /// Crashes that count against a part: those with a prompt that has the part and is not
    /// explained by another cause, after the last proof.
    pub(super) fn against<F>(&self, part: PartKey, is_explained: F) -> Vec<CrashWithPart<'_>>
    where
        F: Fn(RequestRef) -> bool,
    {
        let Some(known) = self.by_part.get(&part) else {
            return Vec::new();
        };
        let of_one_crash = known.lost.chunk_by(|a, b| a.crash == b.crash);
        let counting = of_one_crash.filter_map(|lost| {
            let crash = self.crashes.get(&lost[0].crash)?;
            let is_unproven = known.last_proof.is_none_or(|proof| crash.at > proof);
            let counts = is_unproven && lost.iter().any(|request| !is_explained(*request));
            let requests = lost.iter();
            let requests = requests.filter_map(|r| crash.requests.get(usize::from(r.position)));
            counts.then(|| CrashWithPart {
                number: lost[0].crash,
                crash,
                requests: requests.collect(),
            })
        });
        counting.collect()
    }

    /// Keys that are in every request of these crashes that has their part, and that no answer has
    /// proven since the first of them.
    pub(super) fn companions(&self, crashes: &[CrashWithPart<'_>]) -> Parts {
        let mut requests = crashes.iter().flat_map(|crash| &crash.requests);
        let Some(first) = requests.next() else {
            return Parts::new();
        };
        let mut common = first.keys.clone();
        common.dedup();
        for request in requests {
            let keys: HashSet<PartKey> = request.keys.iter().copied().collect();
            common.retain(|part| keys.contains(part));
        }
        let first_at = crashes.iter().map(|crash| crash.crash.at).min();
        common.retain(|part| self.last_proof(*part) < first_at);
        common
    }
}

/// Time between two points, whichever is earlier.
pub(super) fn distance(a: time::Time, b: time::Time) -> Duration {
    a.since(b).max(b.since(a))
}

/// Number of separate crashes that count against a part.
pub(super) fn separate(crashes: &[CrashWithPart<'_>]) -> usize {
    separate_times(crashes).len()
}

/// Times of the separate crashes that count against a part. One within [`SIMULTANEOUS`] of an earlier
/// one counts as one with it, unless its requests with the part were sent after that one: then it
/// has no cause in common with it but the part.
pub(super) fn separate_times(crashes: &[CrashWithPart<'_>]) -> SmallVec<[time::Time; 4]> {
    let mut crashes: SmallVec<[&CrashWithPart<'_>; 8]> = crashes.iter().collect();
    crashes.sort_unstable_by_key(|with_part| with_part.crash.at);
    let mut separate: SmallVec<[time::Time; 4]> = SmallVec::new();
    for with_part in crashes {
        let at = with_part.crash.at;
        let is_separate =
            |last: &time::Time| at.since(*last) > SIMULTANEOUS || with_part.follows(*last);
        if separate.last().is_none_or(is_separate) {
            separate.push(at);
        }
    }
    separate
}
