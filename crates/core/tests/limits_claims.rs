//! No part of a slice is ever usable by two processes at once.

use std::time::Duration;

use pistachiochute_core::limits::claims::{CasVersion, Claims, Effect, Shard};
use pistachiochute_core::limits::{MAX_CLOCK_SKEW_PPM, SLICES, SliceId};
use pistachiochute_core::{entity, time};
use proptest::prelude::*;

const HOSTS: u32 = 4;
const SHARD: u8 = 3;

/// Maximum skew of a clock, in parts per million.
const MAX_SKEW: i64 = MAX_CLOCK_SKEW_PPM as i64;

fn host(i: u32) -> entity::HostId {
    entity::HostId::new(i).unwrap()
}

fn domain(i: u32) -> entity::DomainId {
    entity::DomainId::new(i % 2).unwrap()
}

/// A process with its own clock. After a restart of its host it remains, like a paused process.
struct Process {
    host: u32,
    offset: u64,
    skew_ppm: i64,
    claims: Claims,
    paused: bool,
}

impl Process {
    fn now(&self, true_time: u64) -> time::Time {
        let skew = true_time as i64 * self.skew_ppm / 1_000_000;
        time::Time::from_micros((self.offset + true_time).saturating_add_signed(skew))
    }
}

/// Calls of a process to the store, and their answers, that are in flight.
enum InFlight {
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

struct Simulation {
    true_time: u64,
    processes: Vec<Process>,
    in_flight: Vec<InFlight>,
    store: (CasVersion, Shard),
}

impl Simulation {
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
        let sent = self.true_time;
        for effect in effects {
            match effect {
                Effect::Read(SHARD) => {
                    self.in_flight.push(InFlight::Read {
                        process,
                        sent,
                        answer: None,
                    });
                }
                Effect::Read(_) => {}
                Effect::Write(_, version, value) => {
                    let value = *value;
                    self.in_flight.push(InFlight::Write { version, value });
                    // The answer is ignored: the value is read again in any case.
                    self.in_flight.push(InFlight::Read {
                        process,
                        sent,
                        answer: None,
                    });
                }
            }
        }
    }

