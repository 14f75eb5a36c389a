//! Which version of a service's software began a stream.
//!
//! A stream is resumed only at an endpoint of the version that began it. Hosts record the origin of
//! each stream that an endpoint begins ([`Origins`]) and the versions that endpoints and services
//! have had ([`VersionHistory`]). [`determine`] combines both, and gives no version unless it is
//! certain.
//!
//! A host may learn of a restart only after a stream has begun, and then records the version of the
//! endpoint's earlier incarnation. [`determine`] assumes that a host that is asked about a stream
//! has learned of the incarnation that began it, and that an endpoint id has one live incarnation
//! at a time.

mod history;
mod keys;
mod origins;
mod pulse;

pub use history::{MAX_GAP, MAX_LIST_AGE, MAX_REPORT_DELAY, OnlyVersions, VersionHistory};
pub use keys::{EndpointKey, StreamKey, VersionTag};
pub use origins::{MAX_STREAMS, Origin, OriginRecord, Origins, StoredOrigin, StreamOrigin};
pub use pulse::Pulse;

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

/// Returns the version that began the stream, or `None` if it is not certain.
///
/// The recorded origin counts if [`VersionHistory::is_certain`] confirms it, or if the hosts before this
/// one were certain of it and nothing is known of its endpoint since. The only version that
/// the service has had during the span of the query counts if the stream has no record or the
/// record names that version.
#[must_use]
pub fn determine(
    origins: &Origins,
    history: &VersionHistory,
    query: &OriginQuery,
    now: time::Time,
) -> Option<VersionTag> {
    let record = query.stream.and_then(|stream| origins.get(stream));
    let record = record.filter(|record| now.since(record.recorded_at) < RETENTION);
    let only_version = || history.only_version(&query.service, query.span, now);
    let Some(record) = record else {
        return only_version();
    };
    let origin = record.origin;
    let was_certain = record.was_certain && !history.knows(origin.endpoint);
    if was_certain || history.is_certain(origin, record.recorded_at) {
        return Some(origin.version);
    }
    if history.versions(&query.service) != 1 {
        return None;
    }
    only_version().filter(|version| *version == origin.version)
}
