//! The check of endpoints that leave finds what it is for, and allows what is allowed.

use std::time::{Duration, Instant};

use pistachiochute_standins::platform::caller::Answer;

use crate::checks::{Disturbance, Disturbed, Ran, Seen, drain};
use crate::load::{Kind, Record};

const BEFORE: Duration = Duration::from_secs(60);

/// A request that was sent to a host and reached an endpoint at once, a time after that left.
fn reached(after: Duration) -> Seen {
    let left = Instant::now() + BEFORE;
    let at = left + after;
    let mut seen = Seen::default();
    seen.left.insert("e".to_owned(), left);
    seen.runs.push(Ran {
        id: "c".to_owned(),
        endpoint: "e".to_owned(),
        at,
    });
    seen.records.push(Record {
        id: "c".to_owned(),
        kind: Kind::Call,
        host: 0,
        key: 0,
        sent: at,
        ended: at,
        left: false,
        answer: Answer::default(),
    });
    seen
}

/// A fault of a host that ended a time before the request.
fn disturb(seen: &mut Seen, host: usize, before: Duration) {
    let until = seen.runs[0].at - before;
    seen.disturbed.push(Disturbed {
        host,
        from: until - Duration::from_secs(1),
        until,
        kind: Disturbance::Store,
    });
}

#[test]
fn requests_long_after_an_endpoint_left_are_broken() {
    let seconds = Duration::from_secs_f64;
    assert!(drain::check(&reached(seconds(1.9))).is_empty());
    let mut late = reached(seconds(2.1));
    assert_eq!(drain::check(&late).len(), 1);
    disturb(&mut late, 1, Duration::ZERO);
    disturb(&mut late, 0, seconds(3.1));
    assert_eq!(drain::check(&late).len(), 1);
    disturb(&mut late, 0, seconds(2.9));
    assert!(drain::check(&late).is_empty());
}
