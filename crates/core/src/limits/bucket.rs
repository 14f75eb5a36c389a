//! Token bucket of one slice of an account's limits.

use std::time::Duration;

use crate::limits::{Amount, Authority, parameters};
use crate::{lists, time};

/// Billionths per unit.
const BILLION: i128 = parameters::BILLION as i128;

/// One slice of the limits of a plan. Rates and bursts are those of the whole plan and must be
/// divided by `slices`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SliceLimits {
    /// Requests per minute of the plan.
    pub(super) requests_per_minute: u64,
    /// Tokens per minute of the plan.
    pub(super) tokens_per_minute: u64,
    /// Request burst of the plan.
    pub(super) request_burst: u64,
    /// Token burst of the plan.
    pub(super) token_burst: u64,
    /// Slots for requests in flight of this slice.
    pub(super) slots: u64,
    /// Number of slices.
    pub(super) slices: u64,
}

impl SliceLimits {
    /// The slice with an index below `slices`. All slices together have the limits of the plan.
    pub(super) fn of(plan: &lists::Plan, slices: u8, index: u8) -> Self {
        let (slices, index) = (u64::from(slices), u64::from(index));
        let extra = u64::from(index < plan.in_flight.0 % slices);
        Self {
            requests_per_minute: plan.requests_per_minute.0,
            tokens_per_minute: plan.tokens_per_minute.0,
            request_burst: parameters::request_burst(plan.requests_per_minute).0,
            token_burst: parameters::token_burst(plan.tokens_per_minute, plan.longest_answer).0,
            slots: plan.in_flight.0 / slices + extra,
            slices,
        }
    }

    /// Whether the slice is too small for an amount even when it is full.
    pub(super) fn never_covers(&self, amount: Amount, quarters: u64) -> bool {
        let parts = self.slices * parameters::QUARTERS;
        amount.tokens.0 * parts > self.token_burst * quarters
    }

    /// Slots for requests in flight that may be granted.
    pub(super) fn slots(&self, now: time::Time, authority: &Authority) -> u64 {
        let authority = authority.for_slots();
        let floor = match self.slots {
            0 | 1 => 0,
            slots => (slots * parameters::FLOOR_QUARTERS / parameters::QUARTERS).max(1),
        };
        let mut granted = 0;
        if authority.floor.contains(now) {
            granted += floor;
        }
        if authority.elastic.contains(now) {
            granted += self.slots - floor;
        }
        granted
    }
}

/// Level of one token bucket, in billionths of a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BucketLevel {
    /// Credit that may be granted. Negative if a request used more than its estimate.
    billionths: i128,
}

impl BucketLevel {
    /// Adds the credit that a rate per minute yields. `span` is the time multiplied by the number
    /// of quarters in use, as [`Authority::quarter_time`] returns it. The caller caps the level
    /// afterwards.
    pub(super) fn refill(&mut self, rate: u64, span: Duration, slices: u64) {
        let accrued = parameters::accrued(rate, span) / u128::from(slices * parameters::QUARTERS);
        self.billionths += accrued as i128;
    }

    /// Caps the level at the burst, in whole units, minus the outstanding credit.
    pub(super) fn cap(&mut self, burst: u64, quarters: u64, slices: u64, outstanding: u64) {
        let bound = u128::from(burst) * u128::from(quarters) * parameters::BILLION;
        let bound = (bound / u128::from(slices * parameters::QUARTERS)) as i128;
        let outstanding = i128::from(outstanding) * BILLION;
        self.billionths = self.billionths.min(bound - outstanding);
    }

    /// Number of whole units that may be granted.
    pub(super) fn units(&self) -> u64 {
        u64::try_from(self.billionths / BILLION).unwrap_or(0)
    }

    /// Discards the remaining credit. A negative level stays.
    pub(super) fn forfeit(&mut self) {
        self.billionths = self.billionths.min(0);
    }

    pub(super) fn add(&mut self, units: u64) {
        self.billionths += i128::from(units) * BILLION;
    }

    pub(super) fn take(&mut self, units: u64) {
        self.billionths -= i128::from(units) * BILLION;
    }

    /// Time until the level reaches a number of units, at a rate in units per minute.
    pub(super) fn time_until(&self, units: u64, rate: u64, slices: u64, quarters: u64) -> Duration {
        let missing = i128::from(units) * BILLION - self.billionths;
        let missing = u128::try_from(missing).unwrap_or(0);
        let per_minute = u128::from(rate.max(1)) * u128::from(quarters.max(1));
        let parts = u128::from(slices * parameters::QUARTERS);
        let micros = missing * 60 * parts / (per_minute * 1_000);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
