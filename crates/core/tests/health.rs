//! Endpoints that are taken out and return.

use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::{entity, health, time};
use rand::{Rng as _, SeedableRng as _};

fn endpoint(index: usize) -> entity::EndpointId {
    entity::EndpointId::from_index(index)
}

fn fresh() -> health::Health {
    health::Health::new(health::Settings::default(), time::Time::ZERO)
}

/// Runs ten endpoints for three minutes and returns those that were taken out. `factor` gives the
/// slowness of an endpoint at a second.
fn taken_out<F>(seed: u64, factor: F) -> Vec<usize>
where
    F: Fn(usize, u64) -> f64,
{
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut health = fresh();
    let mut out = Vec::new();
    for second in 0..180 {
        let now = time::Time::from_secs(second);
        for index in 0..10 {
            let noise = (rng.random::<f64>() * 2.0 - 1.0) * 0.3;
            let latency = Duration::from_secs_f64(0.026 * factor(index, second) * noise.exp());
            health.sign(now, endpoint(index), health::Sign::Answered { latency });
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
fn a_surge_of_all_endpoints_takes_none_out() {
    for seed in 0..10 {
        let surge = |_, second| {
            if (60..120).contains(&second) {
                4.0
            } else {
                1.0
            }
        };
        assert!(taken_out(seed, surge).is_empty());
    }
}

#[test]
fn one_slow_endpoint_is_taken_out_also_during_a_surge() {
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
        let out = taken_out(seed, factor);
        assert!(
            !out.is_empty() && out.iter().all(|index| *index == 4),
            "{out:?}"
        );
    }
}

#[test]
fn failures_in_a_row_take_an_endpoint_out_for_a_hold_that_doubles() {
    let settings = health::Settings::default();
    let mut health = fresh();
    let mut now = time::Time::from_secs(1);
    let failed = health::Sign::ConnectFailed;
    assert_eq!(health.sign(now, endpoint(0), failed), None);
    let change = health.sign(now, endpoint(0), failed).expect("taken out");
    assert!(!change.usable && !health.is_usable(endpoint(0)));
    for hold in [settings.hold, settings.hold * 2, settings.hold * 4] {
        assert!(
            health
                .tick(now + hold - Duration::from_millis(1))
                .is_empty()
        );
        now += hold;
        assert!(health.tick(now).iter().all(|change| change.usable));
        assert!(health.is_usable(endpoint(0)));
        let again = health.sign(now, endpoint(0), health::Sign::Stalled);
        assert!(again.is_some_and(|change| !change.usable));
    }
}

#[test]
fn an_answer_clears_failures_and_a_steady_time_clears_the_holds() {
    let settings = health::Settings::default();
    let mut health = fresh();
    let now = time::Time::from_secs(1);
    let answered = health::Sign::Answered {
        latency: Duration::from_millis(26),
    };
    health.sign(now, endpoint(0), health::Sign::Stalled);
    health.sign(now, endpoint(0), answered);
    assert_eq!(health.sign(now, endpoint(0), health::Sign::Stalled), None);
    assert!(
        health
            .sign(now, endpoint(0), health::Sign::Stalled)
            .is_some()
    );
    let back = now + settings.hold;
    assert_eq!(health.tick(back).len(), 1);
    let steady = back + settings.longest_hold;
    health.tick(steady);
    assert_eq!(
        health.sign(steady, endpoint(0), health::Sign::Stalled),
        None
    );
}

/// `reuse-and-resets` of grown Bocage: a quarter of a pool falls silent and its addresses go to other
/// endpoints. The host learns it from the first request, long before their entries go.
#[test]
fn an_endpoint_whose_address_went_to_another_is_out_at_once_and_for_long() {
    let mut health = fresh();
    let longest = health::Settings::default().longest_hold;
    let now = time::Time::from_secs(100);
    let change = health.sign(now, endpoint(0), health::Sign::Replaced);
    assert!(change.is_some_and(|change| !change.usable));
    let almost = now + longest - Duration::from_millis(1);
    health.tick(almost);
    assert!(!health.is_usable(endpoint(0)));
    health.tick(now + longest);
    assert!(health.is_usable(endpoint(0)));
    let again = health.sign(now + longest, endpoint(0), health::Sign::ConnectFailed);
    assert!(again.is_some());
}
