//! Faults and planned work of one seed.

use std::ops::Range;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::foreign::ForeignEntry;

/// Longest time that a fault lasts.
pub(crate) const LONGEST: Duration = Duration::from_millis(3_000);

/// Shortest and longest pause between the beginnings of two faults, in milliseconds.
const PAUSE_MS: Range<u64> = 150..1_200;

/// Time before the first fault.
const LEAD: Duration = Duration::from_millis(500);

/// Distinguishes the planned work of a seed from its faults.
const PLANNED_SEED: u64 = 0x706c_616e;

/// Pause between the beginnings of two planned stops, in milliseconds. It is shorter than a stop.
const STOP_PAUSE_MS: Range<u64> = 400..2_500;

/// Pause between two reloads, in milliseconds.
const RELOAD_PAUSE_MS: Range<u64> = 100..600;

/// Pause between two changes of the configuration, in milliseconds.
const CHANGE_PAUSE_MS: Range<u64> = 300..2_000;

/// Pause between two endpoints that leave, in milliseconds.
const LEAVE_PAUSE_MS: Range<u64> = 600..2_000;

/// Distinguishes the endpoints of a seed that say that they leave from its other steps.
const NOTICE_SEED: u64 = 0x6e6f_7469;

/// Pause between two endpoints that say that they leave, in milliseconds.
const NOTICE_PAUSE_MS: Range<u64> = 700..2_500;

/// Time from the first answer in which an endpoint says that it leaves to its entry's change, in
/// milliseconds.
const NOTICE_LEAD_MS: Range<u64> = 300..4_000;

/// Pause between the beginnings of two silences of endpoints, in milliseconds. With the number of
/// endpoints that fall silent in turn, a stream meets at most one silence beside one that delayed
/// its head.
const SILENCE_PAUSE_MS: Range<u64> = 1_700..2_500;

/// Time for which an endpoint falls silent, in milliseconds. It is below the time after which a
/// stream without a head is sent elsewhere.
const SILENCE_MS: Range<u64> = 800..1_100;

/// Distinguishes the endpoints of a seed that ask for rest from its other steps.
const PUSHBACK_SEED: u64 = 0x7075_7368;

/// Pause between two endpoints that begin to refuse and ask for rest, in milliseconds.
const PUSHBACK_PAUSE_MS: Range<u64> = 900..2_500;

/// Time for which such an endpoint refuses, in milliseconds.
const PUSHBACK_MS: Range<u64> = 100..1_500;

/// Rest that it asks for, in milliseconds.
const REST_MS: Range<u64> = 600..4_000;

/// Distinguishes the entries of another writer of a seed from its other steps.
const FOREIGN_SEED: u64 = 0x666f_7265;

/// Pause between two entries of another writer, in milliseconds.
const FOREIGN_PAUSE_MS: Range<u64> = 100..800;

/// Distinguishes the restores of the store of a seed from its other steps.
const RESTORE_SEED: u64 = 0x6472_696c;

/// Pause between two restores of the store, in milliseconds.
const RESTORE_PAUSE_MS: Range<u64> = 1_500..9_000;

/// Age of a copy from which the store comes back, in milliseconds.
const COPY_AGE_MS: Range<u64> = 500..10_000;

/// Time for which the store is away before it comes back from a copy, in milliseconds.
const RESTORE_AWAY_MS: Range<u64> = 200..2_000;

/// Time from its return until all others have written again, in milliseconds.
const WRITTEN_AFTER_MS: Range<u64> = 0..1_500;

/// Number of ways in which an endpoint answers badly.
const BAD_KINDS: u8 = 9;

/// Idle timeouts of callers' connections, in milliseconds.
const IDLE_TIMEOUTS_MS: [u64; 4] = [500, 1_000, 3_000, 15_000];

/// What the store shows of an endpoint that says in its answers that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryOfLeaving {
    /// Later that it leaves.
    Draining,
    /// Later nothing.
    Removed,
    /// To the end that it is ready.
    Ready,
}

