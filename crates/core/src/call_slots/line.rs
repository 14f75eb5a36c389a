//! Requests that wait for a slot.
//!
//! A line that is served by arrival alone makes every request late once more arrive than are served: each
//! waits for as long as the line is. So a request that can no longer end within its target latency waits
//! behind all of its priority that still can.

use std::cmp::Ordering;
use std::time::Duration;

use super::{Ask, Ticket, usage};
use crate::time;

/// Most requests that wait in one group.
pub(super) const MAX_LEN: usize = 256;

/// Steps of deadlines, in milliseconds, within which accounts come before deadlines.
const URGENCY_STEP_MS: u64 = 100;

/// Usual durations of a lease that a request needs at its start to end within its target latency.
const DURATIONS_BEFORE_TARGET: f64 = 1.5;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    pub(super) since: time::Time,
    /// When its host was last told that it waits.
    pub(super) told_at: time::Time,
    /// Number in order of arrival.
    pub(super) arrival: u64,
}

/// What comes first in the order of the line; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    priority: u8,
    misses_target: bool,
    urgency: u64,
}

/// Place of a request in the line; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Place {
    class: Class,
    account_seconds: f64,
    arrival: u64,
}

impl Place {
    fn compare(&self, other: &Self) -> Ordering {
        self.partial_cmp(other).expect("no NaN")
    }
}

/// Bounded line.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    /// Invariant: at most [`MAX_LEN`].
    waiting: Vec<Waiting>,
    arrivals: u64,
}

/// What the order of the line depends on at a point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment<'a> {
    pub(super) usage: &'a usage::Usage,
    /// Usual duration of a lease.
    pub(super) duration: Duration,
    pub(super) now: time::Time,
}

impl Moment<'_> {
    fn class(&self, ask: &Ask) -> Class {
        let needed = self.duration.mul_f64(DURATIONS_BEFORE_TARGET);
        let misses = |target: time::Time| target < self.now + needed;
        Class {
            priority: ask.priority,
            misses_target: ask.target.is_some_and(misses),
            urgency: ask.deadline.as_micros() / 1_000 / URGENCY_STEP_MS,
        }
    }

    fn place(&self, ask: &Ask, arrival: u64) -> Place {
        Place {
            class: self.class(ask),
            account_seconds: self.usage.seconds(ask.account, self.now),
            arrival,
        }
    }
}

impl Line {
    pub(super) const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that a new one would wait for. The usage of accounts, which is dear, is looked
    /// up only where all else is equal.
    pub(super) fn ahead_of(&self, ask: &Ask, moment: Moment<'_>) -> usize {
        let own = moment.place(ask, self.arrivals);
        let is_ahead = |w: &&Waiting| match moment.class(&w.ask).cmp(&own.class) {
            Ordering::Less => true,
            Ordering::Equal => moment.place(&w.ask, w.arrival) < own,
            Ordering::Greater => false,
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Adds a request, whose host is told so now. Returns the request that has lost its place for it:
    /// the last of all.
    pub(super) fn push(&mut self, ask: Ask, moment: Moment<'_>) -> Option<Waiting> {
        self.waiting.push(Waiting {
            ask,
            since: moment.now,
            told_at: moment.now,
            arrival: self.arrivals,
        });
        self.arrivals += 1;
        if self.waiting.len() <= MAX_LEN {
            return None;
        }
        let last = self.places(moment).max_by(|a, b| a.0.compare(&b.0));
        last.map(|(_, i)| self.waiting.swap_remove(i))
    }

    pub(super) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Waiting> {
        self.waiting.iter_mut().find(|w| w.ask.ticket == ticket)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Waiting> {
        self.waiting.iter_mut()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ask.ticket != ticket);
    }

    /// Removes the requests for which a condition holds.
    pub(super) fn take<F>(&mut self, condition: F) -> Vec<Waiting>
    where
        F: Fn(&Waiting) -> bool,
    {
        self.waiting.extract_if(.., |w| condition(w)).collect()
    }

    /// Requests that wait, in order.
    pub(super) fn in_order(&self, moment: Moment<'_>) -> impl Iterator<Item = &Ask> {
        let mut places: Vec<_> = self.places(moment).collect();
        places.sort_unstable_by(|a, b| a.0.compare(&b.0));
        places.into_iter().map(|(_, i)| &self.waiting[i].ask)
    }

    /// Place of each request that waits, with its index.
    fn places(&self, moment: Moment<'_>) -> impl Iterator<Item = (Place, usize)> {
        let waiting = self.waiting.iter().enumerate();
        waiting.map(move |(i, w)| (moment.place(&w.ask, w.arrival), i))
    }
}
