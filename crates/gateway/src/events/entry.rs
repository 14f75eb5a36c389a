//! What the lines of the log say.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{
    catalog, choice, directory, outcome, quarantine, reason, revision, spill, streams,
};

/// Where a catalog or the entry of an endpoint came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another host, by name.
    Host(Arc<str>),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Host(name) => write!(f, "host {name}"),
        }
    }
}

impl Source {
    /// What changes from here prove.
    #[must_use]
    pub const fn kind(&self) -> directory::Source {
        match self {
            Self::Store => directory::Source::Store,
            Self::Host(_) => directory::Source::Host,
        }
    }
}

/// A change of the endpoints that a host uses.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLogEntry<'a> {
    /// Key of the entry.
    pub key: &'a str,
    /// Revision at which the store changed it.
    pub revision: revision::StoredRevision,
    /// The endpoint, or `None` if the entry was removed or cannot be used.
    pub endpoint: Option<&'a directory::Endpoint>,
    /// Where the change came from.
    pub source: &'a Source,
    /// Time since up to when the host knew all changes, when this one came.
    pub known_age: Duration,
}

/// Host that lends the permits of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lender<'a> {
    /// This one.
    This,
    /// Another one, by name.
    Host(&'a str),
    /// None: no user of the endpoint answers.
    None,
}

impl fmt::Display for Lender<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::This => f.write_str("this host"),
            Self::Host(name) => write!(f, "host {name}"),
            Self::None => f.write_str("none"),
        }
    }
}

/// Where a host learned that an endpoint leaves, other than from its entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeSource {
    /// An answer of the endpoint.
    Answer,
    /// Another host, by name.
    Host(Arc<str>),
}

impl fmt::Display for NoticeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer => f.write_str("answer"),
            Self::Host(name) => write!(f, "host {name}"),
        }
    }
}

/// Log entry of a catalog that came into force.
#[derive(Clone, Debug)]
pub struct CatalogLogEntry {
    /// Version of the catalog.
    pub version: catalog::Version,
    /// Number of routes.
    pub routes: usize,
    /// Limits on callers.
    pub limits: catalog::CallerLimits,
    /// Where the catalog came from.
    pub source: Source,
}

/// Log entry of a failed attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Endpoint that the attempt was sent to.
    pub endpoint: &'a directory::Identity,
    /// Predicted cost and tokens by which the endpoint was selected.
    pub choice: &'a choice::Choice,
    /// Name of the failure.
    pub failure: &'a str,
    /// Error text.
    pub cause: &'a str,
    /// Reason of the retry or of the refusal that follows.
    pub next: &'a str,
}

/// A question for a slot that did not give one at once.
#[derive(Clone, Copy, Debug)]
pub struct CallSlotLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Name of the client account, or empty.
    pub account: &'a str,
    /// What came of it.
    pub result: &'a str,
    /// Time from the question to its end.
    pub waited: Duration,
}

/// A prompt that did not run at once.
#[derive(Clone, Copy, Debug)]
pub struct PromptAdmissionLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Name of the client account, or empty.
    pub account: &'a str,
    /// What came of it.
    pub result: &'a str,
    /// What held it back.
    pub limit: &'a str,
    /// Time that it waited.
    pub waited: Duration,
    /// Requests in flight of the account, over the whole fleet.
    pub account_in_flight: u32,
    /// Fair share of each account.
    pub fair_share: f64,
}

/// Log entry of an answer that its endpoint broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAnswerLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Endpoint that broke the answer off.
    pub endpoint: &'a directory::Identity,
    /// What of the request may crash endpoints.
    pub keys: &'a [quarantine::PartKey],
    /// How far the answer was.
    pub progress: outcome::AnswerProgress,
    /// Time since the attempt began.
    pub after: Duration,
    /// Error text.
    pub cause: &'a str,
}

/// One part of a stream, from one endpoint or through another host.
#[derive(Clone, Debug)]
pub struct StreamPart {
    /// Endpoint that sent it, unless it came through another host.
    pub endpoint: Option<Arc<directory::Endpoint>>,
    /// What delimits it.
    pub framing: outcome::Framing,
    /// Id of the first event that the caller got of it, if it is known.
    pub first_event: Option<u64>,
    /// Id of the last one.
    pub last_event: Option<u64>,
    /// How it ended.
    pub end: outcome::PartEnd,
    /// Why it was broken off, or what shows that its end is the end of the stream.
    pub cause: String,
}

