//! Rate at which an endpoint drains its queue.

use std::time::Duration;

use crate::{time, units};

/// Measured time after which all measurements are halved, in microseconds, so that older ones
/// lose weight.
const WINDOW_MICROS: u64 = 8_000_000;

/// Work served per second of the time during which work was queued.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRate {
    /// Work served, halved together with `busy_micros`.
    served: units::Tokens,
    /// Time during which work was queued, in microseconds.
    busy_micros: u64,
    /// Time up to which `busy_micros` is measured, or `None` while nothing is queued.
    measured_until: Option<time::Time>,
}

impl DrainRate {
    /// Starts the measurement if the queue was empty.
    pub(super) fn start(&mut self, now: time::Time) {
        self.measured_until.get_or_insert(now);
    }

    /// Records that work was served. `more` is whether work is still queued.
    pub(super) fn serve(&mut self, now: time::Time, work: units::Tokens, more: bool) {
        self.busy_micros += self.unmeasured_micros(now);
        self.served += work;
        self.measured_until = more.then_some(now);
        if self.busy_micros > WINDOW_MICROS {
            self.busy_micros /= 2;
            self.served = units::Tokens(self.served.0 / 2);
        }
    }

    /// Stops the measurement because the queue was emptied without service.
    pub(super) fn stop(&mut self) {
        self.measured_until = None;
    }

    /// Expected time to serve `work`, or zero until some work has been served.
    pub(super) fn time_for(&self, now: time::Time, work: units::Tokens) -> Duration {
        if self.served == units::Tokens::ZERO {
            return Duration::ZERO;
        }
        let busy = u128::from(self.busy_micros + self.unmeasured_micros(now));
        let micros = u128::from(work.0) * busy / u128::from(self.served.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Time with queued work since the last service, in microseconds. It counts in an estimate, so
    /// that the rate falls while an endpoint stalls.
    fn unmeasured_micros(&self, now: time::Time) -> u64 {
        self.measured_until
            .map_or(0, |from| now.since(from).as_micros() as u64)
    }
}
