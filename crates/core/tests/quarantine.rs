//! Accusation of prompt parts that crash endpoints, on one host.

use std::time::Duration;

use pistachiochute_core::quarantine::{
    Accusation, Admission, Crash, IncarnationKey, LostRequest, PartKey, Parts, QUARANTINE,
    Quarantine, RequestKeys, Update,
};
use pistachiochute_core::time::Time;

const FIRST: PartKey = PartKey::new(1);
const CRASHING: PartKey = PartKey::new(2);
const SOUND: PartKey = PartKey::new(3);

fn parts(parts: &[PartKey]) -> Parts {
    parts.iter().copied().collect()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn crash(incarnation: u64, ms: u64, prompts: &[&[PartKey]]) -> Update {
    Update::crash(Crash {
        incarnation: IncarnationKey::new(incarnation),
        at: at(ms),
        requests: prompts.iter().map(|keys| lost(keys, None)).collect(),
    })
}

fn lost(keys: &[PartKey], sent_at: Option<Time>) -> LostRequest {
    LostRequest {
        keys: parts(keys),
        sent_at,
    }
}

fn proof(part: PartKey, ms: u64) -> Update {
    Update::proofs(&[part], at(ms))
}

fn accused(quarantine: &Quarantine) -> Vec<Parts> {
    let accusations = quarantine.accusations().iter();
    accusations.map(|a| a.parts.clone()).collect()
}

fn admission(quarantine: &Quarantine, ms: u64, prompt: &[PartKey]) -> Admission {
    quarantine.verdicts(at(ms), |_| true).admission(prompt)
}

/// A host that knows three crashes with [`FIRST`] and [`CRASHING`], and answers on [`FIRST`].
fn with_accusation() -> Quarantine {
    let mut quarantine = Quarantine::new();
    for i in 1..=3 {
        let _ = quarantine.apply(proof(FIRST, i * 1_000 - 500), at(i * 1_000 - 500));
        let prompt: &[PartKey] = &[FIRST, CRASHING];
        let _ = quarantine.apply(crash(i, i * 1_000, &[prompt]), at(i * 1_000));
    }
    quarantine
}

#[test]
fn part_without_an_answer_in_three_separate_crashes_is_accused() {
    let quarantine = with_accusation();
    assert_eq!(accused(&quarantine), [parts(&[CRASHING])]);
    let refused = Admission::Refused(parts(&[CRASHING]));
    assert_eq!(admission(&quarantine, 3_000, &[FIRST, CRASHING]), refused);
    assert_eq!(admission(&quarantine, 3_000, &[SOUND, CRASHING]), refused);
    let admitted = admission(&quarantine, 3_000, &[FIRST, SOUND]);
    assert_eq!(admitted, Admission::Admitted);
}

/// Guards against refusing a part that was under way when a rack failed.
#[test]
fn simultaneous_crashes_count_as_one() {
    let mut quarantine = Quarantine::new();
    for i in 1..=9 {
        let _ = quarantine.apply(crash(i, 1_000 + i * 10, &[&[SOUND]]), at(1_200));
    }
    assert!(accused(&quarantine).is_empty());
}

/// Guards against hosts that tell each other of every endpoint of a failed domain.
#[test]
fn few_of_many_simultaneous_crashes_are_forwarded() {
    let mut quarantine = Quarantine::new();
    let forwarded = (0..300).filter(|i| {
        let update = crash(*i, 1_000 + i % 40, &[&[SOUND]]);
        !quarantine.apply(update, at(1_100)).forward.is_empty()
    });
    assert!(forwarded.count() <= 8);
}

/// Guards against refusing a part since a network cut refuses connections: hunted day a6e4-31 of
/// Lombardy, on which endpoints that went on were reported as crashed over and over.
#[test]
fn incarnation_that_is_reported_again_has_not_crashed() {
    let mut quarantine = Quarantine::new();
    for ms in [1_000, 2_000, 3_000, 4_000] {
        for incarnation in 1..=3 {
            let at_ms = ms + incarnation * 100;
            let _ = quarantine.apply(crash(incarnation, at_ms, &[&[SOUND]]), at(at_ms));
            if ms > 1_000 || incarnation < 3 {
                assert!(accused(&quarantine).is_empty());
            }
        }
        let _ = quarantine.apply(proof(SOUND, ms + 350), at(ms + 350));
    }
    assert!(accused(&quarantine).is_empty());
}

#[test]
fn refutation_is_forwarded_once() {
    let mut quarantine = Quarantine::new();
    let _ = quarantine.apply(crash(1, 1_000, &[&[SOUND]]), at(1_000));
    let again = crash(1, 2_000, &[&[SOUND]]);
    assert!(
        !quarantine
            .apply(again.clone(), at(2_000))
            .forward
            .is_empty()
    );
    assert!(quarantine.apply(again, at(2_010)).forward.is_empty());
    let verdicts = quarantine.verdicts(at(2_010), |_| true);
    assert!(!verdicts.is_suspect(&[SOUND], at(9_000)));
}

/// Guards against refusing a part that merely shares endpoints with one that crashes them.
#[test]
fn answer_between_crashes_clears_a_part() {
    let mut quarantine = Quarantine::new();
    for i in 1..=9 {
        let _ = quarantine.apply(crash(i, i * 1_000, &[&[SOUND]]), at(i * 1_000));
        let _ = quarantine.apply(proof(SOUND, i * 1_000 + 400), at(i * 1_000 + 400));
    }
    assert!(accused(&quarantine).is_empty());
}

#[test]
fn reports_of_several_hosts_on_one_crash_count_once() {
    let mut quarantine = Quarantine::new();
    for ms in [1_000, 1_002, 1_160, 1_250] {
        let _ = quarantine.apply(crash(1, ms, &[&[SOUND, PartKey::new(ms)]]), at(ms));
    }
    assert!(accused(&quarantine).is_empty());
}

/// Guards against a caller that gets the part of another one refused by sending it along with a part
/// that crashes endpoints.
#[test]
fn parts_that_are_always_together_are_refused_together_only() {
    let mut quarantine = Quarantine::new();
    for i in 1..=3 {
        let _ = quarantine.apply(crash(i, i * 1_000, &[&[SOUND, CRASHING]]), at(i * 1_000));
    }
    assert_eq!(accused(&quarantine), [parts(&[CRASHING, SOUND])]);
    let alone = admission(&quarantine, 3_100, &[SOUND]);
    assert_eq!(alone, Admission::Admitted);
    let _ = quarantine.apply(proof(SOUND, 3_500), at(3_500));
    assert_eq!(accused(&quarantine), [parts(&[CRASHING])]);
}

#[test]
fn crash_without_a_companion_narrows_the_accusation() {
    let mut quarantine = Quarantine::new();
    for i in 1..=3 {
        let _ = quarantine.apply(crash(i, i * 1_000, &[&[SOUND, CRASHING]]), at(i * 1_000));
    }
    let _ = quarantine.apply(crash(4, 4_000, &[&[FIRST, CRASHING]]), at(4_000));
    assert_eq!(accused(&quarantine), [parts(&[CRASHING])]);
}

#[test]
fn two_parts_are_accused_separately() {
    let mut quarantine = Quarantine::new();
    for i in 0..3 {
        let _ = quarantine.apply(crash(2 * i, 1_000 + i * 2_000, &[&[CRASHING]]), at(9_000));
        let _ = quarantine.apply(crash(2 * i + 1, 2_000 + i * 2_000, &[&[SOUND]]), at(9_000));
    }
    assert_eq!(accused(&quarantine), [parts(&[CRASHING]), parts(&[SOUND])]);
}

#[test]
fn crashes_that_an_accused_part_explains_count_against_no_other() {
    let mut quarantine = with_accusation();
    for i in 4..=9 {
        let prompt: &[PartKey] = &[SOUND, CRASHING];
        let _ = quarantine.apply(crash(i, i * 1_000, &[prompt]), at(i * 1_000));
    }
    assert_eq!(accused(&quarantine), [parts(&[CRASHING])]);
    let verdicts = quarantine.verdicts(at(9_000), |_| true);
    assert!(!verdicts.is_suspect(&[SOUND], at(10_000)));
}

#[test]
fn request_is_suspect_after_a_crash_at_another_time() {
    let mut quarantine = Quarantine::new();
    let _ = quarantine.apply(crash(1, 1_000, &[&[CRASHING]]), at(1_000));
    let verdicts = quarantine.verdicts(at(1_000), |_| true);
    assert!(!verdicts.is_suspect(&[CRASHING], at(1_050)));
    assert!(verdicts.is_suspect(&[CRASHING], at(2_000)));
    assert!(!verdicts.is_suspect(&[SOUND], at(2_000)));
    let _ = quarantine.apply(proof(CRASHING, 1_500), at(1_500));
    let verdicts = quarantine.verdicts(at(1_500), |_| true);
    assert!(!verdicts.is_suspect(&[CRASHING], at(2_000)));
}

#[test]
fn nothing_is_forwarded_twice() {
    let mut quarantine = Quarantine::new();
    let update = crash(1, 1_000, &[&[FIRST]]);
    let effects = quarantine.apply(update.clone(), at(1_000));
    assert_eq!(effects.forward, update);
    assert!(quarantine.apply(update, at(1_010)).forward.is_empty());
    let effects = quarantine.apply(proof(FIRST, 1_500), at(1_500));
    assert_eq!(effects.forward, proof(FIRST, 1_500));
    let again = quarantine.apply(proof(FIRST, 1_500), at(1_510));
    assert!(again.forward.is_empty());
}

#[test]
fn nothing_is_forwarded_while_no_endpoint_crashes() {
    let mut quarantine = Quarantine::new();
    for i in 0..100 {
        let effects = quarantine.apply(proof(PartKey::new(i % 7), i), at(i));
        assert!(effects.forward.is_empty());
    }
}

#[test]
fn host_that_knows_a_later_answer_sends_it() {
    let mut quarantine = Quarantine::new();
    let _ = quarantine.apply(proof(SOUND, 1_500), at(1_500));
    let effects = quarantine.apply(crash(1, 1_000, &[&[SOUND]]), at(1_600));
    assert_eq!(effects.forward.proofs, proof(SOUND, 1_500).proofs);
}

/// Guards against a host that joins and accuses parts, since it does not know the answers on them.
#[test]
fn host_that_joins_takes_everything_over() {
    let known = with_accusation();
    let mut joined = Quarantine::new();
    let _ = joined.apply(known.state(), at(4_000));
    assert_eq!(accused(&joined), accused(&known));
}

#[test]
fn accusation_without_evidence_is_adopted_until_an_answer_goes_on() {
    let mut quarantine = Quarantine::new();
    let update = Update {
        accusations: vec![Accusation::new(parts(&[SOUND]), at(1_000), at(1_000))],
        ..Update::default()
    };
    let _ = quarantine.apply(update.clone(), at(1_000));
    assert_eq!(accused(&quarantine), [parts(&[SOUND])]);
    let effects = quarantine.apply(proof(SOUND, 2_000), at(2_000));
    assert_eq!(effects.cleared, [SOUND]);
    assert!(accused(&quarantine).is_empty());
    // The host that still believes it is told of the answer.
    let effects = quarantine.apply(update, at(2_500));
    assert_eq!(effects.forward.proofs, proof(SOUND, 2_000).proofs);
    assert!(accused(&quarantine).is_empty());
}

#[test]
fn trial_that_crashes_an_endpoint_begins_the_quarantine_again() {
    let mut quarantine = with_accusation();
    let end = 3_000 + QUARANTINE.as_millis() as u64;
    let prompt = [FIRST, CRASHING];
    let trial = Admission::Trial(parts(&[CRASHING]));
    let refused = Admission::Refused(parts(&[CRASHING]));
    assert_eq!(admission(&quarantine, end - 1, &prompt), refused);
    assert_eq!(admission(&quarantine, end, &prompt), trial);
    let elsewhere = quarantine.verdicts(at(end), |_| false);
    assert_eq!(elsewhere.admission(&prompt), refused);
    let _ = quarantine.apply(crash(9, end + 100, &[&prompt]), at(end + 100));
    assert_eq!(admission(&quarantine, end + 200, &prompt), refused);
}

#[test]
fn trial_that_is_answered_ends_the_accusation() {
    let mut quarantine = with_accusation();
    let end = 3_000 + QUARANTINE.as_millis() as u64;
    let _ = quarantine.apply(proof(CRASHING, end + 500), at(end + 500));
    let admitted = admission(&quarantine, end + 600, &[FIRST, CRASHING]);
    assert_eq!(admitted, Admission::Admitted);
}

/// Guards against memory that grows with the parts that callers invent.
#[test]
fn evidence_is_bounded() {
    let mut quarantine = Quarantine::new();
    let mut prompts: Vec<Parts> = Vec::new();
    for i in 0..5_000 {
        prompts.clear();
        prompts.extend((0..100).map(|j| parts(&[PartKey::new(i * 100 + j)])));
        let borrowed: Vec<&[PartKey]> = prompts.iter().map(|p| &p[..]).collect();
        let _ = quarantine.apply(crash(i, i * 1_000, &borrowed), at(i * 1_000));
    }
    let state = quarantine.state();
    assert!(state.crashes.len() <= 512);
    assert!(state.crashes.iter().all(|c| c.requests.len() <= 64));
    quarantine.tick(at(5_000_000) + Duration::from_secs(600));
    assert!(quarantine.state().is_empty());
}

/// Guards against one account that has the requests of another refused.
#[test]
fn key_of_a_request_depends_on_every_field() {
    let key = |fields: &[&[u8]]| PartKey::of_request(fields);
    let keys = [
        key(&[b"account", b"/path", b"body"]),
        key(&[b"another", b"/path", b"body"]),
        key(&[b"account", b"/other", b"body"]),
        key(&[b"account", b"/path", b"other"]),
        key(&[b"account", b"/pathbody", b""]),
        key(&[b"", b"account/path", b"body"]),
    ];
    for (i, one) in keys.iter().enumerate() {
        assert!(!keys[..i].contains(one), "{i}");
    }
    assert_eq!(keys[0], key(&[b"account", b"/path", b"body"]));
}

/// Guards against a conversation tree that is refused since one request of it crashes endpoints by
/// itself.
#[test]
fn request_that_crashes_by_itself_is_accused_with_its_parts() {
    let own = PartKey::new(9);
    let mut quarantine = Quarantine::new();
    for i in 1..=3 {
        let prompt: &[PartKey] = &[FIRST, SOUND, own];
        let _ = quarantine.apply(crash(i, i * 1_000, &[prompt]), at(i * 1_000));
    }
    assert_eq!(accused(&quarantine), [parts(&[FIRST, SOUND, own])]);
    let other = admission(&quarantine, 3_000, &[FIRST, SOUND, PartKey::new(10)]);
    assert_eq!(other, Admission::Admitted);
    let same = admission(&quarantine, 3_000, &[FIRST, SOUND, own]);
    assert_eq!(same, Admission::Refused(parts(&[FIRST, SOUND, own])));
}

/// Guards against a part that is found later since each request with it has a key of its own.
#[test]
fn part_of_different_requests_is_accused_without_them() {
    let mut quarantine = Quarantine::new();
    for i in 1..=3 {
        let prompt: &[PartKey] = &[CRASHING, PartKey::new(100 + i)];
        let _ = quarantine.apply(crash(i, i * 1_000, &[prompt]), at(i * 1_000));
    }
    assert_eq!(accused(&quarantine), [parts(&[CRASHING])]);
}

#[test]
fn keys_of_a_request_without_shared_parts_are_its_own() {
    let own = PartKey::new(9);
    let call = RequestKeys::new(Parts::new(), own);
    assert_eq!(
        (call.all().as_slice(), call.shared()),
        (&[own][..], &[own][..])
    );
    let prompt = RequestKeys::new(parts(&[FIRST]), own);
    assert_eq!(prompt.all().as_slice(), [FIRST, own]);
    assert_eq!(prompt.shared(), [FIRST]);
}

/// A crash at `ms` under requests with [`CRASHING`] that were sent at these times.
fn crash_of_sent(incarnation: u64, ms: u64, sent_ms: &[Option<u64>]) -> Update {
    let own_key = |i: usize| PartKey::new(1_000 + incarnation * 10 + i as u64);
    let requests = sent_ms.iter().enumerate();
    let requests = requests.map(|(i, sent)| lost(&[CRASHING, own_key(i)], sent.map(at)));
    Update::crash(Crash {
        incarnation: IncarnationKey::new(incarnation),
        at: at(ms),
        requests: requests.collect(),
    })
}

/// Guards against ends under one request, sent again and again, that count as one since each ends its
/// endpoint within milliseconds.
#[test]
fn crashes_that_follow_each_other_are_separate_whatever_the_time_between() {
    let mut quarantine = Quarantine::new();
    for i in 1..=3_u64 {
        assert!(accused(&quarantine).is_empty());
        let ms = 1_000 + i * 20;
        let _ = quarantine.apply(crash_of_sent(i, ms, &[Some(ms - 12)]), at(ms));
    }
    assert_eq!(accused(&quarantine), [parts(&[CRASHING])]);
}

/// Guards against refusing a part that was in flight when a rack failed: some of its requests were
/// sent before, or nobody knows when.
#[test]
fn crashes_that_need_not_follow_each_other_count_as_one() {
    for sent_ms in [Some(900), None] {
        let mut quarantine = Quarantine::new();
        for i in 1..=9_u64 {
            let ms = 1_000 + i * 5;
            let sent_ms = [Some(ms - 1), sent_ms];
            let _ = quarantine.apply(crash_of_sent(i, ms, &sent_ms), at(ms));
        }
        assert!(accused(&quarantine).is_empty(), "{sent_ms:?}");
    }
}

/// Guards against two hosts that report the same request of one crash, of which one sent it before.
#[test]
fn earliest_report_of_a_request_counts() {
    for reversed in [false, true] {
        let mut quarantine = Quarantine::new();
        for i in 1..=9_u64 {
            let ms = 1_000 + i * 5;
            let mut reports = [Some(ms - 1), Some(900)];
            if reversed {
                reports.reverse();
            }
            for sent_ms in reports {
                let _ = quarantine.apply(crash_of_sent(i, ms, &[sent_ms]), at(ms));
            }
        }
        assert!(accused(&quarantine).is_empty());
    }
}

/// A crash under a request with its own key, sent before any crash.
fn crash_of_own(incarnation: u64, ms: u64, keys: &[PartKey]) -> Update {
    Update::crash(Crash {
        incarnation: IncarnationKey::new(incarnation),
        at: at(ms),
        requests: [lost(keys, Some(at(ms - 15)))].into_iter().collect(),
    })
}

/// Guards against waves of one request that end several endpoints each before it is accused.
#[test]
fn request_is_accused_by_the_first_crash_after_a_wave_of_them() {
    let mut quarantine = Quarantine::new();
    for i in 1..=4 {
        let _ = quarantine.apply(crash_of_own(i, 1_000 + i, &[FIRST, CRASHING]), at(1_010));
    }
    assert!(accused(&quarantine).is_empty());
    let _ = quarantine.apply(crash_of_own(5, 4_000, &[FIRST, CRASHING]), at(4_000));
    assert_eq!(accused(&quarantine), [parts(&[FIRST, CRASHING])]);
}

/// Guards against refusing a request that was in flight at two endpoints of a rack and at another crash,
/// and one that was answered in between.
#[test]
fn few_crashes_of_a_request_do_not_accuse_it() {
    let mut quarantine = Quarantine::new();
    for (i, ms) in [(1, 1_001), (2, 4_000)] {
        let _ = quarantine.apply(crash_of_own(i, ms, &[SOUND]), at(ms));
    }
    assert!(accused(&quarantine).is_empty());
    let mut quarantine = Quarantine::new();
    for i in 1..=4 {
        let _ = quarantine.apply(crash_of_own(i, 1_000 + i, &[SOUND]), at(1_010));
    }
    let _ = quarantine.apply(proof(SOUND, 2_000), at(2_000));
    let _ = quarantine.apply(crash_of_own(5, 4_000, &[SOUND]), at(4_000));
    assert!(accused(&quarantine).is_empty());
}

/// Guards against a shared part that is accused as early as a request: it is never the last key.
#[test]
fn shared_part_needs_three_separate_crashes() {
    let mut quarantine = Quarantine::new();
    for i in 1..=5 {
        let ms = 1_000 + i + 3_000 * (i / 5);
        let keys = [FIRST, PartKey::new(100 + i)];
        let _ = quarantine.apply(crash_of_own(i, ms, &keys), at(ms));
    }
    assert!(accused(&quarantine).is_empty());
}
