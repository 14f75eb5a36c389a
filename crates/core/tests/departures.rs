//! Endpoints that say in their answers that they leave: no entry of theirs brings them back.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::directory::{
    DEPARTURE_RETENTION, Departure, Departures, Directory, Endpoint, Identity, IncarnationKey,
    Source, State,
};
use pistachiochute_core::{revision, time};
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use proptest::{collection, prop_assert, prop_assert_eq};

const SEED: u64 = 0xd3_9a27;

const START: time::Time = time::Time::from_secs(100);

/// Starts of the two incarnations of the endpoint.
const STARTS_MS: [u64; 2] = [1, 2];

fn identity(started_at_ms: u64) -> Identity {
    Identity {
        id: "ep".into(),
        started_at_ms,
    }
}

fn key(started_at_ms: u64) -> IncarnationKey {
    IncarnationKey::of(&identity(started_at_ms))
}

fn endpoint(started_at_ms: u64, heartbeat: u64) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        identity: identity(started_at_ms),
        service: "reader".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "dom-a".into(),
        slots: 4,
        state: State::Ready,
        version: Some("1".into()),
        heartbeat,
        cold_time: std::time::Duration::ZERO,
    })
}

/// A directory of one endpoint, with entries of it from the store and from other hosts.
struct World {
    directory: Directory,
    now: time::Time,
    revision: u64,
}

impl World {
    fn new() -> Self {
        Self {
            directory: Directory::default(),
            now: START,
            revision: 0,
        }
    }

    fn put(&mut self, started_at_ms: u64, source: Source) {
        self.revision += 1;
        let entry = Some(endpoint(started_at_ms, self.revision));
        let revision = revision::Epoch::default().revision(revision::Revision(self.revision));
        self.directory
            .apply(&"ep".into(), revision, entry, source, self.now);
    }

    fn remove(&mut self, source: Source) {
        self.revision += 1;
        let revision = revision::Epoch::default().revision(revision::Revision(self.revision));
        self.directory
            .apply(&"ep".into(), revision, None, source, self.now);
    }

    fn list(&mut self, started_at_ms: u64) {
        self.revision += 1;
        let revision = revision::Epoch::default().revision(revision::Revision(self.revision));
        let entry = Some(endpoint(started_at_ms, self.revision));
        self.directory
            .replace(vec![("ep".into(), revision, entry)], revision, self.now);
    }

    fn depart(&mut self, started_at_ms: u64) -> bool {
        let departure = Departure {
            endpoint: key(started_at_ms),
            last_seen: self.now,
        };
        self.directory.record_departure(departure, self.now)
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.directory.tick(self.now);
    }

    fn usable(&self) -> Vec<u64> {
        let usable = self.directory.usable();
        usable.map(|e| e.identity.started_at_ms).collect()
    }

    fn leaving(&self) -> Vec<u64> {
        let leaving = self.directory.leaving();
        leaving.map(|e| e.identity.started_at_ms).collect()
    }
}

#[test]
fn endpoint_that_says_it_leaves_is_leaving_whatever_its_entry_says() {
    let mut world = World::new();
    world.put(1, Source::Store);
    assert_eq!(world.usable(), [1]);
    assert!(world.depart(1));
    assert!(!world.depart(1));
    world.put(1, Source::Store);
    assert_eq!((world.usable(), world.leaving()), (vec![], vec![1]));
}

#[test]
fn departure_may_come_before_the_entry() {
    let mut world = World::new();
    world.depart(1);
    world.put(1, Source::Host);
    assert_eq!(world.usable(), [0; 0]);
}

#[test]
fn next_incarnation_is_used_at_once() {
    let mut world = World::new();
    world.put(1, Source::Store);
    world.depart(1);
    world.put(2, Source::Store);
    assert_eq!(world.usable(), [2]);
}

