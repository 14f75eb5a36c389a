//! The hosts that a replica exchanges messages with.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::entity;

/// Watchers of the store in a domain.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Live hosts by failure domain, as one host sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    host: entity::HostId,
    domain: entity::DomainId,
    /// Hosts of each domain in the order of their ids, this host among them.
    domains: BTreeMap<entity::DomainId, Vec<entity::HostId>>,
}

impl View {
    /// Makes the view of a host. The host counts as live in its own domain.
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

    /// The host whose view this is.
    #[must_use]
    pub const fn host(&self) -> entity::HostId {
        self.host
    }

    /// Its domain.
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

    /// Hosts of the domain at distances of powers of two in the order of ids. Any host reaches
    /// any other over at most as many of these as the number of hosts has binary digits.
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

    /// Watchers of the other domains, in an order that starts at the next domain.
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
