//! Endpoints and their versions, for the tests of streams.

use pistachiochute_core::directory::{self, Endpoint, SoftwareVersion};
use pistachiochute_core::streams::VersionTag;

pub const SERVICE: &str = "reader";

/// An endpoint of [`SERVICE`].
pub fn endpoint(id: &str, started_at_ms: u64, version: Option<&str>) -> Endpoint {
    Endpoint {
        identity: directory::Identity {
            id: id.into(),
            started_at_ms,
        },
        service: SERVICE.into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "dom-a".into(),
        slots: 4,
        state: directory::State::Ready,
        version: version.map(SoftwareVersion::from),
        heartbeat: 1,
        cold_time: std::time::Duration::ZERO,
    }
}

/// Tag of a version of [`SERVICE`].
pub fn tag(version: &str) -> VersionTag {
    VersionTag::new(SERVICE, &version.into())
}
