//! Decisions after failed attempts, and the shares of the fleet's retry budget.

use std::time::Duration;

use pistachiochute_core::catalog::RequestKind;
use pistachiochute_core::retry::{
    AttemptFailure, Attempts, Budget, Charge, FleetBudget, MAX_ATTEMPTS, Next, retry_after,
};
use pistachiochute_core::{outcome, reason, time};
use proptest::prelude::{Strategy, proptest};
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed};
use proptest::{collection, prop_assert};

const SEED: u64 = 0xa77e;

const FAILURES: [AttemptFailure; 9] = [
    AttemptFailure::AtLimit,
    AttemptFailure::NotSent,
    AttemptFailure::Refused,
    AttemptFailure::EndpointReplaced,
    AttemptFailure::Failed,
    AttemptFailure::FalsePromise,
    AttemptFailure::InvalidAnswer,
    AttemptFailure::ConnectionLost,
    AttemptFailure::Stalled,
];

fn any_failure() -> impl Strategy<Value = AttemptFailure> {
    select(&FAILURES[..])
}

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: 2_000,
        ..Config::default()
    }
}

#[test]
fn a_lost_at_most_once_call_is_given_up_as_unknown() {
    let mut attempts = Attempts::new(RequestKind::AtMostOnce, 3);
    let next = attempts.record_failure(AttemptFailure::ConnectionLost, || true);
    let expected = Next::GiveUp {
        reason: reason::Refusal::ConnectionLost,
        outcome: outcome::Outcome::Unknown,
    };
    assert_eq!(next, expected);
}

#[test]
fn an_attempt_without_a_connection_is_not_charged() {
    let mut attempts = Attempts::new(RequestKind::AtMostOnce, 1);
    let next = attempts.record_failure(AttemptFailure::NotSent, || panic!("no budget is needed"));
    assert_eq!(next, Next::Retry(reason::Retry::ConnectFailed));
}

#[test]
fn an_idempotent_call_that_failed_goes_to_another_endpoint_within_its_limit() {
    let mut attempts = Attempts::new(RequestKind::Idempotent, 2);
    let again = Next::Retry(reason::Retry::EndpointFailed);
    assert_eq!(
        attempts.record_failure(AttemptFailure::Failed, || true),
        again
    );
    let given_up = attempts.record_failure(AttemptFailure::Failed, || true);
    assert!(matches!(given_up, Next::GiveUp { .. }));
}

/// Callers that no host can serve at present are told to wait longer than those that another host
/// can serve, and for at most a third of their remaining time.
#[test]
fn retry_after_is_longer_when_no_host_can_serve() {
    let left = Duration::from_secs(3);
    let (mut elsewhere, mut nowhere) = (Duration::ZERO, Duration::MAX);
    for seed in 0..10_000 {
        let spread = seed * 7_919;
        let draining = retry_after(reason::Refusal::Draining, left, spread);
        let unreachable = retry_after(reason::Refusal::NoEndpoint, left, spread);
        elsewhere = elsewhere.max(draining);
        nowhere = nowhere.min(unreachable);
        assert!(unreachable <= left / 3);
    }
    assert!(elsewhere <= Duration::from_millis(400));
    assert!(nowhere >= Duration::from_millis(350));
}

#[test]
fn an_empty_budget_ends_the_attempts() {
    let mut attempts = Attempts::new(RequestKind::Idempotent, 2);
    let next = attempts.record_failure(AttemptFailure::Failed, || false);
    let expected = Next::GiveUp {
        reason: reason::Refusal::RetryBudget,
        outcome: outcome::Outcome::Run,
    };
    assert_eq!(next, expected);
}

proptest! {
    #![proptest_config(config())]

    /// An at-most-once request is never retried after it may have run, and is reported as "not
    /// run" only if every attempt was proved not to have run.
    #[test]
    fn at_most_once_holds(failures in collection::vec(any_failure(), 1..10)) {
        let mut attempts = Attempts::new(RequestKind::AtMostOnce, 9);
        let mut may_have_run = false;
        for failure in failures {
            let next = attempts.record_failure(failure, || true);
            may_have_run |= failure.outcome() != outcome::Outcome::NotRun;
            match next {
                Next::Retry(_) => prop_assert!(!may_have_run),
                Next::GiveUp { outcome, .. } => {
                    prop_assert!((outcome == outcome::Outcome::NotRun) != may_have_run);
                    break;
                }
            }
        }
    }

    /// No request reaches more endpoints than its route allows.
    #[test]
    fn attempts_that_reach_an_endpoint_are_bounded(
        failures in collection::vec(any_failure(), 1..20),
        max in 1_u32..4,
    ) {
        let mut attempts = Attempts::new(RequestKind::Idempotent, max);
        let mut reached = 0;
        for failure in failures {
            reached += u32::from(!matches!(
                failure,
                AttemptFailure::AtLimit | AttemptFailure::NotSent | AttemptFailure::EndpointReplaced
            ));
            prop_assert!(reached <= max);
            prop_assert!(attempts.count() < MAX_ATTEMPTS);
            if let Next::GiveUp { .. } = attempts.record_failure(failure, || true) {
                break;
            }
        }
    }

    /// The hosts' shares together stay within the fleet's budget in every window, whichever hosts
    /// receive the requests and however many retries they ask for.
    #[test]
    fn shares_sum_to_the_budget(
        steps in collection::vec((0_usize..4, 0_u64..400, 0_u32..4), 50..300),
    ) {
        let budget = FleetBudget {
            ratio: 0.2,
            extra: 20.0,
        };
        const WINDOW: Duration = Duration::from_secs(10);
        let mut shares = vec![Budget::new(budget.share(4)); 4];
        let mut now = time::Time::from_secs(50);
        let mut requests: Vec<time::Time> = Vec::new();
        let mut retries: Vec<time::Time> = Vec::new();
        for (host, pause, asks) in steps {
            now += Duration::from_millis(pause);
            shares[host].deposit();
            requests.push(now);
            for _ in 0..asks {
                if shares[host].withdraw(Charge::Budget) {
                    retries.push(now);
                }
            }
            let within = |times: &[time::Time]| {
                times.iter().filter(|at| now.since(**at) <= WINDOW).count() as f64
            };
            let allowed = budget.ratio * within(&requests) + budget.extra;
            prop_assert!(within(&retries) <= allowed);
        }
    }
}
