//! Candidate endpoints of a chat in order of preference, computed without a table of chats.
//!
//! The domain of the endpoint with the highest weighted score, among all live endpoints of the
//! region, is the home domain of the chat. Each domain thus gets a share of the chats in proportion
//! to its capacity, as with a separate hash over domains, but an endpoint that joins or leaves
//! moves only the chats that are assigned to it. Within the home domain, candidates are ordered by
//! score.
//!
//! With [`Spread::Region`], the health of endpoints does not change the home domain: an ejected
//! endpoint is skipped, and its chats go to the next endpoint of the same domain, where importing
//! its prefixes is cheapest. A domain without a usable host cannot be reached and is left out.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::entity::Entity as _;
use crate::routing::rendezvous;
use crate::{entity, map, request, topology};

/// Maximum candidates of a request.
pub const MAX_CANDIDATES: usize = 8;

/// Maximum candidates in the home domain. At least one place remains for another domain, in case
/// the whole home domain refuses.
pub const MAX_HOME_CANDIDATES: usize = 7;

/// Candidates of a request, best first.
pub type Candidates = SmallVec<[entity::EndpointId; MAX_CANDIDATES]>;

/// Where the home domain of a chat may lie.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Anywhere in the region, so that a chat has the same home on every entry host.
    #[default]
    Region,
    /// In the domain of the entry host, if it has a usable endpoint.
    Local,
}

/// A host and whether it can be reached.
#[derive(Clone, Debug)]
struct HostEntry {
    host: topology::Host,
    usable: bool,
}

/// An endpoint with its health, departure and owner.
#[derive(Clone, Debug)]
struct EndpointEntry {
    endpoint: topology::Endpoint,
    usable: bool,
    leaving: bool,
    /// Owner among the usable hosts of the domain, maintained by `assign_owners`.
    owner: Option<entity::HostId>,
}

impl EndpointEntry {
    fn is_live(&self) -> bool {
        self.endpoint.presence == topology::Presence::Live && !self.leaving
    }
}

/// Hosts and endpoints of the host list, with their state by membership and health checks.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: u64,
    spread: Spread,
    regions: map::EntityMap<entity::DomainId, entity::RegionId>,
    hosts: map::EntityMap<entity::HostId, HostEntry>,
    endpoints: map::EntityMap<entity::EndpointId, EndpointEntry>,
    /// Endpoints that serve each target, in the order of their ids.
    pools: BTreeMap<request::Target, Vec<entity::EndpointId>>,
}

/// A candidate with its score.
type Scored = (f64, entity::EndpointId);

impl Directory {
    /// Makes the directory of a host list. All entries are usable at first.
    #[must_use]
    pub fn new(list: &topology::HostList, spread: Spread) -> Self {
        let mut directory = Self {
            spread,
            ..Self::default()
        };
        directory.load(list);
        directory
    }

    /// Replaces the host list if `list` is newer, and keeps the state of entries that are in both.
    /// Returns whether it was newer.
    pub fn update(&mut self, list: &topology::HostList) -> bool {
        if list.version <= self.version {
            return false;
        }
        self.load(list);
        true
    }

    fn load(&mut self, list: &topology::HostList) {
        self.version = list.version;
        self.regions = list.domains.iter().map(|d| (d.id, d.region)).collect();
        self.load_hosts(&list.hosts);
        self.load_endpoints(&list.endpoints);
        self.assign_owners();
    }

    fn load_hosts(&mut self, hosts: &[topology::Host]) {
        let former = std::mem::take(&mut self.hosts);
        for host in hosts {
            let usable = former.get(host.id).is_none_or(|entry| entry.usable);
            let entry = HostEntry {
                host: host.clone(),
                usable,
            };
            self.hosts.insert(host.id, entry);
        }
    }

