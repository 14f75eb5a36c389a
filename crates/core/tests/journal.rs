//! Keys, records and answers of the journal. `pistachiochute-measure` explores the interleavings of
//! its steps.

use std::collections::BTreeMap;

use bytes::Bytes;
use pistachiochute_core::journal::{self, Answer, Effect, Event};
use pistachiochute_core::{outcome, reason, time};
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use proptest::{collection, prop_assert_eq};

const NOW: time::Time = time::Time::ZERO;

/// A time late enough that the retention window does not reach below zero.
const CLOCK: journal::UnixMillis = journal::UnixMillis(10_000_000);

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x10c),
        cases: 500,
        ..Config::default()
    }
}

fn begin(number: u8, key: u8) -> journal::NewAttempt {
    journal::NewAttempt {
        attempt: journal::AttemptId([number; 16]),
        key: journal::ActionKey {
            hash: journal::KeyHash([key; 16]),
            issued_at: CLOCK,
        },
        fingerprint: journal::Fingerprint([0; 16]),
        not_after: CLOCK.plus(30_000),
    }
}

fn stored(revision: u64, shard: journal::Shard) -> journal::StoredShard {
    journal::StoredShard {
        revision: journal::ModRevision(revision),
        shard,
    }
}

/// A journal with a key-value store that answers every call at once.
struct JournalWithStore {
    journal: journal::Journal,
    store: BTreeMap<journal::ShardId, journal::StoredShard>,
    revision: u64,
    swaps: usize,
}

impl JournalWithStore {
    fn new(cfg: journal::Config) -> Self {
        Self {
            journal: journal::Journal::new(cfg),
            store: BTreeMap::new(),
            revision: 0,
            swaps: 0,
        }
    }

    /// Handles an event, serves the resulting store calls and returns the other effects.
    fn handle(&mut self, event: Event, now: time::Time) -> Vec<Effect> {
        let mut open = vec![event];
        let mut rest = Vec::new();
        while let Some(event) = open.pop() {
            for effect in self.journal.handle(event, now, CLOCK) {
                match self.serve_call(&effect) {
                    Some(event) => open.push(event),
                    None => rest.push(effect),
                }
            }
        }
        rest
    }

    fn serve_call(&mut self, effect: &Effect) -> Option<Event> {
        match effect {
            Effect::Read { call, shard } => {
                let stored = self.store.get(shard).cloned().unwrap_or_default();
                Some(Event::Loaded {
                    call: *call,
                    stored,
                })
            }
            Effect::Swap {
                call,
                shard,
                expected,
                content,
            } => {
                let stored = self.store.entry(*shard).or_default();
                if stored.revision != *expected {
                    let stored = stored.clone();
                    return Some(Event::Conflict {
                        call: *call,
                        stored,
                    });
                }
                self.revision += 1;
                self.swaps += 1;
                let revision = journal::ModRevision(self.revision);
                *stored = journal::StoredShard {
                    revision,
                    shard: content.clone(),
                };
                Some(Event::Swapped {
                    call: *call,
                    revision,
                })
            }
            Effect::Dispatch { .. } | Effect::Answer { .. } => None,
        }
    }
}

fn refusal(effects: &[Effect]) -> Option<(reason::Refusal, outcome::Outcome)> {
    match effects {
        [
            Effect::Answer {
                answer: Answer::Refused {
                    reason, outcome, ..
                },
                ..
            },
        ] => Some((*reason, *outcome)),
        _ => None,
    }
}

fn one_slot() -> journal::Config {
    journal::Config {
        slots: 1,
        swap_interval_ms: 0,
        outcome_linger_ms: 0,
        ..journal::Config::default()
    }
}

#[test]
fn a_repeat_gets_the_recorded_answer() {
    let mut host = JournalWithStore::new(one_slot());
    let first = host.handle(Event::Begin(begin(1, 7)), NOW);
    assert!(matches!(first[..], [Effect::Dispatch { .. }]));
    let body = Bytes::from_static(b"booked");
    let recorded = journal::RecordedAnswer::new(201, &Bytes::from_static(b"text/plain"), &body);
    let finished = Event::Finished {
        attempt: begin(1, 7).attempt,
        result: journal::AttemptResult::Run(recorded.clone()),
    };
    assert!(host.handle(finished, NOW).is_empty());
    assert!(host.journal.is_idle());
    let repeat = host.handle(Event::Begin(begin(2, 7)), NOW);
    let replay = Effect::Answer {
        attempt: begin(2, 7).attempt,
        answer: Answer::Recorded(recorded),
    };
    assert_eq!(repeat, [replay]);
}

