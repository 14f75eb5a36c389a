//! Messages between hosts that call endpoints directly.
//!
//! A host opens one long-lived stream to each host that it is linked with, and sends its messages
//! on it as frames. The other host's messages arrive on the stream that the other host opens.

use std::net;
use std::sync::Arc;

use pistachiochute_core::choice::load;
use pistachiochute_core::{catalog, directory, quarantine, rate_limits, revision, streams};

use crate::catalog_parts;

/// A part of a prompt that an endpoint processes and therefore keeps in its cache for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct CachedPart {
    /// Key of the part, from `prompt::part_key`.
    pub part: u64,
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
}

/// Versions of the catalog and of the endpoint entries that a host has.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct StateVersion {
    /// Version of the host's current catalog, or `None` if it has none.
    pub catalog: Option<catalog::Version>,
    /// Revision of the store up to which, inclusively, the host has all changes of the endpoints
    /// in use.
    pub endpoints: revision::Revision,
}

/// The last state of one endpoint entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointRecord {
    /// Key of the entry in the store.
    pub key: Arc<str>,
    /// Revision of the last change.
    pub revision: revision::Revision,
    /// The endpoint, or `None` if the entry was removed or could not be decoded.
    pub endpoint: Option<directory::Endpoint>,
}

/// Health of a host's connection to the store. Each field is an age when the message is sent, in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreHealth {
    /// Time since the host last confirmed that its catalog was the newest one.
    pub catalog_age_ms: u32,
    /// Time since which every call to the store has been answered.
    pub steady_ms: u32,
    /// Time since the last answer of the store.
    pub answered_ms: u32,
}

/// Software version of an endpoint. It is not part of an [`EndpointRecord`], whose encoding is fixed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointVersion {
    /// Identity of the incarnation.
    pub identity: directory::Identity,
    /// Version of its software.
    pub version: directory::SoftwareVersion,
}

/// Header in which the host that accepts a link names its optional [`Feature`]s.
pub const FEATURES_HEADER: &str = "link-features";

/// Messages that a host reads only if it announces so. A host that does not know a message closes
/// the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// The messages about the software versions that began streams.
    StreamVersions,
    /// The messages about parts of prompts that crash endpoints.
    Quarantine,
    /// The messages about limits that endpoints name.
    EndpointLimits,
    /// The messages about endpoints that say that they leave.
    EndpointDepartures,
    /// Evidence about parts of prompts with the times at which requests were sent.
    CrashTimes,
    /// The messages about failure domains that operators evacuate.
    Evacuations,
    /// The messages about endpoints that are cold.
    ColdEndpoints,
    /// The messages about the connections over which streams began.
    StreamBeginnings,
    /// Questions for what a host knows of the endpoints, and their answers.
    EndpointKnowledge,
    /// Epochs of the store.
    StoreEpochs,
    /// Catalogs in parts.
    CatalogParts,
}

impl Feature {
    /// Every feature.
    pub const ALL: [Self; 11] = [
        Self::StreamVersions,
        Self::Quarantine,
        Self::EndpointLimits,
        Self::EndpointDepartures,
        Self::CrashTimes,
        Self::Evacuations,
        Self::ColdEndpoints,
        Self::StreamBeginnings,
        Self::EndpointKnowledge,
        Self::StoreEpochs,
        Self::CatalogParts,
    ];

    /// Name in [`FEATURES_HEADER`].
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::StreamVersions => "stream-versions",
            Self::Quarantine => "quarantine",
            Self::EndpointLimits => "endpoint-limits",
            Self::EndpointDepartures => "endpoint-departures",
            Self::CrashTimes => "crash-times",
            Self::Evacuations => "evacuations",
            Self::ColdEndpoints => "cold-endpoints",
            Self::StreamBeginnings => "stream-beginnings",
            Self::EndpointKnowledge => "endpoint-knowledge",
            Self::StoreEpochs => "store-epochs",
            Self::CatalogParts => "catalog-parts",
        }
    }

    /// Whether a value of [`FEATURES_HEADER`], a list separated by commas, names the feature.
    #[must_use]
    pub fn is_in(self, header: &str) -> bool {
        header.split(',').any(|name| name.trim() == self.as_str())
    }
}

