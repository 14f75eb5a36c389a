//! Simulation of the journal at the design size: its calls to the key-value service and the
//! latency that it adds.
//!
//! The journals run in virtual time against a key-value service with a fixed round-trip time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::{journal, time};
use rand::{Rng as _, SeedableRng as _};

/// Round-trip time to the key-value service.
pub const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Time from the dispatch of an action to its answer.
const ACTION_DURATION: Duration = Duration::from_millis(200);

/// Simulated time, in seconds.
const DURATION_S: u64 = 20;

/// Wall-clock time at the start, in milliseconds since the epoch.
const START_UNIX_MS: u64 = 1_000_000_000;

const SEED: u64 = 6;

/// Which hosts write to the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writers {
    /// One host per slot.
    PerSlot,
    /// The given number of hosts, each the owner of a service endpoint. Actions go to a random one.
    Owners(usize),
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JournalLoad {
    /// Compare-and-swap calls a second, including those that fail on a conflict.
    pub swaps_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
    /// Bytes of shards written a second.
    pub bytes_per_s: f64,
    /// Mean time from the arrival of an action to its dispatch, in milliseconds.
    pub mean_latency_ms: f64,
    /// 99th percentile of the same time, in milliseconds.
    pub p99_latency_ms: f64,
    /// Actions that the journal answered without a dispatch.
    pub refused: u64,
}

#[derive(Clone, Debug)]
enum QueuedEvent {
    /// An action arrives at a host.
    Arrival,
    /// A call of the given host arrives at the key-value service.
    AtService(usize, journal::Effect),
    /// An event for the journal of the given host is due.
    AtHost(usize, journal::Event),
}

/// Event with its time and sequence number, ordered by these two.
struct QueueEntry(time::Time, u64, QueuedEvent);

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Simulation {
    cfg: journal::Config,
    writers: Writers,
    actions_per_s: f64,
    rng: rand_chacha::ChaCha8Rng,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    scheduled: u64,
    hosts: Vec<journal::Journal>,
    /// Time of the next scheduled tick of each host.
    ticks: Vec<Option<time::Time>>,
    store: BTreeMap<journal::ShardId, journal::StoredShard>,
    revision: u64,
    arrivals: Vec<time::Time>,
    latencies_ms: Vec<f64>,
    swaps: u64,
    reads: u64,
    bytes: u64,
    refused: u64,
}

/// Simulates the journal with actions that arrive as a Poisson process at the given rate.
#[must_use]
pub fn run(cfg: journal::Config, writers: Writers, actions_per_s: f64) -> JournalLoad {
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
        arrivals: Vec::new(),
        latencies_ms: Vec::new(),
        swaps: 0,
        reads: 0,
        bytes: 0,
        refused: 0,
    };
    simulation.schedule(time::Time::ZERO, QueuedEvent::Arrival);
    simulation.run();
    simulation.result()
}

impl Simulation {
    fn schedule(&mut self, at: time::Time, event: QueuedEvent) {
        self.scheduled += 1;
        self.queue
            .push(Reverse(QueueEntry(at, self.scheduled, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse(QueueEntry(now, _, event))) = self.queue.pop() {
            if now > time::Time::from_secs(DURATION_S) {
                return;
            }
            match event {
                QueuedEvent::Arrival => self.handle_arrival(now),
                QueuedEvent::AtService(host, effect) => self.serve_call(host, effect, now),
                QueuedEvent::AtHost(host, event) => self.handle_event(host, event, now),
            }
        }
    }

    fn handle_arrival(&mut self, now: time::Time) {
        let gap_s = -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / self.actions_per_s;
        self.schedule(now + Duration::from_secs_f64(gap_s), QueuedEvent::Arrival);
        let number = self.arrivals.len() as u64;
        self.arrivals.push(now);
        let mut attempt = [0; 16];
        attempt[..8].copy_from_slice(&number.to_le_bytes());
        let clock = wall_clock(now);
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
        self.handle_event(host, journal::Event::Begin(begin), now);
    }

    fn handle_event(&mut self, host: usize, event: journal::Event, now: time::Time) {
        let effects = self.hosts[host].handle(event, now, wall_clock(now));
        for effect in effects {
            self.apply_effect(host, effect, now);
        }
        self.schedule_tick(host, now);
    }

    /// Schedules a tick at the wake-up time of a host's journal, unless an earlier or equal one is
    /// already scheduled.
    fn schedule_tick(&mut self, host: usize, now: time::Time) {
        let Some(wakeup) = self.hosts[host].wakeup() else {
            return;
        };
        let wakeup = wakeup.max(now);
        if self.ticks[host].is_none_or(|tick| wakeup < tick || tick <= now) {
            self.ticks[host] = Some(wakeup);
            self.schedule(wakeup, QueuedEvent::AtHost(host, journal::Event::Tick));
        }
    }

    fn apply_effect(&mut self, host: usize, effect: journal::Effect, now: time::Time) {
        match effect {
            journal::Effect::Read { .. } | journal::Effect::Swap { .. } => {
                self.schedule(now + ROUND_TRIP / 2, QueuedEvent::AtService(host, effect));
            }
            journal::Effect::Dispatch { attempt, .. } => {
                let mut number = [0; 8];
                number.copy_from_slice(&attempt.0[..8]);
                let arrived_at = self.arrivals[u64::from_le_bytes(number) as usize];
                self.latencies_ms
                    .push(now.since(arrived_at).as_secs_f64() * 1_000.0);
                let body = Bytes::from_static(b"{\"booking\":\"0123456789abcdef\"}");
                let content_type = Bytes::from_static(b"application/json");
                let result = journal::AttemptResult::Run(journal::RecordedAnswer::new(
                    200,
                    &content_type,
                    &body,
                ));
                let finished = journal::Event::Finished { attempt, result };
                self.schedule(now + ACTION_DURATION, QueuedEvent::AtHost(host, finished));
            }
            journal::Effect::Answer { .. } => self.refused += 1,
        }
    }

    fn serve_call(&mut self, host: usize, effect: journal::Effect, now: time::Time) {
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
        self.schedule(now + ROUND_TRIP / 2, QueuedEvent::AtHost(host, event));
    }

    fn result(mut self) -> JournalLoad {
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len().max(1);
        let per_s = |count: u64| count as f64 / DURATION_S as f64;
        JournalLoad {
            swaps_per_s: per_s(self.swaps),
            reads_per_s: per_s(self.reads),
            bytes_per_s: per_s(self.bytes),
            mean_latency_ms: self.latencies_ms.iter().sum::<f64>() / count as f64,
            p99_latency_ms: self
                .latencies_ms
                .get(count * 99 / 100)
                .copied()
                .unwrap_or(0.0),
            refused: self.refused,
        }
    }
}

fn wall_clock(now: time::Time) -> journal::UnixMillis {
    journal::UnixMillis(START_UNIX_MS + now.as_micros() / 1_000)
}
