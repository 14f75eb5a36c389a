//! Measurements of the messages about streams between hosts: bytes a second of a member and of a
//! relay at the design size, and of a host in a full mesh.
//!
//! Streams begin at random times with a fixed seed. Messages are encoded with the codec of the
//! links. Every packet with a message is acknowledged by a packet without data, since messages are
//! sent less often than acknowledgements are delayed.

use std::time::Duration;

use pistachiochute_core::{directory, streams, time};
use pistachiochute_messages::{codec, peer};
use rand::{Rng as _, SeedableRng as _};
use rand_distr::Distribution as _;

use crate::figure;
use crate::membership::{FRAME_HEADER_BYTES, PACKET_HEADER_BYTES};

/// Interval at which a host sends the origins of its new streams.
const SHARE_INTERVAL: Duration = Duration::from_millis(150);

/// Time in which bytes are counted. Twice the retention, so that tables reach their full size.
const COUNTING_PERIOD: Duration = Duration::from_secs(120);

const SEED: u64 = 1;

/// Relays of a failure domain.
pub(crate) const RELAYS: usize = 2;

/// Failure domains of the design size.
pub(crate) const DOMAINS: usize = 8;

/// Hosts of a failure domain of the design size, rounded up.
pub(crate) const DOMAIN_HOSTS: usize = 53;

/// Hosts of the design size, with full domains.
const HOSTS: usize = DOMAINS * DOMAIN_HOSTS;

/// Resumable streams a second that begin at a host of the design size: every one of 4,200
/// requests/s over 420 hosts.
const STREAMS_PER_HOST_S: f64 = 10.0;

/// Hosts of a full mesh.
const MESH_HOSTS: usize = 8;

/// Streams a second that begin at a host of the mesh: 120 over 8 hosts.
const MESH_STREAMS_PER_HOST_S: f64 = 15.0;

/// Share of streams that a caller resumes. An assumption.
const RESUMED_SHARE: f64 = 0.01;

/// Bytes a second of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Bytes that the host sends.
    pub sent: f64,
    /// Bytes that the host receives.
    pub received: f64,
}

impl Traffic {
    /// Adds a message that the host sends, and its acknowledgement.
    fn add_sent(&mut self, bytes: u64, times: f64) {
        self.sent += bytes as f64 * times;
        self.received += PACKET_HEADER_BYTES as f64 * times;
    }

    /// Adds a message that the host receives, and its acknowledgement.
    fn add_received(&mut self, bytes: u64, times: f64) {
        self.received += bytes as f64 * times;
        self.sent += PACKET_HEADER_BYTES as f64 * times;
    }

    /// Bytes of the busier direction.
    #[must_use]
    pub const fn busier(self) -> f64 {
        self.sent.max(self.received)
    }
}

/// Runs the measurements of the `streams` group.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let domain = origins_of(DOMAIN_HOSTS, STREAMS_PER_HOST_S)?;
    let member = domain.traffic(RELAYS, 0);
    let relay = domain.traffic(RELAYS - 1, DOMAIN_HOSTS - 1);
    let flooded = domain.traffic(HOSTS - 1, HOSTS - 1);
    let mesh = origins_of(MESH_HOSTS, MESH_STREAMS_PER_HOST_S)?;
    let mesh_host = mesh.traffic(MESH_HOSTS - 1, MESH_HOSTS - 1);
    let queries = query_traffic()?;
    let reading = |name, value, baseline| figure::Reading {
        name,
        value,
        unit: "B/s",
        baseline,
    };
    Ok(vec![
        reading(
            "origin_bytes_member_sent_s_420",
            member.sent,
            Some(flooded.sent),
        ),
        reading(
            "origin_bytes_member_received_s_420",
            member.received,
            Some(flooded.received),
        ),
        reading(
            "origin_bytes_relay_sent_s_420",
            relay.sent,
            Some(flooded.sent),
        ),
        reading(
            "origin_bytes_relay_received_s_420",
            relay.received,
            Some(flooded.received),
        ),
        reading("origin_bytes_mesh_sent_s_8", mesh_host.sent, None),
        reading("origin_bytes_mesh_received_s_8", mesh_host.received, None),
        reading("origin_query_bytes_relay_s_420", queries.busier(), None),
        figure::Reading {
            name: "origin_records_relay_420",
            value: domain.most_records as f64,
            unit: "streams",
            baseline: None,
        },
    ])
}

/// What hosts send about the streams that they begin.
#[derive(Clone, Copy, Debug)]
struct Shared {
    /// Bytes a second of one host's messages on one link.
    bytes_s: f64,
    /// Messages a second of one host on one link.
    messages_s: f64,
    /// Most streams in the table of a host that has those of all the hosts.
    most_records: usize,
}

