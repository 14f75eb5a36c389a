//! Short keys of streams, versions and endpoints, the same on every host.

use std::fmt;

use xxhash_rust::xxh3;

use crate::directory;

/// Key of a stream: the hash of the id of the request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Key of the stream that the request with this id began.
    #[must_use]
    pub fn of_request(id: &[u8]) -> Self {
        Self(xxh3::xxh3_64(id))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Hash of the name of a service and a version of its software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct VersionTag(u32);

impl VersionTag {
    /// Tag of a process that was not listed when a stream began there, so that no entry said its version. No
    /// version has it, and no stream goes on by it.
    pub const UNLISTED: Self = Self(0);

    /// Tag of a version of a service.
    #[must_use]
    pub fn new(service: &str, version: &directory::SoftwareVersion) -> Self {
        let seed = xxh3::xxh3_64(service.as_bytes());
        let hash = xxh3::xxh3_64_with_seed(version.as_str().as_bytes(), seed);
        Self(truncate(hash).max(Self::UNLISTED.0 + 1))
    }
}

impl fmt::Display for VersionTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Hash of the id of an endpoint, which all incarnations under that id share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// Key of the endpoints that register themselves under this id.
    #[must_use]
    pub fn of_id(id: &str) -> Self {
        Self(truncate(xxh3::xxh3_64(id.as_bytes())))
    }
}

impl fmt::Display for EndpointKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Hash of the identity of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct IncarnationTag(u32);

impl IncarnationTag {
    /// Tag of an incarnation.
    #[must_use]
    pub fn of(identity: &directory::Identity) -> Self {
        Self(truncate(identity.hash()))
    }
}

impl fmt::Display for IncarnationTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The upper half of a hash.
const fn truncate(hash: u64) -> u32 {
    (hash >> u32::BITS) as u32
}
