//! No part of a slice is ever usable by two processes at once.

use std::time::Duration;

use pistachiochute_core::limits::claims::{CasVersion, Claims, Effect, Shard};
use pistachiochute_core::limits::{MAX_CLOCK_SKEW_PPM, SLICES, SliceId};
use pistachiochute_core::{entity, time};
use proptest::prelude::*;

const HOSTS: u32 = 4;
const SHARD: u8 = 3;

fn host(i: u32) -> entity::HostId {
    entity::HostId::new(i).unwrap()
}

fn domain(i: u32) -> entity::DomainId {
    entity::DomainId::new(i % 2).unwrap()
}

/// A process with its own clock. Stays after a restart, as a paused process would.
struct Process {
    host: u32,
    offset: u64,
    skew_ppm: i64,
    claims: Claims,
    paused: bool,
}

impl Process {
    fn now(&self, truth: u64) -> time::Time {
        let skew = truth as i64 * self.skew_ppm / 1_000_000;
        time::Time::from_micros((self.offset + truth).saturating_add_signed(skew))
    }
}

/// Calls of a process that are on their way.
enum Flight {
    Read {
        process: usize,
        sent: u64,
        answer: Option<(u64, CasVersion, Shard)>,
    },
    Write {
        version: CasVersion,
        value: Shard,
    },
}

struct World {
    truth: u64,
    processes: Vec<Process>,
    flights: Vec<Flight>,
    store: (CasVersion, Shard),
}

impl World {
    fn start(&mut self, host_index: u32, offset: u64, skew_ppm: i64) {
        let boot = self.processes.len() as u64;
        let mut claims = Claims::new(host(host_index), boot, vec![domain(0), domain(1)]);
        claims.set_hosts(
            time::Time::ZERO,
            (0..HOSTS).map(|i| (host(i), domain(i))).collect(),
        );
        let host = host_index;
        self.processes.push(Process {
            host,
            offset,
            skew_ppm,
            claims,
            paused: false,
        });
    }

    fn run(&mut self, process: usize, effects: Vec<Effect>) {
        let sent = self.truth;
        for effect in effects {
            match effect {
                Effect::Read(SHARD) => {
                    self.flights.push(Flight::Read {
                        process,
                        sent,
                        answer: None,
                    });
                }
                Effect::Read(_) => {}
                Effect::Write(_, version, value) => {
                    let value = *value;
                    self.flights.push(Flight::Write { version, value });
                    // The answer is not looked at: the value is read again in any case.
                    self.flights.push(Flight::Read {
                        process,
                        sent,
                        answer: None,
                    });
                }
            }
        }
    }

    /// Lets one call arrive at the store, or its answer arrive back.
    fn deliver(&mut self, index: usize) {
        if self.flights.is_empty() {
            return;
        }
        let index = index % self.flights.len();
        match self.flights.remove(index) {
            Flight::Write { version, value } => {
                if version == self.store.0 {
                    self.store = (CasVersion(version.0 + 1), value);
                }
            }
            Flight::Read {
                process,
                sent,
                answer: None,
            } => {
                let answer = Some((self.truth, self.store.0, self.store.1));
                self.flights.push(Flight::Read {
                    process,
                    sent,
                    answer,
                });
            }
            Flight::Read {
                process,
                sent,
                answer: Some((_, version, value)),
            } => {
                let p = &mut self.processes[process];
                if !p.paused {
                    let (sent, now) = (p.now(sent), p.now(self.truth));
                    let effects = p.claims.handle_read(sent, now, SHARD, version, &value);
                    self.run(process, effects);
                }
            }
        }
    }

    fn tick(&mut self) {
        for i in 0..self.processes.len() {
            let p = &mut self.processes[i];
            if !p.paused {
                let now = p.now(self.truth);
                let effects = p.claims.tick(now);
                self.run(i, effects);
            }
        }
    }