/// Beginning of a stream, as in [`streams::Beginning`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BeginningRecord {
    /// The stream and where it began.
    pub stream: streams::StreamOrigin,
    /// Incarnation whose entry the sender connected by, or that the process said to be.
    pub incarnation: streams::IncarnationTag,
    /// Time since the connection was made when the message is sent, in milliseconds, rounded down. The
    /// time on the way makes the connection older, so that it was made before this time is over.
    pub connected_ms: u32,
    /// Whether the process at the other end is known: to be the one of the entry, or with
    /// [`streams::VersionTag::UNLISTED`] to be `incarnation`, whose version its entry tells.
    pub is_shown: bool,
}

/// Crash of an endpoint, as in [`quarantine::Crash`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashRecord {
    /// The incarnation that ended.
    pub incarnation: quarantine::IncarnationKey,
    /// Time since its end when the message is sent, in milliseconds.
    pub age_ms: u32,
    /// Keys of each request whose answer had not gone on.
    pub prompts: Vec<quarantine::Parts>,
}

/// Proof of a part of prompts, as in [`quarantine::Proof`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ProofRecord {
    /// The part.
    pub part: quarantine::PartKey,
    /// Time since the answer went on when the message is sent, in milliseconds.
    pub age_ms: u32,
}

/// Accused parts of prompts, as in [`quarantine::Accusation`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AccusationRecord {
    /// Prompts with all of these parts are refused.
    pub parts: quarantine::Parts,
    /// Time since the first crash when the message is sent, in milliseconds.
    pub age_ms: u32,
    /// Time until the quarantine is over, in milliseconds.
    pub remaining_ms: u32,
}

/// Evidence and accusations, as in [`quarantine::Update`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct QuarantineUpdate {
    /// Answers that went on. Applied first.
    pub proofs: Vec<ProofRecord>,
    /// Crashes of endpoints.
    pub crashes: Vec<CrashRecord>,
    /// Accusations. Applied last.
    pub accusations: Vec<AccusationRecord>,
}

/// Limit that an endpoint named, as in [`rate_limits::Statement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LimitRecord {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// The limit, or `None` if the endpoint no longer names one.
    pub limit: Option<rate_limits::RequestRate>,
    /// Time since the answer arrived when the message is sent, in milliseconds.
    pub age_ms: u32,
}

/// An endpoint that has said that it leaves, as in [`directory::Departure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DepartureRecord {
    /// The incarnation that leaves.
    pub endpoint: directory::IncarnationKey,
    /// Time since it was last seen when the message is sent, in milliseconds.
    pub age_ms: u32,
}

/// What an operator has last said of a failure domain, as in [`directory::Evacuation`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EvacuationRecord {
    /// The domain.
    pub domain: Arc<str>,
    /// Revision at which the store wrote or removed the entry.
    pub revision: revision::Revision,
    /// Whether the domain is evacuated, or was taken back.
    pub is_evacuated: bool,
}

/// An endpoint that is cold, or was until lately, as in [`directory::ColdEndpoint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ColdRecord {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// Revision of its entry.
    pub revision: revision::Revision,
    /// Requests that it bears from all hosts together.
    pub rate: rate_limits::RequestRate,
    /// Time for which it stays cold when the message is sent, in milliseconds.
    pub remaining_ms: u32,
}

