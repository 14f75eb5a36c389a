//! Whether another failure domain can be reached from this host.

use crate::entity;

/// Probes of different hosts in a row that must fail before a domain counts as cut off.
const MAX_FAILURES: u32 = 3;

/// Reachability of one other domain.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    /// Hosts of the domain, which are probed in turn.
    pub hosts: Vec<entity::HostId>,
    /// Place of the next host to probe.
    next: usize,
    /// Probes in a row that failed.
    failures: u32,
}

impl DomainReachability {
    /// The host to probe next, or `None` if the domain has none.
    pub fn next_host(&mut self, offset: usize) -> Option<entity::HostId> {
        let host = *self
            .hosts
            .get((self.next + offset) % self.hosts.len().max(1))?;
        self.next = self.next.wrapping_add(1);
        Some(host)
    }

    /// Records the end of a probe, and returns whether the domain can be reached.
    pub fn record_probe(&mut self, answered: bool) -> bool {
        self.failures = if answered {
            0
        } else {
            self.failures.saturating_add(1)
        };
        self.is_reachable()
    }

    /// Whether the domain can be reached. A domain that was never probed counts as reachable.
    pub fn is_reachable(&self) -> bool {
        // A domain with fewer hosts than probes is asked the same host again.
        self.failures < MAX_FAILURES
    }
}
