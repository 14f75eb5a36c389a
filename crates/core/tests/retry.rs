//! Retries: limits, budget, joining of outcomes and the correctness of the outcome "not run".

use std::time::Duration;

use pistachiochute_core::{outcome, reason, request, retry, time};
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use proptest::{collection, prop_assert, prop_assert_eq};

const SEED: u64 = 0x7e57;

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: 2_000,
        ..Config::default()
    }
}

fn any_outcome() -> impl Strategy<Value = outcome::Outcome> {
    prop_oneof![
        Just(outcome::Outcome::NotRun),
        Just(outcome::Outcome::Unknown),
        Just(outcome::Outcome::Run),
    ]
}

fn any_refusal() -> impl Strategy<Value = reason::Refusal> {
    (0..reason::Refusal::ALL.len()).prop_map(|i| reason::Refusal::ALL[i])
}

fn any_idempotency() -> impl Strategy<Value = request::Idempotency> {
    prop_oneof![
        Just(request::Idempotency::Idempotent),
        Just(request::Idempotency::AtMostOnce)
    ]
}

/// A simulated attempt: how far it gets, whether the endpoint runs it, and whether a refusal of the
/// owner arrives.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    progress: outcome::Progress,
    ran: bool,
    refused: bool,
}

impl Attempt {
    /// Makes the attempt consistent: a request that was never sent cannot run, and one that was
    /// answered did run.
    fn consistent(mut self) -> Self {
        self.ran &= self.progress > outcome::Progress::NotSent;
        self.ran |= self.progress == outcome::Progress::Answering;
        self.refused &= !self.ran && self.progress == outcome::Progress::Sent;
        self
    }

    fn evidence(self) -> outcome::Outcome {
        if self.refused {
            return outcome::Outcome::NotRun;
        }
        self.progress.outcome_if_lost()
    }
}

fn any_attempt() -> impl Strategy<Value = Attempt> {
    let progress = prop_oneof![
        Just(outcome::Progress::NotSent),
        Just(outcome::Progress::Sent),
        Just(outcome::Progress::Dispatched),
        Just(outcome::Progress::Answering),
    ];
    (progress, any::<bool>(), any::<bool>()).prop_map(|(progress, ran, refused)| {
        Attempt {
            progress,
            ran,
            refused,
        }
        .consistent()
    })
}

fn failure(reason: reason::Refusal, outcome: outcome::Outcome) -> retry::Failure {
    retry::Failure {
        reason,
        outcome,
        recovery: retry::Recovery::Restart,
        retry_after: None,
    }
}

fn full_budget() -> retry::Budget {
    retry::Budget::new(retry::BudgetConfig::default())
}

fn request(repeat: request::Idempotency, budget: &mut retry::Budget) -> retry::RetryState {
    let deadline = time::Time::from_secs(30);
    retry::RetryState::new(retry::Config::default(), repeat, deadline, SEED, budget)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn join_is_a_lattice(a in any_outcome(), b in any_outcome(), c in any_outcome()) {
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert_eq!(a.join(a), a);
        prop_assert_eq!(a.join(outcome::Outcome::NotRun), a);
    }

    #[test]
    fn not_run_is_true_and_at_most_one_run(
        repeat in any_idempotency(),
        attempts in collection::vec((any_attempt(), any_refusal()), 1..12),
    ) {
        let mut budget = full_budget();
        let mut req = request(repeat, &mut budget);
        let mut now = time::Time::ZERO;
        let mut runs = 0;
        for (attempt, reason) in attempts {
            if req.start_attempt(now).is_err() {
                break;
            }
            runs += u32::from(attempt.ran);
            let failed = failure(reason, attempt.evidence());
            match req.record_failure(now, failed, &mut budget) {
                retry::Decision::Retry { at, .. } => now = at,
                retry::Decision::GiveUp(_) => break,
            }
        }
        prop_assert!(req.outcome() != outcome::Outcome::NotRun || runs == 0);
        if repeat == request::Idempotency::AtMostOnce {
            prop_assert!(runs <= 1);
        }
    }

    #[test]
    fn limits_hold(reasons in collection::vec(any_refusal(), 1..40), remaining_ms in 1_u64..3_000) {
        let cfg = retry::Config::default();
        let mut budget = full_budget();
        let deadline = time::Time::from_millis(remaining_ms);
        let repeat = request::Idempotency::Idempotent;
        let mut req = retry::RetryState::new(cfg, repeat, deadline, SEED, &mut budget);
        let mut now = time::Time::ZERO;
        for reason in reasons {
            if req.start_attempt(now).is_err() {
                break;
            }
            let failed = failure(reason, outcome::Outcome::Unknown);
            match req.record_failure(now, failed, &mut budget) {
                retry::Decision::Retry { at, .. } => {
                    prop_assert!(at >= now && at < deadline);
                    now = at;
                }
                retry::Decision::GiveUp(_) => break,
            }
        }
        prop_assert!(req.attempts() <= cfg.max_attempts);
    }

    #[test]
    fn delays_stay_within_their_bounds(n in any::<u32>(), seed in any::<u64>()) {
        let backoff = retry::Backoff::default();
        let delay = backoff.delay(n, seed);
        prop_assert!(delay >= Duration::from_millis(backoff.base_ms / 2));
        prop_assert!(delay <= Duration::from_millis(backoff.max_ms));
    }
}

