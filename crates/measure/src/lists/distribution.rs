//! Simulation of the distribution of list changes: time until a change is in force on every host,
//! and the traffic that it causes.

use std::collections::BTreeMap;

use pistachiochute_core::lists::replica::{Effect, Replica, StoreAnswer, View};
use pistachiochute_core::lists::{self, Delta, Snapshot, Version, message, replica};
use pistachiochute_core::{entity, entity::Entity as _, time};
use rand::{Rng as _, SeedableRng as _};

use super::event_queue::EventQueue;
use super::population;

const MICROS_PER_S: u64 = 1_000_000;

/// Simulated time after the warm-up, in seconds.
const DURATION_S: u64 = 300;

/// Warm-up, in seconds. Traffic in it is not counted.
const WARM_UP_S: u64 = 10;

/// Interval between changes, in seconds, for 4,400 changes a day.
const CHANGE_PERIOD_S: f64 = 86_400.0 / 4_400.0;

/// Interval between the ticks of a replica, in microseconds.
const TICK_US: u64 = 250_000;

/// Probability that a message between domains is lost.
const LOSS_PROBABILITY: f64 = 0.02;

/// Interval between restarts of a random host, in seconds. It gives many times the expected churn.
const RESTART_PERIOD_S: u64 = 7;

/// Store calls a second that a watch counts as: one long poll a minute.
const CALLS_PER_WATCH_S: f64 = 1.0 / 60.0;

/// Size of a fleet.
#[derive(Debug)]
pub struct Fleet {
    hosts: usize,
    domains: usize,
}

/// Size of current deployments.
pub const SMALL: Fleet = Fleet {
    hosts: 8,
    domains: 3,
};

/// The design size.
pub const LARGE: Fleet = Fleet {
    hosts: 420,
    domains: 8,
};

/// Result of a run.
#[derive(Debug)]
pub struct Distribution {
    /// Longest time from the recording of a change in the store until it is in force on every host.
    pub in_force_s: f64,
    /// Bytes a second that a host sends: the mean over the hosts.
    pub bytes_per_host_s: f64,
    /// Bytes a second that the busiest host sends.
    pub busiest_bytes_s: f64,
    /// Bytes a second that a host would receive if each change were a broadcast of the full lists.
    pub broadcast_bytes_per_host_s: f64,
    /// Reads a second from the store, including the calls of watches.
    pub store_reads_s: f64,
    /// Writes a second to the store.
    pub store_writes_s: f64,
}

enum Event {
    /// The timers of a replica are due.
    Tick(entity::HostId),
    /// A message arrives: sender, receiver and message.
    Message(entity::HostId, entity::HostId, message::Message),
    /// A host learns of a change that was recorded in the store.
    Recorded(entity::HostId, Delta),
    /// The answer of the store to a read arrives at a host.
    Answer(entity::HostId, StoreAnswer),
    /// An operator changes the lists.
    Change,
    /// A random host restarts.
    Restart,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    rng: rand_chacha::ChaCha8Rng,
    events: EventQueue<Event>,
    replicas: BTreeMap<entity::HostId, Replica>,
    watchers: Vec<entity::HostId>,
    store: Snapshot,
    /// Time at which each change was recorded, in microseconds.
    recorded: BTreeMap<Version, u64>,
    /// Time at which each change came into force on the last host, in microseconds.
    in_force: BTreeMap<Version, u64>,
    /// Bytes that each host has sent since the warm-up.
    sent: BTreeMap<entity::HostId, u64>,
    reads: u64,
    writes: u64,
    /// Whether the warm-up is over and traffic is counted.
    counting: bool,
}

