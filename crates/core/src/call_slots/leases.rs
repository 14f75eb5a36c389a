//! Slots that requests have, counted by endpoint.

use std::collections::HashMap;

use super::Ticket;
use crate::time;

/// A slot that a request has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    pub(super) endpoint: u64,
    pub(super) account: u64,
    pub(super) granted_at: time::Time,
    pub(super) ends_at: time::Time,
}

/// Leases by ticket.
#[derive(Clone, Debug, Default)]
pub(super) struct Leases {
    by_ticket: HashMap<Ticket, Lease>,
    /// Invariant: the number of leases of each endpoint that has one.
    counts: HashMap<u64, u32>,
    /// Invariant: no lease ends before it. `None` without leases.
    earliest_end: Option<time::Time>,
}

impl Leases {
    pub(super) fn is_empty(&self) -> bool {
        self.by_ticket.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&Lease> {
        self.by_ticket.get(&ticket)
    }

    /// Number of leases of an endpoint.
    pub(super) fn at(&self, endpoint: u64) -> u32 {
        self.counts.get(&endpoint).copied().unwrap_or(0)
    }

    /// Adds the lease of a ticket that has none.
    pub(super) fn insert(&mut self, ticket: Ticket, lease: Lease) {
        let earliest = self.earliest_end.unwrap_or(lease.ends_at);
        self.earliest_end = Some(earliest.min(lease.ends_at));
        *self.counts.entry(lease.endpoint).or_default() += 1;
        self.by_ticket.insert(ticket, lease);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Lease> {
        let lease = self.by_ticket.remove(&ticket)?;
        self.uncount(lease.endpoint);
        Some(lease)
    }

    /// Removes the leases whose time is over, and returns their endpoints.
    pub(super) fn end(&mut self, now: time::Time) -> Vec<u64> {
        if self.earliest_end.is_none_or(|end| end > now) {
            return Vec::new();
        }
        let ended = self.by_ticket.extract_if(|_, lease| lease.ends_at <= now);
        let ended: Vec<_> = ended.map(|(_, lease)| lease.endpoint).collect();
        for endpoint in &ended {
            self.uncount(*endpoint);
        }
        self.earliest_end = self.by_ticket.values().map(|lease| lease.ends_at).min();
        ended
    }

    fn uncount(&mut self, endpoint: u64) {
        if let Some(count) = self.counts.get_mut(&endpoint) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&endpoint);
            }
        }
    }
}
