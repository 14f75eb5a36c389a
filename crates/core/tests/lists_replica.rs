//! A replica's version never decreases, and all replicas converge once faults end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::lists::replica::{self, Effect, StoreAnswer};
use pistachiochute_core::lists::{self, Delta, Snapshot, Version, message};
use pistachiochute_core::{entity, revision, time, units};
use proptest::prelude::*;

const HOSTS: u32 = 9;
const DOMAINS: u32 = 3;
const STEP: Duration = Duration::from_millis(250);

fn host(i: u32) -> entity::HostId {
    entity::HostId::new(i).unwrap()
}

fn domain_of(host: entity::HostId) -> entity::DomainId {
    entity::DomainId::new(host.as_u32() % DOMAINS).unwrap()
}

fn view(of: entity::HostId) -> replica::View {
    let hosts = (0..HOSTS).map(|i| (host(i), domain_of(host(i))));
    replica::View::new(of, domain_of(of), hosts)
}

fn plan(weight: u32) -> lists::Plan {
    lists::Plan {
        models: vec!["m".parse().unwrap()],
        services: Vec::new(),
        requests_per_minute: units::PerMinute(60),
        tokens_per_minute: units::PerMinute(6_000),
        in_flight: units::Requests(4),
        priority: 0,
        weight,
        longest_answer: units::Tokens(100),
    }
}

/// A message with its sender and receiver.
#[derive(Clone)]
struct Envelope {
    from: entity::HostId,
    to: entity::HostId,
    message: message::Message,
}

