//! Measurements of the decisions under load: the time of one from 20 to 930 endpoints and 420 hosts, and
//! the bytes that a host sends for permits and slots.
//!
//! Times are those of the core alone, in the fastest of several rounds, so that other work on the machine
//! does not change the verdict. Bytes are counted. What a host asks is an upper bound: every request of
//! the design size is one that asks.

use std::time::Instant;

use pistachiochute_core::call_slots::{Ask, Endpoint, Scheduler, Ticket, placement};
use pistachiochute_core::choice::{self, cost, homes, load, prefix, prompt};
use pistachiochute_core::permits::{self, Delegate, Delegation, Number, Permits};
use pistachiochute_core::rate_limits::{self, RequestRate};
use pistachiochute_core::{admission, entity, time};
use pistachiochute_messages::datagram;
use smallvec::SmallVec;

use crate::figure;

/// Endpoints of the smallest and of the largest service.
const ENDPOINTS: [u32; 2] = [20, 930];

/// Hosts of the design size.
const HOSTS: u64 = 420;

/// Requests a second of a host at the design size: 4,200 over 420 hosts.
const REQUESTS_PER_HOST_S: f64 = 10.0;

/// Limit that every endpoint names, in requests a second: what one of the design size serves.
const LIMIT_PER_S: f64 = 5.0;

/// Slots of an endpoint of a plain service.
const SLOTS: u32 = 6;

/// Endpoints of one group of a plain service, which has 32 slots.
const GROUP_ENDPOINTS: u64 = 6;

/// Requests that wait for a slot while its time is measured.
const WAITING: u32 = 200;

/// Calls of a decision in one round: together far shorter than the time for which a busy machine lets a
/// thread run, so that some rounds are not interrupted.
const CALLS: u32 = 4;

/// Rounds of which the fastest counts.
const ROUNDS: u32 = 1_000;

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

const NOW: time::Time = time::Time::from_secs(100);

/// Runs the measurements of the `decisions` group.
///
/// # Errors
///
/// Returns an error if a datagram cannot be encoded.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let [few, many] = ENDPOINTS;
    let in_micros = |name, value| reading(name, value, "us");
    let choices = [choice_micros(few, false), choice_micros(many, false)];
    let limited = [choice_micros(few, true), choice_micros(many, true)];
    let permits = [permit_micros(few), permit_micros(many)];
    let slots = [slot_micros(few), slot_micros(many)];
    Ok(vec![
        in_micros("decision_choice_us_20", choices[0]),
        in_micros("decision_choice_us_930", choices[1]),
        reading("decision_choice_growth", choices[1] / choices[0], "times"),
        in_micros("decision_limited_choice_us_20", limited[0]),
        in_micros("decision_limited_choice_us_930", limited[1]),
        in_micros("decision_permit_us_20", permits[0]),
        in_micros("decision_permit_us_930", permits[1]),
        reading("decision_permit_growth", permits[1] / permits[0], "times"),
        in_micros("decision_slot_us_20", slots[0]),
        in_micros("decision_slot_us_930", slots[1]),
        reading("decision_slot_growth", slots[1] / slots[0], "times"),
        reading("permit_bytes_host_sent_s_420", permit_bytes()?, "B/s"),
        reading("slot_bytes_host_sent_s_420", slot_bytes()?, "B/s"),
    ])
}

const fn reading(name: &'static str, value: f64, unit: &'static str) -> figure::Reading {
    figure::Reading {
        name,
        value,
        unit,
        baseline: None,
    }
}

/// Microseconds that one call of `work` takes in the fastest round.
fn micros<F>(mut work: F) -> f64
where
    F: FnMut(u32),
{
    const NANOS_PER_MICRO: f64 = 1_000.0;
    let mut fastest = f64::INFINITY;
    for round in 0..ROUNDS {
        let start = Instant::now();
        (0..CALLS).for_each(|call| work(round * CALLS + call));
        fastest = fastest.min(start.elapsed().as_nanos() as f64);
    }
    fastest / NANOS_PER_MICRO / f64::from(CALLS)
}

fn hash(number: u64) -> u64 {
    pistachiochute_core::routing::rendezvous::score(number, 0)
}

/// Time to choose an endpoint for a prompt. Endpoints that name a limit are all compared, others by a
/// sample.
fn choice_micros(endpoints: u32, is_limited: bool) -> f64 {
    let candidate = |number: u32| {
        Some(choice::Candidate {
            endpoint: entity::EndpointId::new(number)?,
            hash: hash(number.into()),
            slots: 64,
            price: match number.is_multiple_of(8) {
                true => cost::DomainPrice::NONE,
                false => cost::DomainPrice::constant(&cost::Parameters::default()),
            },
            is_healthy: true,
            is_reachable: true,
            is_limited,
            load: load::Load::default(),
        })
    };
    let candidates: Vec<_> = (0..endpoints).filter_map(candidate).collect();
    let parts: [(&[u8], u32); 4] = [(b"a", 512), (b"b", 2_000), (b"c", 4_000), (b"own", 300)];
    let prompt = prompt::Prompt::new(b"m", parts, 6_812, 400);
    let mut prefixes = prefix::PrefixIndex::default();
    for candidate in candidates.iter().take(3) {
        prefixes.record_use(&prompt, candidate.endpoint, NOW);
    }
    let caches = choice::Caches {
        prefixes: &prefixes,
        closed: &[] as &[homes::ClosedEndpoint],
        evacuated: 0,
        is_source: &|_| true,
    };
    let params = cost::Parameters::default();
    micros(|seed| {
        let request = choice::Request {
            prompt: Some(prompt.clone()),
            seed: hash(seed.into()),
        };
        let choice = choice::choose(&request, &candidates, &caches, &params, NOW);
        std::hint::black_box(choice);
    })
}

