//! Findings of the verifier, each with its place in the catalog.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{AccountIndex, RouteIndex, ServiceIndex, Version};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Hosts use the catalog; what is found has probably no effect or one that nobody wants.
    Warning,
    /// Hosts use the catalog, but not as it is written.
    Error,
    /// Hosts refuse the catalog and keep the version that they have.
    Refusal,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warning => "warning",
            Self::Error => "error",
            Self::Refusal => "refused",
        })
    }
}

/// Field of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteField {
    /// Its name.
    Name,
    /// Its host name.
    Authority,
    /// Its path prefix.
    Prefix,
    /// Whether requests may be retried, and whether the response is a stream.
    Kind,
    /// Whether its streams may be resumed.
    Resumption,
    /// Its timeout.
    Timeout,
    /// Its latency target.
    TargetLatency,
    /// Its priority.
    Priority,
    /// All its services.
    Targets,
    /// The service at a position among its services.
    Target(usize),
    /// The service that stands beside a list of services.
    SingleTarget,
    /// Its number of attempts.
    MaxAttempts,
    /// Whether its requests need an API key.
    IsPublic,
}

/// Field of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServiceField {
    /// Its name.
    Name,
    /// Connections to one endpoint.
    MaxConnections,
    /// Tokens that fit into an engine.
    Memory,
    /// Rate of cold endpoints.
    ColdRate,
}

/// Field of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccountField {
    /// Its name.
    Name,
    /// All its API keys.
    Keys,
    /// The API key at a position among its keys.
    Key(usize),
    /// Its priority.
    Priority,
}

/// One of the limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitField {
    /// Size of the request line and headers.
    HeadBytes,
    /// Size of the body.
    BodyBytes,
    /// Timeout of the request line and headers.
    HeadTimeout,
    /// Timeout of idle connections.
    IdleTimeout,
}

/// Part of a catalog that a finding or a difference is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The text as a whole.
    Document,
    /// The version.
    Version,
    /// A route.
    Route(RouteIndex, RouteField),
    /// A service.
    Service(ServiceIndex, ServiceField),
    /// A client account.
    Account(AccountIndex, AccountField),
    /// A limit on callers.
    Limit(LimitField),
}

/// What is wrong. Names no API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The text cannot be read.
    Unreadable(String),
    /// A time is not a number of milliseconds that can be used.
    InvalidTime(String),
    /// A route has no service.
    NoTarget {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A route is never used, since a later one has the same host name and prefix.
    RouteReplaced {
        /// Name of the later route.
        by: Arc<str>,
    },
    /// No path matches a prefix.
    PrefixNeverMatches,
    /// No request has the host name.
    AuthorityNeverMatches,
    /// A route needs an API key, and no account has any.
    NoKeyForRoute,
    /// Another route has the same name.
    RouteNameTwice,
    /// A route names a service that is not configured. It is used with defaults.
    ServiceUnknown {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A service of a route has no weight, so no request goes there.
    TargetNeverChosen {
        /// Name of the service.
        service: Arc<str>,
    },
    /// No service of a route has a weight. All requests go to the first.
    NoWeight,
    /// A weight is negative and counts as zero.
    NegativeWeight,
    /// A route names a service twice.
    TargetTwice {
        /// Name of the service.
        service: Arc<str>,
    },
    /// The service beside a list of services is ignored.
    SingleTargetIgnored,
    /// A kind of route that is not known. Its requests are never retried.
    UnknownKind {
        /// The kind as it is written.
        kind: String,
    },
    /// Streams may be resumed, but the route has none.
    ResumptionWithoutStream,
    /// A route allows no attempt. One is made.
    NoAttempt,
    /// The timeout is over before the latency target is.
    TimeoutBelowTarget {
        /// The timeout.
        timeout: Duration,
        /// The latency target.
        target: Duration,
    },
    /// A time is zero, so that nothing can be in time.
    ZeroTime,
    /// A size or a number is zero, so that nothing passes.
    Zero,
    /// A service is never used, since a later one has the same name.
    ServiceReplaced,
    /// No route sends requests to a service.
    ServiceUnused,
    /// A rate is no number, or negative. It counts as none.
    InvalidRate,
    /// Another account has the same name.
    AccountTwice,
    /// An account without an API key.
    AccountWithoutKey,
    /// An API key is empty.
    EmptyKey,
    /// An account has an API key twice.
    KeyTwice,
    /// An API key counts for a later account that has it too.
    KeyReplaced {
        /// Name of the later account.
        by: Arc<str>,
    },
    /// There are no accounts, so routes that need an API key are open to everybody.
    OpenToEverybody,
    /// Heads may be larger than bodies.
    HeadAboveBody {
        /// Size of a head, in bytes.
        head: usize,
        /// Size of a body, in bytes.
        body: usize,
    },
    /// A head may take longer than a connection may be idle.
    HeadTimeoutAboveIdle {
        /// Timeout of a head.
        head: Duration,
        /// Timeout of an idle connection.
        idle: Duration,
    },
    /// The version is not above the one in force, so hosts ignore it.
    NotNewer {
        /// The version in force.
        in_force: Version,
    },
}

impl Fault {
    /// How serious it is.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::Unreadable(_) | Self::InvalidTime(_) | Self::NoTarget { .. } => Severity::Refusal,
            Self::RouteReplaced { .. }
            | Self::PrefixNeverMatches
            | Self::AuthorityNeverMatches
            | Self::NoKeyForRoute
            | Self::NegativeWeight
            | Self::UnknownKind { .. }
            | Self::NoAttempt
            | Self::TimeoutBelowTarget { .. }
            | Self::ZeroTime
            | Self::Zero
            | Self::ServiceReplaced
            | Self::InvalidRate
            | Self::AccountTwice
            | Self::EmptyKey
            | Self::KeyReplaced { .. }
            | Self::NotNewer { .. } => Severity::Error,
            Self::RouteNameTwice
            | Self::ServiceUnknown { .. }
            | Self::TargetNeverChosen { .. }
            | Self::NoWeight
            | Self::TargetTwice { .. }
            | Self::SingleTargetIgnored
            | Self::ResumptionWithoutStream
            | Self::ServiceUnused
            | Self::AccountWithoutKey
            | Self::KeyTwice
            | Self::OpenToEverybody
            | Self::HeadAboveBody { .. }
            | Self::HeadTimeoutAboveIdle { .. } => Severity::Warning,
        }
    }
}

