//! Up to when a host knows the endpoints: never later than what an answer shows.

use std::time::Duration;

use pistachiochute_core::directory::KnownUpTo;
use pistachiochute_core::time::Time;

const ASKED: Time = Time::from_secs(100);

const WAIT: Duration = Duration::from_millis(750);

/// Members counted as current by the time at which a message arrived, however long it had waited on its way.
#[test]
fn what_a_host_states_is_counted_from_the_question() {
    let known = KnownUpTo::by_host(ASKED, Duration::from_millis(300));
    assert_eq!(known.at(), ASKED - Duration::from_millis(300));
    let late = ASKED + Duration::from_secs(5);
    assert_eq!(known.age(late), Duration::from_millis(5_300));
}

#[test]
fn watch_that_was_held_shows_the_time_for_which_it_was() {
    let late = ASKED + Duration::from_secs(5);
    let held = KnownUpTo::by_held_watch(ASKED, WAIT, late);
    assert_eq!(held.at(), ASKED + WAIT, "not the time of the answer");
}

/// An answer without a change that comes too soon was not held.
#[test]
fn watch_that_was_not_held_shows_the_time_of_the_call() {
    let soon = ASKED + WAIT - Duration::from_millis(1);
    assert_eq!(KnownUpTo::by_held_watch(ASKED, WAIT, soon).at(), ASKED);
    assert_eq!(KnownUpTo::by_store(ASKED).at(), ASKED);
}

#[test]
fn newest_knowledge_counts() {
    let old = KnownUpTo::by_store(ASKED);
    let new = KnownUpTo::by_host(ASKED + WAIT, Duration::ZERO);
    assert_eq!(old.max(new), new);
    assert!(KnownUpTo::default() < old);
}
