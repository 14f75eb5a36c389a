//! Which version of a service's software began a stream.
//!
//! A stream is resumed only at an endpoint of the version that began it. Hosts record the origin of
//! each stream that an endpoint begins ([`Origins`]) and the versions that endpoints and services
//! have had ([`VersionHistory`]). [`determine`] combines both, and gives no version unless it is
//! certain.
//!
//! A host may learn of a restart only after a stream has begun, and then records the version of the
//! endpoint's earlier incarnation. So a record proves nothing by itself: the process has to be shown to be
//! the one of the entry ([`Proof`]), by its report or by a sign of life that is later than its connection.
//! That an endpoint id has one live incarnation at a time is assumed.

mod history;
mod keys;
mod origins;
mod pulse;
mod take_ups;

pub use history::{
    LifeSign, MAX_GAP, MAX_LIST_AGE, MAX_REPORT_DELAY, OnlyVersions, VersionHistory,
};
pub use keys::{EndpointKey, IncarnationTag, StreamKey, VersionTag};
pub use origins::{
    Beginning, Connected, KnownProcess, MAX_STREAMS, Origin, OriginRecord, Origins, Proof,
    StoredBeginning, StoredOrigin, StreamOrigin,
};
pub use pulse::Pulse;
pub use take_ups::TakeUps;

use std::sync::Arc;
use std::time::Duration;

use crate::time;

/// Time for which the origin of a stream is kept, and longest span of a query that is answered from
/// the versions of the service.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Question for the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginQuery {
    /// The stream, if the request that resumes it names it.
    pub stream: Option<StreamKey>,
    /// Service that serves the stream.
    pub service: Arc<str>,
    /// Longest time since the stream can have begun.
    pub span: Duration,
}

impl OriginQuery {
    /// The question after it has waited for an answer. The stream began no later than before.
    #[must_use]
    pub fn after_waiting(&self, waited: Duration) -> Self {
        Self {
            span: self.span.saturating_add(waited),
            ..self.clone()
        }
    }
}

/// Returns the version that began the stream, or `None` if it is not certain.
///
/// The recorded origin counts if [`VersionHistory::is_certain`] confirms it. The only version that the
/// service has had during the span of the query counts if the stream has no record, or one of an earlier
/// build or from the store that names that version. The stream began before `began_by`.
#[must_use]
pub fn determine(
    origins: &Origins,
    history: &VersionHistory,
    query: &OriginQuery,
    began_by: time::Time,
    now: time::Time,
) -> Option<VersionTag> {
    let record = query.stream.and_then(|stream| origins.get(stream));
    let record = record.filter(|record| now.since(record.recorded_at) < RETENTION);
    let only_version = || history.only_version(&query.service, query.span, began_by, now);
    let Some(record) = record else {
        return only_version();
    };
    if let Proof::Reported(_) = record.proof {
        return history.version_of(&record);
    }
    let origin = record.origin;
    if history.is_certain(&record) {
        return Some(origin.version);
    }
    match record.proof {
        // The process may have had any version until it is shown to be the one of the entry.
        Proof::Open(Some(_)) | Proof::Reported(_) => None,
        Proof::Shown | Proof::ShownBefore | Proof::Open(None) => {
            let is_only = history.versions(&query.service) == 1;
            let version = is_only.then(only_version).flatten();
            version.filter(|version| *version == origin.version)
        }
    }
}

/// What is recorded of a stream and not proven, though a sign of life of its endpoint, or the entry of the process that
/// began it, could prove it.
#[must_use]
pub fn claim(origins: &Origins, query: &OriginQuery, now: time::Time) -> Option<Beginning> {
    let stream = query.stream?;
    let record = origins.get(stream)?;
    if now.since(record.recorded_at) >= RETENTION {
        return None;
    }
    let (connected, process) = match record.proof {
        Proof::Open(Some(connected)) => (connected, KnownProcess::Claimed),
        Proof::Reported(connected) => (connected, KnownProcess::Reported),
        Proof::Shown | Proof::ShownBefore | Proof::Open(None) => return None,
    };
    Some(Beginning {
        stream: StreamOrigin {
            stream,
            origin: record.origin,
        },
        connected,
        process,
    })
}

/// What hosts know of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is this one.
    Version(VersionTag),
    /// It is that of the beginning, if its endpoint gives a sign of life, or that of its process, once that is listed.
    Claim(Beginning),
    /// They do not know it.
    Unknown,
}