    fn load_endpoints(&mut self, endpoints: &[topology::Endpoint]) {
        let former = std::mem::take(&mut self.endpoints);
        self.pools.clear();
        for endpoint in endpoints {
            let known = former.get(endpoint.id);
            let entry = EndpointEntry {
                endpoint: endpoint.clone(),
                usable: known.is_none_or(|entry| entry.usable),
                leaving: known.is_some_and(|entry| entry.leaving),
                owner: None,
            };
            self.endpoints.insert(endpoint.id, entry);
            for target in targets(&endpoint.serves) {
                self.pools.entry(target).or_default().push(endpoint.id);
            }
        }
        self.pools
            .values_mut()
            .for_each(|pool| pool.sort_unstable());
    }

    /// Sets whether a host can be reached. Unknown hosts are ignored.
    pub fn set_host_usable(&mut self, host: entity::HostId, usable: bool) {
        let Some(entry) = self.hosts.get_mut(host) else {
            return;
        };
        if entry.usable != usable {
            entry.usable = usable;
            self.assign_owners();
        }
    }

    /// Sets whether an endpoint passes its health checks. Unknown endpoints are ignored.
    pub fn set_endpoint_usable(&mut self, endpoint: entity::EndpointId, usable: bool) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.usable = usable;
        }
    }

    /// Sets whether an endpoint is leaving, which may be known before the host list shows it.
    pub fn set_endpoint_leaving(&mut self, endpoint: entity::EndpointId, leaving: bool) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.leaving = leaving;
        }
    }

    /// Version of the current host list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Entry of a host in the host list.
    #[must_use]
    pub fn host(&self, host: entity::HostId) -> Option<&topology::Host> {
        self.hosts.get(host).map(|entry| &entry.host)
    }

    /// Entry of an endpoint in the host list.
    #[must_use]
    pub fn endpoint(&self, endpoint: entity::EndpointId) -> Option<&topology::Endpoint> {
        self.endpoints.get(endpoint).map(|entry| &entry.endpoint)
    }

    /// Hosts in the order of their ids.
    pub fn hosts(&self) -> impl Iterator<Item = &topology::Host> {
        self.hosts.values().map(|entry| &entry.host)
    }

    /// Endpoints in the order of their ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &topology::Endpoint> {
        self.endpoints.values().map(|entry| &entry.endpoint)
    }

    /// Region of a domain.
    #[must_use]
    pub fn region(&self, domain: entity::DomainId) -> Option<entity::RegionId> {
        self.regions.get(domain).copied()
    }

    /// Whether an endpoint is in the host list and not leaving.
    #[must_use]
    pub fn is_live(&self, endpoint: entity::EndpointId) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(EndpointEntry::is_live)
    }

    /// Whether new requests may be sent to an endpoint: it is live, passes its health checks, and
    /// its domain has a usable host.
    #[must_use]
    pub fn takes_new_work(&self, endpoint: entity::EndpointId) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|entry| entry.is_live() && entry.usable && entry.owner.is_some())
    }

    /// Owner of an endpoint among the live and usable hosts of its domain, or `None` if the
    /// domain has none.
    #[must_use]
    pub fn owner(&self, endpoint: entity::EndpointId) -> Option<entity::HostId> {
        self.endpoints.get(endpoint)?.owner
    }

    /// Endpoints of a domain that serve the target and take new requests, in the order of their
    /// ids. The load bound is relative to their mean load.
    pub fn pool(
        &self,
        target: &request::Target,
        domain: entity::DomainId,
    ) -> impl Iterator<Item = entity::EndpointId> {
        let members = self.pools.get(target).map_or(&[][..], Vec::as_slice);
        members.iter().copied().filter(move |id| {
            self.takes_new_work(*id) && self.endpoint(*id).is_some_and(|e| e.domain == domain)
        })
    }

    /// Fills `out` with the candidates of a chat, best first.
    ///
    /// `key` is the chat's key, or a random number for a request without a chat. `local` is the
    /// domain of the entry host. Candidates of other domains follow those of the home domain.
    pub fn candidates(
        &self,
        key: u64,
        target: &request::Target,
        local: entity::DomainId,
        out: &mut Candidates,
    ) {
        out.clear();
        let scored = self.scored(key, target, local);
        let Some(home) = self.home(&scored, local) else {
            return;
        };
        let usable = |(_, id): &Scored| self.takes_new_work(*id);
        let in_home = |id: entity::EndpointId| self.domain_of(id) == Some(home);
        let (mut near, mut far): (SmallVec<[Scored; 32]>, SmallVec<[Scored; 32]>) = scored
            .iter()
            .copied()
            .filter(usable)
            .partition(|(_, id)| in_home(*id));
        keep_best(&mut near, MAX_HOME_CANDIDATES);
        keep_best(&mut far, MAX_CANDIDATES - near.len());
        out.extend(near.iter().chain(&far).map(|(_, id)| *id));
    }

    /// Scores of the live, reachable endpoints of the region that serve the target.
    fn scored(
        &self,
        key: u64,
        target: &request::Target,
        local: entity::DomainId,
    ) -> SmallVec<[Scored; 32]> {
        let region = self.region(local);
        let members = self.pools.get(target).map_or(&[][..], Vec::as_slice);
        members
            .iter()
            .filter_map(|id| self.endpoints.get(*id))
            .filter(|entry| entry.is_live() && entry.owner.is_some())
            .map(|entry| &entry.endpoint)
            .filter(|endpoint| self.region(endpoint.domain) == region)
            .map(|e| {
                (
                    rendezvous::weighted_score(key, e.id.as_u32(), e.slots),
                    e.id,
                )
            })
            .collect()
    }

    fn home(&self, scored: &[Scored], local: entity::DomainId) -> Option<entity::DomainId> {
        let usable = |domain: entity::DomainId| {
            scored
                .iter()
                .any(|(_, id)| self.domain_of(*id) == Some(domain) && self.takes_new_work(*id))
        };
        if self.spread == Spread::Local && usable(local) {
            return Some(local);
        }
        let best = scored
            .iter()
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))?;
        self.domain_of(best.1)
    }

    fn domain_of(&self, endpoint: entity::EndpointId) -> Option<entity::DomainId> {
        self.endpoint(endpoint).map(|e| e.domain)
    }

    /// Recomputes the owner of every endpoint.
    fn assign_owners(&mut self) {
        let mut by_domain: BTreeMap<entity::DomainId, Vec<u32>> = BTreeMap::new();
        for entry in self.hosts.values() {
            if entry.usable && entry.host.presence == topology::Presence::Live {
                by_domain
                    .entry(entry.host.domain)
                    .or_default()
                    .push(entry.host.id.as_u32());
            }
        }
        for (id, entry) in self.endpoints.iter_mut() {
            let hosts = by_domain
                .get(&entry.endpoint.domain)
                .map_or(&[][..], Vec::as_slice);
            let key = OWNER_KEY ^ u64::from(id.as_u32());
            let winner = rendezvous::winner(key, hosts.iter().copied());
            entry.owner = winner.map(|host| entity::HostId::from_index(host as usize));
        }
    }
}

/// Truncates a list to its `count` highest scores, highest first.
fn keep_best(scored: &mut SmallVec<[Scored; 32]>, count: usize) {
    let best_first = |a: &Scored, b: &Scored| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1));
    if scored.len() > count {
        scored.select_nth_unstable_by(count, best_first);
        scored.truncate(count);
    }
    scored.sort_unstable_by(best_first);
}

/// Separates the keys of endpoints from those of chats.
const OWNER_KEY: u64 = 0x6f77_6e65_7200_0000;

/// Targets that an endpoint serves: its models, or its service.
fn targets(serves: &topology::Serves) -> Vec<request::Target> {
    match serves {
        topology::Serves::Engine { models } => {
            models.iter().cloned().map(request::Target::Model).collect()
        }
        topology::Serves::Service { name } => vec![request::Target::Service(name.clone())],
    }
}