impl Shared {
    /// Traffic of a host that sends its origins on `outgoing` links and receives those of
    /// `incoming` hosts.
    fn traffic(&self, outgoing: usize, incoming: usize) -> Traffic {
        let acknowledgements_s = self.messages_s * PACKET_HEADER_BYTES as f64;
        let (outgoing, incoming) = (outgoing as f64, incoming as f64);
        Traffic {
            sent: outgoing * self.bytes_s + incoming * acknowledgements_s,
            received: incoming * self.bytes_s + outgoing * acknowledgements_s,
        }
    }
}

/// Lets streams begin at as many hosts, and counts the messages about them.
fn origins_of(hosts: usize, streams_per_host_s: f64) -> eyre::Result<Shared> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let arrivals = rand_distr::Poisson::new(streams_per_host_s * SHARE_INTERVAL.as_secs_f64())?;
    let mut table = streams::Origins::new();
    let (mut bytes, mut messages, mut most_records) = (0, 0_u64, 0);
    let mut now = time::Time::from_secs(1);
    let end = now + COUNTING_PERIOD;
    while now < end {
        now += SHARE_INTERVAL;
        table.tick(now);
        for _ in 0..hosts {
            let count = arrivals.sample(&mut rng) as usize;
            if count == 0 {
                continue;
            }
            let records: Vec<_> = (0..count).map(|_| record(rng.random())).collect();
            for record in &records {
                table.record_beginning(&beginning(record, now), now);
            }
            bytes += wire_bytes(&peer::Message::StreamBeginnings(records))?;
            messages += 1;
        }
        most_records = most_records.max(table.len());
    }
    let host_seconds = hosts as f64 * COUNTING_PERIOD.as_secs_f64();
    Ok(Shared {
        bytes_s: bytes as f64 / host_seconds,
        messages_s: messages as f64 / host_seconds,
        most_records,
    })
}

/// Traffic of a relay for queries, while no host can answer from the only version of a service.
///
/// A host asks the relays of its domain. Each that does not know the stream asks all relays of the
/// other domains, which also happens for all streams but those of the own domain.
fn query_traffic() -> eyre::Result<Traffic> {
    let resumptions_s = STREAMS_PER_HOST_S * HOSTS as f64 * RESUMED_SHARE;
    let relays = (RELAYS * DOMAINS) as f64;
    let foreign_relays = (RELAYS * (DOMAINS - 1)) as f64;
    let missed_share = (DOMAINS - 1) as f64 / DOMAINS as f64;
    let asked_by_members_s = resumptions_s * RELAYS as f64 / relays;
    let forwarded_s = asked_by_members_s * missed_share * foreign_relays;
    let query = wire_bytes(&query())?;
    let answer = wire_bytes(&answer())?;
    let mut traffic = Traffic::default();
    traffic.add_received(query, asked_by_members_s + forwarded_s);
    traffic.add_sent(answer, asked_by_members_s + forwarded_s);
    traffic.add_sent(query, forwarded_s);
    traffic.add_received(answer, forwarded_s);
    Ok(traffic)
}

/// Origin of a stream of one service. The id of the request is as long as a UUID.
pub(crate) fn origin(id: u128) -> streams::StreamOrigin {
    let version = directory::SoftwareVersion::from("2.4.1");
    streams::StreamOrigin {
        stream: streams::StreamKey::of_request(&id.to_le_bytes()),
        origin: streams::Origin {
            version: streams::VersionTag::new("service-1", &version),
            endpoint: streams::EndpointKey::of_id(&format!("endpoint-{}", id % 930)),
        },
    }
}

/// Time since a connection was made over which a stream begins, in milliseconds. Of four bytes in a message,
/// the most that it takes.
const CONNECTED_MS: u32 = 70_000;

/// What hosts tell of the beginning of a stream.
fn record(id: u128) -> peer::BeginningRecord {
    let identity = directory::Identity {
        id: format!("endpoint-{}", id % 930).into(),
        started_at_ms: 1,
    };
    peer::BeginningRecord {
        stream: origin(id),
        incarnation: streams::IncarnationTag::of(&identity),
        connected_ms: CONNECTED_MS,
        is_shown: false,
    }
}

/// Beginning of a stream that a host learns of now.
fn beginning(record: &peer::BeginningRecord, now: time::Time) -> streams::Beginning {
    streams::Beginning {
        stream: record.stream,
        connected: streams::Connected {
            to: record.incarnation,
            by: now,
        },
        process: streams::KnownProcess::Claimed,
    }
}

fn query() -> peer::Message {
    peer::Message::OriginQuery {
        id: u32::MAX,
        stream: Some(origin(1).stream),
        service: "service-1".into(),
        span_ms: 60_000,
    }
}

fn answer() -> peer::Message {
    peer::Message::OriginAnswer {
        id: u32::MAX,
        version: Some(origin(1).origin.version),
    }
}

/// Bytes of a message on an open link, with the headers of its frame and packet.
pub(crate) fn wire_bytes(message: &peer::Message) -> eyre::Result<u64> {
    let body = codec::encode(message)?.len() as u64;
    Ok(body + FRAME_HEADER_BYTES + PACKET_HEADER_BYTES)
}
