//! Hosts, endpoints and failure domains, as listed in the platform's host list.

use std::net;

use crate::{entity, name, request};

/// Whether an entry of the host list is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The entry is live.
    Live,
    /// The entry is leaving: it gets no new work and finishes the work that it has.
    Leaving,
}

/// An entry host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Id of the host.
    pub id: entity::HostId,
    /// Failure domain of the host.
    pub domain: entity::DomainId,
    /// Address at which the host accepts links from other hosts.
    pub addr: net::SocketAddr,
    /// Whether the host is live.
    pub presence: Presence,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Serves {
    /// A model engine.
    Engine {
        /// Models that the engine has loaded.
        models: Vec<name::ModelName>,
    },
    /// A replica of a plain service.
    Service {
        /// Name of the service.
        name: name::ServiceName,
    },
}

impl Serves {
    /// Whether the endpoint serves the target.
    #[must_use]
    pub fn includes(&self, target: &request::Target) -> bool {
        match (self, target) {
            (Self::Engine { models }, request::Target::Model(model)) => models.contains(model),
            (Self::Service { name }, request::Target::Service(service)) => name == service,
            _ => false,
        }
    }
}

/// A replica of a model engine or of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: entity::EndpointId,
    /// Failure domain of the endpoint.
    pub domain: entity::DomainId,
    /// Address of its HTTP service.
    pub addr: net::SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is live.
    pub presence: Presence,
}

/// A failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Id of the domain.
    pub id: entity::DomainId,
    /// Region of the domain.
    pub region: entity::RegionId,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Version of the list. A larger version is newer.
    pub version: u64,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}
