//! When a host knows that it reaches no endpoint of a service.

use std::time::Duration;

use pistachiochute_core::entity::EndpointId;
use pistachiochute_core::health::isolation::{Change, Isolation};
use pistachiochute_core::time::Time;

const ENDPOINTS: usize = 18;

/// Time in which a probe fails that nothing answers.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

fn id(number: u32) -> EndpointId {
    EndpointId::new(number).expect("a small number")
}

fn at(ms: u64) -> Time {
    Time::from_secs(100) + Duration::from_millis(ms)
}

fn isolated() -> Isolation {
    let mut isolation = Isolation::default();
    isolation.record_failure(id(1), ENDPOINTS, at(0));
    isolation.record_failure(id(2), ENDPOINTS, at(0));
    for round in 0..2 {
        assert!(isolation.begin_probes(at(250 * round)));
        isolation.end_probes(false, at(250 * (round + 1)));
    }
    isolation
}

/// Guards against RECOVER: a host with two requests a second that learns for seconds that it reaches no
/// endpoint.
#[test]
fn host_with_few_requests_knows_within_three_seconds() {
    let mut isolation = Isolation::default();
    let mut probes: Option<Time> = None;
    for ms in (0..3_000).step_by(10) {
        let now = at(ms);
        // Each request tries an endpoint for 250 ms.
        if ms % 500 == 250 {
            isolation.record_failure(id(ms as u32), ENDPOINTS, now);
        }
        if probes.is_some_and(|begun| now.since(begun) >= PROBE_TIMEOUT) {
            probes = None;
            if isolation.end_probes(false, now) == Some(Change::Isolated) {
                assert!(ms <= 1_500, "after {ms} ms");
                return;
            }
        }
        if isolation.begin_probes(now) {
            probes = Some(now);
        }
    }
    panic!("not known after 3 s");
}

#[test]
fn failures_between_answers_lead_to_no_probe() {
    let mut isolation = Isolation::default();
    for number in 0..100 {
        isolation.record_failure(id(number), ENDPOINTS, at(u64::from(number) * 10));
        isolation.record_answer();
        assert!(!isolation.begin_probes(at(u64::from(number) * 10)));
    }
}

#[test]
fn one_endpoint_that_fails_again_and_again_leads_to_no_probe() {
    let mut isolation = Isolation::default();
    for ms in 0..20 {
        isolation.record_failure(id(1), ENDPOINTS, at(ms * 100));
    }
    assert!(!isolation.begin_probes(at(2_000)));
}

#[test]
fn only_endpoint_of_a_service_is_probed_after_its_first_failure() {
    let mut isolation = Isolation::default();
    isolation.record_failure(id(1), 1, at(0));
    assert!(isolation.begin_probes(at(0)));
}

#[test]
fn one_round_of_probes_is_under_way_at_a_time() {
    let mut isolation = Isolation::default();
    isolation.record_failure(id(1), ENDPOINTS, at(0));
    isolation.record_failure(id(2), ENDPOINTS, at(0));
    assert!(isolation.begin_probes(at(0)));
    assert!(!isolation.begin_probes(at(100)));
}

/// Guards against endpoints that are slow to answer and get a connection for each failure.
#[test]
fn connection_ends_the_suspicion_and_defers_the_next() {
    let mut isolation = Isolation::default();
    isolation.record_failure(id(1), ENDPOINTS, at(0));
    isolation.record_failure(id(2), ENDPOINTS, at(0));
    assert!(isolation.begin_probes(at(0)));
    assert_eq!(isolation.end_probes(true, at(5)), None);
    for number in 3..90 {
        isolation.record_failure(id(number), ENDPOINTS, at(u64::from(number) * 10));
        assert!(!isolation.begin_probes(at(u64::from(number) * 10)));
    }
    isolation.record_failure(id(1), ENDPOINTS, at(1_100));
    assert!(isolation.begin_probes(at(1_100)));
}

/// Guards against answers on connections that live on, which show nothing of new ones.
#[test]
fn only_a_connection_ends_the_isolation() {
    let mut isolation = isolated();
    assert!(isolation.is_isolated());
    isolation.record_answer();
    assert!(isolation.is_isolated());
    assert!(!isolation.begin_probes(at(600)));
    assert!(isolation.begin_probes(at(750)));
    assert_eq!(isolation.end_probes(false, at(1_000)), None);
    assert_eq!(
        isolation.record_connection(at(1_100)),
        Some(Change::Reached)
    );
    assert!(!isolation.is_isolated());
}

#[test]
fn probes_that_end_after_a_connection_was_made_change_nothing() {
    let mut isolation = isolated();
    assert!(isolation.begin_probes(at(750)));
    isolation.record_connection(at(800));
    assert_eq!(isolation.end_probes(false, at(1_000)), None);
    assert!(!isolation.is_isolated());
}
