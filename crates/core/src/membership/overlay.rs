//! Which hosts talk to which, so that the cost of a host stays bounded as the fleet grows.
//!
//! A small fleet talks all to all. In a larger one, two relays in each failure domain talk to all
//! hosts of their domain and to the relays of the other domains; every other host talks to the
//! relays of its domain only. Relays follow the store and carry news; which hosts they are follows
//! from the list of hosts alone, so nobody has to agree on it.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

/// Most other hosts up to which all hosts talk to each other.
pub const FULL_MESH_MAX_PEERS: usize = 12;

/// Relays of a domain. The second one serves while the first one is lost.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// What a host does for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It talks to everyone.
    #[default]
    Mesh,
    /// It carries news for its domain.
    Relay,
    /// It gets news from the relays of its domain.
    Member,
}

/// A host, as far as its place is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverlayHost {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it serves, as far as is known.
    pub is_live: bool,
}

/// The place of one host among the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overlay {
    /// What the host does.
    pub role: Role,
    /// Hosts that it talks to.
    pub links: Vec<Arc<str>>,
    /// Relays of its domain in order of preference; none in a small fleet.
    pub relays: SmallVec<[Arc<str>; RELAYS_PER_DOMAIN]>,
    /// Relays of the other domains, by domain and in order of preference.
    pub foreign_relays: BTreeMap<Arc<str>, SmallVec<[Arc<str>; RELAYS_PER_DOMAIN]>>,
}

impl Overlay {
    /// Works out the place of a host. `hosts` may or may not hold it.
    #[must_use]
    pub fn new(me: &str, domain: &str, hosts: &[OverlayHost]) -> Self {
        let others = || hosts.iter().filter(|host| *host.name != *me);
        if others().count() <= FULL_MESH_MAX_PEERS {
            return Self {
                links: others().map(|host| host.name.clone()).collect(),
                ..Self::default()
            };
        }
        let mut foreign_relays = relays_by_domain(hosts);
        let relays = foreign_relays.remove(domain).unwrap_or_default();
        if !relays.iter().any(|relay| **relay == *me) {
            return Self {
                role: Role::Member,
                links: relays.to_vec(),
                relays,
                foreign_relays: BTreeMap::new(),
            };
        }
        let own = others().filter(|host| *host.domain == *domain);
        let mut links: Vec<_> = own.map(|host| host.name.clone()).collect();
        links.extend(foreign_relays.values().flatten().cloned());
        Self {
            role: Role::Relay,
            links,
            relays,
            foreign_relays,
        }
    }

    /// Whether a host is a relay of this host's domain.
    #[must_use]
    pub fn is_own_relay(&self, name: &str) -> bool {
        self.relays.iter().any(|relay| **relay == *name)
    }

    /// Whether a host is a relay of another domain.
    #[must_use]
    pub fn is_foreign_relay(&self, name: &str) -> bool {
        self.foreign_relays
            .values()
            .flatten()
            .any(|relay| **relay == *name)
    }
}

/// First hosts of each domain that serve, by their names.
fn relays_by_domain(
    hosts: &[OverlayHost],
) -> BTreeMap<Arc<str>, SmallVec<[Arc<str>; RELAYS_PER_DOMAIN]>> {
    let mut sorted: Vec<_> = hosts.iter().filter(|host| host.is_live).collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    let mut relays: BTreeMap<Arc<str>, SmallVec<[Arc<str>; RELAYS_PER_DOMAIN]>> = BTreeMap::new();
    for host in sorted {
        let of_domain = relays.entry(host.domain.clone()).or_default();
        if of_domain.len() < RELAYS_PER_DOMAIN {
            of_domain.push(host.name.clone());
        }
    }
    relays
}