/// Simulated hosts, messages in flight and a store.
struct Fleet {
    now: time::Time,
    replicas: BTreeMap<entity::HostId, replica::Replica>,
    in_flight: Vec<Envelope>,
    /// Answers of the store in flight.
    store_answers: Vec<(entity::HostId, StoreAnswer)>,
    /// Watch events of the store in flight.
    watch_events: Vec<(entity::HostId, Delta)>,
    watchers: Vec<entity::HostId>,
    store: Snapshot,
    backups: Vec<Snapshot>,
    store_up: bool,
    /// Domain that is partitioned from the store and the other domains.
    isolated_domain: Option<entity::DomainId>,
    /// Lists of each version that ever existed.
    lists_by_version: BTreeMap<Version, lists::Lists>,
    /// Last version in force on each host since its last start.
    in_force: BTreeMap<entity::HostId, Version>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            now: time::Time::ZERO,
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            store_answers: Vec::new(),
            watch_events: Vec::new(),
            watchers: Vec::new(),
            store: Snapshot::default(),
            backups: Vec::new(),
            store_up: true,
            isolated_domain: None,
            lists_by_version: [(Version::NONE, lists::Lists::default())].into(),
            in_force: BTreeMap::new(),
        };
        (0..HOSTS).for_each(|i| fleet.restart(host(i)));
        fleet
    }

    fn restart(&mut self, host: entity::HostId) {
        self.in_force.remove(&host);
        self.watchers.retain(|other| *other != host);
        self.store_answers.retain(|(other, _)| *other != host);
        self.watch_events.retain(|(other, _)| *other != host);
        let (replica, effects) = replica::Replica::start(self.now, view(host));
        self.replicas.insert(host, replica);
        self.run(host, effects);
    }

    fn run(&mut self, host: entity::HostId, effects: impl IntoIterator<Item = Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => {
                    let from = host;
                    self.in_flight.push(Envelope { from, to, message });
                }
                Effect::ReadStore if !self.reaches_store(host) => {
                    self.store_answers.push((host, StoreAnswer::Unavailable));
                }
                Effect::ReadStore => {
                    let same = self.store.version == self.replicas[&host].version();
                    let answer = match same {
                        true => StoreAnswer::Same,
                        false => StoreAnswer::Lists(self.store.clone()),
                    };
                    self.store_answers.push((host, answer));
                }
                Effect::Watch => self.watchers.push(host),
                Effect::Unwatch => self.watchers.retain(|other| *other != host),
                Effect::InForce(version, lists) => self.check_in_force(host, version, &lists),
                Effect::Repair {
                    expected,
                    delta,
                    lists,
                } => {
                    if self.reaches_store(host) && self.store.version == expected {
                        self.record(delta, lists::Lists::clone(&lists));
                    }
                }
            }
        }
    }

    fn check_in_force(
        &mut self,
        host: entity::HostId,
        version: Version,
        lists: &Arc<lists::Lists>,
    ) {
        let previous = self.in_force.insert(host, version).unwrap_or_default();
        assert!(
            version >= previous,
            "{host} went from {previous} to {version}"
        );
        assert_eq!(
            **lists, self.lists_by_version[&version],
            "{host} at {version}"
        );
    }

    fn reaches_store(&self, host: entity::HostId) -> bool {
        self.store_up && self.isolated_domain != Some(domain_of(host))
    }

    fn connected(&self, a: entity::HostId, b: entity::HostId) -> bool {
        domain_of(a) == domain_of(b)
            || (self.isolated_domain != Some(domain_of(a))
                && self.isolated_domain != Some(domain_of(b)))
    }

    fn record(&mut self, delta: Delta, lists: lists::Lists) {
        self.backups.push(self.store.clone());
        self.lists_by_version.insert(delta.to, lists.clone());
        let version = delta.to;
        self.store = Snapshot { version, lists };
        let watchers = self.watchers.iter();
        self.watch_events
            .extend(watchers.map(|host| (*host, delta.clone())));
    }

    /// Edits through a host, which refuses while the store has a smaller version than it has seen.
    fn edit(&mut self, host: entity::HostId, weight: u32) {
        let replica = &self.replicas[&host];
        let current = replica.is_ready() && self.store.version >= replica.highest_version();
        if !self.reaches_store(host) || !current {
            return;
        }
        let name = format!("plan-{}", weight % 4).parse().unwrap();
        let change = lists::Change::PutPlan(name, plan(weight));
        let mut lists = self.store.lists.clone();
        lists.apply(&change);
        let delta = Delta::after(self.store.version, vec![change]);
        self.record(delta.clone(), lists);
        let now = self.now;
        let effects = self
            .replicas
            .get_mut(&host)
            .unwrap()
            .handle_recorded_delta(now, delta);
        self.run(host, effects);
    }

    fn restore_store(&mut self, age: usize) {
        let kept = self.backups.len().saturating_sub(age + 1);
        if let Some(backup) = self.backups.get(kept).cloned() {
            self.backups.truncate(kept);
            self.store = backup;
            self.watch_events.clear();
        }
    }

    fn deliver(&mut self, index: usize, duplicate: bool) {
        let count = self.in_flight.len();
        if count == 0 {
            return;
        }
        let i = index % count;
        let envelope = match duplicate {
            true => self.in_flight[i].clone(),
            false => self.in_flight.swap_remove(i),
        };
        if self.connected(envelope.from, envelope.to) {
            let now = self.now;
            let replica = self.replicas.get_mut(&envelope.to).unwrap();
            let effects = replica.handle_message(now, envelope.from, envelope.message);
            self.run(envelope.to, effects);
        }
    }

    fn deliver_store(&mut self, index: usize) {
        let now = self.now;
        if !self.store_answers.is_empty() {
            let (host, answer) = self
                .store_answers
                .swap_remove(index % self.store_answers.len());
            let effects = self
                .replicas
                .get_mut(&host)
                .unwrap()
                .handle_store_answer(now, answer);
            self.run(host, effects);
        }
        if !self.watch_events.is_empty() {
            let (host, delta) = self
                .watch_events
                .swap_remove(index % self.watch_events.len());
            let effects = self
                .replicas
                .get_mut(&host)
                .unwrap()
                .handle_recorded_delta(now, delta);
            self.run(host, effects);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for i in 0..HOSTS {
            let effects = self.replicas.get_mut(&host(i)).unwrap().tick(now);
            self.run(host(i), effects);
        }
    }

    /// Ends all faults and delivers everything in order for a while.
    fn run_without_faults(&mut self, duration: Duration) {
        self.store_up = true;
        self.isolated_domain = None;
        let end = self.now + duration;
        while self.now < end {
            self.step();
            while !self.in_flight.is_empty() {
                self.deliver(0, false);
            }
            while !self.store_answers.is_empty() || !self.watch_events.is_empty() {
                self.deliver_store(0);
            }
        }
    }

    fn assert_converged(&self) {
        let version = self.store.version;
        for (host, replica) in &self.replicas {
            assert!(replica.is_ready(), "{host} is not ready");
            assert_eq!(replica.version(), version, "{host}");
            assert_eq!(**replica.lists(), self.lists_by_version[&version], "{host}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6c69_7374),
        ..ProptestConfig::default()
    })]

    /// Messages are reordered, duplicated, lost and delayed; hosts restart; the store goes down and
    /// is restored from older backups; a domain is partitioned. No version in force ever decreases
    /// (checked at each effect), and in the end every host has the largest one.
    #[test]
    fn version_never_decreases(
        ops in proptest::collection::vec((0_u8..100, any::<u16>()), 1..500),
    ) {
        let mut fleet = Fleet::new();
        fleet.run_without_faults(Duration::from_secs(3));
        let mut largest = Version::NONE;
        for (op, arg) in ops {
            let arg = usize::from(arg);
            match op {
                0..=49 => fleet.deliver(arg, false),
                50..=54 => fleet.deliver(arg, true),
                55..=59 if !fleet.in_flight.is_empty() => {
                    fleet.in_flight.swap_remove(arg % fleet.in_flight.len());
                }
                55..=69 => fleet.deliver_store(arg),
                70..=79 => fleet.step(),
                80..=91 => fleet.edit(host(arg as u32 % HOSTS), arg as u32),
                92..=93 => fleet.restart(host(arg as u32 % HOSTS)),
                94..=95 => fleet.store_up = !fleet.store_up,
                96 => fleet.restore_store(arg % 5),
                97 => fleet.watch_events.clear(),
                _ => fleet.isolated_domain = match arg as u32 % (DOMAINS + 1) {
                    DOMAINS => None,
                    domain => entity::DomainId::new(domain),
                },
            }
            // A restart of the only host that has a version may lose that version. The other hosts
            // keep theirs.
            let ready = fleet.replicas.values().filter(|replica| replica.is_ready());
            largest = ready.map(replica::Replica::version).max().unwrap_or_default();
        }
        fleet.run_without_faults(Duration::from_secs(90));
        fleet.assert_converged();
        prop_assert!(fleet.store.version >= largest);
    }
}

