//! Endpoints that fall over if they have to turn many requests away.
//!
//! An endpoint says how many requests it can turn away in a second, whichever host sends them. A host that
//! has been turned away tries the endpoint with one request at a time, at a pace at which all hosts
//! together stay within the number if all are turned away again. If there are more hosts than requests, a
//! few of them, by rendezvous hashing, try it every second, and the others seldom. The first answer to a
//! trial ends the trials of its host.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::time;

/// Time by which trials are slower than the number allows, as a factor: hosts begin them at different
/// times, and a window of a second may cut between two.
const MARGIN: f64 = 1.1;

/// Longest time between two trials, so that an endpoint that bears no refusal at all is still asked.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// Part of the number that is left to the hosts that try seldom, as a divisor.
const SELDOM_DIVISOR: f64 = 4.0;

/// Requests that an endpoint can turn away in a second without falling over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Brittleness(u32);

/// A text that is not a number of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseBrittlenessError;

impl fmt::Display for ParseBrittlenessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a number of requests")
    }
}

impl std::error::Error for ParseBrittlenessError {}

impl Brittleness {
    /// Brittleness of an endpoint that bears this many refusals a second.
    #[must_use]
    pub const fn per_second(requests: u32) -> Self {
        Self(requests)
    }

    /// Time between two requests of a host that are turned away, if `ahead` of the `hosts` hosts try the
    /// endpoint rather than this one.
    #[must_use]
    pub fn trial_interval(self, hosts: usize, ahead: usize) -> Duration {
        let (hosts, requests) = (hosts.max(1), self.0 as usize);
        let often = (requests / 2).max(1);
        let per_second = match requests >= hosts {
            // In any second, a host makes a whole number of trials.
            true => (requests / hosts) as f64,
            false if requests > 0 && ahead < often => 1.0,
            false => f64::from(self.0) / (SELDOM_DIVISOR * hosts as f64),
        };
        let seconds = MARGIN / per_second;
        Duration::try_from_secs_f64(seconds).map_or(MAX_INTERVAL, |span| span.min(MAX_INTERVAL))
    }
}

impl fmt::Display for Brittleness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Brittleness {
    type Err = ParseBrittlenessError;

    fn from_str(text: &str) -> Result<Self, ParseBrittlenessError> {
        let requests: f64 = text.trim().parse().map_err(|_| ParseBrittlenessError)?;
        match requests >= 0.0 {
            // The conversion saturates.
            true => Ok(Self(requests as u32)),
            false => Err(ParseBrittlenessError),
        }
    }
}

/// Trials of a brittle endpoint that has turned a request of this host away.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trials {
    interval: Duration,
    turned_away_at: time::Time,
    /// When the next request may be sent.
    next_at: time::Time,
}

impl Trials {
    /// Trials that begin an interval after a refusal, and up to another one later by a seed, so that hosts
    /// that are turned away together do not try together.
    pub(super) fn new(interval: Duration, seed: u64, now: time::Time) -> Self {
        let delay = Duration::from_micros(seed % (interval.as_micros() as u64 + 1));
        Self {
            interval,
            turned_away_at: now,
            next_at: now + interval + delay,
        }
    }

    pub(super) const fn opens_at(&self) -> time::Time {
        self.next_at
    }

    /// Counts a request that is sent now.
    pub(super) fn record_sent(&mut self, now: time::Time) {
        self.next_at = self.next_at.max(now + self.interval);
    }

    /// Whether an answer to a request that was sent at a time shows that there is room again.
    pub(super) fn are_ended_by(&self, sent_at: time::Time) -> bool {
        sent_at > self.turned_away_at
    }
}
