//! Hosts and endpoints of a run, and what each host believes of them.

use std::net;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::candidates;
use pistachiochute_core::{entity, request, topology};

use crate::traces;

/// Name of the model that every endpoint serves.
const MODEL: &str = "reader";

/// The host list of a deployment: hosts and endpoints dealt out to the domains in turn.
#[must_use]
pub fn host_list(hosts: usize, endpoints: usize, domains: usize) -> topology::HostList {
    let addr = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let region = entity::RegionId::from_index(0);
    let domain = |i: usize| entity::DomainId::from_index(i % domains);
    let models: Vec<_> = MODEL.parse().into_iter().collect();
    let host = |i| topology::Host {
        id: entity::HostId::from_index(i),
        domain: domain(i),
        addr,
        presence: topology::Presence::Live,
    };
    let endpoint = |i| topology::Endpoint {
        id: entity::EndpointId::from_index(i),
        domain: domain(i),
        addr,
        serves: topology::Serves::Engine {
            models: models.clone(),
        },
        slots: 64,
        presence: topology::Presence::Live,
    };
    topology::HostList {
        version: 1,
        domains: (0..domains)
            .map(|i| topology::Domain {
                id: domain(i),
                region,
            })
            .collect(),
        hosts: (0..hosts).map(host).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
    }
}

/// The target that every endpoint of [`host_list`] serves.
///
/// # Panics
///
/// Never: the name is well-formed.
#[must_use]
pub fn target() -> request::Target {
    request::Target::Model(MODEL.parse().expect("a model name"))
}

/// Hosts and endpoints, with one directory as it is and one for each host that differs from it.
#[derive(Clone, Debug)]
pub struct World {
    hosts: usize,
    endpoints: usize,
    domains: usize,
    directory: candidates::Directory,
    /// What a host believes while it suspects others wrongly.
    deviating: Vec<Option<candidates::Directory>>,
    target: request::Target,
}

impl World {
    /// Makes the world of a deployment.
    #[must_use]
    pub fn new(deployment: &traces::Deployment) -> Self {
        let list = host_list(deployment.hosts, deployment.endpoints, deployment.domains);
        Self {
            hosts: deployment.hosts,
            endpoints: deployment.endpoints,
            domains: deployment.domains,
            directory: candidates::Directory::new(&list, candidates::Spread::Region),
            deviating: vec![None; deployment.hosts],
            target: target(),
        }
    }

    /// Every host.
    pub fn hosts(&self) -> impl Iterator<Item = entity::HostId> + use<> {
        (0..self.hosts).map(entity::HostId::from_index)
    }

    /// Every endpoint.
    pub fn endpoints(&self) -> impl Iterator<Item = entity::EndpointId> + use<> {
        (0..self.endpoints).map(entity::EndpointId::from_index)
    }

    /// Pairs of a host and an endpoint of its domain.
    pub fn memberships(&self) -> Vec<(entity::HostId, entity::EndpointId)> {
        let same = |h: usize, e: usize| h % self.domains == e % self.domains;
        let pairs = self
            .hosts()
            .flat_map(|host| self.endpoints().map(move |e| (host, e)));
        pairs
            .filter(|(host, e)| same(host.index(), e.index()))
            .collect()
    }

    /// The other hosts of a host's domain.
    #[must_use]
    pub fn peers(&self, host: entity::HostId) -> Vec<entity::HostId> {
        let same = |h: &entity::HostId| h.index() % self.domains == host.index() % self.domains;
        self.hosts().filter(|h| same(h) && *h != host).collect()
    }

    /// Entry host of a request.
    #[must_use]
    pub fn entry(&self, number: u32) -> entity::HostId {
        entity::HostId::from_index(number as usize % self.hosts)
    }

    /// Domain of an endpoint.
    #[must_use]
    pub fn domain(&self, endpoint: entity::EndpointId) -> usize {
        endpoint.index() % self.domains
    }

    fn directory_of(&self, host: entity::HostId) -> &candidates::Directory {
        self.deviating[host.index()]
            .as_ref()
            .unwrap_or(&self.directory)
    }

    /// Candidates of a chat as a host sees them.
    #[must_use]
    pub fn candidates(
        &self,
        host: entity::HostId,
        chat: request::ChatKey,
    ) -> candidates::Candidates {
        let mut out = candidates::Candidates::new();
        let local = entity::DomainId::from_index(host.index() % self.domains);
        self.directory_of(host)
            .candidates(chat.0, &self.target, local, &mut out);
        out
    }

    /// Owner of an endpoint.
    #[must_use]
    pub fn owner(&self, endpoint: entity::EndpointId) -> Option<entity::HostId> {
        self.directory.owner(endpoint)
    }

    /// Owner of an endpoint as a host sees it.
    #[must_use]
    pub fn owner_seen_by(
        &self,
        host: entity::HostId,
        endpoint: entity::EndpointId,
    ) -> Option<entity::HostId> {
        self.directory_of(host).owner(endpoint)
    }

    /// Endpoints that a host believes it owns.
    #[must_use]
    pub fn owned_in_view_of(&self, host: entity::HostId) -> Vec<entity::EndpointId> {
        let owns = |e: &entity::EndpointId| self.owner_seen_by(host, *e) == Some(host);
        self.endpoints().filter(owns).collect()
    }

    /// Sets whether every host knows that an endpoint is leaving.
    pub fn set_leaving(&mut self, endpoint: entity::EndpointId, leaving: bool) {
        self.directory.set_endpoint_leaving(endpoint, leaving);
        for directory in self.deviating.iter_mut().flatten() {
            directory.set_endpoint_leaving(endpoint, leaving);
        }
    }

    /// Sets whether `holder` believes that `host` is down.
    pub fn set_suspected(&mut self, holder: entity::HostId, host: entity::HostId, down: bool) {
        if down {
            let mut directory = self.directory.clone();
            directory.set_host_usable(host, false);
            self.deviating[holder.index()] = Some(directory);
        } else {
            self.deviating[holder.index()] = None;
        }
    }
}
