//! Rate at which endpoints complete work, and the margin for completions not yet seen.

use std::time::Duration;

use crate::time;

/// Time constant of the averages, in seconds.
const TIME_CONSTANT_S: f64 = 30.0;

/// Deviations of the random walk of a load that the margin covers.
const DEVIATIONS: f64 = 4.0;

/// Completions a second that an endpoint is taken to have at least. A host that has served little
/// knows no better.
const LEAST_RATE: f64 = 0.25;

/// Smallest margin, in root mean square costs of a request.
const LEAST_STEPS: f64 = 2.0;

/// Share of each new cost in the average cost.
const COST_GAIN: f64 = 0.02;

/// Averages over the requests of the owned endpoints.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    /// Completions a second over all owned endpoints, decayed to `at`.
    rate: f64,
    at: time::Time,
    /// Average cost of a request, or zero before the first.
    cost: f64,
    /// Average of the squared costs.
    cost_squared: f64,
}

impl Drain {
    /// Counts a completed request.
    pub fn complete(&mut self, now: time::Time) {
        self.rate = self.rate(now) + 1.0 / TIME_CONSTANT_S;
        self.at = now;
    }

    /// Counts the cost of an admitted request.
    pub fn admit(&mut self, cost: u64) {
        let cost = cost as f64;
        let gain = if self.cost == 0.0 { 1.0 } else { COST_GAIN };
        self.cost += gain * (cost - self.cost);
        self.cost_squared += gain * (cost * cost - self.cost_squared);
    }

    /// Completions a second over all owned endpoints.
    #[must_use]
    pub fn rate(&self, now: time::Time) -> f64 {
        let idle = now.since(self.at).as_secs_f64();
        self.rate * (-idle / TIME_CONSTANT_S).exp()
    }

    /// Average cost of a request, or zero before the first.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Cost of one large request: [`LEAST_STEPS`] root mean square costs.
    #[must_use]
    pub fn large_cost(&self) -> f64 {
        LEAST_STEPS * self.cost_squared.sqrt()
    }

    /// Expected time until an endpoint has completed `work`, or `None` before the first
    /// completion. `owned` endpoints share the rate.
    #[must_use]
    pub fn time_to_complete(&self, work: f64, owned: usize, now: time::Time) -> Option<Duration> {
        let work_per_s = self.rate(now) * self.cost / owned.max(1) as f64;
        let seconds = work / work_per_s;
        (seconds.is_finite() && seconds < f64::from(u32::MAX))
            .then(|| Duration::from_secs_f64(seconds.max(0.0)))
    }

    /// Work by which the loads in a set of views may have fallen since they were taken.
    ///
    /// `ages_s` is the sum of the ages of the views, in seconds. Arrivals and completions are
    /// taken as balanced over that time, so the loads move as a random walk of as many arrivals
    /// as completions. Even the freshest views may miss the end of one large request, so
    /// the margin is at least [`LEAST_STEPS`].
    #[must_use]
    pub fn margin(&self, ages_s: f64, owned: usize, now: time::Time) -> f64 {
        let rate = self.rate(now) / owned.max(1) as f64;
        let completions = rate.max(LEAST_RATE) * ages_s;
        let steps = DEVIATIONS * (2.0 * completions).sqrt();
        self.cost_squared.sqrt() * steps.max(LEAST_STEPS)
    }
}
