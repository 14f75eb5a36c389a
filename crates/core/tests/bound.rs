//! Load bound at each admission, under stale views, handovers and concurrent owners.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::bound::{self, pool};
use pistachiochute_core::{entity, time};
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::test_runner::{Config, RngSeed};

const HOSTS: usize = 3;
const ENDPOINTS: usize = 6;

fn endpoint(index: usize) -> entity::EndpointId {
    entity::EndpointId::from_index(index)
}

fn settings(hundredths: u32) -> bound::Settings {
    let multiple = bound::Multiple::from_hundredths(hundredths).expect("a multiple");
    bound::Settings {
        multiple,
        ..bound::Settings::default()
    }
}

fn config() -> Config {
    Config {
        cases: 192,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x0b01),
        ..Config::default()
    }
}

/// A step in the history of the pools of three hosts.
#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(u64),
    Arrive {
        host: usize,
        endpoint: usize,
        cost: u64,
    },
    Complete(usize),
    Views {
        from: usize,
        to: usize,
        age_ms: u64,
        pushes_changes: Option<bool>,
    },
    TakeOver {
        host: usize,
        endpoint: usize,
    },
    GiveUp {
        host: usize,
        endpoint: usize,
        to: Option<usize>,
    },
    Report {
        endpoint: usize,
    },
    Flap {
        endpoint: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = 0..HOSTS;
    let at = 0..ENDPOINTS;
    let pushes_changes = prop_oneof![Just(None), Just(Some(false)), Just(Some(true))];
    let step = prop_oneof![
        2 => (1_u64..2_000).prop_map(Step::Advance),
        8 => (host.clone(), at.clone(), 1_u64..500)
            .prop_map(|(host, endpoint, cost)| Step::Arrive { host, endpoint, cost }),
        6 => (0_usize..64).prop_map(Step::Complete),
        4 => (host.clone(), host.clone(), 0_u64..3_000, pushes_changes)
            .prop_map(|(from, to, age_ms, pushes_changes)| {
                Step::Views { from, to, age_ms, pushes_changes }
            }),
        1 => (host.clone(), at.clone())
            .prop_map(|(host, endpoint)| Step::TakeOver { host, endpoint }),
        1 => (host.clone(), at.clone(), proptest::option::of(host))
            .prop_map(|(host, endpoint, to)| Step::GiveUp { host, endpoint, to }),
        1 => at.clone().prop_map(|endpoint| Step::Report { endpoint }),
        1 => at.prop_map(|endpoint| Step::Flap { endpoint }),
    ];
    proptest::collection::vec(step, 1..300)
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Running {
    host: usize,
    endpoint: usize,
    cost: u64,
}

/// Pools of three hosts, with the largest loads that each may know.
struct Fleet {
    multiple: f64,
    pools: Vec<pool::Pool>,
    running: Vec<Running>,
    now: time::Time,
    /// Largest load of an endpoint that a host ever observed, by host and endpoint.
    max_known: BTreeMap<(usize, usize), u64>,
    /// Earliest admission of a host that is taking over an endpoint, by host and endpoint.
    closed_until: BTreeMap<(usize, usize), time::Time>,
    admissions: u64,
}

impl Fleet {
    fn new(hundredths: u32) -> Self {
        let mut pools = vec![pool::Pool::new(settings(hundredths)); HOSTS];
        for (host, pool) in pools.iter_mut().enumerate() {
            for index in 0..ENDPOINTS {
                pool.join(endpoint(index), time::Time::ZERO);
                if index % HOSTS == host {
                    pool.take_over(endpoint(index), 0, time::Time::ZERO);
                    pool.record_handover(endpoint(index), 0);
                }
            }
        }
        Self {
            multiple: f64::from(hundredths) / 100.0,
            pools,
            running: Vec::new(),
            now: time::Time::from_secs(100),
            max_known: BTreeMap::new(),
            closed_until: BTreeMap::new(),
            admissions: 0,
        }
    }

    fn load(&self, index: usize) -> u64 {
        self.running
            .iter()
            .filter(|r| r.endpoint == index)
            .map(|r| r.cost)
            .sum()
    }

    fn own(&self, host: usize, index: usize) -> u64 {
        let own = |r: &&Running| r.host == host && r.endpoint == index;
        self.running.iter().filter(own).map(|r| r.cost).sum()
    }

    fn arrive(&mut self, host: usize, index: usize, cost: u64) -> bool {
        let known: Vec<u64> = (0..ENDPOINTS)
            .map(|e| self.own(host, e) + self.max_known.get(&(host, e)).copied().unwrap_or(0))
            .collect();
        let members = self.pools[host].mean(self.now).members.max(1) as f64;
        if self.pools[host]
            .admit(endpoint(index), cost, self.now)
            .is_err()
        {
            return false;
        }
        let closed = self.closed_until.get(&(host, index));
        assert!(
            closed.is_none_or(|until| *until <= self.now),
            "admitted in the grace period"
        );
        let mean = known.iter().sum::<u64>() as f64 / members;
        let after = self.own(host, index) + cost;
        let mean_after = mean + cost as f64 / members;
        let floor = self.own(host, index) as f64 <= mean;
        assert!(floor || after as f64 <= self.multiple * mean_after + 1e-9);
        self.running.push(Running {
            host,
            endpoint: index,
            cost,
        });
        self.admissions += 1;
        true
    }

    fn complete(&mut self, number: usize) {
        if self.running.is_empty() {
            return;
        }
        let ended = self.running.swap_remove(number % self.running.len());
        self.pools[ended.host].complete(endpoint(ended.endpoint), ended.cost, self.now);
    }

    fn views(&mut self, from: usize, to: usize, age_ms: u64, pushes_changes: Option<bool>) {
        if from == to {
            return;
        }
        let loads: Vec<_> = self.pools[from].owned_loads().collect();
        for (id, load) in loads {
            let age = Duration::from_millis(age_ms);
            let remote = pool::RemoteLoad {
                load,
                age,
                pushes_changes,
            };
            let taking_over = self.closed_until.contains_key(&(to, id.index()));
            self.pools[to].update_view(id, remote, self.now);
            let known = self.max_known.entry((to, id.index())).or_default();
            *known = (*known).max(load);
            if taking_over && self.pools[to].owns(id) {
                let until = self.now - age + bound::Settings::default().grace;
                let closed = self.closed_until.entry((to, id.index())).or_default();
                if *closed > self.now {
                    *closed = (*closed).max(until);
                }
            }
        }
    }

    fn take_over(&mut self, host: usize, index: usize) {
        if self.pools[host].owns(endpoint(index)) {
            return;
        }
        let load = self.load(index);
        self.pools[host].take_over(endpoint(index), load, self.now);
        let known = self.max_known.entry((host, index)).or_default();
        *known = (*known).max(load);
        let until = self.now + bound::Settings::default().grace;
        self.closed_until.insert((host, index), until);
    }

    fn give_up(&mut self, host: usize, index: usize, to: Option<usize>) {
        if !self.pools[host].owns(endpoint(index)) {
            return;
        }
        let load = self.pools[host].give_up(endpoint(index), self.now);
        self.closed_until.remove(&(host, index));
        let known = self.max_known.entry((host, index)).or_default();
        *known = (*known).max(load);
        let Some(to) = to.filter(|to| *to != host) else {
            return;
        };
        if self.pools[to].owns(endpoint(index)) {
            self.pools[to].record_handover(endpoint(index), load);
            self.closed_until.remove(&(to, index));
            let known = self.max_known.entry((to, index)).or_default();
            *known = (*known).max(load);
        }
    }

    fn report(&mut self, index: usize) {
        let load = self.load(index);
        for host in 0..HOSTS {
            self.pools[host].apply_report(endpoint(index), load, self.now);
            let known = self.max_known.entry((host, index)).or_default();
            *known = (*known).max(load);
        }
    }

    fn flap(&mut self, index: usize) {
        for host in 0..HOSTS {
            self.pools[host].leave(endpoint(index));
            self.pools[host].join(endpoint(index), self.now);
            self.closed_until.remove(&(host, index));
        }
        self.running.retain(|r| r.endpoint != index);
        self.take_over(index % HOSTS, index);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Advance(millis) => self.now += Duration::from_millis(millis),
            Step::Arrive {
                host,
                endpoint,
                cost,
            } => {
                self.arrive(host, endpoint, cost);
            }
            Step::Complete(number) => self.complete(number),
            Step::Views {
                from,
                to,
                age_ms,
                pushes_changes,
            } => self.views(from, to, age_ms, pushes_changes),
            Step::TakeOver { host, endpoint } => self.take_over(host, endpoint),
            Step::GiveUp { host, endpoint, to } => self.give_up(host, endpoint, to),
            Step::Report { endpoint } => self.report(endpoint),
            Step::Flap { endpoint } => self.flap(endpoint),
        }
    }

    /// Sends all loads to all hosts without delay.
    fn refresh(&mut self) {
        for from in 0..HOSTS {
            for to in 0..HOSTS {
                self.views(from, to, 0, Some(true));
            }
        }
    }
}