#[test]
fn total_outage_keeps_attempts_within_the_budget() {
    const REQUESTS: u32 = 600;
    let mut budget = full_budget();
    let mut attempts = 0;
    for i in 0..REQUESTS {
        let mut now = time::Time::from_millis(u64::from(i) * 100);
        let mut req = retry::RetryState::new(
            retry::Config::default(),
            request::Idempotency::Idempotent,
            now + Duration::from_secs(10),
            u64::from(i),
            &mut budget,
        );
        loop {
            req.start_attempt(now).expect("the deadline has not passed");
            attempts += 1;
            let failed = failure(reason::Refusal::ConnectFailed, outcome::Outcome::NotRun);
            match req.record_failure(now, failed, &mut budget) {
                retry::Decision::Retry { at, .. } => now = at,
                retry::Decision::GiveUp(given_up) => {
                    assert_eq!(given_up.outcome, outcome::Outcome::NotRun);
                    assert!(given_up.retry_after.is_some());
                    break;
                }
            }
        }
    }
    assert!(attempts * 10 <= REQUESTS * 11, "{attempts} attempts");
}

#[test]
fn an_action_that_may_have_run_is_not_sent_again() {
    let mut budget = full_budget();
    let mut req = request(request::Idempotency::AtMostOnce, &mut budget);
    let now = time::Time::ZERO;
    req.start_attempt(now).expect("the deadline has not passed");
    let failed = failure(reason::Refusal::ConnectionLost, outcome::Outcome::Unknown);
    let retry::Decision::GiveUp(given_up) = req.record_failure(now, failed, &mut budget) else {
        panic!("sent again");
    };
    assert_eq!(given_up.reason, reason::Refusal::ConnectionLost);
    assert_eq!(given_up.outcome, outcome::Outcome::Unknown);
}

#[test]
fn a_resumption_is_free_and_at_once() {
    let mut budget = retry::Budget::new(retry::BudgetConfig {
        per_request_thousandths: 0,
        reserve: 0,
    });
    let mut req = request(request::Idempotency::AtMostOnce, &mut budget);
    let now = time::Time::ZERO;
    req.start_attempt(now).expect("the deadline has not passed");
    let cut = retry::Failure {
        recovery: retry::Recovery::Resume,
        ..failure(reason::Refusal::ConnectionLost, outcome::Outcome::Run)
    };
    let decision = req.record_failure(now, cut, &mut budget);
    let reason = reason::Retry::Resume;
    assert_eq!(decision, retry::Decision::Retry { reason, at: now });
}

#[test]
fn a_request_past_its_deadline_is_refused_at_once() {
    let mut budget = full_budget();
    let mut req = request(request::Idempotency::Idempotent, &mut budget);
    let late = time::Time::from_secs(31);
    let given_up = req.start_attempt(late).expect_err("past the deadline");
    assert_eq!(given_up.reason, reason::Refusal::Deadline);
    assert_eq!(given_up.outcome, outcome::Outcome::NotRun);
}

#[test]
fn hops_are_counted_up_to_the_limit() {
    let cfg = retry::Config::default();
    assert_eq!(retry::next_hop(&cfg, 0), Ok(1));
    let beyond = retry::next_hop(&cfg, cfg.max_hops);
    assert_eq!(beyond, Err(reason::Refusal::HopLimit));
}

#[test]
fn retry_after_rounds_up_to_seconds() {
    assert_eq!(retry::ceil_secs(Duration::from_millis(1)), 1);
    assert_eq!(retry::ceil_secs(Duration::from_secs(2)), 2);
}
