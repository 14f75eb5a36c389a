//! Silent links and stalled answers are detected within their deadlines.

use std::time::Duration;

use pistachiochute_core::{liveness, time};

fn secs(secs: u64) -> time::Time {
    time::Time::from_secs(secs)
}

#[test]
fn a_silent_link_in_use_is_closed_within_two_deadlines() {
    let mut link = liveness::Link::new(liveness::LinkConfig::default(), secs(0));
    link.stream_opened(secs(10));
    assert_eq!(link.check(secs(10)), liveness::Check::Wait(Some(secs(11))));
    assert_eq!(link.check(secs(11)), liveness::Check::Ping(secs(12)));
    assert_eq!(link.check(secs(11)), liveness::Check::Wait(Some(secs(12))));
    assert_eq!(link.check(secs(12)), liveness::Check::Silent);
}

#[test]
fn any_received_data_keeps_the_link_open() {
    let mut link = liveness::Link::new(liveness::LinkConfig::default(), secs(0));
    link.stream_opened(secs(0));
    assert_eq!(link.check(secs(1)), liveness::Check::Ping(secs(2)));
    link.record_received(secs(1) + Duration::from_millis(900));
    let due = secs(2) + Duration::from_millis(900);
    assert_eq!(link.check(secs(2)), liveness::Check::Wait(Some(due)));
}

#[test]
fn an_idle_link_is_not_pinged_and_not_trusted_for_long() {
    let mut link = liveness::Link::new(liveness::LinkConfig::default(), secs(0));
    link.stream_opened(secs(0));
    link.stream_closed();
    assert_eq!(link.check(secs(60)), liveness::Check::Wait(None));
    assert!(link.is_trusted(secs(2)));
    assert!(!link.is_trusted(secs(60)));
}

#[test]
fn an_answer_stalls_between_chunks() {
    let cfg = liveness::StallConfig::default();
    let mut stall = liveness::StallDeadline::new(cfg, secs(0));
    assert!(!stall.is_stalled(secs(29)));
    stall.record_progress(secs(29));
    assert_eq!(stall.deadline(), secs(39));
    assert!(stall.is_stalled(secs(39)));
}
