//! How far a peer is behind the least rate at which it has to send or read.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use crate::time;

/// A rate, in bytes per second. Never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(u32);

impl Rate {
    /// A rate of at least one byte per second.
    #[must_use]
    pub const fn per_second(bytes: u32) -> Self {
        Self(if bytes == 0 { 1 } else { bytes })
    }

    /// Time that a number of bytes takes.
    #[must_use]
    pub const fn time_of(self, bytes: usize) -> Duration {
        Duration::from_micros((bytes as u64).saturating_mul(1_000_000) / self.0 as u64)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("B/s").unwrap_or(text);
        number.parse().map(Self::per_second)
    }
}

/// Progress of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    rate: Rate,
    /// Time up to which the progress made pays. Invariant: not after the last time given.
    paid_until: time::Time,
}

impl Progress {
    /// Progress that begins at `now`.
    #[must_use]
    pub const fn new(rate: Rate, now: time::Time) -> Self {
        Self {
            rate,
            paid_until: now,
        }
    }

    /// Records bytes that were sent or read. They pay for time that has passed, never ahead.
    pub fn record(&mut self, bytes: usize, now: time::Time) {
        self.paid_until = now.min(self.paid_until + self.rate.time_of(bytes));
    }

    /// Begins anew.
    pub const fn restart(&mut self, now: time::Time) {
        self.paid_until = now;
    }

    /// Time for which the peer is behind.
    #[must_use]
    pub const fn behind(&self, now: time::Time) -> Duration {
        now.since(self.paid_until)
    }
}