impl Fault {
    /// Text of a fault that has no values.
    const fn fixed_text(&self) -> Option<&'static str> {
        Some(match self {
            Self::RouteNameTwice => "another route has this name",
            Self::NegativeWeight => "a negative weight counts as zero",
            Self::NoAttempt => "allows no attempt; one is made",
            Self::ZeroTime => "zero: nothing can be in time",
            Self::Zero => "zero: nothing passes",
            Self::ServiceUnused => "no route sends requests to the service",
            Self::InvalidRate => "not a rate; it counts as none",
            Self::AccountTwice => "another account has this name",
            Self::AccountWithoutKey => "the account has no API key",
            Self::EmptyKey => "the API key is empty",
            Self::KeyTwice => "the account has this API key twice",
            Self::PrefixNeverMatches => {
                "never matches: a prefix begins and ends with a slash and has no query or fragment"
            }
            Self::AuthorityNeverMatches => "never matches: a host name has no port, path or space",
            Self::NoKeyForRoute => {
                "never served: the route needs an API key, and no account has one"
            }
            Self::NoWeight => "no service has a weight, so the first gets every request",
            Self::SingleTargetIgnored => "ignored, since the route has a list of services",
            Self::ResumptionWithoutStream => {
                "no effect: only streams that are declared as such are resumed"
            }
            Self::ServiceReplaced => "without effect: a later service has the same name",
            Self::OpenToEverybody => {
                "without accounts, this route needs no API key and is open to all"
            }
            _ => return None,
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(cause) => write!(f, "cannot be read: {cause}"),
            Self::InvalidTime(cause) => write!(f, "no usable time: {cause}"),
            Self::NoTarget { route } => write!(f, "route {route} has no service"),
            Self::RouteReplaced { by } => write!(
                f,
                "never matches: the later route {by} has the same host name and prefix"
            ),
            Self::ServiceUnknown { service } => {
                write!(
                    f,
                    "service {service} is not configured; defaults are used for it"
                )
            }
            Self::TargetNeverChosen { service } => {
                write!(f, "service {service} has no weight, so it gets no request")
            }
            Self::TargetTwice { service } => write!(f, "service {service} is named twice"),
            Self::UnknownKind { kind } => {
                write!(
                    f,
                    "kind {kind:?} is not known; requests are sent at most once"
                )
            }
            Self::TimeoutBelowTarget { timeout, target } => write!(
                f,
                "the timeout of {timeout:?} is over before the latency target of {target:?}"
            ),
            Self::KeyReplaced { by } => {
                write!(f, "the API key counts for the later account {by}")
            }
            Self::HeadAboveBody { head, body } => {
                write!(
                    f,
                    "heads of {head} bytes are allowed, bodies only of {body}"
                )
            }
            Self::HeadTimeoutAboveIdle { head, idle } => write!(
                f,
                "a head may take {head:?}, an idle connection is closed after {idle:?}"
            ),
            Self::NotNewer { in_force } => {
                write!(
                    f,
                    "not above {in_force}, which is in force: hosts ignore it"
                )
            }
            _ => f.write_str(self.fixed_text().unwrap_or_default()),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document => f.write_str("document"),
            Self::Version => f.write_str("version"),
            Self::Route(index, field) => write!(f, "route {} {field:?}", index.0),
            Self::Service(index, field) => write!(f, "service {} {field:?}", index.0),
            Self::Account(index, field) => write!(f, "account {} {field:?}", index.0),
            Self::Limit(field) => write!(f, "limit {field:?}"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where it stands.
    pub place: Place,
    /// What is wrong.
    pub fault: Fault,
}

impl Finding {
    /// A finding at a place.
    #[must_use]
    pub const fn new(place: Place, fault: Fault) -> Self {
        Self { place, fault }
    }

    /// How serious it is.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        self.fault.severity()
    }
}