proptest::proptest! {
    #![proptest_config(config())]

    /// No host admits above the bound relative to the largest mean that it ever observed, nor while
    /// it is taking over an endpoint, under any sequence of steps.
    #[test]
    fn admissions_keep_the_bound_of_the_largest_known_mean(
        steps in steps(),
        hundredths in prop_oneof![Just(110_u32), Just(125), Just(150), Just(200)],
    ) {
        let mut fleet = Fleet::new(hundredths);
        steps.into_iter().for_each(|step| fleet.step(step));
    }

    /// With one owner per endpoint and loads without delay, the actual loads keep the bound, and
    /// some endpoint of the pool always admits.
    #[test]
    fn current_loads_keep_the_bound_and_never_refuse_at_every_endpoint(
        requests in proptest::collection::vec((0..ENDPOINTS, 1_u64..500, 0_usize..64), 1..200),
        hundredths in prop_oneof![Just(110_u32), Just(125), Just(150)],
    ) {
        let mut fleet = Fleet::new(hundredths);
        for (first, cost, ended) in requests {
            fleet.now += Duration::from_millis(7);
            fleet.refresh();
            let loads: Vec<u64> = (0..ENDPOINTS).map(|e| fleet.load(e)).collect();
            let sum: u64 = loads.iter().sum();
            let taken = (0..ENDPOINTS)
                .map(|offset| (first + offset) % ENDPOINTS)
                .find(|e| fleet.arrive(e % HOSTS, *e, cost));
            let taken = taken.expect("some endpoint admits");
            let mean = (sum + cost) as f64 / ENDPOINTS as f64;
            let floor = loads[taken] * ENDPOINTS as u64 <= sum;
            let limit = f64::from(hundredths) / 100.0 * mean;
            proptest::prop_assert!(floor || (loads[taken] + cost) as f64 <= limit + 1e-9);
            if ended % 3 == 0 {
                fleet.complete(ended);
            }
        }
    }
}

