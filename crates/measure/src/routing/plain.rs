//! Baselines: policies without cache knowledge, with exact and immediate loads, and the oracle.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use pistachiochute_core::routing::rendezvous;
use pistachiochute_core::{time, units};
use rand::{Rng as _, SeedableRng as _};

use crate::routing::{churn, store, tally};
use crate::traces;

/// Prompt tokens that an endpoint reads a second.
pub const READ_TOKENS_PER_S: f64 = 8_000.0;

/// A policy to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random endpoint.
    Random,
    /// The endpoint with the least load.
    LeastLoaded,
    /// The less loaded of two random endpoints.
    TwoChoices,
    /// The first endpoint of the chat's rendezvous order, whatever its load.
    ConsistentHash,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::LeastLoaded,
        Self::TwoChoices,
        Self::ConsistentHash,
    ];
}

/// Runs a policy over a trace.
#[must_use]
pub fn run(
    policy: Policy,
    deployment: &traces::Deployment,
    trace: &[traces::Arrival],
) -> tally::Tally {
    let counted_from = time::Time::ZERO + std::time::Duration::from_secs_f64(deployment.warm_up_s);
    let domains = (0..deployment.endpoints)
        .map(|e| e % deployment.domains)
        .collect();
    let multiple = f64::from(deployment.multiple) / 100.0;
    let mut tally = tally::Tally::new(domains, multiple, counted_from);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(deployment.seed ^ 0x706c_6169_6e00);
    let mut stores = vec![store::Store::new(deployment.cache_tokens); deployment.endpoints];
    let mut running = BinaryHeap::new();
    for arrival in trace {
        complete_until(arrival.at, &mut running, &mut tally);
        let endpoint = choose(policy, arrival, &tally, deployment.endpoints, &mut rng);
        let store = &mut stores[endpoint];
        let held = store.tokens(arrival.chat).min(arrival.history);
        store.insert(arrival.chat, arrival.prompt + arrival.answer);
        tally.admit(endpoint, arrival.cost(), arrival.at);
        let read_s = (arrival.prompt - held).0 as f64 / READ_TOKENS_PER_S;
        let ends = arrival.at + arrival.generation() + std::time::Duration::from_secs_f64(read_s);
        running.push(Reverse((ends, endpoint, arrival.cost())));
        if tally.counts(arrival.at) {
            tally.wait(std::time::Duration::ZERO);
            tally.prefix(held, units::Tokens::ZERO);
        }
    }
    tally
}

/// Requests in progress: end, endpoint and cost.
type Running = BinaryHeap<Reverse<(time::Time, usize, u64)>>;

fn complete_until(now: time::Time, running: &mut Running, tally: &mut tally::Tally) {
    while let Some(Reverse((ends, endpoint, cost))) = running.peek().copied()
        && ends <= now
    {
        running.pop();
        tally.complete(endpoint, cost, ends);
    }
}

fn choose(
    policy: Policy,
    arrival: &traces::Arrival,
    tally: &tally::Tally,
    endpoints: usize,
    rng: &mut rand_chacha::ChaCha8Rng,
) -> usize {
    match policy {
        Policy::Random => rng.random_range(0..endpoints),
        Policy::LeastLoaded => (0..endpoints)
            .min_by_key(|e| tally.load(*e))
            .unwrap_or_default(),
        Policy::TwoChoices => {
            let first = rng.random_range(0..endpoints);
            let second = rng.random_range(0..endpoints);
            if tally.load(second) < tally.load(first) {
                second
            } else {
                first
            }
        }
        Policy::ConsistentHash => {
            let winner = rendezvous::winner(arrival.chat.0, 0..endpoints as u32);
            winner.unwrap_or_default() as usize
        }
    }
}

/// Prefix tokens that one store with the memory of all endpoints holds, without a bound of load.
///
/// With departures, a chat belongs to the first live endpoint of its rendezvous order, and the
/// oracle loses the chats and the memory of an endpoint when it leaves.
#[must_use]
pub fn oracle(
    deployment: &traces::Deployment,
    trace: &[traces::Arrival],
    departures: &[churn::Departure],
) -> u64 {
    let counted_from = time::Time::ZERO + std::time::Duration::from_secs_f64(deployment.warm_up_s);
    let mut pooled = Pooled::new(deployment);
    let mut changes: BTreeMap<(time::Time, usize), bool> = BTreeMap::new();
    for departure in departures {
        changes.insert((departure.at, departure.endpoint), false);
        changes.insert((departure.back, departure.endpoint), true);
    }
    let mut reused = 0;
    for arrival in trace {
        while let Some(entry) = changes.first_entry()
            && entry.key().0 <= arrival.at
        {
            let ((_, endpoint), live) = entry.remove_entry();
            pooled.set_live(endpoint, live);
        }
        let held = pooled.store.tokens(arrival.chat).min(arrival.history);
        pooled
            .store
            .insert(arrival.chat, arrival.prompt + arrival.answer);
        if arrival.at >= counted_from {
            reused += held.0;
        }
    }
    reused
}

/// The memory of all endpoints as one store.
struct Pooled {
    store: store::Store,
    live: Vec<bool>,
    cache_tokens: u64,
}

impl Pooled {
    fn new(deployment: &traces::Deployment) -> Self {
        let all = deployment.cache_tokens * deployment.endpoints as u64;
        Self {
            store: store::Store::new(all),
            live: vec![true; deployment.endpoints],
            cache_tokens: deployment.cache_tokens,
        }
    }

    fn set_live(&mut self, endpoint: usize, live: bool) {
        if !live {
            let lost = self.chats_of(endpoint);
            lost.into_iter().for_each(|chat| self.store.remove(chat));
        }
        self.live[endpoint] = live;
        let count = self.live.iter().filter(|live| **live).count() as u64;
        self.store.resize(self.cache_tokens * count);
    }

    fn chats_of(&self, endpoint: usize) -> Vec<pistachiochute_core::request::ChatKey> {
        let live = || {
            (0..self.live.len())
                .filter(|e| self.live[*e])
                .map(|e| e as u32)
        };
        let chats = self.store.iter().map(|(chat, _)| chat);
        chats
            .filter(|chat| rendezvous::winner(chat.0, live()) == Some(endpoint as u32))
            .collect()
    }
}
