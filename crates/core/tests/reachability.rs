//! A host of a large fleet in a failure domain that is cut off: it has a few requests a second, and four
//! fifths of the endpoints are behind the cut.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::health::reachability::Reachability;
use pistachiochute_core::{entity, time};

const DOMAINS: u32 = 5;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn id(number: u32) -> entity::EndpointId {
    entity::EndpointId::new(number).expect("a small number")
}

fn domain(number: u32) -> Arc<str> {
    format!("dom-{number}").into()
}

fn at(ms: u64) -> time::Time {
    time::Time::from_secs(100) + Duration::from_millis(ms)
}

/// Endpoint and domain that a request would go to if all were alike.
fn target(request: u32) -> (entity::EndpointId, Arc<str>) {
    let number = request.wrapping_mul(2_654_435_761) >> 8;
    (id(number % 160), domain(number % DOMAINS))
}

/// Requests that wait for a connection across the cut, of those that a host in the domain `dom-0` sends
/// during a cut of 5 s, a request every 200 ms.
fn wasted(reachability: &mut Reachability) -> usize {
    let mut wasted = 0;
    let mut pending: Vec<(time::Time, entity::EndpointId, Arc<str>)> = Vec::new();
    for request in 0..25_u32 {
        let now = at(u64::from(request) * 200);
        pending.retain(|(ends_at, endpoint, domain)| {
            let is_over = *ends_at <= now;
            if is_over {
                reachability.record_timeout(*endpoint, domain, *ends_at);
            }
            !is_over
        });
        let (endpoint, to) = target(request);
        if *to == *domain(0) || reachability.is_unreachable(&to, now) {
            continue;
        }
        wasted += 1;
        pending.push((now + CONNECT_TIMEOUT, endpoint, to));
    }
    wasted
}

#[test]
fn host_that_is_cut_off_stops_waiting_for_other_domains() {
    let wasted = wasted(&mut Reachability::default());
    // Three show the cut, two more begin before the third has failed, and one a second tries again.
    assert!(wasted <= 10, "{wasted} of 25");
}

#[test]
fn one_domain_that_is_cut_off_does_not_hide_the_others() {
    let mut reachability = Reachability::default();
    for (i, endpoint) in [3, 8, 13, 18].into_iter().enumerate() {
        let now = at(i as u64 * 300);
        reachability.record_answer(&domain(1), now);
        reachability.record_timeout(id(endpoint), &domain(3), now + CONNECT_TIMEOUT);
    }
    let now = at(1_200);
    assert!(reachability.is_unreachable(&domain(3), now));
    assert!(!reachability.is_unreachable(&domain(1), now));
    assert!(!reachability.is_unreachable(&domain(2), now));
}

#[test]
fn one_silent_endpoint_says_nothing_of_its_domain() {
    let mut reachability = Reachability::default();
    for i in 0..20 {
        reachability.record_timeout(id(7), &domain(2), at(i * 100));
        assert!(!reachability.is_unreachable(&domain(2), at(i * 100)));
    }
}

#[test]
fn silent_endpoints_among_answering_ones_hide_no_domain() {
    let mut reachability = Reachability::default();
    for i in 0..20_u32 {
        let now = at(u64::from(i) * 100);
        reachability.record_timeout(id(i), &domain(i % DOMAINS), now);
        reachability.record_answer(&domain(i % DOMAINS), now);
        for other in 0..DOMAINS {
            assert!(!reachability.is_unreachable(&domain(other), now));
        }
    }
}

#[test]
fn domain_is_tried_again_and_used_once_it_answers() {
    let mut reachability = Reachability::default();
    reachability.record_timeout(id(1), &domain(1), at(0));
    reachability.record_timeout(id(2), &domain(1), at(10));
    assert!(reachability.is_unreachable(&domain(1), at(900)));
    assert!(!reachability.is_unreachable(&domain(1), at(1_100)));
    reachability.record_timeout(id(3), &domain(1), at(1_400));
    assert!(reachability.is_unreachable(&domain(1), at(2_000)));
    reachability.record_answer(&domain(1), at(2_500));
    assert!(!reachability.is_unreachable(&domain(1), at(2_500)));
    reachability.record_timeout(id(4), &domain(1), at(2_600));
    assert!(!reachability.is_unreachable(&domain(1), at(2_700)));
}

#[test]
fn old_timeouts_do_not_count() {
    let mut reachability = Reachability::default();
    reachability.record_timeout(id(1), &domain(1), at(0));
    reachability.record_timeout(id(2), &domain(1), at(10_000));
    assert!(!reachability.is_unreachable(&domain(1), at(10_000)));
}
