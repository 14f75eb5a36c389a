//! Over any window, an account is charged at most its rate plus one burst, even if messages are
//! lost.

use std::collections::BTreeMap;

use pistachiochute_core::limits::borrower::{self, Borrower, Permit};
use pistachiochute_core::limits::lender::Lender;
use pistachiochute_core::limits::message::{CreditRequest, Grant};
use pistachiochute_core::limits::{
    self, Amount, Authority, Layout, MAX_CLOCK_SKEW_PPM, SLICES, SliceId, Span,
};
use pistachiochute_core::{entity, lists, name, request, time, units};
use proptest::prelude::*;

const ENTRIES: u32 = 4;

/// Maximum skew of a clock, in parts per million.
const MAX_SKEW: i64 = MAX_CLOCK_SKEW_PPM as i64;

fn plan() -> lists::Plan {
    lists::Plan {
        models: vec!["m".parse().unwrap()],
        services: Vec::new(),
        requests_per_minute: units::PerMinute(600),
        tokens_per_minute: units::PerMinute(60_000),
        in_flight: units::Requests(16),
        priority: 0,
        weight: 1,
        longest_answer: units::Tokens(200),
    }
}

fn account() -> name::AccountName {
    "farm".parse().unwrap()
}

/// Time on a clock whose rate is off by some parts per million.
fn at(true_time: u64, skew_ppm: i64) -> time::Time {
    time::Time::from_micros(
        true_time.saturating_add_signed(true_time as i64 * skew_ppm / 1_000_000),
    )
}

enum InFlight {
    Request(usize, SliceId, CreditRequest),
    Grant(usize, Grant),
}

struct Simulation {
    true_time: u64,
    /// Each slice has its own lender: the lender, its authority and the skew of its clock.
    lenders: BTreeMap<u8, (Lender, Authority, i64)>,
    entries: Vec<(Borrower, i64)>,
    in_flight: Vec<InFlight>,
    running: Vec<(usize, Permit)>,
    /// Charges of requests and tokens by true time; refunds are negative.
    charges: Vec<(u64, i64, i64)>,
    requests: u128,
}

impl Simulation {
    fn new(skews: &[i64]) -> Self {
        let whole = Span {
            from: time::Time::ZERO,
            until: time::Time::from_secs(1 << 40),
        };
        let authority = Authority {
            elastic: whole,
            floor: whole,
        };
        let lenders = Layout::of(&account(), &plan()).ids();
        let skew = |i: usize| skews[i % skews.len()];
        Self {
            true_time: 1_000_000_000,
            lenders: lenders
                .map(|id| (id.slice, (Lender::new(), authority, skew(id.slice.into()))))
                .collect(),
            entries: (0..ENTRIES as usize)
                .map(|i| (Borrower::new(1, [false; SLICES as usize]), skew(i + 3)))
                .collect(),
            in_flight: Vec::new(),
            running: Vec::new(),
            charges: Vec::new(),
            requests: 0,
        }
    }

    fn admit(&mut self, entry: usize, cost: u64) {
        self.requests += 1;
        let id = request::RequestId(uuid::Uuid::from_u128(self.requests));
        let now = at(self.true_time, self.entries[entry].1);
        let cost = units::Tokens(cost);
        let effects = self.entries[entry]
            .0
            .admit(now, id, &account(), &plan(), cost);
        self.run(entry, effects);
    }

    fn run(&mut self, entry: usize, effects: borrower::Effects) {
        for effect in effects {
            match effect {
                borrower::Effect::Request(id, request) => {
                    self.in_flight.push(InFlight::Request(entry, id, request))
                }
                borrower::Effect::Admitted(_, permit) => {
                    self.charges.push((self.true_time, 1, permit.cost.0 as i64));
                    self.running.push((entry, permit));
                }
                borrower::Effect::Refused { .. } => {}
            }
        }
    }

