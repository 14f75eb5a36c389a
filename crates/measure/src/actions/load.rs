//! Calls to the key-value service and added latency of the journal at the size to design for.
//!
//! The machines of the journal run in virtual time against a service that answers after a fixed
//! round trip.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::{journal, time};
use rand::{Rng as _, SeedableRng as _};

/// Round trip to the key-value service.
pub const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Time that an action takes at its endpoint.
const ACTION_TIME: Duration = Duration::from_millis(200);

/// Measured span of virtual time, in seconds.
const SPAN_S: u64 = 20;

/// Wall clock at the start, in milliseconds since the epoch.
const EPOCH_MS: u64 = 1_000_000_000;

const SEED: u64 = 6;

/// Who writes to the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writers {
    /// One host for each slot.
    PerSlot,
    /// Every owner of a service endpoint, of which there are so many.
    Owners(usize),
}

/// What a run measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Swaps a second, refused ones included.
    pub swaps_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
    /// Bytes of shards written a second.
    pub bytes_per_s: f64,
    /// Mean time from the arrival of an action to its dispatch, in milliseconds.
    pub mean_ms: f64,
    /// The same for 99 in 100 actions, in milliseconds.
    pub p99_ms: f64,
    /// Actions that were refused.
    pub refused: u64,
}

#[derive(Clone, Debug)]
enum Due {
    Arrival,
    AtService(usize, journal::Effect),
    AtHost(usize, journal::Event),
}

/// Entry of the queue of future events, ordered by time and then by number.
struct Entry(time::Time, u64, Due);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Simulation {
    cfg: journal::Config,
    writers: Writers,
    actions_per_s: f64,
    rng: rand_chacha::ChaCha8Rng,
    queue: BinaryHeap<Reverse<Entry>>,
    scheduled: u64,
    hosts: Vec<journal::Journal>,
    /// Next tick of each host.
    ticks: Vec<Option<time::Time>>,
    store: BTreeMap<journal::ShardId, journal::StoredShard>,
    revision: u64,
    arrived: Vec<time::Time>,
    waits_ms: Vec<f64>,
    swaps: u64,
    reads: u64,
    bytes: u64,
    refused: u64,
}

/// Runs the journal at a rate of actions.
#[must_use]
pub fn run(cfg: journal::Config, writers: Writers, actions_per_s: f64) -> Load {
    let hosts = match writers {
        Writers::PerSlot => usize::from(cfg.slots),
        Writers::Owners(owners) => owners,
    };
    let mut simulation = Simulation {
        cfg,
        writers,
        actions_per_s,
        rng: rand_chacha::ChaCha8Rng::seed_from_u64(SEED),
        queue: BinaryHeap::new(),
        scheduled: 0,
        hosts: vec![journal::Journal::new(cfg); hosts],
        ticks: vec![None; hosts],
        store: BTreeMap::new(),
        revision: 0,
        arrived: Vec::new(),
        waits_ms: Vec::new(),
        swaps: 0,
        reads: 0,
        bytes: 0,
        refused: 0,
    };
    simulation.schedule(time::Time::ZERO, Due::Arrival);
    simulation.run();
    simulation.load()
}

impl Simulation {
    fn schedule(&mut self, at: time::Time, due: Due) {
        self.scheduled += 1;
        self.queue.push(Reverse(Entry(at, self.scheduled, due)));
    }

    fn run(&mut self) {
        while let Some(Reverse(Entry(now, _, due))) = self.queue.pop() {
            if now > time::Time::from_secs(SPAN_S) {
                return;
            }
            match due {
                Due::Arrival => self.arrival(now),
                Due::AtService(host, effect) => self.serve(host, effect, now),
                Due::AtHost(host, event) => self.event(host, event, now),
            }
        }
    }

