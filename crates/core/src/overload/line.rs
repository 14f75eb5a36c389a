//! Requests that wait for a place at their host.

use super::{AccountKey, Ask, Limit, Ticket};
use crate::time;

/// Most requests that wait.
pub(super) const MAX_LEN: usize = 256;

/// Steps of deadlines, in milliseconds, within which accounts come before deadlines.
const URGENCY_STEP_MS: u64 = 100;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    /// What held it back when it came.
    pub(super) by: Limit,
    /// Until when it may wait.
    pub(super) until: time::Time,
    /// Number in order of arrival.
    arrival: u64,
}

/// Place in the line; the lowest is served first.
type Rank = (u8, u64, u32, u64);

/// Bounded line.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    /// Invariant: at most [`MAX_LEN`].
    waiting: Vec<Waiting>,
    arrivals: u64,
}

fn rank<F>(ask: &Ask, arrival: u64, held_by: &F) -> Rank
where
    F: Fn(AccountKey) -> u32,
{
    let urgency = ask.deadline.as_micros() / 1_000 / URGENCY_STEP_MS;
    (ask.priority, urgency, held_by(ask.account), arrival)
}

impl Line {
    pub(super) const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests before a new one; those of its account alone, if that holds it back.
    pub(super) fn ahead_of<F>(&self, ask: &Ask, by: Limit, held_by: &F) -> usize
    where
        F: Fn(AccountKey) -> u32,
    {
        let own = rank(ask, self.arrivals, held_by);
        let is_ahead = |w: &&Waiting| {
            (by != Limit::Account || w.ask.account == ask.account)
                && rank(&w.ask, w.arrival, held_by) < own
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Adds a request. Returns the last of all if there are too many.
    pub(super) fn push<F>(
        &mut self,
        ask: Ask,
        by: Limit,
        until: time::Time,
        held_by: &F,
    ) -> Option<Waiting>
    where
        F: Fn(AccountKey) -> u32,
    {
        self.waiting.push(Waiting {
            ask,
            by,
            until,
            arrival: self.arrivals,
        });
        self.arrivals += 1;
        if self.waiting.len() <= MAX_LEN {
            return None;
        }
        let places = 0..self.waiting.len();
        let last = places.max_by_key(|i| {
            let waiting = &self.waiting[*i];
            rank(&waiting.ask, waiting.arrival, held_by)
        })?;
        Some(self.waiting.swap_remove(last))
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ask.ticket != ticket);
    }

    /// Removes those that may wait no longer.
    pub(super) fn take_expired(&mut self, now: time::Time) -> Vec<Waiting> {
        self.waiting.extract_if(.., |w| w.until <= now).collect()
    }

    /// Requests that wait, in order.
    pub(super) fn in_order<F>(&self, held_by: &F) -> Vec<Ask>
    where
        F: Fn(AccountKey) -> u32,
    {
        let mut waiting = self.waiting.clone();
        waiting.sort_by_cached_key(|w| rank(&w.ask, w.arrival, held_by));
        waiting.into_iter().map(|w| w.ask).collect()
    }
}