/// Guards against departures that hosts keep for ever, or send each other for ever.
#[test]
fn departure_is_forgotten_after_its_incarnation_has_gone() {
    let mut world = World::new();
    world.put(1, Source::Store);
    world.depart(1);
    world.pass(3 * DEPARTURE_RETENTION.as_millis() as u64);
    assert!(world.directory.departures().contains(key(1)));
    let sent = world.directory.departures().iter().next();
    world.remove(Source::Host);
    world.pass(DEPARTURE_RETENTION.as_millis() as u64 - 1);
    assert!(world.directory.departures().contains(key(1)));
    world.pass(1);
    assert!(world.directory.departures().is_empty());
    let late = sent.expect("one departure");
    assert!(!world.directory.record_departure(late, world.now));
}

#[test]
fn number_of_departures_is_bounded() {
    let mut departures = Departures::default();
    for i in 0..10_000 {
        let now = START + Duration::from_micros(i);
        let departure = Departure {
            endpoint: IncarnationKey::new(i),
            last_seen: now,
        };
        assert!(departures.record(departure, now));
    }
    assert_eq!(departures.iter().count(), 4_096);
    assert!(departures.contains(IncarnationKey::new(9_999)));
    assert!(!departures.contains(IncarnationKey::new(0)));
}

#[derive(Clone, Debug)]
enum Step {
    Put(u64, Source),
    Remove(Source),
    List(u64),
    Depart(u64),
    StoreFails,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let started = || prop_oneof![Just(STARTS_MS[0]), Just(STARTS_MS[1])];
    let source = || prop_oneof![Just(Source::Store), Just(Source::Host)];
    prop_oneof![
        (started(), source()).prop_map(|(started, source)| Step::Put(started, source)),
        source().prop_map(Step::Remove),
        started().prop_map(Step::List),
        started().prop_map(Step::Depart),
        Just(Step::StoreFails),
        (1..5_000_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against any order of entries, lists and outages that brings an endpoint back.
    #[test]
    fn no_order_of_entries_brings_an_endpoint_back(steps in collection::vec(step(), 1..40)) {
        let mut world = World::new();
        let mut departed: Vec<u64> = Vec::new();
        let mut absent_since = [START; 3];
        for step in steps {
            match step {
                Step::Put(started, source) => world.put(started, source),
                Step::Remove(source) => world.remove(source),
                Step::List(started) => world.list(started),
                Step::Depart(started) => {
                    world.depart(started);
                    departed.push(started);
                    absent_since[started as usize] = world.now;
                }
                Step::StoreFails => world.directory.record_store_call(false, world.now),
                Step::Pass(millis) => world.pass(millis),
            }
            for started in world.usable().into_iter().chain(world.leaving()) {
                absent_since[started as usize] = world.now;
            }
            let now = world.now;
            let is_kept = |started: &u64| {
                now.since(absent_since[*started as usize]) < DEPARTURE_RETENTION
            };
            departed.retain(is_kept);
            for started in world.usable() {
                prop_assert!(!departed.contains(&started), "{started} is back");
            }
        }
    }

    /// Guards against hosts whose beliefs depend on the order or the repetition of messages.
    #[test]
    fn any_order_and_repetition_ends_in_the_same_belief(
        order in collection::vec(any::<proptest::sample::Index>(), 1..60),
    ) {
        let departure = |i: usize| Departure {
            endpoint: IncarnationKey::new(i as u64),
            last_seen: START,
        };
        let mut departures = Departures::default();
        let mut new = 0;
        for index in &order {
            new += usize::from(departures.record(departure(index.index(8)), START));
        }
        let mut known: Vec<_> = departures.iter().collect();
        known.sort_by_key(|departure| departure.endpoint);
        let mut sent: Vec<_> = order.iter().map(|index| departure(index.index(8))).collect();
        sent.sort_by_key(|departure| departure.endpoint);
        sent.dedup();
        prop_assert_eq!(new, sent.len());
        prop_assert_eq!(known, sent);
    }
}