    fn arrival(&mut self, now: time::Time) {
        let gap_s = -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / self.actions_per_s;
        self.schedule(now + Duration::from_secs_f64(gap_s), Due::Arrival);
        let number = self.arrived.len() as u64;
        self.arrived.push(now);
        let mut attempt = [0; 16];
        attempt[..8].copy_from_slice(&number.to_le_bytes());
        let clock = wall(now);
        let begin = journal::NewAttempt {
            attempt: journal::AttemptId(attempt),
            key: journal::ActionKey {
                hash: journal::KeyHash(self.rng.random()),
                issued_at: clock,
            },
            fingerprint: journal::Fingerprint(self.rng.random()),
            not_after: clock.plus(30_000),
        };
        let host = match self.writers {
            Writers::PerSlot => usize::from(self.cfg.shard(&begin.key).slot),
            Writers::Owners(owners) => self.rng.random_range(0..owners),
        };
        self.event(host, journal::Event::Begin(begin), now);
    }

    fn event(&mut self, host: usize, event: journal::Event, now: time::Time) {
        let effects = self.hosts[host].handle(event, now, wall(now));
        for effect in effects {
            self.effect(host, effect, now);
        }
        self.wake(host, now);
    }

    /// Schedules the next tick of a host, unless one as early is scheduled.
    fn wake(&mut self, host: usize, now: time::Time) {
        let Some(due) = self.hosts[host].wakeup() else {
            return;
        };
        let due = due.max(now);
        if self.ticks[host].is_none_or(|tick| due < tick || tick <= now) {
            self.ticks[host] = Some(due);
            self.schedule(due, Due::AtHost(host, journal::Event::Tick));
        }
    }

    fn effect(&mut self, host: usize, effect: journal::Effect, now: time::Time) {
        match effect {
            journal::Effect::Read { .. } | journal::Effect::Swap { .. } => {
                self.schedule(now + ROUND_TRIP / 2, Due::AtService(host, effect));
            }
            journal::Effect::Dispatch { attempt, .. } => {
                let mut number = [0; 8];
                number.copy_from_slice(&attempt.0[..8]);
                let arrived = self.arrived[u64::from_le_bytes(number) as usize];
                self.waits_ms
                    .push(now.since(arrived).as_secs_f64() * 1_000.0);
                let body = Bytes::from_static(b"{\"booking\":\"0123456789abcdef\"}");
                let content_type = Bytes::from_static(b"application/json");
                let result = journal::AttemptResult::Run(journal::RecordedAnswer::new(
                    200,
                    &content_type,
                    &body,
                ));
                let finished = journal::Event::Finished { attempt, result };
                self.schedule(now + ACTION_TIME, Due::AtHost(host, finished));
            }
            journal::Effect::Answer { .. } => self.refused += 1,
        }
    }

    fn serve(&mut self, host: usize, effect: journal::Effect, now: time::Time) {
        let event = match effect {
            journal::Effect::Read { call, shard } => {
                self.reads += 1;
                let stored = self.store.get(&shard).cloned().unwrap_or_default();
                journal::Event::Loaded { call, stored }
            }
            journal::Effect::Swap {
                call,
                shard,
                expected,
                content,
            } => {
                self.swaps += 1;
                self.bytes += content.encode().map_or(0, |value| value.len() as u64);
                let stored = self.store.entry(shard).or_default();
                if stored.revision == expected {
                    self.revision += 1;
                    stored.revision = journal::ModRevision(self.revision);
                    stored.shard = content;
                    let revision = stored.revision;
                    journal::Event::Swapped { call, revision }
                } else {
                    let stored = stored.clone();
                    journal::Event::Conflict { call, stored }
                }
            }
            journal::Effect::Dispatch { .. } | journal::Effect::Answer { .. } => return,
        };
        self.schedule(now + ROUND_TRIP / 2, Due::AtHost(host, event));
    }

    fn load(mut self) -> Load {
        self.waits_ms.sort_by(f64::total_cmp);
        let count = self.waits_ms.len().max(1);
        let per_s = |count: u64| count as f64 / SPAN_S as f64;
        Load {
            swaps_per_s: per_s(self.swaps),
            reads_per_s: per_s(self.reads),
            bytes_per_s: per_s(self.bytes),
            mean_ms: self.waits_ms.iter().sum::<f64>() / count as f64,
            p99_ms: self.waits_ms.get(count * 99 / 100).copied().unwrap_or(0.0),
            refused: self.refused,
        }
    }
}

fn wall(now: time::Time) -> journal::UnixMillis {
    journal::UnixMillis(EPOCH_MS + now.as_micros() / 1_000)
}
