//! Calls to the store that the registration of a host makes, when hundreds of hosts start, are stopped in
//! turn, or are killed together.

use std::time::Duration;

use pistachiochute_core::membership::registration::{LeaseId, Registration, Step, Visibility};
use pistachiochute_core::time;

const LISTED_TTL: Duration = Duration::from_secs(6);
const RELAYED_TTL: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(100);

/// Price of a renewal; each other call costs 1.
const RENEWAL_PRICE: f64 = 0.1;

fn at(ms: u64) -> time::Time {
    time::Time::ZERO + Duration::from_millis(ms)
}

/// The store as far as one host's entry goes.
#[derive(Default)]
struct Store {
    leases: i64,
    /// Lease of the entry, and when it ends.
    entry: Option<(LeaseId, time::Time)>,
    price: f64,
}

impl Store {
    fn expire(&mut self, now: time::Time) {
        self.entry = self.entry.filter(|(_, ends_at)| *ends_at > now);
    }

    fn run(&mut self, host: &mut Registration, ttl: &mut Duration, step: Step, now: time::Time) {
        match step {
            Step::Register { ttl: wanted } => {
                self.price += 2.0;
                self.leases += 1;
                let lease = LeaseId(self.leases);
                *ttl = wanted;
                self.entry = Some((lease, now + wanted));
                host.record_lease(lease, wanted, now);
            }
            Step::Renew { lease } => {
                self.price += RENEWAL_PRICE;
                match self.entry {
                    Some((held, _)) if held == lease => {
                        self.entry = Some((lease, now + *ttl));
                        host.record_lease(lease, *ttl, now);
                    }
                    _ => host.record_end(),
                }
            }
        }
    }
}

/// A host and its entry in the store.
struct Run {
    store: Store,
    host: Registration,
    /// Time to live of its lease.
    ttl: Duration,
}

impl Run {
    fn new() -> Self {
        Self {
            store: Store::default(),
            host: Registration::new(LISTED_TTL),
            ttl: Duration::ZERO,
        }
    }

    /// Runs the host from one time to another, in milliseconds. Returns the longest time that it was
    /// not listed.
    fn go(&mut self, visibility: Visibility, from: u64, to: u64) -> Duration {
        let mut longest = Duration::ZERO;
        let mut missing = Duration::ZERO;
        let mut now = at(from);
        while now < at(to) {
            self.store.expire(now);
            if let Some(step) = self.host.next_step(visibility, now) {
                self.store.run(&mut self.host, &mut self.ttl, step, now);
            }
            missing = match self.store.entry {
                Some(_) => Duration::ZERO,
                None => missing + TICK,
            };
            longest = longest.max(missing);
            now += TICK;
        }
        longest
    }
}

#[test]
fn calm_minute_of_a_relayed_host_costs_less_than_three_calls() {
    let mut run = Run::new();
    let missing = run.go(Visibility::Relayed, 0, 60_000);
    assert_eq!(missing, Duration::ZERO);
    assert_eq!(run.ttl, RELAYED_TTL);
    assert!(run.store.price < 3.0, "{}", run.store.price);
}

#[test]
fn lost_host_that_all_rely_on_is_unlisted_within_its_short_lease() {
    let mut run = Run::new();
    run.go(Visibility::Listed, 0, 20_000);
    run.store.expire(at(26_000));
    assert!(run.store.entry.is_none());
}

#[test]
fn rolling_restart_of_relayed_hosts_costs_one_renewal_each() {
    let mut run = Run::new();
    run.go(Visibility::Relayed, 0, 1_000);
    for round in 0..5 {
        assert_eq!(run.host.take_lease_to_end(Visibility::Relayed), None);
        let left = run.store.entry.expect("the lease outlasts a restart").0;
        let price = run.store.price;
        run.host = Registration::new(LISTED_TTL);
        run.host.adopt(left);
        let begin = 3_000 + 2_000 * round;
        run.go(Visibility::Relayed, begin, begin + 1_000);
        assert!(run.store.price - price < 0.2, "round {round}");
    }
}

#[test]
fn host_that_becomes_a_relay_gets_a_short_lease_soon() {
    let mut run = Run::new();
    run.go(Visibility::Relayed, 0, 10_000);
    run.go(Visibility::Listed, 10_000, 10_200);
    assert_eq!(run.ttl, LISTED_TTL);
}

#[test]
fn role_that_changes_often_while_a_fleet_starts_costs_few_registrations() {
    let mut run = Run::new();
    for i in 0..20 {
        let visibility = [Visibility::Listed, Visibility::Relayed][i % 2];
        let from = 100 * i as u64;
        run.go(visibility, from, from + 100);
    }
    assert_eq!(run.store.leases, 1);
}

#[test]
fn lease_that_ended_while_no_process_ran_is_replaced_at_once() {
    let mut run = Run::new();
    run.host.adopt(LeaseId(77));
    let missing = run.go(Visibility::Relayed, 0, 1_000);
    assert!(missing <= TICK, "{missing:?}");
    assert!(run.store.entry.is_some());
}

#[test]
fn lease_of_an_older_process_is_not_adopted_over_an_own_one() {
    let mut run = Run::new();
    run.go(Visibility::Relayed, 0, 1_000);
    run.host.record_end();
    run.host.adopt(LeaseId(77));
    let step = run.host.next_step(Visibility::Relayed, at(1_000));
    assert_eq!(step, Some(Step::Register { ttl: RELAYED_TTL }));
}

#[test]
fn stopping_relay_ends_its_lease() {
    let mut run = Run::new();
    run.go(Visibility::Listed, 0, 1_000);
    let held = run.store.entry.map(|(lease, _)| lease);
    assert_eq!(run.host.take_lease_to_end(Visibility::Listed), held);
}
