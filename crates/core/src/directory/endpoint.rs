//! An endpoint and its identity.

use std::fmt;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use crate::directory::SoftwareVersion;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes the work that it has and then leaves.
    Leaving,
}

/// Identity of one incarnation of an endpoint. Its address may be reassigned to another endpoint,
/// and its id may be reused by a later incarnation that has none of its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// Id under which the endpoint registered itself.
    pub id: Arc<str>,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 if it is not known.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

impl Identity {
    /// Hash of the identity, the same on every host.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.started_at_ms)
    }

    /// Whether the identity distinguishes this incarnation from others under the same id.
    #[must_use]
    pub const fn is_distinct(&self) -> bool {
        self.started_at_ms != 0
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_at_ms)
    }
}

/// Key of one incarnation of an endpoint, the same on every host.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationKey(u64);

impl IncarnationKey {
    /// Key of an incarnation.
    #[must_use]
    pub fn of(identity: &Identity) -> Self {
        Self(identity.hash())
    }

    /// Key with this value.
    #[must_use]
    pub const fn new(key: u64) -> Self {
        Self(key)
    }
}

impl fmt::Display for IncarnationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An endpoint, as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Endpoint {
    /// Identity of this incarnation.
    pub identity: Identity,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address that accepts requests.
    pub address: net::SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Version of its software, or `None` if the host that forwarded the entry did not state it.
    /// Hosts state it in a message of its own.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
    /// Sequence number of the write of its entry, which grows within one incarnation.
    pub heartbeat: u64,
    /// Time for which it stayed cold when it wrote its entry. Zero in entries that another host
    /// forwarded; hosts tell each other of cold endpoints in a message of its own.
    #[serde(skip)]
    pub cold_time: Duration,
}

impl Endpoint {
    /// Whether both entries are equal except for their heartbeats.
    #[must_use]
    pub fn eq_ignoring_heartbeat(&self, other: &Self) -> bool {
        let Self {
            identity,
            service,
            address,
            domain,
            slots,
            state,
            version,
            heartbeat: _,
            cold_time: _,
        } = self;
        *identity == other.identity
            && *service == other.service
            && *address == other.address
            && *domain == other.domain
            && *slots == other.slots
            && *state == other.state
            && *version == other.version
    }

    /// Whether this entry was written before the other one, regardless of the order of their
    /// revisions. A delayed write may reach the store after writes that were sent later.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        let order = |endpoint: &Self| (endpoint.identity.started_at_ms, endpoint.heartbeat);
        self.identity.id == other.identity.id && order(self) < order(other)
    }
}