#[test]
fn host_starts_from_peers_while_the_store_is_down() {
    let mut fleet = Fleet::new();
    fleet.run_without_faults(Duration::from_secs(3));
    fleet.edit(host(0), 7);
    fleet.run_without_faults(Duration::from_secs(3));
    let version = fleet.store.version;
    fleet.store_up = false;
    fleet.restart(host(4));
    assert!(!fleet.replicas[&host(4)].is_ready());
    for _ in 0..12 {
        fleet.step();
        while !fleet.in_flight.is_empty() {
            fleet.deliver(0, false);
        }
    }
    assert!(fleet.replicas[&host(4)].is_ready());
    assert_eq!(fleet.replicas[&host(4)].version(), version);
}

#[test]
fn host_without_store_and_peers_is_not_ready() {
    let only = host(0);
    let (mut replica, _) = replica::Replica::start(
        time::Time::ZERO,
        replica::View::new(only, domain_of(only), []),
    );
    for s in 0..30 {
        replica.handle_store_answer(time::Time::from_secs(s), StoreAnswer::Unavailable);
        replica.tick(time::Time::from_secs(s));
        assert!(!replica.is_ready());
    }
    replica.handle_store_answer(
        time::Time::from_secs(31),
        StoreAnswer::Lists(Snapshot::default()),
    );
    assert!(replica.is_ready());
}

#[test]
fn operator_sees_hosts_confirmed_and_domains_unreachable() {
    let mut fleet = Fleet::new();
    fleet.run_without_faults(Duration::from_secs(3));
    fleet.isolated_domain = entity::DomainId::new(2);
    fleet.edit(host(0), 7);
    let revision = fleet.store.version.revision;
    assert_eq!(revision, revision::Revision(1));
    for _ in 0..160 {
        fleet.step();
        while !fleet.in_flight.is_empty() {
            fleet.deliver(0, false);
        }
        fleet.deliver_store(0);
    }
    let status = fleet.replicas[&host(0)].status(fleet.now, revision);
    let seen: Vec<_> = status
        .iter()
        .map(|s| (s.reach, s.hosts, s.confirmed))
        .collect();
    let reporting = (replica::DomainReach::Reporting, 3, 3);
    assert_eq!(seen[..2], [reporting, reporting]);
    assert_eq!(seen[2].0, replica::DomainReach::Unreachable);
    fleet.run_without_faults(Duration::from_secs(30));
    let status = fleet.replicas[&host(0)].status(fleet.now, revision);
    assert!(status.iter().all(|s| s.confirmed == 3), "{status:?}");
}