    fn holders(&self, slice: u8) -> [usize; 2] {
        let id = SliceId {
            shard: SHARD,
            slice,
        };
        let mut holders = [0; 2];
        for p in &self.processes {
            let authority = p.claims.authority(id);
            let now = p.now(self.truth);
            holders[0] += usize::from(authority.elastic.contains(now));
            holders[1] += usize::from(authority.floor.contains(now));
        }
        holders
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x636c_6169),
        ..ProptestConfig::default()
    })]

    /// Hosts disagree about who is live, are paused and restarted, their clocks differ within
    /// the stated bound, and calls to the store are late or lost.
    #[test]
    fn one_holder_at_a_time(
        skews in proptest::collection::vec(-(MAX_CLOCK_SKEW_PPM as i64)..=MAX_CLOCK_SKEW_PPM as i64, HOSTS as usize),
        ops in proptest::collection::vec((0_u8..100, any::<u16>()), 1..600),
    ) {
        let store = (CasVersion(0), Shard::default());
        let mut world = World { truth: 0, processes: Vec::new(), flights: Vec::new(), store };
        for (i, skew) in skews.iter().enumerate() {
            world.start(i as u32, 7_777_777 * (i as u64 + 1), *skew);
        }
        for (op, arg) in ops {
            let process = usize::from(arg) % world.processes.len();
            match op {
                0..=54 => world.deliver(usize::from(arg)),
                55..=69 => world.tick(),
                70..=79 => world.truth += u64::from(arg) * 100,
                80..=83 => world.truth += u64::from(arg) * 5_000,
                84 => world.truth += 6 * 3_600_000_000,
                85..=92 => {
                    let live = (0..HOSTS).filter(|i| arg >> i & 1 == 1);
                    let hosts = live.map(|i| (host(i), domain(i))).collect();
                    let p = &mut world.processes[process];
                    let now = p.now(world.truth);
                    p.claims.set_hosts(now, hosts);
                }
                93..=94 => world.processes[process].paused ^= true,
                95 => {
                    let effects = world.processes[process].claims.drain();
                    world.run(process, effects);
                }
                96 if !world.flights.is_empty() => {
                    world.flights.swap_remove(usize::from(arg) % world.flights.len());
                }
                97 if world.processes.len() < 12 => {
                    world.processes[process].paused = true;
                    let p = &world.processes[process];
                    let (host, offset, skew) = (p.host, p.offset, p.skew_ppm);
                    world.start(host, offset, skew);
                }
                _ => {}
            }
            for slice in 0..SLICES {
                let holders = world.holders(slice);
                prop_assert!(holders[0] <= 1 && holders[1] <= 1, "slice {}: {:?}", slice, holders);
            }
        }
    }
}

#[test]
fn slices_of_a_lost_host_move_after_the_lease_and_back_by_surrender() {
    let store = (CasVersion(0), Shard::default());
    let mut world = World {
        truth: 0,
        processes: Vec::new(),
        flights: Vec::new(),
        store,
    };
    (0..HOSTS).for_each(|i| world.start(i, 0, 0));
    let settle = |world: &mut World, secs: u64| {
        for _ in 0..secs {
            world.truth += 1_000_000;
            world.tick();
            for _ in 0..200 {
                world.deliver(0);
            }
        }
    };
    settle(&mut world, 20);
    let all =
        |world: &World, part: usize| (0..SLICES).filter(|s| world.holders(*s)[part] == 1).count();
    assert_eq!([all(&world, 0), all(&world, 1)], [8, 8]);
    let held = |p: &Process| p.claims.held().filter(|id| id.shard == SHARD).count();
    let lost = (0..4).max_by_key(|i| held(&world.processes[*i])).unwrap();
    let gone = held(&world.processes[lost]);
    assert!(gone > 0);
    world.processes[lost].paused = true;
    for i in (0..4).filter(|i| *i != lost) {
        let live = (0..HOSTS).filter(|i| *i as usize != lost);
        let now = world.processes[i].now(world.truth);
        world.processes[i]
            .claims
            .set_hosts(now, live.map(|i| (host(i), domain(i))).collect());
    }
    settle(&mut world, 60);
    assert_eq!(
        [all(&world, 0), all(&world, 1)],
        [8 - gone, 8],
        "the floor stays with the lost host"
    );
    settle(&mut world, 60);
    assert_eq!([all(&world, 0), all(&world, 1)], [8, 8]);
    world.processes[lost].paused = false;
    for i in 0..4 {
        let live = (0..HOSTS).map(|i| (host(i), domain(i))).collect();
        let now = world.processes[i].now(world.truth);
        world.processes[i].claims.set_hosts(now, live);
    }
    settle(&mut world, 70);
    assert_eq!(all(&world, 0), 8);
    assert_eq!(
        held(&world.processes[lost]),
        gone,
        "taken back without waiting for a lease"
    );
}