impl fmt::Display for StreamPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.endpoint {
            Some(endpoint) => {
                write!(f, "{}", endpoint.identity)?;
                let version = endpoint.version.as_ref();
                write!(f, " version {}", version.map_or("unknown", |v| v.as_str()))?;
            }
            None => f.write_str("another host")?,
        }
        match (self.first_event, self.last_event) {
            (Some(first), Some(last)) => write!(f, " events {first} to {last}")?,
            (None, Some(last)) => write!(f, " events to {last}")?,
            (_, None) => f.write_str(" no numbered event")?,
        }
        let (framing, end) = (self.framing.as_str(), self.end.as_str());
        write!(f, " delimited by {framing} {end}")?;
        match self.cause.is_empty() {
            true => Ok(()),
            false => write!(f, " ({})", self.cause),
        }
    }
}

/// Log entry of a stream that was broken off, resumed or delimited by its connection.
#[derive(Clone, Copy, Debug)]
pub struct StreamPartsLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Its parts, in order.
    pub parts: &'a [StreamPart],
    /// How the request ended.
    pub end: &'a str,
}

/// Log entry of a finished request.
#[derive(Clone, Debug)]
pub struct RequestLogEntry<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Name of the route, or empty if none matched.
    pub route: &'a str,
    /// Name of the client account, or empty if there is none.
    pub account: &'a str,
    /// Version of the catalog that the request was routed by.
    pub catalog: Option<catalog::Version>,
    /// Time since the catalog was last confirmed to be the newest one.
    pub catalog_age: Duration,
    /// HTTP status of the answer.
    pub status: u16,
    /// Reason, if the request was refused.
    pub reason: Option<reason::Refusal>,
    /// Whether an endpoint ran the request.
    pub outcome: outcome::Outcome,
    /// Whether another host has passed the request on; that host logs it as well.
    pub is_from_host: bool,
    /// Number of attempts before the answer began.
    pub attempts: u32,
    /// Endpoint of the last of these attempts, or empty if there was none.
    pub endpoint: &'a str,
    /// Predicted cost and tokens by which that endpoint was selected.
    pub choice: Option<choice::Choice>,
    /// Why it was sent to another failure domain, if it was.
    pub departure: Option<spill::Departure>,
    /// Time to the first event of a stream, or to the end of any other answer.
    pub time_to_first: Option<Duration>,
    /// Time to the end of the answer.
    pub duration: Duration,
    /// Stream events forwarded to the caller.
    pub events: u64,
    /// Longest time between two forwarded chunks of events.
    pub longest_gap: Duration,
    /// How the request ended.
    pub end: &'a str,
}

/// Log entry of a stream whose version is not known for certain.
#[derive(Clone, Copy, Debug)]
pub struct OriginLogEntry<'a> {
    /// The stream, if the request named it.
    pub stream: Option<streams::StreamKey>,
    /// Service that serves the stream.
    pub service: &'a str,
    /// Whether this host has a record of the stream.
    pub has_record: bool,
    /// Number of versions that the service has had lately.
    pub versions: usize,
    /// Time for which other hosts were asked.
    pub waited: Duration,
}

/// Proof of the version of an endpoint at which a stream is to go on.
#[derive(Clone, Copy, Debug)]
pub struct StreamVersionLogEntry<'a> {
    /// Id of the request that resumes the stream.
    pub request: &'a str,
    /// Endpoint that was selected.
    pub endpoint: &'a directory::Identity,
    /// Version of the stream.
    pub version: Option<streams::VersionTag>,
    /// What proved it, or what the endpoint's report said instead.
    pub proof: Result<&'static str, &'a str>,
    /// Time since the list of endpoints was last confirmed.
    pub list_age: Duration,
}

/// Data of the line about the record of a stream that is taken up and that was not proven.
#[derive(Clone, Copy, Debug)]
pub struct StreamClaimLogEntry {
    /// The stream.
    pub stream: streams::StreamKey,
    /// Version of the record.
    pub version: streams::VersionTag,
    /// Incarnation by whose entry the host connected that recorded it.
    pub incarnation: streams::IncarnationTag,
    /// Time since the connection was made, at least.
    pub connected_for: Duration,
    /// What proved it, or why nothing did.
    pub proof: Result<&'static str, &'static str>,
}
