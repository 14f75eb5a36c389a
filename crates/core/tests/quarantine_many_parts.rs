//! Accusation of parts in prompts of very many parts.
//!
//! Guards against a part that crashes endpoints for ever since it stands behind others in its prompts:
//! a head has room for about 1,750 parts, and only the last one is known not to crash endpoints.

use std::time::{Duration, Instant};

use pistachiochute_core::choice::prompt::Prompt;
use pistachiochute_core::quarantine::{
    Accusation, Admission, Crash, IncarnationKey, LostRequest, PartKey, Parts, Quarantine, Update,
    shared_parts,
};
use pistachiochute_core::time::Time;

/// Shared parts of the longest prompt that fits into a head.
const MAX_SHARED: u64 = 1_749;

const CRASHING: PartKey = PartKey::new(0xc0de);

const OTHER_CRASHING: PartKey = PartKey::new(0xc0df);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A prompt of `count` sound parts that all requests share, with others inserted.
fn prompt(count: u64, inserted: &[(usize, PartKey)]) -> Parts {
    let mut keys: Vec<PartKey> = (0..count).map(|i| PartKey::new(1_000_000 + i)).collect();
    for (place, part) in inserted {
        keys.insert(*place, *part);
    }
    keys.into_iter().collect()
}

/// A crash under one request with these shared parts, and a key of its own.
fn crash(number: u64, ms: u64, shared: &Parts) -> Update {
    let mut keys = shared.clone();
    keys.push(PartKey::new(u64::MAX - number));
    let request = LostRequest {
        keys,
        sent_at: Some(at(ms - 15)),
    };
    Update::crash(Crash {
        incarnation: IncarnationKey::new(number),
        at: at(ms),
        requests: [request].into_iter().collect(),
    })
}

fn accused(quarantine: &Quarantine) -> Vec<Parts> {
    let accusations = quarantine.accusations().iter();
    accusations.map(|a: &Accusation| a.parts.clone()).collect()
}

fn is_refused(quarantine: &Quarantine, ms: u64, prompt: &Parts) -> bool {
    let verdicts = quarantine.verdicts(at(ms), |_| false);
    matches!(verdicts.admission(prompt), Admission::Refused(_))
}

/// Crashes of three requests, with answers on the sound parts after each.
fn after_three(prompts: &[Parts; 3], sound: &Parts) -> Quarantine {
    let mut quarantine = Quarantine::new();
    for (i, prompt) in (1..).zip(prompts) {
        let ms = i * 1_000;
        let _ = quarantine.apply(crash(i, ms, prompt), at(ms));
        let _ = quarantine.apply(Update::proofs(sound, at(ms + 300)), at(ms + 300));
    }
    quarantine
}

#[test]
fn all_shared_parts_of_a_prompt_are_considered() {
    let ids: Vec<String> = (0..=MAX_SHARED).map(|i| i.to_string()).collect();
    let parts = ids.iter().map(|id| (id.as_bytes(), 1));
    let prompt = Prompt::new(b"model", parts, 2_000, 10);
    assert_eq!(shared_parts(&prompt).len() as u64, MAX_SHARED);
}

#[test]
fn a_part_is_accused_wherever_it_stands() {
    for place in [0, 15, 16, 17, 900, 1_748] {
        let sound = prompt(MAX_SHARED - 1, &[]);
        let crashing = prompt(MAX_SHARED - 1, &[(place, CRASHING)]);
        let prompts = [crashing.clone(), crashing.clone(), crashing.clone()];
        let quarantine = after_three(&prompts, &sound);
        assert!(is_refused(&quarantine, 3_400, &crashing), "at {place}");
        assert!(!is_refused(&quarantine, 3_400, &sound), "at {place}");
    }
}

#[test]
fn a_part_that_moves_its_place_is_accused() {
    let prompts = [3, 40, 700].map(|place| prompt(MAX_SHARED - 1, &[(place, CRASHING)]));
    let sound = prompt(MAX_SHARED - 1, &[]);
    let quarantine = after_three(&prompts, &sound);
    assert!(is_refused(
        &quarantine,
        3_400,
        &prompt(20, &[(19, CRASHING)])
    ));
    assert!(!is_refused(&quarantine, 3_400, &sound));
}

/// Only what all crashes have in common is left, though no answer speaks for the other parts.
#[test]
fn a_part_among_others_that_never_come_again_is_accused_alone() {
    let mut quarantine = Quarantine::new();
    for i in 1..=3_u64 {
        let unique = (0..MAX_SHARED - 1).map(|part| PartKey::new(i * 10_000_000 + part));
        let mut keys: Vec<PartKey> = unique.collect();
        keys.insert(500 * i as usize, CRASHING);
        let _ = quarantine.apply(
            crash(i, i * 1_000, &keys.into_iter().collect()),
            at(i * 1_000),
        );
    }
    assert_eq!(accused(&quarantine), [Parts::from_iter([CRASHING])]);
}

#[test]
fn two_parts_of_one_prompt_that_crash_endpoints_are_both_accused() {
    let mut quarantine = Quarantine::new();
    let sound = prompt(60, &[]);
    let both = prompt(60, &[(18, CRASHING), (44, OTHER_CRASHING)]);
    let one = prompt(60, &[(18, CRASHING)]);
    let other = prompt(60, &[(44, OTHER_CRASHING)]);
    let prompts = [&both, &one, &other, &one, &other, &one, &other];
    for (i, prompt) in (1..).zip(prompts) {
        let ms = i * 1_000;
        let _ = quarantine.apply(crash(i, ms, prompt), at(ms));
        let _ = quarantine.apply(Update::proofs(&sound, at(ms + 300)), at(ms + 300));
    }
    for prompt in [&both, &one, &other] {
        assert!(is_refused(&quarantine, 8_000, prompt));
    }
    assert!(!is_refused(&quarantine, 8_000, &sound));
}