/// One fault. Numbers are places in the lists of hosts and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The host is stopped in a planned way and started again.
    Stop { host: usize },
    /// The host is killed and started again after a while.
    Kill { host: usize, down: Duration },
    /// The host stands still.
    Pause { host: usize, span: Duration },
    /// The host is told that its settings changed.
    Reload { host: usize },
    /// The store refuses the host.
    StoreRefuses { host: usize, span: Duration },
    /// The store does not answer the host.
    StoreSilent { host: usize, span: Duration },
    /// The store carries out what the host writes, and loses the answers.
    StoreLosesAnswers { host: usize, span: Duration },
    /// The store refuses all hosts.
    StoreDown { span: Duration },
    /// The store forgets its history.
    StoreForgets,
    /// The store goes away and comes back from a copy of an earlier time. What others than hosts had written is
    /// written again after a while.
    StoreRestored {
        /// Age of the copy when the store goes away.
        age: Duration,
        away: Duration,
        written_after: Duration,
    },
    /// Another writer leaves an entry in the store.
    ForeignEntry(ForeignEntry),
    /// The host that may be cut off reaches neither the store nor other hosts, nor do they reach it.
    HostCutOff { span: Duration },
    /// Connections of the host to the store are reset.
    StoreReset { host: usize },
    /// Connections of the host to the store go silent, and new ones work.
    StoreConnectionsSilent { host: usize, one_way: bool },
    /// Everything between the host and the store is held back.
    StoreDelayed { host: usize, span: Duration },
    /// Connections to the endpoint are reset.
    EndpointReset { endpoint: usize },
    /// Connections to the endpoint go silent, and new ones work.
    EndpointSilent { endpoint: usize, one_way: bool },
    /// The endpoint cannot be reached.
    EndpointCut { endpoint: usize, span: Duration },
    /// The endpoint answers badly.
    EndpointBad {
        endpoint: usize,
        kind: u8,
        span: Duration,
    },
    /// The endpoint leaves, and another one takes its place.
    EndpointReplaced { endpoint: usize },
    /// A new version of the configuration adds a route.
    RouteAdded,
    /// A new version of the configuration takes a key away and adds another.
    KeyChanged,
    /// A new version of the configuration adds many routes, or takes them away.
    ManyRoutes,
    /// A new version of the configuration changes the idle timeout.
    LimitsChanged { idle_timeout_ms: u64 },
    /// The endpoint sends nothing for a while and goes on.
    EndpointPauses { endpoint: usize, span: Duration },
    /// The endpoint refuses what comes for a while, and asks each host that it refuses for rest.
    EndpointPushesBack {
        endpoint: usize,
        rest: Duration,
        span: Duration,
    },
    /// The endpoint says in its answers, which may be bad ones, that it leaves, and another one takes
    /// its place. Its entry changes later.
    EndpointSaysLeaving {
        endpoint: usize,
        bad_kind: Option<u8>,
        entry: EntryOfLeaving,
        lead: Duration,
    },
}

/// What faults and planned work touch, as places in the lists of hosts and endpoints.
#[derive(Clone, Debug)]
pub(crate) struct Places {
    /// Hosts with faults of all kinds.
    pub faulty_hosts: usize,
    /// Endpoints with faults of all kinds.
    pub faulty_endpoints: usize,
    /// Hosts with planned work only.
    pub planned_hosts: Range<usize>,
    /// Those of them that are stopped.
    pub stopped_hosts: Range<usize>,
    /// Endpoints that leave in a planned way.
    pub leaving_endpoints: Range<usize>,
    /// Endpoints that fall silent for a while.
    pub pausing_endpoints: Range<usize>,
    /// Endpoints that say in their answers that they leave.
    pub noticing_endpoints: Range<usize>,
}

/// A fault and when it begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub at: Duration,
    pub fault: Fault,
}

/// Draws the faults and the planned work of a seed, in the order in which they begin. They may
/// overlap.
pub(crate) fn draw(seed: u64, places: &Places, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (hosts, endpoints) = (places.faulty_hosts, places.faulty_endpoints);
    let mut steps = series(&mut rng, PAUSE_MS, length, |rng| {
        fault(rng, hosts, endpoints)
    });
    steps.extend(planned_work(seed, places, length));
    steps.extend(leave_notices(seed, places, length));
    steps.extend(pushbacks(seed, places, length));
    steps.extend(foreign_entries(seed, length));
    steps.extend(restores(seed, length));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws one series of steps.
fn series<F>(rng: &mut ChaCha8Rng, pause_ms: Range<u64>, length: Duration, mut next: F) -> Vec<Step>
where
    F: FnMut(&mut ChaCha8Rng) -> Fault,
{
    let mut steps = Vec::new();
    let mut at = LEAD;
    while at < length {
        let fault = next(rng);
        steps.push(Step { at, fault });
        at += Duration::from_millis(rng.random_range(pause_ms.clone()));
    }
    steps
}

/// Draws the series of planned work, which overlap.
fn planned_work(seed: u64, places: &Places, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ PLANNED_SEED);
    let rng = &mut rng;
    let mut stopped = places.stopped_hosts.clone().cycle();
    let mut leaving = places.leaving_endpoints.clone().cycle();
    let mut pausing = places.pausing_endpoints.clone().cycle();
    let stops = series(rng, STOP_PAUSE_MS, length, |_| Fault::Stop {
        host: stopped.next().expect("a host that is stopped"),
    });
    let reloads = series(rng, RELOAD_PAUSE_MS, length, |rng| Fault::Reload {
        host: rng.random_range(places.planned_hosts.clone()),
    });
    let changes = series(rng, CHANGE_PAUSE_MS, length, change);
    let leaves = series(rng, LEAVE_PAUSE_MS, length, |_| Fault::EndpointReplaced {
        endpoint: leaving.next().expect("an endpoint that leaves"),
    });
    let silences = series(rng, SILENCE_PAUSE_MS, length, |rng| Fault::EndpointPauses {
        endpoint: pausing.next().expect("an endpoint that falls silent"),
        span: Duration::from_millis(rng.random_range(SILENCE_MS)),
    });
    [stops, reloads, changes, leaves, silences].concat()
}

