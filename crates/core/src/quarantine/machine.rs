//! State machine that accuses parts of prompts.

use std::cell::OnceCell;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use smallvec::SmallVec;

use crate::quarantine::evidence::{
    CrashNumber, CrashWithPart, Evidence, RequestRef, separate, separate_times,
};
use crate::quarantine::verdicts::Suspects;
use crate::quarantine::{
    Accusation, CRASHES_TO_ACCUSE, Crash, PartKey, Parts, Proof, Verdicts, contains_all,
};
use crate::time;

/// Accusations that are kept. The oldest makes room for a new one.
const MAX_ACCUSATIONS: usize = 64;

/// Separate crashes that accuse a whole request, if as many endpoints as accuse a part ended in them.
const EVENTS_OF_REPEATED_REQUEST: usize = 2;

/// Evidence and accusations, from this host or from another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Answers that went on.
    pub proofs: Vec<Proof>,
    /// Crashes of endpoints.
    pub crashes: Vec<Crash>,
    /// Accusations.
    pub accusations: Vec<Accusation>,
}

impl Update {
    /// An update with one crash.
    #[must_use]
    pub fn crash(crash: Crash) -> Self {
        Self {
            crashes: vec![crash],
            ..Self::default()
        }
    }

    /// An update with proofs of parts.
    #[must_use]
    pub fn proofs(parts: &[PartKey], at: time::Time) -> Self {
        let proofs = parts.iter().map(|part| Proof { part: *part, at });
        Self {
            proofs: proofs.collect(),
            ..Self::default()
        }
    }

    /// Whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.proofs.is_empty() && self.crashes.is_empty() && self.accusations.is_empty()
    }
}

/// What follows from an [`Update`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// What was new and matters to other hosts. All hosts that this one is linked with are sent it,
    /// but for the one that it came from.
    pub forward: Update,
    /// Accusations that this host has made, with the number of separate crashes.
    pub accused: Vec<(Accusation, usize)>,
    /// Parts that are no longer accused.
    pub cleared: Vec<PartKey>,
    /// Whether the verdicts have changed.
    pub verdicts_changed: bool,
    /// Requests of crashes that were left out of the evidence, since there were too many or they had too
    /// many parts.
    pub left_out: usize,
}

/// For each request of a crash that accusations apply to, the positions of these.
type Explanations = HashMap<RequestRef, SmallVec<[usize; 2]>>;

/// Evidence and accusations, as far as this host knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    evidence: Evidence,
    /// In the order in which they became known. Invariant: none contains all parts of another, and
    /// there are at most [`MAX_ACCUSATIONS`].
    accusations: Vec<Accusation>,
    /// What follows from the evidence and the accusations, once it was asked for.
    suspects: OnceCell<Arc<Suspects>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new()
    }
}

impl Quarantine {
    /// No evidence.
    #[must_use]
    pub fn new() -> Self {
        Self {
            evidence: Evidence::new(),
            accusations: Vec::new(),
            suspects: OnceCell::new(),
        }
    }

    /// Takes an update in. Proofs come first, so that they count against the crashes that they
    /// contradict.
    pub fn apply(&mut self, update: Update, now: time::Time) -> Effects {
        let mut effects = Effects::default();
        for proof in update.proofs {
            self.apply_proof(proof, &mut effects);
        }
        for crash in update.crashes {
            self.apply_crash(crash, now, &mut effects);
        }
        for accusation in update.accusations {
            self.adopt(accusation, &mut effects);
        }
        effects.left_out = self.evidence.take_left_out();
        if effects.verdicts_changed {
            self.suspects.take();
        }
        effects
    }

    /// Drops old evidence.
    pub fn tick(&mut self, now: time::Time) {
        if self.evidence.tick(now) {
            self.suspects.take();
        }
    }

    /// Everything that this host knows, for a host that may know nothing.
    #[must_use]
    pub fn state(&self) -> Update {
        let crashes: Vec<Crash> = self.evidence.crashes().cloned().collect();
        let proof = |part| {
            let at = self.evidence.last_proof(part)?;
            Some(Proof { part, at })
        };
        Update {
            proofs: self.evidence.parts().filter_map(proof).collect(),
            crashes,
            accusations: self.accusations.clone(),
        }
    }

