//! What is known of one endpoint.

use std::fmt;
use std::net;
use std::sync::Arc;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes what it has and then leaves.
    Leaving,
}

/// One life of an endpoint. Its address may come to belong to another one, and its id to a later
/// life that knows nothing of this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// Id that the endpoint gave itself.
    pub id: Arc<str>,
    /// Start of this life, in milliseconds since the Unix epoch; 0 if it was not told.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

impl Identity {
    /// Hash that every host computes alike.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.started_at_ms)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_at_ms)
    }
}

/// An endpoint as its entry describes it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Endpoint {
    /// Which life of which endpoint it is.
    pub identity: Identity,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address that takes requests.
    pub address: net::SocketAddr,
    /// Failure domain that it stands in.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Number of the write of its entry, which grows within one life.
    pub heartbeat: u64,
}

impl Endpoint {
    /// Whether both describe the same endpoint, whenever they were written.
    #[must_use]
    pub fn eq_ignoring_heartbeat(&self, other: &Self) -> bool {
        let Self {
            identity,
            service,
            address,
            domain,
            slots,
            state,
            heartbeat: _,
        } = self;
        *identity == other.identity
            && *service == other.service
            && *address == other.address
            && *domain == other.domain
            && *slots == other.slots
            && *state == other.state
    }

    /// Whether this entry was written before the other one, whatever order they arrived in. A
    /// write that was held up on its way may come after the writes that followed it.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        let age = |endpoint: &Self| (endpoint.identity.started_at_ms, endpoint.heartbeat);
        self.identity.id == other.identity.id && age(self) < age(other)
    }
}