/// A pool of which this host owns endpoint 0 and another host owns endpoint 1.
fn two_endpoints(load: u64, now: time::Time) -> pool::Pool {
    let mut pool = pool::Pool::new(settings(125));
    pool.join(endpoint(0), now);
    pool.join(endpoint(1), now);
    pool.take_over(endpoint(0), 0, now);
    pool.record_handover(endpoint(0), 0);
    let remote = pool::RemoteLoad {
        load,
        age: Duration::ZERO,
        pushes_changes: Some(true),
    };
    pool.update_view(endpoint(1), remote, now + Duration::from_millis(1));
    pool
}

#[test]
fn a_new_owner_waits_for_the_handover_or_the_grace_period() {
    let start = time::Time::from_secs(10);
    let grace = bound::Settings::default().grace;
    let mut pool = two_endpoints(1_000, start);
    pool.take_over(endpoint(1), 100, start);
    assert_eq!(
        pool.admit(endpoint(1), 10, start),
        Err(pool::Refused::TakingOver)
    );
    let remote = pool::RemoteLoad {
        load: 100,
        age: Duration::ZERO,
        pushes_changes: None,
    };
    let observed_at = start + Duration::from_secs(2);
    pool.update_view(endpoint(1), remote, observed_at);
    let first_end = start + grace;
    assert_eq!(
        pool.admit(endpoint(1), 10, first_end),
        Err(pool::Refused::TakingOver)
    );
    let mut handed_over = pool.clone();
    handed_over.record_handover(endpoint(1), 0);
    assert_eq!(handed_over.admit(endpoint(1), 10, first_end), Ok(()));
    assert_ne!(
        pool.admit(endpoint(1), 10, observed_at + grace),
        Err(pool::Refused::TakingOver)
    );
}

