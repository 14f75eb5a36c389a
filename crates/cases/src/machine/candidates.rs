//! The candidates of chats and the owners of endpoints, as one host sees them.
//!
//! The fleet of a case has equal failure domains, numbered through: with two hosts a domain,
//! `host2` is the first of `dom1`. Engines come before services within each domain.

use std::net;

use pistachiochute_core::routing::candidates;
use pistachiochute_core::{entity, name, request, topology};

use pistachiochute_core::entity::Entity as _;

/// Requests that an endpoint of a case runs at once.
const SLOTS: u32 = 8;

/// Settings of the machine: the fleet. Counts are for each failure domain.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Failure domains, all of one region.
    domains: usize,
    /// Entry hosts.
    hosts: usize,
    /// Engines.
    engines: usize,
    /// Model that every engine has loaded.
    model: name::ModelName,
    /// Replicas of the service.
    services: usize,
    /// Name of the service.
    service: name::ServiceName,
    /// Where the home domain of a chat may lie.
    #[serde(default)]
    spread: candidates::Spread,
}

/// Event of the machine.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// The candidates of a chat are asked for.
    Candidates {
        /// Account of the chat.
        account: name::AccountName,
        /// Name that the caller gives the chat.
        chat: String,
        /// Failure domain of the entry host.
        local: entity::DomainId,
    },
    /// The first candidates of many chats are compared with those of the last such event.
    Homes {
        /// Account of the chats.
        account: name::AccountName,
        /// Number of chats.
        chats: u64,
        /// Failure domain of the entry host.
        local: entity::DomainId,
    },
    /// The owner of an endpoint is asked for.
    Owner(entity::EndpointId),
    /// An endpoint is known to be leaving.
    EndpointLeaving(entity::EndpointId),
    /// An endpoint fails its health checks.
    EndpointDown(entity::EndpointId),
    /// An endpoint passes its health checks again.
    EndpointUp(entity::EndpointId),
    /// A host cannot be reached.
    HostDown(entity::HostId),
    /// A host can be reached again.
    HostUp(entity::HostId),
}

/// Outcome of an event.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Candidates in order.
    Candidates(Vec<entity::EndpointId>),
    /// First candidates of many chats.
    Homes {
        /// Chats whose first candidate has changed.
        moved: usize,
        /// Chats of the endpoint with the most.
        most: usize,
        /// Chats of the endpoint with the fewest, among those with any.
        fewest: usize,
        /// Endpoints that have chats.
        endpoints: usize,
    },
    /// Owner of an endpoint.
    Owner(Option<entity::HostId>),
}

/// The machine.
#[derive(Debug)]
pub struct Machine {
    directory: candidates::Directory,
    target: request::Target,
    /// First candidates at the last comparison.
    homes: Vec<Option<entity::EndpointId>>,
}

impl Machine {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            directory: candidates::Directory::new(&host_list(cfg), cfg.spread),
            target: request::Target::Model(cfg.model.clone()),
            homes: Vec::new(),
        }
    }

    pub(super) fn apply(&mut self, event: Event) -> Option<Outcome> {
        match event {
            Event::Candidates {
                account,
                chat,
                local,
            } => {
                let key = request::ChatKey::new(&account, chat.as_bytes());
                let candidates = self.candidates(key, local);
                return Some(Outcome::Candidates(candidates.to_vec()));
            }
            Event::Homes {
                account,
                chats,
                local,
            } => return Some(self.compare_homes(&account, chats, local)),
            Event::Owner(endpoint) => return Some(Outcome::Owner(self.directory.owner(endpoint))),
            Event::EndpointLeaving(id) => self.directory.set_endpoint_leaving(id, true),
            Event::EndpointDown(id) => self.directory.set_endpoint_usable(id, false),
            Event::EndpointUp(id) => self.directory.set_endpoint_usable(id, true),
            Event::HostDown(id) => self.directory.set_host_usable(id, false),
            Event::HostUp(id) => self.directory.set_host_usable(id, true),
        }
        None
    }

    fn candidates(&self, key: request::ChatKey, local: entity::DomainId) -> candidates::Candidates {
        let mut candidates = candidates::Candidates::new();
        self.directory
            .candidates(key.0, &self.target, local, &mut candidates);
        candidates
    }

    fn compare_homes(
        &mut self,
        account: &name::AccountName,
        chats: u64,
        local: entity::DomainId,
    ) -> Outcome {
        let home = |chat: u64| {
            let key = request::ChatKey::new(account, &chat.to_le_bytes());
            self.candidates(key, local).first().copied()
        };
        let homes: Vec<_> = (0..chats).map(home).collect();
        let moved = homes
            .iter()
            .zip(&self.homes)
            .filter(|(a, b)| a != b)
            .count();
        let counts = counts(&homes);
        self.homes = homes;
        Outcome::Homes {
            moved,
            most: counts.iter().copied().max().unwrap_or(0),
            fewest: counts.iter().copied().min().unwrap_or(0),
            endpoints: counts.len(),
        }
    }
}

/// Chats of each endpoint that has any.
fn counts(homes: &[Option<entity::EndpointId>]) -> Vec<usize> {
    let mut sorted: Vec<_> = homes.iter().flatten().collect();
    sorted.sort_unstable();
    sorted.chunk_by(|a, b| a == b).map(<[_]>::len).collect()
}

fn host_list(cfg: &Config) -> topology::HostList {
    let region = entity::RegionId::from_index(0);
    let mut list = topology::HostList {
        version: 1,
        ..topology::HostList::default()
    };
    for d in 0..cfg.domains {
        let id = entity::DomainId::from_index(d);
        list.domains.push(topology::Domain { id, region });
        list.hosts.extend((0..cfg.hosts).map(|h| host(cfg, d, h)));
        let endpoints = (0..cfg.engines + cfg.services).map(|e| endpoint(cfg, d, e));
        list.endpoints.extend(endpoints);
    }
    list
}

fn host(cfg: &Config, domain: usize, h: usize) -> topology::Host {
    topology::Host {
        id: entity::HostId::from_index(domain * cfg.hosts + h),
        domain: entity::DomainId::from_index(domain),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        presence: topology::Presence::Live,
    }
}

fn endpoint(cfg: &Config, domain: usize, e: usize) -> topology::Endpoint {
    let serves = if e < cfg.engines {
        topology::Serves::Engine {
            models: vec![cfg.model.clone()],
        }
    } else {
        topology::Serves::Service {
            name: cfg.service.clone(),
        }
    };
    topology::Endpoint {
        id: entity::EndpointId::from_index(domain * (cfg.engines + cfg.services) + e),
        domain: entity::DomainId::from_index(domain),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        serves,
        slots: SLOTS,
        presence: topology::Presence::Live,
    }
}
