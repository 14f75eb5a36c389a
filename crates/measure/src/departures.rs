//! Measurements of the messages about endpoints that say that they leave: bytes a second of a member and
//! of a relay at the design size.
//!
//! An incarnation that leaves is one record, which every host forwards on all its links but the one
//! that it came from.

use pistachiochute_core::directory;
use pistachiochute_messages::peer;

use crate::figure;
use crate::streams::{DOMAIN_HOSTS, DOMAINS, RELAYS, wire_bytes};

/// Endpoints that leave in a second of a release: the 930 endpoints of the design size in ten minutes,
/// rounded up.
const RELEASE_PER_S: u64 = 2;

/// Runs the measurements of the `departures` group.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let bytes_per_s = RELEASE_PER_S * record_bytes()?;
    let reading = |name, links: usize| figure::Reading {
        name,
        value: bytes_per_s as f64 * links as f64,
        unit: "B/s",
        baseline: None,
    };
    Ok(vec![
        reading("departure_bytes_member_s_420", RELAYS),
        reading(
            "departure_bytes_relay_s_420",
            DOMAIN_HOSTS - 1 + RELAYS * (DOMAINS - 1),
        ),
    ])
}

/// Bytes of the message about one endpoint.
fn record_bytes() -> eyre::Result<u64> {
    let record = peer::DepartureRecord {
        endpoint: directory::IncarnationKey::new(u64::MAX),
        age_ms: 300,
    };
    wire_bytes(&peer::Message::EndpointDepartures(vec![record]))
}