    /// Delivers one call to the store, or one answer to its process.
    fn deliver(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        match self.in_flight.remove(index) {
            InFlight::Write { version, value } => {
                if version == self.store.0 {
                    self.store = (CasVersion(version.0 + 1), value);
                }
            }
            InFlight::Read {
                process,
                sent,
                answer: None,
            } => {
                let answer = Some((self.true_time, self.store.0, self.store.1));
                self.in_flight.push(InFlight::Read {
                    process,
                    sent,
                    answer,
                });
            }
            InFlight::Read {
                process,
                sent,
                answer: Some((_, version, value)),
            } => {
                let p = &mut self.processes[process];
                if !p.paused {
                    let (sent, now) = (p.now(sent), p.now(self.true_time));
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
                let now = p.now(self.true_time);
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
            let now = p.now(self.true_time);
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

    /// A part of a slice has at most one holder, although hosts disagree about which hosts are
    /// live, are paused and restarted, their clocks differ within the stated bound, and calls to
    /// the store are late or lost.
    #[test]
    fn one_holder_at_a_time(
        skews in proptest::collection::vec(-MAX_SKEW..=MAX_SKEW, HOSTS as usize),
        ops in proptest::collection::vec((0_u8..100, any::<u16>()), 1..600),
    ) {
        let store = (CasVersion(0), Shard::default());
        let mut sim = Simulation {
            true_time: 0,
            processes: Vec::new(),
            in_flight: Vec::new(),
            store,
        };
        for (i, skew) in skews.iter().enumerate() {
            sim.start(i as u32, 7_777_777 * (i as u64 + 1), *skew);
        }
        for (op, arg) in ops {
            let process = usize::from(arg) % sim.processes.len();
            match op {
                0..=54 => sim.deliver(usize::from(arg)),
                55..=69 => sim.tick(),
                70..=79 => sim.true_time += u64::from(arg) * 100,
                80..=83 => sim.true_time += u64::from(arg) * 5_000,
                84 => sim.true_time += 6 * 3_600_000_000,
                85..=92 => {
                    let live = (0..HOSTS).filter(|i| arg >> i & 1 == 1);
                    let hosts = live.map(|i| (host(i), domain(i))).collect();
                    let p = &mut sim.processes[process];
                    let now = p.now(sim.true_time);
                    p.claims.set_hosts(now, hosts);
                }
                93..=94 => sim.processes[process].paused ^= true,
                95 => {
                    let effects = sim.processes[process].claims.drain();
                    sim.run(process, effects);
                }
                96 if !sim.in_flight.is_empty() => {
                    sim.in_flight.swap_remove(usize::from(arg) % sim.in_flight.len());
                }
                97 if sim.processes.len() < 12 => {
                    sim.processes[process].paused = true;
                    let p = &sim.processes[process];
                    let (host, offset, skew) = (p.host, p.offset, p.skew_ppm);
                    sim.start(host, offset, skew);
                }
                _ => {}
            }
            for slice in 0..SLICES {
                let holders = sim.holders(slice);
                prop_assert!(holders[0] <= 1 && holders[1] <= 1, "slice {}: {:?}", slice, holders);
            }
        }
    }
}

#[test]
fn slices_of_a_lost_host_move_after_the_lease_and_back_by_surrender() {
    let store = (CasVersion(0), Shard::default());
    let mut sim = Simulation {
        true_time: 0,
        processes: Vec::new(),
        in_flight: Vec::new(),
        store,
    };
    (0..HOSTS).for_each(|i| sim.start(i, 0, 0));
    let settle = |sim: &mut Simulation, secs: u64| {
        for _ in 0..secs {
            sim.true_time += 1_000_000;
            sim.tick();
            for _ in 0..200 {
                sim.deliver(0);
            }
        }
    };
    settle(&mut sim, 20);
    let all =
        |sim: &Simulation, part: usize| (0..SLICES).filter(|s| sim.holders(*s)[part] == 1).count();
    assert_eq!([all(&sim, 0), all(&sim, 1)], [8, 8]);
    let held = |p: &Process| p.claims.held().filter(|id| id.shard == SHARD).count();
    let lost = (0..4).max_by_key(|i| held(&sim.processes[*i])).unwrap();
    let gone = held(&sim.processes[lost]);
    assert!(gone > 0);
    sim.processes[lost].paused = true;
    for i in (0..4).filter(|i| *i != lost) {
        let live = (0..HOSTS).filter(|i| *i as usize != lost);
        let now = sim.processes[i].now(sim.true_time);
        sim.processes[i]
            .claims
            .set_hosts(now, live.map(|i| (host(i), domain(i))).collect());
    }
    settle(&mut sim, 60);
    assert_eq!(
        [all(&sim, 0), all(&sim, 1)],
        [8 - gone, 8],
        "the floor stays with the lost host"
    );
    settle(&mut sim, 60);
    assert_eq!([all(&sim, 0), all(&sim, 1)], [8, 8]);
    sim.processes[lost].paused = false;
    for i in 0..4 {
        let live = (0..HOSTS).map(|i| (host(i), domain(i))).collect();
        let now = sim.processes[i].now(sim.true_time);
        sim.processes[i].claims.set_hosts(now, live);
    }
    settle(&mut sim, 70);
    assert_eq!(all(&sim, 0), 8);
    assert_eq!(
        held(&sim.processes[lost]),
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
    // Both clocks count from the last read of the first host, right before the second host takes
    // over. The clock of the first host is slow and that of the second one is fast.
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
    let at = |true_time: u64, sign: i64| {
        let skew = true_time as i64 * sign * MAX_CLOCK_SKEW_PPM as i64 / 1_000_000;
        start + Duration::from_micros(true_time.saturating_add_signed(skew))
    };
    let id = SliceId {
        shard: SHARD,
        slice: 0,
    };
    let mut handed_over = false;
    for true_time in (59_900_000..62_400_000).step_by(1_000) {
        let old = first.authority(id).elastic.contains(at(true_time, -1));
        let new = second.authority(id).elastic.contains(at(true_time, 1));
        assert!(!(old && new), "both at {true_time}");
        handed_over |= new;
    }
    assert!(handed_over);
    let last = second.authority(id).elastic.from;
    let credit = pistachiochute_core::limits::CREDIT_TTL;
    assert!(last >= start + Duration::from_secs(60) + credit + Duration::from_millis(60));
}

#[test]
fn slice_that_is_being_surrendered_is_not_used_until_the_write_is_settled() {
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
    // Another write has changed the version, so the lost one can no longer take effect.
    let moved = CasVersion(store.0.0 + 7);
    claims.handle_read(now, now, SHARD, moved, &store.1);
    assert!(claims.authority(id).elastic.contains(now));
}
