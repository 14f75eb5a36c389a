//! Work that callers may make the one thread of a host do that serves them all.
//!
//! A unit is a piece of a body or an event of a stream: each costs the thread time, however short it is. What
//! a caller needs in the ordinary course is its [`Share`], and free. What is beyond comes out of the one
//! [`Allowance`] of the host, so that a crowd leaves the thread time for all others.

use std::time::Duration;

use crate::time;
use crate::units::WorkUnits;

/// Units at a rate, of which some may be taken ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time in which one unit comes back. Never zero.
    pub unit_time: Duration,
    /// Units that may be taken at once.
    pub at_once: WorkUnits,
}

impl Pace {
    /// Time in which units come back.
    const fn time_of(&self, work: WorkUnits) -> Duration {
        let micros = self.unit_time.as_micros() as u64;
        Duration::from_micros(micros.saturating_mul(work.0))
    }
}

/// Allowance of a host for the work of all callers beyond their shares.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    pace: Pace,
    /// When all that was taken has come back.
    whole_at: time::Time,
}

impl Allowance {
    /// An allowance of which nothing is taken.
    #[must_use]
    pub const fn new(pace: Pace) -> Self {
        Self {
            pace,
            whole_at: time::Time::ZERO,
        }
    }

    /// Takes units. Returns the time for which their work has to wait. Those that ask wait in the order
    /// in which they ask, and none is woken before it is due.
    pub fn take(&mut self, work: WorkUnits, now: time::Time) -> Duration {
        let whole_at = self.whole_at.max(now) + self.pace.time_of(work);
        self.whole_at = whole_at;
        let ahead = self.pace.time_of(self.pace.at_once);
        whole_at.since(now).saturating_sub(ahead)
    }
}

/// Work of one body or stream that is free.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    pace: Pace,
    whole_at: time::Time,
}

impl Share {
    /// A share of which nothing is taken.
    #[must_use]
    pub const fn new(pace: Pace) -> Self {
        Self {
            pace,
            whole_at: time::Time::ZERO,
        }
    }

    /// Takes units, as far as the share goes. Returns those that are beyond it.
    pub fn take(&mut self, work: WorkUnits, now: time::Time) -> WorkUnits {
        let taken = self.whole_at.max(now);
        let left = self
            .pace
            .time_of(self.pace.at_once)
            .saturating_sub(taken.since(now));
        let free = WorkUnits((left.as_micros() / self.pace.unit_time.as_micros().max(1)) as u64);
        let free = free.min(work);
        self.whole_at = taken + self.pace.time_of(free);
        work - free
    }
}
