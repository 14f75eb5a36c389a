//! The action journal keeps its guarantees in every order of steps, and the search detects faulty
//! variants of the protocol.

use pistachiochute_measure::actions::{answers, model, schedules, scopes, search};

/// Limit on the states of a search, above what any of these searches needs.
const MAX_STATES: u64 = 1_000_000;

/// Returns the violations that searches of the small scopes find in a variant.
fn violations_of(variant: model::Variant) -> Vec<model::Violation> {
    let explore = |(_, scope): &(&str, model::Scope)| search::search(*scope, variant, MAX_STATES);
    let found = scopes::SMALL.iter().map(explore);
    found
        .filter_map(|result| result.counterexample)
        .map(|counterexample| counterexample.violation)
        .collect()
}

#[test]
fn every_step_order_keeps_the_guarantees() {
    for (name, scope) in scopes::SMALL {
        let result = search::search(*scope, model::Variant::Sound, MAX_STATES);
        println!("{name}: {} states, {} steps", result.states, result.steps);
        assert_eq!(result.counterexample, None, "{name}");
        assert!(!result.truncated, "{name}");
        assert_eq!(result.runs_per_key_max, 1, "{name}: the action never runs");
    }
}

#[test]
fn dispatch_before_confirmation_is_caught() {
    let violations = violations_of(model::Variant::DispatchBeforeConfirmation);
    assert!(violations.contains(&model::Violation::RanTwice));
}

#[test]
fn lost_swap_answer_treated_as_success_is_caught() {
    let violations = violations_of(model::Variant::LostAnswerIsSuccess);
    assert!(violations.contains(&model::Violation::RanTwice));
}

#[test]
fn retention_window_not_rechecked_after_confirmation_is_caught() {
    let violations = violations_of(model::Variant::ClockAtArrival);
    assert!(violations.contains(&model::Violation::RanTwice));
}

#[test]
fn shard_deletion_without_clock_skew_margin_is_caught() {
    let violations = violations_of(model::Variant::PruneWithoutSkew);
    assert!(violations.contains(&model::Violation::RanTwice));
}

#[test]
fn lost_connection_recorded_as_not_run_is_caught() {
    let violations = violations_of(model::Variant::LostConnectionIsNotRun);
    assert!(violations.contains(&model::Violation::FalseNotRun));
}

#[test]
fn random_schedules_keep_the_guarantees() {
    let tally = schedules::run(0..2_000, model::Variant::Sound);
    assert_eq!(tally.runs_per_key_max, 1);
    assert_eq!(tally.false_not_run, 0);
    assert_eq!(tally.wrong_answers, 0);
    assert!(tally.runs > 1_000, "{} runs", tally.runs);
}

#[test]
fn answers_over_a_faulty_network_are_complete_or_fail() {
    let tally = answers::run(5_000, 1);
    assert_eq!(tally.invalid, 0);
    assert!(
        tally.complete > 1_000 && tally.failed > 100 && tally.resumed > 100,
        "{tally:?}"
    );
}