/// Draws the endpoints that say in their answers that they leave.
fn leave_notices(seed: u64, places: &Places, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ NOTICE_SEED);
    let mut endpoints = places.noticing_endpoints.clone().cycle();
    series(&mut rng, NOTICE_PAUSE_MS, length, |rng| {
        let bad_kind = rng.random_range(0..BAD_KINDS);
        Fault::EndpointSaysLeaving {
            endpoint: endpoints.next().expect("an endpoint that says so"),
            bad_kind: rng.random_bool(0.5).then_some(bad_kind),
            entry: match rng.random_range(0..3) {
                0 => EntryOfLeaving::Draining,
                1 => EntryOfLeaving::Removed,
                _ => EntryOfLeaving::Ready,
            },
            lead: Duration::from_millis(rng.random_range(NOTICE_LEAD_MS)),
        }
    })
}

/// Draws the endpoints that ask for rest.
fn pushbacks(seed: u64, places: &Places, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ PUSHBACK_SEED);
    let mut endpoints = places.pausing_endpoints.clone().cycle();
    let millis = |rng: &mut ChaCha8Rng, range| Duration::from_millis(rng.random_range(range));
    series(&mut rng, PUSHBACK_PAUSE_MS, length, |rng| {
        Fault::EndpointPushesBack {
            endpoint: endpoints.next().expect("an endpoint that asks for rest"),
            rest: millis(rng, REST_MS),
            span: millis(rng, PUSHBACK_MS),
        }
    })
}

/// Draws the entries of another writer.
fn foreign_entries(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ FOREIGN_SEED);
    series(&mut rng, FOREIGN_PAUSE_MS, length, |rng| {
        Fault::ForeignEntry(ForeignEntry::draw(rng))
    })
}

/// Draws the restores of the store. The first comes after some time, when there are copies.
fn restores(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ RESTORE_SEED);
    let millis = |rng: &mut ChaCha8Rng, range| Duration::from_millis(rng.random_range(range));
    let mut steps = series(&mut rng, RESTORE_PAUSE_MS, length, |rng| {
        Fault::StoreRestored {
            age: millis(rng, COPY_AGE_MS),
            away: millis(rng, RESTORE_AWAY_MS),
            written_after: millis(rng, WRITTEN_AFTER_MS),
        }
    });
    steps.remove(0);
    steps
}

/// Draws a planned change of the configuration.
fn change(rng: &mut ChaCha8Rng) -> Fault {
    let idle_timeout_ms = IDLE_TIMEOUTS_MS[rng.random_range(0..IDLE_TIMEOUTS_MS.len())];
    match rng.random_range(0..4) {
        0 => Fault::RouteAdded,
        1 => Fault::ManyRoutes,
        _ => Fault::LimitsChanged { idle_timeout_ms },
    }
}

fn fault(rng: &mut ChaCha8Rng, hosts: usize, endpoints: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    let endpoint = rng.random_range(0..endpoints);
    let millis = rng.random_range(200..LONGEST.as_millis() as u64);
    let span = Duration::from_millis(millis);
    let one_way = rng.random_bool(0.5);
    match rng.random_range(0..22) {
        0 | 1 => Fault::Stop { host },
        2 | 3 => Fault::Kill {
            host,
            down: span / 3,
        },
        4 | 5 => Fault::Pause { host, span },
        6 => Fault::Reload { host },
        7 => Fault::StoreRefuses { host, span },
        8 => Fault::StoreSilent { host, span },
        9 => Fault::StoreLosesAnswers { host, span },
        10 => Fault::StoreDown { span },
        11 => Fault::StoreForgets,
        12 => Fault::StoreReset { host },
        13 => Fault::StoreConnectionsSilent { host, one_way },
        14 => Fault::StoreDelayed { host, span },
        15 => Fault::EndpointReset { endpoint },
        16 => Fault::EndpointSilent { endpoint, one_way },
        17 => Fault::EndpointCut { endpoint, span },
        18 | 19 => Fault::EndpointBad {
            endpoint,
            kind: rng.random_range(0..BAD_KINDS),
            span,
        },
        20 => Fault::EndpointReplaced { endpoint },
        _ if one_way => Fault::RouteAdded,
        _ => Fault::KeyChanged,
    }
}
