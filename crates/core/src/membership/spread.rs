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
pub const FULL_MESH: usize = 12;

/// Relays of a domain. The second one serves while the first one is lost.
pub const RELAYS: usize = 2;

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
pub struct Place {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it serves, as far as is known.
    pub serves: bool,
}

/// The place of one host among the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// What the host does.
    pub role: Role,
    /// Hosts that it talks to.
    pub links: Vec<Arc<str>>,
    /// Relays of its domain in order of preference; none in a small fleet.
    pub relays: SmallVec<[Arc<str>; RELAYS]>,
    /// Relays of the other domains, by domain and in order of preference.
    pub foreign: BTreeMap<Arc<str>, SmallVec<[Arc<str>; RELAYS]>>,
}

impl Spread {
    /// Works out the place of a host. `hosts` may or may not hold it.
    #[must_use]
    pub fn new(me: &str, domain: &str, hosts: &[Place]) -> Self {
        let others = || hosts.iter().filter(|host| *host.name != *me);
        if others().count() <= FULL_MESH {
            return Self {
                links: others().map(|host| host.name.clone()).collect(),
                ..Self::default()
            };
        }
        let mut foreign = relays_by_domain(hosts);
        let relays = foreign.remove(domain).unwrap_or_default();
        if !relays.iter().any(|relay| **relay == *me) {
            return Self {
                role: Role::Member,
                links: relays.to_vec(),
                relays,
                foreign: BTreeMap::new(),
            };
        }
        let own = others().filter(|host| *host.domain == *domain);
        let mut links: Vec<_> = own.map(|host| host.name.clone()).collect();
        links.extend(foreign.values().flatten().cloned());
        Self {
            role: Role::Relay,
            links,
            relays,
            foreign,
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
        self.foreign
            .values()
            .flatten()
            .any(|relay| **relay == *name)
    }
}

/// First hosts of each domain that serve, by their names.
fn relays_by_domain(hosts: &[Place]) -> BTreeMap<Arc<str>, SmallVec<[Arc<str>; RELAYS]>> {
    let mut sorted: Vec<_> = hosts.iter().filter(|host| host.serves).collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    let mut relays: BTreeMap<Arc<str>, SmallVec<[Arc<str>; RELAYS]>> = BTreeMap::new();
    for host in sorted {
        let of_domain = relays.entry(host.domain.clone()).or_default();
        if of_domain.len() < RELAYS {
            of_domain.push(host.name.clone());
        }
    }
    relays
}
