//! Ring of the hosts of a failure domain, which decides who probes whom.

use smallvec::SmallVec;

use crate::{entity, routing::rendezvous};

/// Hash key that makes the order of the ring independent of the order of owners and chats.
const RING_KEY: u64 = 0x7269_6e67;

/// Hosts at some distances from a host on the ring.
pub type Neighbours = SmallVec<[entity::HostId; 8]>;

/// Hosts of a failure domain in an order that is the same on every host.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    /// Invariant: sorted by hash, without duplicates.
    order: Vec<entity::HostId>,
}

impl Ring {
    /// Creates the ring of the given hosts.
    pub fn new<I>(hosts: I) -> Self
    where
        I: IntoIterator<Item = entity::HostId>,
    {
        let mut order: Vec<_> = hosts.into_iter().collect();
        order.sort_unstable_by_key(|host| (rendezvous::score(RING_KEY, host.as_u32()), *host));
        order.dedup();
        Self { order }
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// The `count` hosts that follow `host`, without `host` itself.
    pub fn successors(&self, host: entity::HostId, count: usize) -> Neighbours {
        let count = count.min(self.order.len().saturating_sub(1));
        self.at(host, 1..=count)
    }

    /// Hosts at the distances 1, 2, 4 and so on after `host`.
    pub fn fingers(&self, host: entity::HostId) -> Neighbours {
        let len = self.order.len();
        let distances = (0..usize::BITS).map(|bit| 1_usize << bit);
        self.at(host, distances.take_while(|&distance| distance < len))
    }

    fn at<I>(&self, host: entity::HostId, distances: I) -> Neighbours
    where
        I: Iterator<Item = usize>,
    {
        let Some(place) = self.order.iter().position(|&other| other == host) else {
            return Neighbours::new();
        };
        distances
            .map(|distance| self.order[(place + distance) % self.order.len()])
            .collect()
    }
}