    /// Decisions on requests. `is_trial_host` states whether this host tries the parts of an
    /// accusation whose quarantine is over.
    pub fn verdicts<F>(&self, now: time::Time, is_trial_host: F) -> Verdicts
    where
        F: Fn(&Accusation) -> bool,
    {
        let accusations = self.accusations.iter().map(|accusation| {
            let is_on_trial = accusation.is_on_trial(now) && is_trial_host(accusation);
            (accusation.clone(), is_on_trial)
        });
        let suspects = self.suspects.get_or_init(|| Arc::new(self.suspects()));
        Verdicts::new(accusations.collect(), suspects.clone())
    }

    /// Accusations in force.
    #[must_use]
    pub fn accusations(&self) -> &[Accusation] {
        &self.accusations
    }

    fn suspects(&self) -> Suspects {
        let explanations = self.explanations();
        let mut suspects = Suspects::new();
        for part in self.evidence.parts() {
            let times = separate_times(&self.against(part, &explanations));
            if !times.is_empty() {
                suspects.insert(part, times);
            }
        }
        suspects
    }

    fn apply_proof(&mut self, proof: Proof, effects: &mut Effects) {
        let counts_against_crash = self.evidence.record_proof(proof);
        let is_cleared = self.clear(proof, effects);
        if counts_against_crash || is_cleared {
            effects.forward.proofs.push(proof);
            effects.verdicts_changed = true;
        }
    }

    /// Removes a proven part from the accusations that it contradicts. Returns whether there was
    /// one.
    fn clear(&mut self, proof: Proof, effects: &mut Effects) -> bool {
        let mut any = false;
        for accusation in &mut self.accusations {
            if proof.at <= accusation.since || !accusation.parts.contains(&proof.part) {
                continue;
            }
            accusation.parts.retain(|part| *part != proof.part);
            any = true;
        }
        if any {
            self.accusations
                .retain(|accusation| !accusation.parts.is_empty());
            effects.cleared.push(proof.part);
        }
        any
    }

    fn apply_crash(&mut self, crash: Crash, now: time::Time, effects: &mut Effects) {
        let Some(new) = self.evidence.record_crash(crash) else {
            return;
        };
        effects.verdicts_changed = true;
        self.forward_later_proofs(&new, effects);
        self.end_failed_trials(&new, now);
        let requests = new.requests.iter();
        let mut parts: Vec<PartKey> = requests.flat_map(|r| r.keys.iter().copied()).collect();
        parts.sort_unstable();
        parts.dedup();
        self.consider_all(&parts, now, effects);
        effects.forward.crashes.push(new);
    }

    /// Forwards the proofs that contradict a crash: the host that reported it does not know them.
    fn forward_later_proofs(&self, crash: &Crash, effects: &mut Effects) {
        for part in crash.requests.iter().flat_map(|request| &request.keys) {
            let Some(at) = self.evidence.last_proof(*part) else {
                continue;
            };
            let proof = Proof { part: *part, at };
            if at >= crash.at && !effects.forward.proofs.contains(&proof) {
                effects.forward.proofs.push(proof);
            }
        }
    }

    /// Begins the quarantine again of parts whose trial has ended in a crash.
    fn end_failed_trials(&mut self, crash: &Crash, now: time::Time) {
        for accusation in &mut self.accusations {
            let mut requests = crash.requests.iter();
            let is_on_trial = accusation.is_on_trial(now) && crash.at >= accusation.until;
            if is_on_trial && requests.any(|request| accusation.applies_to(&request.keys)) {
                *accusation = Accusation::new(accusation.parts.clone(), crash.at, now);
            }
        }
    }

