//! The journal of actions holds its promises in every order of steps, and the search finds the
//! shortcuts that break them.

use pistachiochute_measure::actions::{answers, schedules, scopes, search, world};

/// More states than any of these searches reaches.
const MAX_STATES: u64 = 1_000_000;

/// Promises that a shortcut breaks in the small scopes.
fn broken_by(variant: world::Variant) -> Vec<world::Violation> {
    let explore = |(_, scope): &(&str, world::Scope)| search::search(*scope, variant, MAX_STATES);
    let found = scopes::SMALL.iter().map(explore);
    found
        .filter_map(|explored| explored.counterexample)
        .map(|counterexample| counterexample.violation)
        .collect()
}

#[test]
fn every_order_of_steps_keeps_the_promises() {
    for (name, scope) in scopes::SMALL {
        let explored = search::search(*scope, world::Variant::Sound, MAX_STATES);
        println!(
            "{name}: {} states, {} steps",
            explored.states, explored.steps
        );
        assert_eq!(explored.counterexample, None, "{name}");
        assert!(!explored.cut_short, "{name}");
        assert_eq!(
            explored.runs_per_key_max, 1,
            "{name}: the action never runs"
        );
    }
}

#[test]
fn dispatch_before_confirmation_is_caught() {
    let broken = broken_by(world::Variant::DispatchBeforeConfirmation);
    assert!(broken.contains(&world::Violation::RanTwice));
}

#[test]
fn a_lost_answer_taken_for_success_is_caught() {
    let broken = broken_by(world::Variant::LostAnswerIsSuccess);
    assert!(broken.contains(&world::Violation::RanTwice));
}

#[test]
fn a_window_checked_before_the_confirmation_is_caught() {
    let broken = broken_by(world::Variant::ClockOfArrival);
    assert!(broken.contains(&world::Violation::RanTwice));
}

#[test]
fn deletion_without_allowing_for_skew_is_caught() {
    let broken = broken_by(world::Variant::PruneWithoutSkew);
    assert!(broken.contains(&world::Violation::RanTwice));
}

#[test]
fn a_lost_dispatch_recorded_as_not_run_is_caught() {
    let broken = broken_by(world::Variant::LostDispatchIsNotRun);
    assert!(broken.contains(&world::Violation::FalseNotRun));
}

#[test]
fn random_schedules_keep_the_promises() {
    let tally = schedules::run(0..2_000, world::Variant::Sound);
    assert_eq!(tally.runs_per_key_max, 1);
    assert_eq!(tally.false_not_run, 0);
    assert_eq!(tally.wrong_answers, 0);
    assert!(tally.runs > 1_000, "{} runs", tally.runs);
}

#[test]
fn answers_over_a_faulty_network_are_whole_or_fail() {
    let tally = answers::run(5_000, 1);
    assert_eq!(tally.wrong, 0);
    assert!(
        tally.whole > 1_000 && tally.failed > 100 && tally.resumed > 100,
        "{tally:?}"
    );
}