/// A part on which answers have gone on for long begins to crash endpoints.
#[test]
fn a_part_that_was_proven_before_is_accused() {
    let mut quarantine = Quarantine::new();
    let crashing = prompt(60, &[(40, CRASHING)]);
    let _ = quarantine.apply(Update::proofs(&crashing, at(500)), at(500));
    let sound = prompt(60, &[]);
    for i in 1..=3 {
        let ms = i * 1_000;
        let _ = quarantine.apply(crash(i, ms, &crashing), at(ms));
        let _ = quarantine.apply(Update::proofs(&sound, at(ms + 300)), at(ms + 300));
    }
    assert!(is_refused(&quarantine, 3_400, &crashing));
    assert!(!is_refused(&quarantine, 3_400, &sound));
}

/// Crashes that three hosts see, each with other parts in common, are put together by a fourth.
#[test]
fn crashes_that_different_hosts_saw_are_put_together() {
    let mut fourth = Quarantine::new();
    for i in 1..=3_u64 {
        let mut host = Quarantine::new();
        let common = (0..200).map(|part| PartKey::new(i * 1_000 + part));
        let mut keys: Vec<PartKey> = common.collect();
        keys.insert(60 * i as usize, CRASHING);
        let shared: Parts = keys.into_iter().collect();
        let seen = host.apply(crash(i, i * 1_000, &shared), at(i * 1_000));
        let _ = fourth.apply(seen.forward, at(i * 1_000 + 20));
    }
    assert_eq!(accused(&fourth), [Parts::from_iter([CRASHING])]);
}

/// Guards against sound parts that are accused since answers on very many other parts made their proofs
/// forgotten.
#[test]
fn answers_on_very_many_other_parts_do_not_forget_a_proof() {
    let mut quarantine = Quarantine::new();
    let sound = prompt(20, &[]);
    for i in 1..=3_u64 {
        let ms = i * 1_000;
        let _ = quarantine.apply(crash(i, ms, &sound), at(ms));
        let _ = quarantine.apply(Update::proofs(&sound, at(ms + 100)), at(ms + 100));
        for j in 0..12 {
            let others = (0..MAX_SHARED).map(|part| PartKey::new((i * 100 + j) * 1_000_000 + part));
            let others: Vec<PartKey> = others.collect();
            let _ = quarantine.apply(Update::proofs(&others, at(ms + 200)), at(ms + 200));
        }
    }
    assert!(accused(&quarantine).is_empty());
}

/// Guards against a crash that counts twice since a second host reports it after another crash, with other
/// parts of the same request: hosts of earlier builds name the first 16 only.
#[test]
fn a_late_report_on_a_crash_counts_with_the_first_one() {
    let mut quarantine = Quarantine::new();
    let own = PartKey::new(7);
    let report = |number, ms, keys: &[PartKey]| {
        let request = LostRequest {
            keys: keys.iter().copied().collect(),
            sent_at: Some(at(ms - 15)),
        };
        Update::crash(Crash {
            incarnation: IncarnationKey::new(number),
            at: at(ms),
            requests: [request].into_iter().collect(),
        })
    };
    let _ = quarantine.apply(report(1, 1_000, &[CRASHING, own]), at(1_000));
    let _ = quarantine.apply(report(2, 2_000, &[CRASHING, own]), at(2_000));
    let _ = quarantine.apply(report(1, 1_000, &[own]), at(2_100));
    assert!(accused(&quarantine).is_empty());
}

/// What is kept stays bounded, and what is left out is counted.
#[test]
fn evidence_is_bounded_by_its_keys() {
    let mut quarantine = Quarantine::new();
    let unique = |i: u64| (0..MAX_SHARED).map(move |part| PartKey::new(i * 10_000_000 + part));
    let lost = |i: u64| LostRequest {
        keys: unique(i).collect(),
        sent_at: Some(at(900)),
    };
    let mut left_out = 0;
    for i in 1..=40_u64 {
        let crash = Crash {
            incarnation: IncarnationKey::new(i),
            at: at(i * 1_000),
            requests: (0..9).map(|j| lost(i * 10 + j)).collect(),
        };
        left_out += quarantine
            .apply(Update::crash(crash), at(i * 1_000))
            .left_out;
    }
    let crashes = quarantine.state().crashes;
    let requests = crashes.iter().flat_map(|crash| &crash.requests);
    let keys: usize = requests.map(|request| request.keys.len()).sum();
    assert!(keys <= 65_536, "{keys}");
    assert!(crashes.len() >= 5, "{}", crashes.len());
    assert_eq!(left_out, 40 * 5);
}

/// Guards against evidence whose cost grows with the square of the parts. The bound is wide.
#[test]
fn crashes_with_the_longest_prompts_are_considered_in_linear_time() {
    let begin = Instant::now();
    let mut quarantine = Quarantine::new();
    for i in 1..=30 {
        let crashing = prompt(MAX_SHARED, &[]);
        let _ = quarantine.apply(crash(i, i * 1_000, &crashing), at(i * 1_000));
    }
    assert_eq!(accused(&quarantine).len(), 1);
    assert!(
        begin.elapsed() < Duration::from_secs(20),
        "{:?}",
        begin.elapsed()
    );
}
