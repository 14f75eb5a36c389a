//! Retry budget that all hosts share without talking to each other.
//!
//! In any window the fleet may repeat a fraction of the requests for a service, and a fixed number
//! beyond it. Each host repeats the fraction of its own requests and an equal part of the fixed
//! number, so the sum over hosts stays within the whole, whoever receives the requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time;

/// Parts that a window is counted in.
const SLICES: u32 = 10;

/// Bounds that the fleet keeps together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond the ratio, of all hosts together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    /// Number of the slice since the start of the clock.
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The part of the budget that one host may spend on one service.
#[derive(Clone, Debug)]
pub struct Share {
    budget: FleetBudget,
    /// Slices in ascending order. Invariant: the newest `SLICES` + 1 at most, so that a partial
    /// slice at either end is counted as whole.
    slices: VecDeque<Slice>,
}

impl Share {
    /// Makes an unspent share.
    #[must_use]
    pub const fn new(budget: FleetBudget) -> Self {
        Self {
            budget,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn deposit(&mut self, now: time::Time) {
        self.slice(now).requests += 1;
    }

    /// Takes one repeat if the share of one among `hosts` hosts holds it.
    pub fn withdraw(&mut self, hosts: u32, now: time::Time) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.slices.iter().map(|s| s.repeats).sum();
        // The window of whoever counts need not end now: the oldest slice may lie outside it.
        let requests = requests - self.slices.front().map_or(0, |s| s.requests);
        let extra = self.budget.extra / f64::from(hosts.max(1));
        let allowed = self.budget.ratio * f64::from(requests) + extra;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    fn slice(&mut self, now: time::Time) -> &mut Slice {
        let span = (self.budget.window / SLICES).as_micros().max(1) as u64;
        let number = now.as_micros() / span;
        if self.slices.back().is_none_or(|s| s.number < number) {
            self.slices.push_back(Slice {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        while let Some(oldest) = self.slices.front() {
            if oldest.number + u64::from(SLICES) >= number {
                break;
            }
            self.slices.pop_front();
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