/// A message to another host. Encoded by position: the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Identifies the sender. The first message on each stream.
    Hello {
        /// Name of the sending host.
        host: Arc<str>,
        /// Address at which the sender accepts streams of other hosts.
        links: net::SocketAddr,
        /// Failure domain of the sender.
        domain: Arc<str>,
        /// Time since the sender started, in milliseconds.
        up_ms: u32,
    },
    /// Periodic status of the sender.
    Status {
        /// Versions that the sender has.
        known: StateVersion,
        /// Health of the sender's connection to the store.
        store: StoreHealth,
        /// Load that the sender puts on each endpoint, or `None` if unchanged since the last
        /// status.
        loads: Option<Vec<load::EndpointLoad>>,
    },
    /// Endpoint loads of other hosts, aggregated by a relay: for a relay of another domain, the
    /// loads of the sender's domain; for a host of its own domain, the loads of all other hosts.
    Carried(Vec<load::EndpointLoad>),
    /// Prompt parts that endpoints started to process for the sender. On a new stream, all parts
    /// that the sender has a record of.
    Holdings(Vec<CachedPart>),
    /// Requests the catalog and the endpoint records that are newer than these versions.
    Want(StateVersion),
    /// A catalog, in response to [`Message::Want`].
    Catalog(Box<catalog::Content>),
    /// Endpoint records, in response to [`Message::Want`].
    Endpoints {
        /// Revision up to which, inclusively, the receiver has all changes once it has applied the
        /// records.
        complete: revision::Revision,
        /// Records that are newer than the requested versions.
        records: Vec<EndpointRecord>,
    },
    /// Origins of streams that endpoints began for the sender.
    StreamOrigins(Vec<streams::StreamOrigin>),
    /// Asks for the version that began a stream.
    OriginQuery {
        /// Number that the answer repeats.
        id: u32,
        /// The stream, if it is known.
        stream: Option<streams::StreamKey>,
        /// Service that serves the stream.
        service: Arc<str>,
        /// Longest time since the stream can have begun, in milliseconds.
        span_ms: u32,
    },
    /// Answers [`Message::OriginQuery`].
    OriginAnswer {
        /// Number of the query.
        id: u32,
        /// The version, or `None` if the sender cannot determine it.
        version: Option<streams::VersionTag>,
    },
    /// Software versions of the endpoints in the next [`Message::Endpoints`] of the sender.
    EndpointVersions(Vec<EndpointVersion>),
    /// Evidence about parts of prompts that crash endpoints. On a new stream, all that the sender
    /// has.
    Quarantine(QuarantineUpdate),
    /// Limits that endpoints have named, or no longer name. On a new stream, all that the sender
    /// knows.
    EndpointLimits(Vec<LimitRecord>),
    /// Endpoints that have said that they leave. On a new stream, all that the sender knows.
    EndpointDepartures(Vec<DepartureRecord>),
    /// What [`Message::Quarantine`] says, with the times at which the requests of its crashes were sent.
    TimedQuarantine {
        /// Evidence.
        update: QuarantineUpdate,
        /// For each crash and each of its requests, the time since it was sent when the message is
        /// sent, in milliseconds, if it is known.
        sent_ages_ms: Vec<Vec<Option<u32>>>,
    },
    /// What operators have last said of failure domains. On a new stream, all that the sender knows.
    Evacuations(Vec<EvacuationRecord>),
    /// Endpoints that are cold, or no longer are. On a new stream, all that are cold.
    ColdEndpoints(Vec<ColdRecord>),
    /// What [`Message::StreamOrigins`] says, with the connections over which the streams began.
    StreamBeginnings(Vec<BeginningRecord>),
    /// Answers [`Message::OriginQuery`] with what is not proven.
    OriginClaim {
        /// Number of the query.
        id: u32,
        /// What is recorded of the stream.
        beginning: BeginningRecord,
    },
    /// Asks up to when the receiver knows the endpoints.
    KnowledgeQuery {
        /// When the sender asked, by its own clock, in microseconds. The answer repeats it.
        asked_at_us: u64,
        /// Revision up to which the sender has all changes of the endpoints.
        after: revision::Revision,
    },
    /// Answers [`Message::KnowledgeQuery`]. Changes that the asker lacks have been sent before. A host that
    /// is in doubt itself does not answer.
    KnowledgeAnswer {
        /// The time of the query.
        asked_at_us: u64,
        /// Age of what the sender knew of the endpoints when the query arrived, in milliseconds, rounded up.
        age_ms: u32,
        /// Revision of the last change of the endpoints in use that the sender knew then.
        last_change: revision::Revision,
    },
    /// Epoch of the store to which the revisions in the following messages of the sender belong. One of an earlier
    /// epoch stands in them as none.
    StoreEpoch(revision::Epoch),
    /// A part of a catalog that does not fit into a frame, in response to [`Message::Want`].
    CatalogPart(catalog_parts::CatalogPart),
}