    /// Accuses those of the parts against which enough crashes count. Parts of one prompt mostly have
    /// the same crashes against them, and then the same companions: these are looked at once.
    fn consider_all(&mut self, parts: &[PartKey], now: time::Time, effects: &mut Effects) {
        let mut explanations = self.explanations();
        let mut considered: HashMap<SmallVec<[CrashNumber; 4]>, Parts> = HashMap::new();
        for part in parts {
            let crashes = self.against(*part, &explanations);
            let numbers: SmallVec<[CrashNumber; 4]> = crashes.iter().map(|c| c.number).collect();
            let same = considered.get(&numbers);
            if same.is_some_and(|companions| companions.binary_search(part).is_ok()) {
                continue;
            }
            let count = separate(&crashes);
            if count < CRASHES_TO_ACCUSE && !is_repeated_request(&crashes, *part, count) {
                continue;
            }
            let mut companions = self.evidence.companions(&crashes);
            companions.sort_unstable();
            let is_stronger =
                |other: &PartKey| separate(&self.against(*other, &explanations)) > count;
            let is_stronger = companions.iter().any(is_stronger);
            let since = crashes.iter().map(|with_part| with_part.crash.at).min();
            drop(crashes);
            considered.insert(numbers, companions.clone());
            if is_stronger {
                continue;
            }
            let accusation = Accusation::new(companions, since.unwrap_or(now), now);
            if self.add(accusation.clone()) {
                effects.forward.accusations.push(accusation.clone());
                effects.accused.push((accusation, count));
                explanations = self.explanations();
            }
        }
    }

    /// Crashes that count against a part and are not explained by another accusation.
    fn against(&self, part: PartKey, explanations: &Explanations) -> Vec<CrashWithPart<'_>> {
        self.evidence.against(part, |request| {
            let accusations = explanations.get(&request).into_iter().flatten();
            let mut accusations =
                accusations.filter_map(|position| self.accusations.get(*position));
            accusations.any(|a| a.parts.binary_search(&part).is_err())
        })
    }

    /// Which accusations apply to which requests of the crashes.
    fn explanations(&self) -> Explanations {
        if self.accusations.is_empty() {
            return Explanations::new();
        }
        let mut explanations = Explanations::new();
        for (request, prompt) in self.evidence.requests() {
            let prompt: HashSet<PartKey> = prompt.iter().copied().collect();
            let accusations = self.accusations.iter().enumerate();
            let applies = |a: &Accusation| a.parts.iter().all(|part| prompt.contains(part));
            let applying = accusations.filter(|(_, a)| applies(a));
            let positions: SmallVec<[usize; 2]> = applying.map(|(i, _)| i).collect();
            if !positions.is_empty() {
                explanations.insert(request, positions);
            }
        }
        explanations
    }

    /// Takes an accusation of another host over, without the parts that an answer has proven since.
    fn adopt(&mut self, mut accusation: Accusation, effects: &mut Effects) {
        accusation.parts.sort_unstable();
        let last_proof = |part: PartKey| self.evidence.last_proof(part);
        let mut proven = Parts::new();
        accusation.parts.retain(|part| {
            let is_proven = last_proof(*part).is_some_and(|at| at > accusation.since);
            if is_proven {
                proven.push(*part);
            }
            !is_proven
        });
        for part in proven {
            if let Some(at) = last_proof(part) {
                effects.forward.proofs.push(Proof { part, at });
            }
        }
        if !accusation.parts.is_empty() && self.add(accusation.clone()) {
            effects.forward.accusations.push(accusation);
            effects.verdicts_changed = true;
        }
    }

    /// Adds an accusation unless a wider one is in force, and removes those that it makes needless.
    fn add(&mut self, accusation: Accusation) -> bool {
        let is_covered = |known: &Accusation| contains_all(&accusation.parts, &known.parts);
        if self.accusations.iter().any(is_covered) {
            return false;
        }
        self.accusations
            .retain(|known| !contains_all(&known.parts, &accusation.parts));
        if self.accusations.len() >= MAX_ACCUSATIONS {
            self.accusations.remove(0);
        }
        self.accusations.push(accusation);
        true
    }
}

/// Whether crashes accuse a request by its own key although fewer of them are separate than accuse a
/// part: as many endpoints ended, several of them at once under repetitions. A failed rack explains only
/// one of the separate events, and a sound request that comes as often is answered in between.
fn is_repeated_request(crashes: &[CrashWithPart<'_>], key: PartKey, separate: usize) -> bool {
    let is_own_key = |crash: &CrashWithPart<'_>| {
        let mut requests = crash.requests.iter();
        requests.all(|request| request.is_own_key(key))
    };
    separate >= EVENTS_OF_REPEATED_REQUEST
        && crashes.len() >= CRASHES_TO_ACCUSE
        && crashes.iter().all(is_own_key)
}
