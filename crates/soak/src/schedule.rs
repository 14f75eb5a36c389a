//! Faults of one seed.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Longest time that a fault lasts.
pub(crate) const LONGEST: Duration = Duration::from_millis(3_000);

/// Shortest and longest pause between the beginnings of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_200;

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
}

/// A fault and when it begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub at: Duration,
    pub fault: Fault,
}

/// Draws the faults of a seed, in the order in which they begin. They may overlap.
pub(crate) fn draw(seed: u64, hosts: usize, endpoints: usize, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        steps.push(Step {
            at,
            fault: fault(&mut rng, hosts, endpoints),
        });
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
    }
    steps
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
            kind: rng.random_range(0..6),
            span,
        },
        20 => Fault::EndpointReplaced { endpoint },
        _ if one_way => Fault::RouteAdded,
        _ => Fault::KeyChanged,
    }
}
