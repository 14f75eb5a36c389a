//! Content of a catalog.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::lists;

/// Version of a catalog. Versions grow, in steps of any size.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// Position of a route in [`Content::routes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteIndex(pub u32);

/// Position of a service in [`Content::services`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ServiceIndex(pub u32);

/// Position of an account in [`Content::accounts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AccountIndex(pub u32);

/// What may be repeated of a request, and what its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An idempotent call with one answer.
    Idempotent,
    /// A call with one answer that runs at most once.
    AtMostOnce,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another endpoint can go on with after its last event.
    ResumableStream,
}

impl Kind {
    /// Whether a second run does no harm.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceIndex,
    /// Share of the route's requests, relative to the weights of its other targets.
    pub weight: u32,
}

/// A rule that sends requests of one host name and path prefix to services.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Name in logs.
    pub name: Arc<str>,
    /// Host name in lower case, without a port.
    pub authority: Arc<str>,
    /// Path prefix. Invariant: begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: Option<Duration>,
    /// Time within which an answer (of a stream: its first event) is on time.
    pub target_latency: Option<Duration>,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Services. Invariant: at least one.
    pub targets: SmallVec<[Target; 2]>,
    /// Most endpoints that one request may be sent to. Invariant: at least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Target of a request, chosen by the weights. The same seed gives the same target.
    #[must_use]
    pub fn target(&self, seed: u64) -> ServiceIndex {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut point = seed % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return target.service;
            }
            point -= weight;
        }
        self.targets[0].service
    }
}

/// A pool of equal endpoints.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Name, as endpoints state it.
    pub name: Arc<str>,
    /// Most connections that one endpoint takes from all hosts together.
    pub max_connections: u32,
    /// Tokens that fit the memory of one engine; `None` for a plain service.
    pub memory_tokens: Option<u64>,
}

/// A client account and its keys.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// Name that endpoints are told.
    pub name: Arc<str>,
    /// Digests of the keys. The keys themselves are not kept.
    pub key_digests: Vec<lists::KeyDigest>,
    /// Rank that replaces the rank of the route.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that the head of a request may take.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Everything that one version of the configuration states.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Content {
    /// Version of the configuration.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}
