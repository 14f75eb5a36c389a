//! Endpoints of a failure domain that operators have taken back into use.
//!
//! They have no work, so every host would choose them at once, and they may be cold before their
//! entries say so. Each of them is a candidate for a part of the requests that grows to all.

use std::time::Duration;

use crate::{routing, time};

/// Time in which the part grows to all requests. Entries of endpoints and a watch take less than half
/// of it to show that they are cold.
pub const RETURN_SPAN: Duration = Duration::from_secs(4);

/// Parts in which the share of requests is counted.
const PARTS: u64 = 1_000;

/// Whether an endpoint of a domain that was taken back at a time is no candidate for a request. All
/// hosts that learned of it at the same time decide alike; `seed` is that of the request.
#[must_use]
pub fn is_held_back(seed: u64, endpoint: u64, since: time::Time, now: time::Time) -> bool {
    let progress = now.since(since).as_micros() as u64 * PARTS / RETURN_SPAN.as_micros() as u64;
    routing::rendezvous::score(seed, endpoint as u32) % PARTS >= progress
}