/// Time in which the lender of an endpoint answers, while all endpoints name a limit.
fn permit_micros(endpoints: u32) -> f64 {
    let hosts: Vec<u64> = (0..HOSTS).map(hash).collect();
    let limit = RequestRate::per_second(LIMIT_PER_S);
    let own = rate_limits::users(limit, 0, &hosts)[0];
    let mut admissions = admission::Admissions::new(own);
    admissions.set_hosts(&hosts, NOW);
    for endpoint in 0..endpoints {
        let statement = rate_limits::Statement {
            endpoint: endpoint.into(),
            limit: Some(limit),
            at: NOW,
        };
        admissions.record_limit(statement, NOW);
    }
    let mut permits = Permits::new(own, NOW);
    let now = NOW + permits::SPAN * 2;
    permits.tick(&hosts, &admissions.limited(), now);
    micros(|_| {
        let answer = permits::lend(&mut permits, &mut admissions, 0, now);
        std::hint::black_box(answer).ok();
    })
}

/// Time to find the scheduler of a call's group, and there to queue the call and to give it up, while others
/// wait for all slots.
fn slot_micros(endpoints: u32) -> f64 {
    let hosts: Vec<u64> = (0..HOSTS).map(hash).collect();
    let group: Vec<_> = (0..GROUP_ENDPOINTS).map(endpoint_of_group).collect();
    let mut scheduler = Scheduler::default();
    for number in 0..SLOTS * GROUP_ENDPOINTS as u32 + WAITING {
        scheduler.ask(ask(number), &group, NOW);
    }
    micros(|call| {
        let all = (0..endpoints).map(|endpoint| (hash(endpoint.into()), SLOTS));
        let drawn = placement::draw(hash(call.into()), all).unwrap_or_default();
        let place = placement::group(1, drawn, endpoints * SLOTS);
        std::hint::black_box(placement::scheduler(place, &hosts));
        let ask = ask(u32::MAX - call);
        let ticket = ask.ticket;
        std::hint::black_box(scheduler.ask(ask, &group, NOW));
        std::hint::black_box(scheduler.release(ticket, &group, NOW));
    })
}

const fn endpoint_of_group(number: u64) -> Endpoint {
    Endpoint {
        hash: number,
        domain: number % 2,
        slots: SLOTS,
        reported: 0,
    }
}

fn ask(number: u32) -> Ask {
    Ask {
        ticket: Ticket { host: 1, number },
        account: u64::from(number) % 40,
        domain: 0,
        priority: (number % 5) as u8,
        deadline: NOW + std::time::Duration::from_secs(2),
        target: Some(NOW + std::time::Duration::from_millis(300)),
        excluded: SmallVec::new(),
    }
}

/// Bytes of datagrams with these contents.
fn bytes<I>(contents: I) -> eyre::Result<f64>
where
    I: IntoIterator<Item = datagram::Content>,
{
    let mut sum = 0;
    for content in contents {
        let from = u64::MAX;
        let encoded = datagram::encode(&datagram::Datagram { from, content })?;
        sum += encoded.len() + DATAGRAM_HEADER_BYTES;
    }
    Ok(sum as f64)
}

/// Bytes that a host sends in a second for permits: each endpoint names a limit, so that a host has a share
/// in several and delegates each to another host every second; and it asks for each of its requests, and
/// answers as many.
fn permit_bytes() -> eyre::Result<f64> {
    let (number, endpoint) = (Number(u32::MAX), u64::MAX);
    let share = Delegation {
        endpoint,
        rate: RequestRate::per_second(LIMIT_PER_S),
        span_ms: permits::SPAN.as_millis() as u32,
    };
    let delegate = datagram::Content::Delegate(Delegate {
        after: Some(number),
        shares: vec![share],
    });
    let delegation = bytes([delegate, datagram::Content::Delegated { number }])?;
    let valid_ms = permits::VALIDITY.as_millis() as u32;
    let question = bytes([
        datagram::Content::AskPermit { number, endpoint },
        datagram::Content::Permit { number, valid_ms },
    ])?;
    let shares = f64::from(ENDPOINTS[1]) * LIMIT_PER_S / HOSTS as f64;
    Ok(shares * delegation + REQUESTS_PER_HOST_S * question)
}

/// Bytes that a host sends in a second for slots: it asks for each of its requests and gives the slot back,
/// and it schedules as many, which are told once that they wait.
fn slot_bytes() -> eyre::Result<f64> {
    let number = Number(u32::MAX);
    let (group, endpoint) = (u64::MAX, u64::MAX);
    let call = bytes([
        datagram::Content::AskSlot {
            number,
            group,
            account: u64::MAX,
            domain: u64::MAX,
            priority: 5,
            remaining_ms: 2_000,
            excluded: Vec::new(),
        },
        datagram::Content::SlotQueued { number },
        datagram::Content::Slot { number, endpoint },
        datagram::Content::ReleaseSlot { group, number },
    ])?;
    Ok(REQUESTS_PER_HOST_S * call)
}