#[test]
fn clock_bound_is_stated() {
    assert_eq!(
        pistachiochute_core::limits::with_skew_margin(Duration::from_secs(1_000)),
        Duration::from_micros(1_001_000_001)
    );
}

/// Reads the shard until the claims ask for nothing more, and lets every write take effect.
fn settle_alone(claims: &mut Claims, store: &mut (CasVersion, Shard), now: time::Time) {
    loop {
        let effects = claims.handle_read(now, now, SHARD, store.0, &store.1);
        let Some(Effect::Write(_, version, value)) = effects.into_iter().next() else {
            return;
        };
        assert_eq!(version, store.0);
        *store = (CasVersion(version.0 + 1), *value);
    }
}

#[test]
fn wait_covers_the_lease_on_the_slowest_clock() {
    let mut store = (CasVersion(0), Shard::default());
    let mut first = Claims::new(host(0), 1, vec![domain(0)]);
    first.set_hosts(time::Time::ZERO, vec![(host(0), domain(0))]);
    settle_alone(&mut first, &mut store, time::Time::ZERO);
    let mut second = Claims::new(host(1), 1, vec![domain(0)]);
    second.set_hosts(time::Time::ZERO, vec![(host(1), domain(0))]);
    second.handle_read(time::Time::ZERO, time::Time::ZERO, SHARD, store.0, &store.1);
    // Both clocks count from the last read of the first host, which is also the moment before
    // the second host takes over; the first runs slow and the second fast.
    let start = time::Time::from_secs(100);
    second.handle_read(
        start - Duration::from_secs(20),
        start - Duration::from_secs(20),
        SHARD,
        store.0,
        &store.1,
    );
    settle_alone(&mut first, &mut store, start);
    settle_alone(&mut second, &mut store, start);
    settle_alone(&mut second, &mut store, start + Duration::from_secs(30));
    let at = |truth: u64, sign: i64| {
        let skew = truth as i64 * sign * MAX_CLOCK_SKEW_PPM as i64 / 1_000_000;
        start + Duration::from_micros(truth.saturating_add_signed(skew))
    };
    let id = SliceId {
        shard: SHARD,
        slice: 0,
    };
    let mut handed_over = false;
    for truth in (59_900_000..62_400_000).step_by(1_000) {
        let old = first.authority(id).elastic.contains(at(truth, -1));
        let new = second.authority(id).elastic.contains(at(truth, 1));
        assert!(!(old && new), "both at {truth}");
        handed_over |= new;
    }
    assert!(handed_over);
    let last = second.authority(id).elastic.from;
    let credit = pistachiochute_core::limits::CREDIT_TTL;
    assert!(last >= start + Duration::from_secs(60) + credit + Duration::from_millis(60));
}

#[test]
fn slice_that_is_being_given_up_is_not_used_until_the_write_is_settled() {
    let mut store = (CasVersion(0), Shard::default());
    let mut claims = Claims::new(host(0), 1, vec![domain(0)]);
    claims.set_hosts(time::Time::ZERO, vec![(host(0), domain(0))]);
    settle_alone(&mut claims, &mut store, time::Time::ZERO);
    let id = SliceId {
        shard: SHARD,
        slice: 0,
    };
    let now = time::Time::from_secs(1);
    assert!(claims.authority(id).elastic.contains(now));
    claims.set_hosts(time::Time::ZERO, vec![(host(1), domain(0))]);
    let effects = claims.handle_read(now, now, SHARD, store.0, &store.1);
    assert!(matches!(effects[..], [Effect::Write(..)]));
    // The answer is lost, and the view changes back before the write has taken effect.
    claims.set_hosts(time::Time::ZERO, vec![(host(0), domain(0))]);
    claims.handle_read(now, now, SHARD, store.0, &store.1);
    assert!(!claims.authority(id).elastic.contains(now));
    // Another write has moved the version, so the lost one can no longer take effect.
    let moved = CasVersion(store.0.0 + 7);
    claims.handle_read(now, now, SHARD, moved, &store.1);
    assert!(claims.authority(id).elastic.contains(now));
}
