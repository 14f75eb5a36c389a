//! Endpoints that leave and return during a trace.

use std::time::Duration;

use pistachiochute_core::time;
use rand::{Rng as _, SeedableRng as _};

use crate::traces;

/// Share of the endpoints that leave each minute.
const LEAVING_A_MINUTE: f64 = 1.0 / 20.0;

/// Time for which an endpoint is away.
const AWAY: Duration = Duration::from_secs(60);

/// Time for which an endpoint that leaves as planned finishes its work and can be imported from.
pub const DRAIN: Duration = Duration::from_secs(40);

/// Time until every host knows that an endpoint leaves or is gone.
pub const NOTICE: Duration = Duration::from_secs(1);

/// An endpoint that leaves and returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Departure {
    /// Number of the endpoint.
    pub endpoint: usize,
    /// When it takes no new work, or fails.
    pub at: time::Time,
    /// Whether it finishes its work first.
    pub planned: bool,
    /// When it returns, with an empty cache.
    pub back: time::Time,
}

/// Departures over a trace, in the order of time. Every other one is planned.
#[must_use]
pub fn departures(deployment: &traces::Deployment) -> Vec<Departure> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(deployment.seed ^ 0x6368_7572_6e00);
    let gap_s = 60.0 / (deployment.endpoints as f64 * LEAVING_A_MINUTE);
    let mut away_until = vec![time::Time::ZERO; deployment.endpoints];
    let mut departures = Vec::new();
    let count = (deployment.length_s / gap_s) as usize;
    for number in 1..count {
        let at = time::Time::ZERO + Duration::from_secs_f64(gap_s * number as f64);
        let endpoint = rng.random_range(0..deployment.endpoints);
        if away_until[endpoint] > at {
            continue;
        }
        let back = at + AWAY;
        away_until[endpoint] = back + NOTICE;
        let planned = number % 2 == 0;
        departures.push(Departure {
            endpoint,
            at,
            planned,
            back,
        });
    }
    departures
}