#[test]
fn a_repeat_while_the_action_runs_is_in_progress() {
    let mut host = JournalWithStore::new(one_slot());
    host.handle(Event::Begin(begin(1, 7)), NOW);
    let repeat = host.handle(Event::Begin(begin(2, 7)), NOW);
    let expected = (reason::Refusal::InProgress, outcome::Outcome::Unknown);
    assert_eq!(refusal(&repeat), Some(expected));
}

#[test]
fn a_key_reused_with_another_body_is_refused() {
    let mut host = JournalWithStore::new(one_slot());
    host.handle(Event::Begin(begin(1, 7)), NOW);
    let other = journal::NewAttempt {
        fingerprint: journal::Fingerprint([9; 16]),
        ..begin(2, 7)
    };
    let effects = host.handle(Event::Begin(other), NOW);
    let expected = (reason::Refusal::KeyReused, outcome::Outcome::NotRun);
    assert_eq!(refusal(&effects), Some(expected));
    assert_eq!(reason::Refusal::KeyReused.status(), 422);
}

#[test]
fn an_action_that_was_not_run_can_be_asked_for_again() {
    let mut host = JournalWithStore::new(one_slot());
    host.handle(Event::Begin(begin(1, 7)), NOW);
    let finished = Event::Finished {
        attempt: begin(1, 7).attempt,
        result: journal::AttemptResult::NotRun,
    };
    host.handle(finished, NOW);
    let repeat = host.handle(Event::Begin(begin(2, 7)), NOW);
    assert!(matches!(repeat[..], [Effect::Dispatch { .. }]));
}

#[test]
fn a_long_answer_is_not_replayed() {
    let mut host = JournalWithStore::new(one_slot());
    host.handle(Event::Begin(begin(1, 7)), NOW);
    let body = Bytes::from(vec![0; journal::MAX_RECORDED_BODY_BYTES + 1]);
    let finished = Event::Finished {
        attempt: begin(1, 7).attempt,
        result: journal::AttemptResult::Run(journal::RecordedAnswer::new(
            200,
            &Bytes::new(),
            &body,
        )),
    };
    host.handle(finished, NOW);
    let repeat = host.handle(Event::Begin(begin(2, 7)), NOW);
    let expected = (reason::Refusal::AnswerNotKept, outcome::Outcome::Run);
    assert_eq!(refusal(&repeat), Some(expected));
}

