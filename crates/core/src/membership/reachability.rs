//! Whether another failure domain can be reached from this host.

use crate::entity;

/// Consecutive failed probes, of different hosts, after which a domain counts as unreachable.
const MAX_FAILURES: u32 = 3;

/// Reachability of one other domain, by the probes of its hosts.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    /// Hosts of the domain, which are probed in turn.
    pub hosts: Vec<entity::HostId>,
    /// Index of the next host to probe.
    next: usize,
    /// Consecutive probes that failed.
    failures: u32,
}

impl DomainReachability {
    /// Returns the next host to probe, or `None` if the domain has no hosts. `offset` is added to
    /// the index.
    pub fn next_host(&mut self, offset: usize) -> Option<entity::HostId> {
        let host = *self
            .hosts
            .get((self.next + offset) % self.hosts.len().max(1))?;
        self.next = self.next.wrapping_add(1);
        Some(host)
    }

    /// Records the result of a probe, and returns whether the domain can be reached.
    pub fn record_probe(&mut self, answered: bool) -> bool {
        self.failures = if answered {
            0
        } else {
            self.failures.saturating_add(1)
        };
        self.is_reachable()
    }

    /// Whether the domain can be reached. A domain that has never been probed counts as reachable.
    pub fn is_reachable(&self) -> bool {
        // In a domain with fewer hosts than this, some hosts are probed more than once.
        self.failures < MAX_FAILURES
    }
}