/// Simulates a fleet.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn run(fleet: &Fleet) -> eyre::Result<Distribution> {
    let mut simulation = Simulation::new(fleet);
    let end = (WARM_UP_S + DURATION_S) * MICROS_PER_S;
    while let Some((now, event)) = simulation.events.pop() {
        if now >= end {
            break;
        }
        if !simulation.counting && now >= WARM_UP_S * MICROS_PER_S {
            simulation.counting = true;
        }
        simulation.handle_event(now, event)?;
    }
    let span = DURATION_S as f64;
    let bytes = simulation.sent.values().sum::<u64>() as f64;
    let busiest = simulation.sent.values().max().copied().unwrap_or_default() as f64;
    let snapshot_bytes =
        population::message_bytes(&message::Message::Snapshot(simulation.store.clone()))?;
    let watches = (fleet.domains * 2) as f64;
    Ok(Distribution {
        in_force_s: simulation.max_time_to_in_force_s(end),
        bytes_per_host_s: bytes / fleet.hosts as f64 / span,
        busiest_bytes_s: busiest / span,
        broadcast_bytes_per_host_s: snapshot_bytes as f64 / CHANGE_PERIOD_S,
        store_reads_s: simulation.reads as f64 / span + watches * CALLS_PER_WATCH_S,
        store_writes_s: simulation.writes as f64 / span,
    })
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let lists = population::lists();
        let version = Delta::after(Version::NONE, Vec::new()).to;
        let mut simulation = Self {
            fleet,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(7),
            events: EventQueue::new(),
            replicas: BTreeMap::new(),
            watchers: Vec::new(),
            store: Snapshot { version, lists },
            recorded: BTreeMap::new(),
            in_force: BTreeMap::new(),
            sent: BTreeMap::new(),
            reads: 0,
            writes: 0,
            counting: false,
        };
        for (host, _) in population::hosts(fleet.hosts, fleet.domains) {
            simulation.start_replica(0, host);
            let phase = simulation.rng.random_range(0..TICK_US);
            simulation.events.schedule(phase, Event::Tick(host));
        }
        simulation
            .events
            .schedule(WARM_UP_S * MICROS_PER_S, Event::Change);
        simulation
            .events
            .schedule(WARM_UP_S * MICROS_PER_S, Event::Restart);
        simulation
    }

    fn start_replica(&mut self, now: u64, host: entity::HostId) {
        let domain = self.domain(host);
        let hosts = population::hosts(self.fleet.hosts, self.fleet.domains);
        let view = View::new(host, domain, hosts);
        let (replica, effects) = Replica::start(time::Time::from_micros(now), view);
        self.watchers.retain(|other| *other != host);
        self.replicas.insert(host, replica);
        // No message is counted, and so none is encoded, at the initial start. It cannot fail.
        let _ = self.run_effects(now, host, effects);
    }

    fn domain(&self, host: entity::HostId) -> entity::DomainId {
        entity::DomainId::from_index(host.index() % self.fleet.domains)
    }

    fn handle_event(&mut self, now: u64, event: Event) -> eyre::Result<()> {
        let time = time::Time::from_micros(now);
        match event {
            Event::Tick(host) => {
                self.events.schedule(now + TICK_US, Event::Tick(host));
                self.update_replica(now, host, |replica| replica.tick(time))
            }
            Event::Message(from, to, message) => self.update_replica(now, to, |replica| {
                replica.handle_message(time, from, message)
            }),
            Event::Recorded(host, delta) => self.update_replica(now, host, |replica| {
                replica.handle_recorded_delta(time, delta)
            }),
            Event::Answer(host, answer) => self.update_replica(now, host, |replica| {
                replica.handle_store_answer(time, answer)
            }),
            Event::Change => self.record_change(now),
            Event::Restart => {
                let host = self.rng.random_range(0..self.fleet.hosts);
                self.start_replica(now, entity::HostId::from_index(host));
                self.events
                    .schedule(now + RESTART_PERIOD_S * MICROS_PER_S, Event::Restart);
                Ok(())
            }
        }
    }

    fn update_replica<F>(&mut self, now: u64, host: entity::HostId, act: F) -> eyre::Result<()>
    where
        F: FnOnce(&mut Replica) -> replica::Effects,
    {
        let Some(replica) = self.replicas.get_mut(&host) else {
            return Ok(());
        };
        let effects = act(replica);
        self.run_effects(now, host, effects)
    }

    fn run_effects(
        &mut self,
        now: u64,
        host: entity::HostId,
        effects: replica::Effects,
    ) -> eyre::Result<()> {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(now, host, to, message)?,
                Effect::ReadStore => {
                    self.reads += u64::from(self.counting);
                    let same = self.replicas.get(&host).map(Replica::version);
                    let answer = if same == Some(self.store.version) {
                        StoreAnswer::Same
                    } else {
                        StoreAnswer::Lists(self.store.clone())
                    };
                    let delay = self.rng.random_range(4_000..20_000);
                    self.events
                        .schedule(now + delay, Event::Answer(host, answer));
                }
                Effect::Watch => self.watchers.push(host),
                Effect::Unwatch => self.watchers.retain(|other| *other != host),
                Effect::InForce(version, _) => {
                    let open = self
                        .recorded
                        .keys()
                        .filter(|r| !self.in_force.contains_key(*r));
                    let reached: Vec<_> = open.copied().collect();
                    for recorded in reached.into_iter().filter(|r| *r <= version) {
                        self.record_in_force(now, recorded);
                    }
                }
                Effect::Repair { .. } => self.writes += 1,
            }
        }
        Ok(())
    }

    /// Records that a change is in force, unless a ready host still has an older version.
    fn record_in_force(&mut self, now: u64, version: Version) {
        let mut others = self.replicas.values();
        let behind = |replica: &Replica| replica.is_ready() && replica.version() < version;
        if !others.any(behind) {
            self.in_force.entry(version).or_insert(now);
        }
    }

    fn send(
        &mut self,
        now: u64,
        from: entity::HostId,
        to: entity::HostId,
        message: message::Message,
    ) -> eyre::Result<()> {
        if self.counting {
            let bytes = population::message_bytes(&message)? + population::EXCHANGE_OVERHEAD_BYTES;
            *self.sent.entry(from).or_default() += bytes;
            *self.sent.entry(to).or_default() += population::EXCHANGE_OVERHEAD_BYTES;
        }
        let remote = self.domain(from) != self.domain(to);
        if remote && self.rng.random_bool(LOSS_PROBABILITY) {
            return Ok(());
        }
        let delay = if remote {
            self.rng.random_range(4_000..12_000)
        } else {
            self.rng.random_range(200..2_000)
        };
        self.events
            .schedule(now + delay, Event::Message(from, to, message));
        Ok(())
    }

    /// Records a change in the store and notifies the watchers and the host that made it.
    fn record_change(&mut self, now: u64) -> eyre::Result<()> {
        let plan = population::plan(700 + now / MICROS_PER_S, 700, 64);
        let i = self.rng.random_range(0..43);
        let change = lists::Change::PutPlan(population::plan_name(i), plan);
        self.store.lists.apply(&change);
        let delta = Delta::after(self.store.version, vec![change]);
        self.store.version = delta.to;
        self.recorded.insert(delta.to, now);
        self.writes += u64::from(self.counting);
        // An edit reads the lists once before it writes them.
        self.reads += u64::from(self.counting);
        let editor = entity::HostId::from_index(self.rng.random_range(0..self.fleet.hosts));
        for host in self.watchers.clone().into_iter().chain([editor]) {
            let delay = self.rng.random_range(4_000..200_000);
            self.events
                .schedule(now + delay, Event::Recorded(host, delta.clone()));
        }
        let period = (CHANGE_PERIOD_S * MICROS_PER_S as f64) as u64;
        self.events.schedule(now + period, Event::Change);
        Ok(())
    }

    /// Returns the longest time from the recording of a change until it was in force, in seconds. A
    /// change that never came into force counts until the end of the run. Changes in the last 10 s
    /// of the run are excluded.
    fn max_time_to_in_force_s(&self, end: u64) -> f64 {
        let settled = self
            .recorded
            .iter()
            .filter(|(_, at)| **at + 10 * MICROS_PER_S < end);
        let spans = settled.map(|(version, at)| {
            let reached = self.in_force.get(version).copied().unwrap_or(end);
            (reached - at) as f64 / MICROS_PER_S as f64
        });
        spans.fold(0.0, f64::max)
    }
}
