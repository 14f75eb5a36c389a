//! Controller of the share of a service's requests that may leave the domain.

use std::time::Duration;

use crate::choice::cost;
use crate::spill::balance;

/// Time constant of the smoothing of waits, above the age of load reports.
const SMOOTHING: Duration = Duration::from_millis(300);

/// Growth of the share for an excess of the whole wait, per second.
const INTEGRAL_PER_S: f64 = 0.5;

/// Part of the excess that may leave at once.
const PROPORTIONAL: f64 = 0.2;

/// Time for which nothing has gained from leaving, after which the constant price returns.
const HOLD: Duration = Duration::from_secs(1);

/// Share of the requests that may leave.
///
/// An integral of the excess settles where leaving gains no more than the constant price; the
/// proportional part answers sooner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Share {
    /// Smoothed excess of the own domain, from -1 to 1.
    excess: f64,
    /// Wait that the emptiest other domain saves, in milliseconds; smoothed for prompts.
    gain_ms: f64,
    /// From 0 to 1.
    integral: f64,
    /// Time until the constant price returns. Zero unless requests leave by share.
    held_for: Duration,
}

impl Share {
    /// Moves the share by the waits of a time step. Returns whether requests leave by share.
    pub(super) fn update(
        &mut self,
        balance: &balance::Balance,
        demand: cost::Demand,
        params: &cost::Parameters,
        step: Duration,
    ) -> bool {
        let price_ms = params.remote_ms;
        let weight = 1.0 - (-step.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        self.excess += weight * (balance.excess(price_ms) - self.excess);
        let gain_ms = balance
            .emptiest_ms()
            .map_or(0.0, |other_ms| balance.own_ms() - other_ms);
        // A long prompt lifts the wait while it is read. Calls are over before reports of them arrive:
        // smoothed, the swing of a herd would look like balance.
        let gain_weight = match demand {
            cost::Demand::Prompt => weight,
            cost::Demand::Call => 1.0,
        };
        self.gain_ms += gain_weight * (gain_ms - self.gain_ms);
        let gains = self.gain_ms > price_ms;
        self.held_for = match gains || self.integral > 0.0 && !self.held_for.is_zero() {
            true => HOLD,
            false => self.held_for.saturating_sub(step),
        };
        if self.held_for.is_zero() {
            self.integral = 0.0;
            return false;
        }
        let change = self.excess * INTEGRAL_PER_S * step.as_secs_f64();
        self.integral = (self.integral + change).clamp(0.0, 1.0);
        true
    }

    /// The share, from 0 to 1.
    pub(super) fn value(&self) -> f64 {
        (self.integral + PROPORTIONAL * self.excess).clamp(0.0, 1.0)
    }
}
