//! Pace at which a host sends requests to an endpoint that names a limit.

use std::time::Duration;

use crate::rate_limits::RequestRate;
use crate::time;

/// Part of the interval between two requests by which one may come early to make up for a late one,
/// so that a share is used although requests come at random times.
const CATCH_UP: f64 = 0.5;

/// Sends at most at a rate, one request after the other.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    rate: RequestRate,
    /// When the next request may be sent.
    next_at: time::Time,
}

impl Pacer {
    /// A pacer whose first request may be sent within one interval. `seed` decides when, so that
    /// hosts that begin together do not send together.
    #[must_use]
    pub fn new(rate: RequestRate, seed: u64, now: time::Time) -> Self {
        let interval = rate.interval().as_micros() as u64;
        let delay = Duration::from_micros(seed % interval.max(1));
        Self {
            rate,
            next_at: now + delay,
        }
    }

    /// Changes the rate. What was sent before still counts.
    pub fn set_rate(&mut self, rate: RequestRate, now: time::Time) {
        self.rate = rate;
        self.next_at = self.next_at.min(now + rate.interval());
    }

    /// The rate.
    #[must_use]
    pub const fn rate(&self) -> RequestRate {
        self.rate
    }

    /// When the next request may be sent.
    #[must_use]
    pub const fn opens_at(&self) -> time::Time {
        self.next_at
    }

    /// Counts a request that is sent now.
    pub fn record_sent(&mut self, now: time::Time) {
        let interval = self.rate.interval();
        let earliest = now - interval.mul_f64(CATCH_UP);
        self.next_at = self.next_at.max(earliest) + interval;
    }
}
