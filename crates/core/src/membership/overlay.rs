//! Overlay network of the hosts, which bounds the cost of a host as the fleet grows.
//!
//! In a small fleet, every host is linked to every other. In a larger one, two relays in each
//! failure domain are linked to all hosts of their domain and to the relays of the other domains;
//! every other host is linked to the relays of its domain only. Relays watch the store and forward
//! changes. The relays follow from the list of hosts alone, so no election is needed.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

/// Largest number of other hosts with which the fleet is a full mesh.
pub const FULL_MESH_MAX_PEERS: usize = 12;

/// Relays of a domain. Both watch the store, so that a member hears of changes while one of them is
/// down or cut off.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Live hosts of a domain, the relays among them, that soon take over from relays that are lost.
pub const RELAY_CANDIDATES_PER_DOMAIN: usize = 4;

/// Role of a host in the overlay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It is linked to every other host.
    #[default]
    Mesh,
    /// It forwards changes to and from its domain.
    Relay,
    /// It receives changes from the relays of its domain.
    Member,
}

impl Role {
    /// Name in the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Mesh => "mesh",
            Self::Relay => "relay",
            Self::Member => "member",
        }
    }
}

/// Properties of a host that determine the overlay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverlayHost {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether this host considers it live.
    pub is_live: bool,
}

/// Role and links of one host in the overlay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlay {
    /// Role of the host.
    pub role: Role,
    /// Hosts that it is linked to.
    pub links: Vec<Arc<str>>,
    /// Relays of its domain in order of preference; empty in a full mesh.
    pub relays: SmallVec<[Arc<str>; RELAYS_PER_DOMAIN]>,
    /// Whether other hosts must notice soon when this one is lost, since it is a relay or among the
    /// next ones, or since no relay would notice.
    pub is_relay_candidate: bool,
    /// Relays of the other domains, by domain and in order of preference.
    pub foreign_relays: BTreeMap<Arc<str>, SmallVec<[Arc<str>; RELAYS_PER_DOMAIN]>>,
}

impl Default for Overlay {
    /// The overlay of a host that knows no other.
    fn default() -> Self {
        Self {
            role: Role::Mesh,
            links: Vec::new(),
            relays: SmallVec::new(),
            is_relay_candidate: true,
            foreign_relays: BTreeMap::new(),
        }
    }
}

impl Overlay {
    /// Computes the role and links of the host `me`. It counts as live whether `hosts` says so or not:
    /// its entry may have expired in an outage of the store and be on its way back. A relay that took
    /// itself for a member meanwhile would hear nothing, and its domain with it.
    #[must_use]
    pub fn new(me: &str, domain: &str, hosts: &[OverlayHost]) -> Self {
        let hosts = &with_own_host(me, domain, hosts);
        let others = || hosts.iter().filter(|host| *host.name != *me);
        if others().count() <= FULL_MESH_MAX_PEERS {
            return Self {
                links: others().map(|host| host.name.clone()).collect(),
                ..Self::default()
            };
        }
        let mut foreign_relays = relays_by_domain(hosts);
        let relays = foreign_relays.remove(domain).unwrap_or_default();
        let is_relay_candidate = ranks_among_candidates(me, domain, hosts);
        if !relays.iter().any(|relay| **relay == *me) {
            return Self {
                role: Role::Member,
                links: relays.to_vec(),
                relays,
                is_relay_candidate,
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
            is_relay_candidate,
            foreign_relays,
        }
    }

    /// Relays that supply this host with changes of the store, while they are live: those of its domain
    /// for a member, and none for the others.
    #[must_use]
    pub fn suppliers(&self) -> &[Arc<str>] {
        match self.role {
            Role::Mesh | Role::Relay => &[],
            Role::Member => &self.relays,
        }
    }

    /// Whether a relay should supply this host with changes of the store.
    #[must_use]
    pub fn follows_relay(&self) -> bool {
        !self.suppliers().is_empty()
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

/// The hosts, with `me` among them as live.
fn with_own_host(me: &str, domain: &str, hosts: &[OverlayHost]) -> Vec<OverlayHost> {
    let others = hosts.iter().filter(|host| *host.name != *me).cloned();
    let own = OverlayHost {
        name: me.into(),
        domain: domain.into(),
        is_live: true,
    };
    others.chain([own]).collect()
}

/// Whether a host is, by its name, among the relay candidates of its domain.
fn ranks_among_candidates(me: &str, domain: &str, hosts: &[OverlayHost]) -> bool {
    let is_ahead =
        |host: &&OverlayHost| host.is_live && *host.domain == *domain && *host.name < *me;
    hosts.iter().filter(is_ahead).count() < RELAY_CANDIDATES_PER_DOMAIN
}

/// The first live hosts of each domain in the order of their names.
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