impl Message {
    /// Feature that the receiver must have announced, or `None` if every host reads the message.
    #[must_use]
    pub const fn feature(&self) -> Option<Feature> {
        match self {
            Self::Hello { .. }
            | Self::Status { .. }
            | Self::Carried(_)
            | Self::Holdings(_)
            | Self::Want(_)
            | Self::Catalog(_)
            | Self::Endpoints { .. } => None,
            Self::StreamOrigins(_)
            | Self::OriginQuery { .. }
            | Self::OriginAnswer { .. }
            | Self::EndpointVersions(_) => Some(Feature::StreamVersions),
            Self::Quarantine(_) => Some(Feature::Quarantine),
            Self::EndpointLimits(_) => Some(Feature::EndpointLimits),
            Self::EndpointDepartures(_) => Some(Feature::EndpointDepartures),
            Self::TimedQuarantine { .. } => Some(Feature::CrashTimes),
            Self::Evacuations(_) => Some(Feature::Evacuations),
            Self::ColdEndpoints(_) => Some(Feature::ColdEndpoints),
            Self::StreamBeginnings(_) | Self::OriginClaim { .. } => Some(Feature::StreamBeginnings),
            Self::KnowledgeQuery { .. } | Self::KnowledgeAnswer { .. } => {
                Some(Feature::EndpointKnowledge)
            }
            Self::StoreEpoch(_) => Some(Feature::StoreEpochs),
            Self::CatalogPart(_) => Some(Feature::CatalogParts),
        }
    }

    /// Name of the kind of message in logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Status { .. } => "status",
            Self::Carried(_) => "carried",
            Self::Holdings(_) => "holdings",
            Self::Want(_) => "want",
            Self::Catalog(_) => "catalog",
            Self::Endpoints { .. } => "endpoints",
            Self::StreamOrigins(_) => "stream_origins",
            Self::OriginQuery { .. } => "origin_query",
            Self::OriginAnswer { .. } => "origin_answer",
            Self::EndpointVersions(_) => "endpoint_versions",
            Self::Quarantine(_) => "quarantine",
            Self::EndpointLimits(_) => "endpoint_limits",
            Self::EndpointDepartures(_) => "endpoint_departures",
            Self::TimedQuarantine { .. } => "timed_quarantine",
            Self::Evacuations(_) => "evacuations",
            Self::ColdEndpoints(_) => "cold_endpoints",
            Self::StreamBeginnings(_) => "stream_beginnings",
            Self::OriginClaim { .. } => "origin_claim",
            Self::KnowledgeQuery { .. } => "knowledge_query",
            Self::KnowledgeAnswer { .. } => "knowledge_answer",
            Self::StoreEpoch(_) => "store_epoch",
            Self::CatalogPart(_) => "catalog_part",
        }
    }

    /// Feature whose message says the same and more, so that a receiver that announced it is not sent
    /// this one.
    #[must_use]
    pub const fn replaced_by(&self) -> Option<Feature> {
        match self {
            Self::Quarantine(_) => Some(Feature::CrashTimes),
            Self::StreamOrigins(_) => Some(Feature::StreamBeginnings),
            _ => None,
        }
    }
}