#[test]
fn work_of_another_owner_limits_admission_to_the_mean() {
    let now = time::Time::from_secs(10);
    let mut pool = two_endpoints(1_000, now);
    for _ in 0..10 {
        assert_eq!(pool.admit(endpoint(0), 60, now), Ok(()));
    }
    (0..3).for_each(|_| pool.apply_report(endpoint(0), 600, now));
    pool.apply_report(endpoint(0), 900, now);
    assert_eq!(pool.load(endpoint(0), now), Some(900));
    assert_eq!(
        pool.admit(endpoint(0), 100, now),
        Err(pool::Refused::AtBound)
    );
    let later = now + bound::Settings::default().contested + Duration::from_secs(1);
    pool.apply_report(endpoint(0), 600, later);
    assert_eq!(pool.load(endpoint(0), later), Some(600));
}

#[test]
fn expired_views_leave_the_mean_and_stale_ones_lower_it() {
    let now = time::Time::from_secs(10);
    let mut pool = two_endpoints(10_000, now);
    for _ in 0..50 {
        assert_eq!(pool.admit(endpoint(0), 100, now), Ok(()));
    }
    let fresh = pool.mean(now + Duration::from_millis(1));
    let stale = pool.mean(now + Duration::from_secs(5));
    let old = pool.mean(now + Duration::from_secs(11));
    assert!(stale.sum_lower_bound < fresh.sum_lower_bound && fresh.sum_lower_bound < fresh.sum);
    assert_eq!((old.members, old.sum), (1, 5_000));
}

#[test]
fn only_owned_endpoints_admit_and_huge_loads_do_not_overflow() {
    let now = time::Time::from_secs(10);
    let mut pool = two_endpoints(u64::MAX, now);
    assert_eq!(
        pool.admit(endpoint(1), 1, now),
        Err(pool::Refused::NotOwned)
    );
    assert_eq!(
        pool.admit(endpoint(5), 1, now),
        Err(pool::Refused::NotOwned)
    );
    pool.apply_report(endpoint(0), u64::MAX, now);
    assert_eq!(
        pool.admit(endpoint(0), u64::MAX, now),
        Err(pool::Refused::AtBound)
    );
    assert!(pool.mean(now).sum > 0);
}

#[test]
fn multiples_are_validated_and_displayed_as_ratios() {
    assert_eq!("1.25".parse(), Ok(bound::Multiple::default()));
    assert_eq!(bound::Multiple::default().to_string(), "1.25");
    for text in ["0.99", "0", "NaN", "16.1", "x"] {
        assert_eq!(
            text.parse::<bound::Multiple>(),
            Err(bound::ParseMultipleError)
        );
    }
}
