//! Measurements of the messages about parts of prompts that crash endpoints: bytes a second of a
//! member and of a relay at the design size.
//!
//! Nothing is sent while no endpoint crashes. A crash is one record, which every host forwards on all
//! its links but the one that it came from.

use std::time::Duration;

use pistachiochute_core::{quarantine, time};
use pistachiochute_messages::peer;

use crate::figure;
use crate::streams::{DOMAIN_HOSTS, DOMAINS, RELAYS, wire_bytes};

/// Time over which bytes are averaged.
const PERIOD: Duration = Duration::from_secs(10);

/// Crashes in the period after which all hosts must know a part.
const CRASHES: u64 = 5;

/// Answers in the period that contradict the accusation of a part that many prompts share.
const PROOFS: u64 = 5;

/// Shared parts of the prompts of most crashes.
const USUAL_PARTS: u64 = 2;

/// Shared parts of the longest prompt that fits into the head of a request.
const MOST_PARTS: u64 = 1_749;

/// Crashes of endpoints of a domain whose processes are all killed: the share of the 930 endpoints.
const DOMAIN_CRASHES: u64 = 116;

/// Time in which the processes of the domain end, in milliseconds.
const DOMAIN_CRASH_SPAN_MS: u64 = 1_000;

/// Runs the measurements of the `quarantine` group.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let part_bytes = CRASHES * crash_bytes(USUAL_PARTS)? + PROOFS * proof_bytes()?;
    let long_bytes = CRASHES * crash_bytes(MOST_PARTS)? + PROOFS * proof_bytes()?;
    let domain_bytes = domain_records() * crash_bytes(USUAL_PARTS)?;
    let reading = |name, bytes: u64, links| figure::Reading {
        name,
        value: bytes as f64 * links as f64 / PERIOD.as_secs_f64(),
        unit: "B/s",
        baseline: None,
    };
    // A relay sends what it gets on its other links, and gets most records over several of them.
    let relay_links = DOMAIN_HOSTS - 1 + RELAYS * (DOMAINS - 1);
    Ok(vec![
        reading("quarantine_bytes_calm_s", calm_records(), 1),
        reading("quarantine_bytes_member_s_420", part_bytes, RELAYS),
        reading("quarantine_bytes_relay_s_420", part_bytes, relay_links),
        reading("quarantine_bytes_member_long_s_420", long_bytes, RELAYS),
        reading("quarantine_bytes_relay_long_s_420", long_bytes, relay_links),
        reading(
            "quarantine_bytes_relay_domain_s_420",
            domain_bytes,
            relay_links,
        ),
    ])
}

/// Records that a host sends while answers go on and no endpoint crashes.
fn calm_records() -> u64 {
    let mut quarantine = quarantine::Quarantine::new();
    let forwarded = (0..1_000).map(|i| {
        let parts = [quarantine::PartKey::new(i % 40)];
        let at = time::Time::from_millis(i);
        quarantine.apply(quarantine::Update::proofs(&parts, at), at)
    });
    forwarded
        .map(|effects| effects.forward.proofs.len() as u64)
        .sum()
}

/// Records that are forwarded when a domain is killed.
fn domain_records() -> u64 {
    let mut quarantine = quarantine::Quarantine::new();
    let forwarded = (0..DOMAIN_CRASHES).filter(|i| {
        let at = time::Time::from_millis(i * DOMAIN_CRASH_SPAN_MS / DOMAIN_CRASHES);
        let update = quarantine::Update::crash(crash(*i, at, USUAL_PARTS));
        !quarantine.apply(update, at).forward.is_empty()
    });
    forwarded.count() as u64
}

/// A crash under one request whose prompt has so many parts, which no other one has.
fn crash(number: u64, at: time::Time, parts: u64) -> quarantine::Crash {
    let key = |i| quarantine::PartKey::new(u64::MAX - (parts + 1) * number - i);
    let shared_parts = (0..parts).map(key).collect();
    let keys = quarantine::RequestKeys::new(shared_parts, key(parts));
    quarantine::Crash {
        incarnation: quarantine::IncarnationKey::new(u64::MAX - number),
        at,
        requests: [quarantine::LostRequest {
            keys: keys.all().clone(),
            sent_at: Some(at),
        }]
        .into_iter()
        .collect(),
    }
}

/// Bytes of a crash under one request with so many shared parts.
fn crash_bytes(parts: u64) -> eyre::Result<u64> {
    let crash = crash(0, time::Time::ZERO, parts);
    let keys = crash.requests.iter().map(|request| request.keys.clone());
    wire_bytes(&peer::Message::TimedQuarantine {
        update: peer::QuarantineUpdate {
            crashes: vec![peer::CrashRecord {
                incarnation: crash.incarnation,
                age_ms: 300,
                prompts: keys.collect(),
            }],
            ..peer::QuarantineUpdate::default()
        },
        sent_ages_ms: vec![vec![Some(300)]],
    })
}

fn proof_bytes() -> eyre::Result<u64> {
    wire_bytes(&peer::Message::TimedQuarantine {
        update: peer::QuarantineUpdate {
            proofs: vec![peer::ProofRecord {
                part: quarantine::PartKey::new(u64::MAX),
                age_ms: 300,
            }],
            ..peer::QuarantineUpdate::default()
        },
        sent_ages_ms: Vec::new(),
    })
}