#[test]
fn an_unreachable_store_refuses_actions_as_not_run() {
    let mut journal = journal::Journal::new(one_slot());
    let effects = journal.handle(Event::Begin(begin(1, 7)), NOW, CLOCK);
    let [Effect::Read { call, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    let refused = journal.handle(Event::ReadFailed(call), NOW, CLOCK);
    let expected = (reason::Refusal::StoreUnavailable, outcome::Outcome::NotRun);
    assert_eq!(refusal(&refused), Some(expected));
    assert!(journal.is_idle());
}

#[test]
fn a_late_answer_to_a_call_that_was_given_up_changes_nothing() {
    let mut journal = journal::Journal::new(one_slot());
    let effects = journal.handle(Event::Begin(begin(1, 7)), NOW, CLOCK);
    let [Effect::Read { call, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    journal.handle(Event::ReadFailed(call), NOW, CLOCK);
    let stored = stored(1, journal::Shard::default());
    let late = journal.handle(Event::Loaded { call, stored }, NOW, CLOCK);
    assert!(late.is_empty());
}

#[test]
fn attempts_within_the_swap_interval_share_a_swap() {
    let cfg = journal::Config {
        slots: 1,
        ..journal::Config::default()
    };
    let mut host = JournalWithStore::new(cfg);
    let first = host.handle(Event::Begin(begin(1, 1)), NOW);
    assert_eq!(first.len(), 1);
    for number in 2..20 {
        assert!(
            host.handle(Event::Begin(begin(number, number)), NOW)
                .is_empty()
        );
    }
    let due = host.journal.wakeup().expect("attempts wait");
    let dispatched = host.handle(Event::Tick, due);
    assert_eq!(dispatched.len(), 18);
    assert_eq!(host.swaps, 2);
}

#[test]
fn a_full_shard_refuses_and_keeps_its_records() {
    let mut host = JournalWithStore::new(one_slot());
    let capacity = journal::MAX_SHARD_BYTES / journal::RECORD_OVERHEAD_BYTES;
    let numbered = |i: usize| {
        let mut id = [0; 16];
        id[..8].copy_from_slice(&i.to_le_bytes());
        let mut begin = begin(0, 0);
        begin.attempt = journal::AttemptId(id);
        begin.key.hash = journal::KeyHash(id);
        begin
    };
    for i in 0..capacity {
        host.handle(Event::Begin(numbered(i)), NOW);
        let finished = Event::Finished {
            attempt: numbered(i).attempt,
            result: journal::AttemptResult::Unknown,
        };
        host.handle(finished, NOW);
    }
    let refused = host.handle(Event::Begin(numbered(capacity)), NOW);
    let expected = (reason::Refusal::JournalFull, outcome::Outcome::NotRun);
    assert_eq!(refusal(&refused), Some(expected));
    let kept = host.store.values().next().expect("a shard");
    assert_eq!(kept.shard.len(), capacity);
    let encoded = kept.shard.encode().expect("within the bound");
    assert!(encoded.len() <= journal::MAX_SHARD_BYTES);
}

#[test]
fn keys_outside_the_window_are_refused() {
    let mut host = JournalWithStore::new(one_slot());
    let mut old = begin(1, 1);
    old.key.issued_at = journal::UnixMillis(CLOCK.0 - one_slot().window.retention_ms - 1);
    let expired = host.handle(Event::Begin(old), NOW);
    let expected = (reason::Refusal::KeyExpired, outcome::Outcome::Unknown);
    assert_eq!(refusal(&expired), Some(expected));
    let mut ahead = begin(2, 2);
    ahead.key.issued_at = CLOCK.plus(one_slot().window.ahead_ms + 1);
    let early = host.handle(Event::Begin(ahead), NOW);
    let expected = (reason::Refusal::KeyAhead, outcome::Outcome::Unknown);
    assert_eq!(refusal(&early), Some(expected));
}

#[test]
fn a_key_is_a_uuid_of_version_7_and_bound_to_its_account() {
    let account = "bocage".parse().expect("a name");
    let other = "lombardy".parse().expect("a name");
    let timestamp = uuid::Timestamp::from_unix_time(1_700_000_000, 500_000_000, 0, 0);
    let key = uuid::Uuid::new_v7(timestamp);
    let taken = journal::ActionKey::new(&account, key).expect("a UUIDv7");
    assert_eq!(taken.issued_at, journal::UnixMillis(1_700_000_000_500));
    let elsewhere = journal::ActionKey::new(&other, key).expect("a UUIDv7");
    assert_ne!(taken.hash, elsewhere.hash);
    let v4 = uuid::Uuid::from_u128(0x1234_5678_9abc_4def_8123_4567_89ab_cdef);
    assert!(journal::ActionKey::new(&account, v4).is_err());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_deleted_shard_holds_only_keys_that_every_host_refuses(
        key_ms in 0_u64..2_000_000_000,
        clock_ms in 0_u64..2_000_000_000,
        skews in (-5_000_i64..=5_000, -5_000_i64..=5_000),
    ) {
        let window = journal::Window::default();
        let key = journal::ActionKey {
            hash: journal::KeyHash([0; 16]),
            issued_at: journal::UnixMillis(key_ms),
        };
        let deleter = journal::UnixMillis(clock_ms.saturating_add_signed(skews.0));
        let other = journal::UnixMillis(clock_ms.saturating_add_signed(skews.1));
        if window.segment(&key) < window.first_retained_segment(deleter) {
            prop_assert_eq!(window.check(&key, other), Err(reason::Refusal::KeyExpired));
        }
    }

    #[test]
    fn any_bytes_decode_or_fail_without_panic(bytes in collection::vec(any::<u8>(), 0..2_000)) {
        if let Ok(shard) = journal::Shard::decode(&bytes) {
            let again = journal::Shard::decode(&shard.encode().expect("within the bound"));
            prop_assert_eq!(again, Ok(shard));
        }
    }
}
