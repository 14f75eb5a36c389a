//! Rate at which an endpoint drains its queue.

use std::time::Duration;

use crate::{time, units};

/// Span over which the rate is measured, in microseconds. Older measurements count half.
const WINDOW_MICROS: u64 = 8_000_000;

/// Work served a second while work was queued.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRate {
    /// Work served in the window.
    served: units::Tokens,
    /// Time in the window during which work was queued, in microseconds.
    busy_micros: u64,
    /// Time up to which the window counts, or `None` while nothing is queued.
    measured_until: Option<time::Time>,
}

impl DrainRate {
    /// Notes that the queue has work from now on.
    pub(super) fn start(&mut self, now: time::Time) {
        self.measured_until.get_or_insert(now);
    }

    /// Notes that work was served, and whether more is queued.
    pub(super) fn serve(&mut self, now: time::Time, work: units::Tokens, more: bool) {
        self.busy_micros += self.unmeasured_micros(now);
        self.served += work;
        self.measured_until = more.then_some(now);
        if self.busy_micros > WINDOW_MICROS {
            self.busy_micros /= 2;
            self.served = units::Tokens(self.served.0 / 2);
        }
    }

    /// Notes that the queue was emptied without service.
    pub(super) fn stop(&mut self) {
        self.measured_until = None;
    }

    /// Expected time to serve the work, or zero while no rate is known.
    pub(super) fn time_for(&self, now: time::Time, work: units::Tokens) -> Duration {
        if self.served == units::Tokens::ZERO {
            return Duration::ZERO;
        }
        let busy = u128::from(self.busy_micros + self.unmeasured_micros(now));
        let micros = u128::from(work.0) * busy / u128::from(self.served.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Time with queued work that no service has closed yet, in microseconds.
    fn unmeasured_micros(&self, now: time::Time) -> u64 {
        self.measured_until
            .map_or(0, |from| now.since(from).as_micros() as u64)
    }
}
