//! A process that is paused between any two steps of a request does not act on a permission that has
//! run out.

use std::time::Duration;

use pistachiochute_core::liveness::Deadline;
use pistachiochute_core::time;
use proptest::prelude::*;

/// Steps before a request is sent: choice of an endpoint, the wait for a connection, the last check.
const STEPS: usize = 3;

proptest! {
    #[test]
    fn no_pause_lets_a_request_be_sent_late_or_with_more_time_than_is_left(
        timeout_ms in 1_u64..15_000,
        pauses_ms in prop::array::uniform3(0_u64..30_000),
    ) {
        let arrived = time::Time::from_secs(50);
        let deadline = Deadline::new(arrived, Duration::from_millis(timeout_ms));
        let mut now = arrived;
        for pause in pauses_ms.iter().take(STEPS) {
            now += Duration::from_millis(*pause);
        }
        match deadline.remaining(now) {
            Some(handed_on) => prop_assert!(now + handed_on <= deadline.at()),
            None => prop_assert!(now >= deadline.at()),
        }
    }
}

#[test]
fn deadline_that_is_reached_leaves_nothing() {
    let arrived = time::Time::from_secs(50);
    let deadline = Deadline::new(arrived, Duration::from_secs(1));
    assert_eq!(deadline.remaining(arrived + Duration::from_secs(1)), None);
    assert_eq!(deadline.remaining(arrived), Some(Duration::from_secs(1)));
}
