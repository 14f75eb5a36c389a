//! Completion rate and request costs of the owned endpoints, and the margin for stale views.

use std::time::Duration;

use crate::time;

/// Time constant of the exponential decay of the completion rate, in seconds.
const TIME_CONSTANT_S: f64 = 30.0;

/// Standard deviations of the random walk of a load that the margin covers.
const MARGIN_DEVIATIONS: f64 = 4.0;

/// Minimum completions per second and endpoint that the margin assumes, because a host that has
/// served few requests has no reliable rate.
const MIN_COMPLETIONS_PER_S: f64 = 0.25;

/// Minimum margin, in root mean square costs of a request.
const MIN_MARGIN_COSTS: f64 = 2.0;

/// Weight of a new cost in the exponentially weighted moving averages of the cost.
const COST_EWMA_WEIGHT: f64 = 0.02;

/// Completion rate and moving averages of the cost of requests at the owned endpoints.
#[derive(Clone, Debug, Default)]
pub struct CompletionStats {
    /// Completions per second over all owned endpoints, decayed to `updated_at`.
    completions_per_s: f64,
    updated_at: time::Time,
    /// Moving average of the cost of a request, or zero before the first.
    mean_cost: f64,
    /// Moving average of the squared cost.
    mean_squared_cost: f64,
}

impl CompletionStats {
    /// Records a completed request.
    pub fn record_completion(&mut self, now: time::Time) {
        self.completions_per_s = self.completions_per_s(now) + 1.0 / TIME_CONSTANT_S;
        self.updated_at = now;
    }

    /// Records the cost of an admitted request.
    pub fn record_admission(&mut self, cost: u64) {
        let cost = cost as f64;
        let gain = if self.mean_cost == 0.0 {
            1.0
        } else {
            COST_EWMA_WEIGHT
        };
        self.mean_cost += gain * (cost - self.mean_cost);
        self.mean_squared_cost += gain * (cost * cost - self.mean_squared_cost);
    }

    /// Completions per second over all owned endpoints.
    #[must_use]
    pub fn completions_per_s(&self, now: time::Time) -> f64 {
        let idle = now.since(self.updated_at).as_secs_f64();
        self.completions_per_s * (-idle / TIME_CONSTANT_S).exp()
    }

    /// Average cost of a request, or zero before the first.
    #[must_use]
    pub fn mean_cost(&self) -> f64 {
        self.mean_cost
    }

    /// Cost of one large request: [`MIN_MARGIN_COSTS`] root mean square costs.
    #[must_use]
    pub fn large_cost(&self) -> f64 {
        MIN_MARGIN_COSTS * self.mean_squared_cost.sqrt()
    }

    /// Expected time until an endpoint has completed `work`, or `None` before the first
    /// completion. The completion rate is divided evenly among `owned` endpoints.
    #[must_use]
    pub fn time_to_complete(&self, work: f64, owned: usize, now: time::Time) -> Option<Duration> {
        let work_per_s = self.completions_per_s(now) * self.mean_cost / owned.max(1) as f64;
        let seconds = work / work_per_s;
        (seconds.is_finite() && seconds < f64::from(u32::MAX))
            .then(|| Duration::from_secs_f64(seconds.max(0.0)))
    }

    /// Work by which the loads in a set of views may have fallen since they were taken.
    ///
    /// `staleness_s` is the sum of the staleness of the views, in seconds. Arrivals and completions
    /// are assumed to balance over that time, so the loads follow a random walk with as many
    /// arrivals as completions. Even the most recent views may miss the end of a large request, so
    /// the margin is at least [`MIN_MARGIN_COSTS`].
    #[must_use]
    pub fn staleness_margin(&self, staleness_s: f64, owned: usize, now: time::Time) -> f64 {
        let rate = self.completions_per_s(now) / owned.max(1) as f64;
        let completions = rate.max(MIN_COMPLETIONS_PER_S) * staleness_s;
        let steps = MARGIN_DEVIATIONS * (2.0 * completions).sqrt();
        self.mean_squared_cost.sqrt() * steps.max(MIN_MARGIN_COSTS)
    }
}