    fn deliver(&mut self, index: usize, again: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let message = self.in_flight.remove(index);
        match &message {
            InFlight::Request(entry, id, request) => {
                let (lender, authority, skew) = self.lenders.get_mut(&id.slice).unwrap();
                let now = at(self.true_time, *skew);
                let host = entity::HostId::new(*entry as u32).unwrap();
                if let Some(grant) = lender.handle_request(now, host, request, &plan(), authority) {
                    self.in_flight.push(InFlight::Grant(*entry, grant));
                }
            }
            InFlight::Grant(entry, grant) => {
                let (borrower, skew) = &mut self.entries[*entry];
                let effects = borrower.handle_grant(at(self.true_time, *skew), grant);
                self.run(*entry, effects);
            }
        }
        if again {
            self.in_flight.push(message);
        }
    }

    fn tick(&mut self, entry: usize) {
        let now = at(self.true_time, self.entries[entry].1);
        let effects = self.entries[entry].0.tick(now);
        self.run(entry, effects);
        for (lender, _, skew) in self.lenders.values_mut() {
            lender.tick(at(self.true_time, *skew));
        }
    }

    fn end(&mut self, index: usize, used: u64) {
        if self.running.is_empty() {
            return;
        }
        let (entry, permit) = self.running.remove(index % self.running.len());
        let used = units::Tokens(used).min(permit.cost);
        let now = at(self.true_time, self.entries[entry].1);
        self.entries[entry].0.end_request(now, &permit, Some(used));
        self.charges
            .push((self.true_time, 0, used.0 as i64 - permit.cost.0 as i64));
    }

    /// Replaces the holder of a slice by a new one, whose authority starts after the wait that the
    /// claims impose.
    fn move_slice(&mut self, slice: u8) {
        if let Some((lender, authority, skew)) = self.lenders.get_mut(&slice) {
            *lender = Lender::new();
            let from = at(self.true_time, *skew) + limits::with_skew_margin(limits::CREDIT_TTL);
            let until = time::Time::from_secs(1 << 40);
            let span = Span { from, until };
            *authority = Authority {
                elastic: span,
                floor: span,
            };
        }
    }
}

/// Returns the largest charge over any window, in requests and in tokens, beyond the rate and one
/// burst, both divided by `parts`. The charges are ordered by true time in microseconds.
fn over_admission(charges: &[(u64, i64, i64)], parts: i128) -> [i64; 2] {
    let plan = plan();
    let bursts = [
        limits::request_burst(plan.requests_per_minute).0,
        limits::token_burst(plan.tokens_per_minute, plan.longest_answer).0,
    ];
    let rates = [plan.requests_per_minute.0, plan.tokens_per_minute.0];
    [0, 1].map(|kind| {
        // Level of a bucket with a capacity of one burst, in units per minute times microseconds.
        let full = i128::from(bursts[kind]) * 60_000_000 / parts;
        let (mut level, mut last, mut worst) = (full, 0, 0_i128);
        for (true_time, requests, tokens) in charges {
            let charge = if kind == 0 { *requests } else { *tokens };
            let refill = i128::from(*true_time - last) * i128::from(rates[kind]) / parts;
            level = (level + refill).min(full) - i128::from(charge) * 60_000_000;
            last = *true_time;
            worst = worst.min(level);
        }
        // Rounded up, so that even the smallest excess counts.
        ((-worst + 59_999_999) / 60_000_000) as i64
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6372_6564),
        ..ProptestConfig::default()
    })]

    /// The bound holds although credit requests and grants are lost, repeated and reordered, entry
    /// hosts and lenders pause, slices change their holders, and clocks differ within the stated
    /// bound.
    #[test]
    fn charges_stay_within_rate_and_burst(
        skews in proptest::collection::vec(-MAX_SKEW..=MAX_SKEW, 8),
        ops in proptest::collection::vec((0_u8..100, any::<u16>()), 1..1_500),
    ) {
        let mut sim = Simulation::new(&skews);
        for (op, arg) in ops {
            let index = usize::from(arg);
            let entry = index % ENTRIES as usize;
            match op {
                0..=34 => (0..4).for_each(|_| sim.admit(entry, 20 + u64::from(arg) % 400)),
                35..=69 => sim.deliver(index, false),
                70..=71 => sim.deliver(index, true),
                72 if !sim.in_flight.is_empty() => {
                    sim.in_flight.remove(index % sim.in_flight.len());
                }
                73..=79 => sim.true_time += u64::from(arg),
                80..=82 => sim.true_time += u64::from(arg) * 5,
                83 => sim.true_time += u64::from(arg) * 60,
                84..=87 => sim.tick(entry),
                88..=97 => (0..6).for_each(|_| sim.end(index, u64::from(arg) % 300)),
                98 => sim.move_slice(arg as u8 % SLICES),
                _ => {
                    // The process restarts, and its requests in flight end.
                    sim.running.retain(|(other, _)| *other != entry);
                    let boot = 2 + sim.requests as u64;
                    sim.entries[entry].0 = Borrower::new(boot, [false; SLICES as usize]);
                }
            }
            prop_assert!(sim.running.len() <= 16, "{} in flight", sim.running.len());
        }
        prop_assert_eq!(over_admission(&sim.charges, 1), [0, 0]);
    }
}

