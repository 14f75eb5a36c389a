//! Origins of streams, for the tests of records.

use pistachiochute_core::streams::{EndpointKey, Origin};

use crate::streams_support::tag;

/// Origin of a stream that the endpoint `id` began at a version.
pub fn origin(id: &str, version: &str) -> Origin {
    Origin {
        version: tag(version),
        endpoint: EndpointKey::of_id(id),
    }
}
