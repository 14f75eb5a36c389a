//! Slots that are free at one moment.

use smallvec::SmallVec;

use super::{Ask, Endpoint};

/// An endpoint with a free slot.
#[derive(Clone, Copy, Debug)]
struct Free {
    endpoint: Endpoint,
    /// Slots that are taken. Invariant: fewer than the endpoint has.
    taken: u32,
    /// Whether it comes after those that nobody doubts.
    is_doubted: bool,
}

/// Endpoints with free slots, so that they are looked for once for all requests that wait.
#[derive(Clone, Debug)]
pub(super) struct Room {
    free: SmallVec<[Free; 8]>,
    /// Most slots that are granted, whatever endpoints say.
    leases_left: usize,
}

impl Room {
    pub(super) fn new(leases_left: usize) -> Self {
        Self {
            free: SmallVec::new(),
            leases_left,
        }
    }

    /// Adds an endpoint of which so many slots are taken.
    pub(super) fn add(&mut self, endpoint: Endpoint, taken: u32, is_doubted: bool) {
        if taken < endpoint.slots {
            self.free.push(Free {
                endpoint,
                taken,
                is_doubted,
            });
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.leases_left == 0 || self.free.is_empty()
    }

    /// Takes a slot for a request: at an endpoint that nobody doubts before others, then one in its
    /// domain, then the one with the smallest share of its slots taken.
    pub(super) fn take(&mut self, ask: &Ask) -> Option<u64> {
        if self.is_empty() {
            return None;
        }
        let rank = |free: &Free| {
            let endpoint = free.endpoint;
            let permille = u64::from(free.taken) * 1_000 / u64::from(endpoint.slots);
            let is_remote = endpoint.domain != ask.domain;
            (free.is_doubted, is_remote, permille, endpoint.hash)
        };
        let free = self.free.iter().enumerate();
        let allowed = free.filter(|(_, free)| ask.allows(&free.endpoint));
        let (i, _) = allowed.min_by_key(|(_, free)| rank(free))?;
        let hash = self.free[i].endpoint.hash;
        self.free[i].taken += 1;
        if self.free[i].taken >= self.free[i].endpoint.slots {
            self.free.swap_remove(i);
        }
        self.leases_left -= 1;
        Some(hash)
    }
}