#[test]
fn whole_limit_is_usable_from_one_entry_host() {
    let mut sim = Simulation::new(&[0]);
    let mut admitted = 0;
    for step in 0..6_000_u64 {
        sim.true_time += 20_000;
        sim.admit(0, 100);
        while !sim.in_flight.is_empty() {
            sim.deliver(0, false);
        }
        while !sim.running.is_empty() {
            sim.end(0, 100);
        }
        if step % 5 == 0 {
            sim.tick(0);
        }
        admitted = sim
            .charges
            .iter()
            .filter(|(_, requests, _)| *requests > 0)
            .count();
    }
    // Two minutes at 600 requests a minute, and a burst of 200.
    assert!(admitted >= 1_330, "{admitted}");
    assert_eq!(over_admission(&sim.charges, 1), [0, 0]);
}

#[test]
fn credit_request_that_is_repeated_or_late_changes_nothing() {
    let plan = plan();
    let whole = Span {
        from: time::Time::ZERO,
        until: time::Time::from_secs(1 << 40),
    };
    let authority = Authority {
        elastic: whole,
        floor: whole,
    };
    let id = Layout::of(&account(), &plan).ids().next().unwrap();
    let want = Amount::of_request(units::Tokens(100));
    let request = |number: u64| CreditRequest {
        account: account(),
        slice: id.slice,
        boot: 1,
        number,
        last_grant: 0,
        held: Amount::ZERO,
        released: Amount::ZERO,
        refund: units::Tokens(1_000),
        overrun: units::Tokens::ZERO,
        want,
        minimum: want,
    };
    let host = entity::HostId::new(1).unwrap();
    let now = time::Time::from_secs(100);
    let mut lender = Lender::new();
    assert!(
        lender
            .handle_request(now, host, &request(2), &plan, &authority)
            .is_some()
    );
    assert_eq!(
        lender.handle_request(now, host, &request(2), &plan, &authority),
        None
    );
    assert_eq!(
        lender.handle_request(now, host, &request(1), &plan, &authority),
        None
    );
    assert_eq!(lender.outstanding(&account(), id.slice), want);
}

/// An entry host that keeps credit for as long as it may, and returns and spends it arbitrarily.
#[derive(Default)]
struct Hoarder {
    number: u64,
    last_grant: u64,
    credits: Vec<(Amount, time::Time)>,
    pending: Option<(u64, time::Time)>,
}

