//! Content of a catalog.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::{lists, rate_limits};

/// Version of a catalog. Later catalogs have larger versions, not necessarily consecutive ones.
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub u32);

/// Position of a service in [`Content::services`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ServiceIndex(pub u32);

/// Position of an account in [`Content::accounts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountIndex(pub u32);

/// Whether the requests of a route may be retried, and whether the response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// An idempotent call with a single response.
    Idempotent,
    /// A call with a single response that must run at most once.
    AtMostOnce,
    /// A stream of events that must run at most once.
    Stream,
    /// A stream of events that another endpoint can resume after the last received event.
    ResumableStream,
}

impl RequestKind {
    /// Whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route sends requests to, with its weight.
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
    /// Whether requests may be retried, and whether the response is a stream.
    pub kind: RequestKind,
    /// Timeout of a request, including retries.
    pub timeout: Option<Duration>,
    /// Latency target of the response; for a stream, of its first event.
    pub target_latency: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests by weight. Invariant: at least one.
    pub targets: SmallVec<[Target; 2]>,
    /// Maximum number of endpoints that one request is sent to. Invariant: at least 1.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// Selects the service of a request by weight. The same seed gives the same service.
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

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Name of the service, as in the entries of its endpoints.
    pub name: Arc<str>,
    /// Maximum number of connections to one endpoint, from all hosts together.
    pub max_connections: u32,
    /// Tokens that fit into the KV cache of one engine, or `None` for a service without engines.
    pub memory_tokens: Option<u64>,
    /// Requests a second that an endpoint bears while it is cold, if that is limited. Not known to a
    /// host that has the catalog from another one, which tells it of cold endpoints.
    #[serde(skip)]
    pub cold_rate: Option<rate_limits::RequestRate>,
}

/// A client account and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// Name of the account, which endpoints receive with each request.
    pub name: Arc<str>,
    /// Digests of the API keys. The keys themselves are not stored.
    pub key_digests: Vec<lists::KeyDigest>,
    /// Priority that replaces the priority of the route.
    pub priority: Option<u8>,
}

/// Who may send requests to routes that are not public.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(from = "Vec<Account>")]
pub enum Accounts {
    /// Everybody: no key is asked for.
    Open,
    /// Whoever has a key of one of these accounts. Without accounts that is nobody.
    Keyed(Vec<Account>),
}

impl Accounts {
    /// The accounts.
    #[must_use]
    pub fn as_slice(&self) -> &[Account] {
        match self {
            Self::Open => &[],
            Self::Keyed(accounts) => accounts,
        }
    }
}

/// Stands for "nobody" between hosts, whose format has a list in which none stands for "everybody".
fn nobody() -> Account {
    Account {
        name: "".into(),
        key_digests: Vec::new(),
        priority: None,
    }
}

impl From<Vec<Account>> for Accounts {
    /// Reads the list that hosts tell each other.
    fn from(accounts: Vec<Account>) -> Self {
        match &accounts[..] {
            [] => Self::Open,
            [only] if *only == nobody() => Self::Keyed(Vec::new()),
            _ => Self::Keyed(accounts),
        }
    }
}

impl serde::Serialize for Accounts {
    /// Writes the list that hosts tell each other.
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        match self {
            Self::Keyed(accounts) if accounts.is_empty() => {
                [nobody()].as_slice().serialize(serializer)
            }
            Self::Open | Self::Keyed(_) => self.as_slice().serialize(serializer),
        }
    }
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the request line and headers.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Content of one version of the catalog.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Content {
    /// Version of the catalog.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Accounts,
    /// Limits on callers.
    pub limits: CallerLimits,
}
