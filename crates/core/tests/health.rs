//! Ejection and readmission of endpoints.

use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::{entity, health, time};
use rand::{Rng as _, SeedableRng as _};

fn endpoint(index: usize) -> entity::EndpointId {
    entity::EndpointId::from_index(index)
}

fn new_health() -> health::Health {
    health::Health::new(health::Settings::default(), time::Time::ZERO)
}

/// Runs ten endpoints for three minutes and returns those that were ejected. `factor` is the factor
/// by which the latency of an endpoint is multiplied at a second.
fn ejected<F>(seed: u64, factor: F) -> Vec<usize>
where
    F: Fn(usize, u64) -> f64,
{
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut health = new_health();
    let mut out = Vec::new();
    for second in 0..180 {
        let now = time::Time::from_secs(second);
        for index in 0..10 {
            let noise = (rng.random::<f64>() * 2.0 - 1.0) * 0.3;
            let latency = Duration::from_secs_f64(0.026 * factor(index, second) * noise.exp());
            health.observe(
                now,
                endpoint(index),
                health::Observation::CompletedWithLatency { latency },
            );
        }
        let changes = health.tick(now);
        out.extend(
            changes
                .iter()
                .filter(|c| !c.usable)
                .map(|c| c.endpoint.index()),
        );
    }
    out
}

#[test]
fn a_surge_at_all_endpoints_ejects_none() {
    for seed in 0..10 {
        let surge = |_, second| {
            if (60..120).contains(&second) {
                4.0
            } else {
                1.0
            }
        };
        assert!(ejected(seed, surge).is_empty());
    }
}

#[test]
fn one_slow_endpoint_is_ejected_also_during_a_surge() {
    for seed in 0..10 {
        let factor = |index, second| {
            let surge = if (60..150).contains(&second) {
                3.0
            } else {
                1.0
            };
            let slow = if index == 4 && second >= 90 { 2.5 } else { 1.0 };
            surge * slow
        };
        let endpoints = ejected(seed, factor);
        assert!(
            !endpoints.is_empty() && endpoints.iter().all(|index| *index == 4),
            "{endpoints:?}"
        );
    }
}

#[test]
fn consecutive_failures_eject_an_endpoint_for_a_time_that_doubles() {
    let settings = health::Settings::default();
    let mut health = new_health();
    let mut now = time::Time::from_secs(1);
    let failed = health::Observation::ConnectFailed;
    assert_eq!(health.observe(now, endpoint(0), failed), None);
    let change = health.observe(now, endpoint(0), failed).expect("ejected");
    assert!(!change.usable && !health.is_usable(endpoint(0)));
    for duration in [
        settings.base_ejection,
        settings.base_ejection * 2,
        settings.base_ejection * 4,
    ] {
        assert!(
            health
                .tick(now + duration - Duration::from_millis(1))
                .is_empty()
        );
        now += duration;
        assert!(health.tick(now).iter().all(|change| change.usable));
        assert!(health.is_usable(endpoint(0)));
        let again = health.observe(now, endpoint(0), health::Observation::Stalled);
        assert!(again.is_some_and(|change| !change.usable));
    }
}

#[test]
fn an_answer_resets_the_failures_and_a_healthy_period_resets_the_ejections() {
    let settings = health::Settings::default();
    let mut health = new_health();
    let now = time::Time::from_secs(1);
    let completed = health::Observation::CompletedWithLatency {
        latency: Duration::from_millis(26),
    };
    health.observe(now, endpoint(0), health::Observation::Stalled);
    health.observe(now, endpoint(0), completed);
    assert_eq!(
        health.observe(now, endpoint(0), health::Observation::Stalled),
        None
    );
    assert!(
        health
            .observe(now, endpoint(0), health::Observation::Stalled)
            .is_some()
    );
    let readmitted = now + settings.base_ejection;
    assert_eq!(health.tick(readmitted).len(), 1);
    let recovered = readmitted + settings.max_ejection;
    health.tick(recovered);
    assert_eq!(
        health.observe(recovered, endpoint(0), health::Observation::Stalled),
        None
    );
}

/// Scenario `reuse-and-resets` of the grown deployment Bocage: a quarter of a pool stops answering
/// and its addresses are reassigned to other endpoints. The host detects this at the first request,
/// long before the entries of the old endpoints expire.
#[test]
fn an_endpoint_whose_address_was_reassigned_is_ejected_at_once_for_the_maximum_time() {
    let mut health = new_health();
    let longest = health::Settings::default().max_ejection;
    let now = time::Time::from_secs(100);
    let change = health.observe(now, endpoint(0), health::Observation::Replaced);
    assert!(change.is_some_and(|change| !change.usable));
    let almost = now + longest - Duration::from_millis(1);
    health.tick(almost);
    assert!(!health.is_usable(endpoint(0)));
    health.tick(now + longest);
    assert!(health.is_usable(endpoint(0)));
    let again = health.observe(
        now + longest,
        endpoint(0),
        health::Observation::ConnectFailed,
    );
    assert!(again.is_some());
}
