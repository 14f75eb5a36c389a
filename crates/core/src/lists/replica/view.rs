//! The live hosts, and which of them a replica exchanges messages with.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::entity;

/// Number of hosts of each domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Live hosts by failure domain, from the view of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    host: entity::HostId,
    domain: entity::DomainId,
    /// Hosts of each domain, including this host, in the order of their ids.
    domains: BTreeMap<entity::DomainId, Vec<entity::HostId>>,
}

impl View {
    /// Creates the view of a host, which itself always counts as live.
    #[must_use]
    pub fn new<I>(host: entity::HostId, domain: entity::DomainId, hosts: I) -> Self
    where
        I: IntoIterator<Item = (entity::HostId, entity::DomainId)>,
    {
        let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (other, domain) in hosts.into_iter().chain([(host, domain)]) {
            domains.entry(domain).or_default().push(other);
        }
        for hosts in domains.values_mut() {
            hosts.sort_unstable();
            hosts.dedup();
        }
        Self {
            host,
            domain,
            domains,
        }
    }

    /// The host that the view belongs to.
    #[must_use]
    pub const fn host(&self) -> entity::HostId {
        self.host
    }

    /// Domain of that host.
    #[must_use]
    pub const fn domain(&self) -> entity::DomainId {
        self.domain
    }

    /// The domains that have live hosts.
    pub fn domains(&self) -> impl Iterator<Item = entity::DomainId> {
        self.domains.keys().copied()
    }

    /// Live hosts of a domain.
    #[must_use]
    pub fn hosts(&self, domain: entity::DomainId) -> &[entity::HostId] {
        self.domains.get(&domain).map_or(&[], Vec::as_slice)
    }

    /// The hosts of a domain that watch the store.
    #[must_use]
    pub fn watchers(&self, domain: entity::DomainId) -> &[entity::HostId] {
        let hosts = self.hosts(domain);
        &hosts[..hosts.len().min(WATCHERS_PER_DOMAIN)]
    }

    /// Whether this host watches the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watchers(self.domain).contains(&self.host)
    }

    /// Whether this host is the first watcher of its domain.
    #[must_use]
    pub fn is_first_watcher(&self) -> bool {
        self.hosts(self.domain).first() == Some(&self.host)
    }

    /// The hosts of the domain at distances of 1, 2, 4, ... in the circular order of ids. A message
    /// reaches any host of the domain in at most as many hops as the number of hosts has binary
    /// digits.
    #[must_use]
    pub fn peers(&self) -> SmallVec<[entity::HostId; 10]> {
        let hosts = self.hosts(self.domain);
        let len = hosts.len();
        let own = hosts.binary_search(&self.host).unwrap_or(0);
        let distances = (0..usize::BITS).map(|bit| 1_usize << bit);
        distances
            .take_while(|distance| *distance < len)
            .map(|distance| hosts[(own + distance) % len])
            .collect()
    }

    /// Watchers of the other domains, in the circular order of domains that starts after its own.
    #[must_use]
    pub fn remote_watchers(&self) -> SmallVec<[entity::HostId; 16]> {
        let after = self.domains.keys().filter(|domain| **domain > self.domain);
        let before = self.domains.keys().filter(|domain| **domain < self.domain);
        after
            .chain(before)
            .flat_map(|domain| self.watchers(*domain))
            .copied()
            .collect()
    }
}