impl Hoarder {
    fn request(&mut self, now: time::Time, slice: u8, want: u64, release: bool) -> CreditRequest {
        self.credits.retain(|(_, until)| now < *until);
        let last = if release { self.credits.pop() } else { None };
        let credits = self.credits.iter();
        self.number += 1;
        self.pending = Some((self.number, now));
        CreditRequest {
            account: account(),
            slice,
            boot: 1,
            number: self.number,
            last_grant: self.last_grant,
            held: credits.fold(Amount::ZERO, |sum, (amount, _)| sum.plus(*amount)),
            released: last.map_or(Amount::ZERO, |(amount, _)| amount),
            refund: units::Tokens::ZERO,
            overrun: units::Tokens::ZERO,
            want: Amount {
                requests: units::Requests(want),
                tokens: units::Tokens(want * 100),
                slots: units::Requests::ZERO,
            },
            minimum: Amount::ZERO,
        }
    }

    fn granted(&mut self, grant: &Grant) {
        if let Some((number, sent)) = self
            .pending
            .filter(|(number, _)| *number == grant.request_number)
        {
            debug_assert!(number <= self.number);
            self.pending = None;
            self.last_grant = self.last_grant.max(grant.number);
            self.credits.push((grant.amount, sent + limits::CREDIT_TTL));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x686f_6172),
        ..ProptestConfig::default()
    })]

    /// The bound also holds for entry hosts that hoard credit and spend it at the last moment.
    #[test]
    fn hoarded_credit_stays_within_rate_and_burst(
        skews in proptest::collection::vec(-MAX_SKEW..=MAX_SKEW, 4),
        ops in proptest::collection::vec((0_u8..100, any::<u16>()), 1..400),
    ) {
        let slices: Vec<_> = Layout::of(&account(), &plan()).ids().map(|id| id.slice).collect();
        let whole = Span { from: time::Time::ZERO, until: time::Time::from_secs(1 << 40) };
        let authority = Authority { elastic: whole, floor: whole };
        // One lender holds every slice, and each hoarder requests credit from one of them.
        let mut lender = Lender::new();
        let mut hoarders: Vec<_> = (0..slices.len()).map(|_| Hoarder::default()).collect();
        let mut requests = Vec::new();
        let mut grants = Vec::new();
        let mut charges = vec![Vec::new(); slices.len()];
        let mut true_time = 1_000_000_000;
        for (op, arg) in ops {
            let index = usize::from(arg);
            let who = index % hoarders.len();
            let now = at(true_time, skews[who % 3]);
            match op {
                0..=29 => {
                    let want = u64::from(arg) % 40;
                    let slice = slices[who % slices.len()];
                    let release = arg >> 8 & 3 == 0;
                    requests.push((who, hoarders[who].request(now, slice, want, release)));
                }
                30..=54 if !requests.is_empty() => {
                    let i = index % requests.len();
                    let (who, request) = match op {
                        30 => requests[i].clone(),
                        _ => requests.remove(i),
                    };
                    let host = entity::HostId::new(who as u32).unwrap();
                    let now = at(true_time, skews[3]);
                    let grant = lender.handle_request(now, host, &request, &plan(), &authority);
                    grants.extend(grant.map(|grant| (who, grant)));
                }
                55..=74 if !grants.is_empty() => {
                    let (who, grant) = grants.remove(index % grants.len());
                    hoarders[who].granted(&grant);
                }
                75..=89 => {
                    let (hoarder, all) = (&mut hoarders[who], index);
                    let spent = if hoarder.credits.is_empty() {
                        None
                    } else {
                        Some(hoarder.credits.remove(all % hoarder.credits.len()))
                    };
                    if let Some((amount, _)) = spent.filter(|(_, until)| now < *until) {
                        let charge = (true_time, amount.requests.0 as i64, amount.tokens.0 as i64);
                        charges[who % slices.len()].push(charge);
                    }
                }
                90..=95 => true_time += u64::from(arg) * 20,
                96 => true_time += u64::from(arg) * 500,
                _ => true_time += u64::from(arg) * 2,
            }
        }
        for charges in charges {
            prop_assert_eq!(over_admission(&charges, slices.len() as i128), [0, 0]);
        }
    }
}
