//! Over-admission and use of the limits through churn, a crash, a pause and a cut-off domain.

mod faults;
mod result;

use std::collections::BTreeMap;

use pistachiochute_core::limits::borrower::{self, Borrower, Permit};
use pistachiochute_core::limits::claims::{self, CasVersion, Claims, Shard};
use pistachiochute_core::limits::lender::Lender;
use pistachiochute_core::limits::message::{CreditRequest, Grant, Shortage};
use pistachiochute_core::limits::{MAX_CLOCK_SKEW_PPM, SHARDS, SLICES, SliceId};
use pistachiochute_core::{entity, entity::Entity as _, lists, name, request, time, units};
use rand::{Rng as _, SeedableRng as _};
use rand_distr::Distribution as _;

use super::clock::Agenda;
use super::population;

const SECOND: u64 = 1_000_000;

const HOSTS: usize = 420;
const DOMAINS: usize = 8;
const ACCOUNTS: usize = 430;

/// Requests a second that the limits of all accounts allow together: a sixth of the design size,
/// so that the run is short.
const LIMIT_S: f64 = 700.0;

/// Demand over the limit, for each account.
const DEMAND: f64 = 1.4;

/// Mean tokens that a request uses.
const MEAN_TOKENS: f64 = 700.0;

/// Skew of the accounts: the limit of the account with rank `r` falls with `r` to this power.
const SKEW: f64 = 0.7;

/// Length of a run, in seconds.
const LENGTH_S: u64 = 300;

/// Time until the bursts at hand at the start are used up, in seconds.
const SETTLE_S: u64 = 40;

/// Period of the hosts' ticks, in microseconds.
const TICK: u64 = 500_000;

/// Time until every host's view shows a change of the live hosts, in microseconds.
const VIEW_DELAY: u64 = 3 * SECOND;

/// Part of the messages between domains that are lost.
const LOSS: f64 = 0.005;

/// Seconds between two graceful restarts, twenty times the expected churn.
const RESTART_PERIOD_S: u64 = 10;

/// When a host crashes for good.
const CRASH_S: u64 = 80;

/// When a host is paused, and until when.
const PAUSE_S: (u64, u64) = (100, 125);

/// When a domain is cut off from the store and from the other domains, and until when.
const CUT_S: (u64, u64) = (150, 240);

/// The domain that is cut off.
const CUT_DOMAIN: usize = 2;

/// Hosts to which these things happen.
const CRASHED: usize = 17;
const PAUSED: usize = 34;

/// What a run gave.
#[derive(Debug)]
pub struct Limits {
    /// Largest charge of an account over any window beyond rate and burst: requests and tokens.
    pub over: [f64; 2],
    /// Part of the limits that was used, summed over the accounts.
    pub used: f64,
    /// The same, averaged over the accounts however small they are.
    pub used_mean: f64,
    /// The same for the account with the least.
    pub used_worst: f64,
    /// Part of the limits that a static split over the hosts would have used.
    pub used_static: f64,
    /// Bytes that a host sends a second for credit, averaged over the hosts.
    pub bytes_per_host_s: f64,
    /// Reads of the table a second.
    pub store_reads_s: f64,
    /// Writes of the table a second.
    pub store_writes_s: f64,
}

enum Event {
    Tick(usize),
    Arrive(usize),
    /// An ask arrives: asking host, host asked, and slice.
    Ask(usize, usize, SliceId, CreditRequest),
    Grant(usize, u64, Grant),
    End(usize, u64, Permit, units::Tokens),
    /// A read arrives at the store: host, process, time of sending and shard.
    Read(usize, u64, u64, u8),
    Value(usize, u64, u64, u8, CasVersion, Box<Shard>),
    Write(usize, u64, u8, CasVersion, Box<Shard>),
    Restart,
    Stop(usize),
    View,
}

struct Host {
    claims: Claims,
    lender: Lender,
    borrower: Borrower,
    boot: u64,
    skew_ppm: i64,
    alive: bool,
    /// Side of the cut that its view of the live hosts shows.
    side: usize,
}

/// Charges of one account: true time, requests and tokens.
type Charges = Vec<(u64, i64, i64)>;

struct World {
    rng: rand_chacha::ChaCha8Rng,
    agenda: Agenda<Event>,
    hosts: Vec<Host>,
    plans: Vec<lists::Plan>,
    names: Vec<name::AccountName>,
    index: BTreeMap<name::AccountName, usize>,
    /// Mean time between two requests of each account, in microseconds.
    gaps: Vec<f64>,
    table: Vec<(CasVersion, Shard)>,
    charges: Vec<Charges>,
    /// Requests and tokens that each account used after the start has settled.
    used: Vec<(u64, u64)>,
    /// Host that should hold each slice, by the view on each side of the cut.
    candidates: [BTreeMap<SliceId, entity::HostId>; 2],
    boots: u64,
    requests: u128,
    bytes: u64,
    reads: u64,
    writes: u64,
    /// Arrivals of each account at each host, for the static split.
    arrivals: BTreeMap<(usize, usize), u64>,
}

/// Runs the fleet.
pub fn run() -> Limits {
    let mut world = World::new();
    let end = LENGTH_S * SECOND;
    while let Some((now, event)) = world.agenda.next() {
        if now >= end {
            break;
        }
        world.apply(now, event);
    }
    world.result()
}

impl World {
    fn new() -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(11);
        let weights: Vec<_> = (1..=ACCOUNTS).map(|r| (r as f64).powf(-SKEW)).collect();
        let sum: f64 = weights.iter().sum();
        let limit_s = |i: usize| (LIMIT_S * weights[i] / sum).max(0.1);
        let plan = |i: usize| {
            let requests = (limit_s(i) * 60.0).round() as u64;
            // Requests are scarce for even accounts and tokens for odd ones.
            let tokens = if i.is_multiple_of(2) { 2_000 } else { 350 };
            population::plan(requests * (1 + i as u64 % 2), tokens, 4 * requests.max(16))
        };
        let names: Vec<_> = (0..ACCOUNTS).map(population::account).collect();
        let mut world = Self {
            agenda: Agenda::new(),
            hosts: Vec::new(),
            plans: (0..ACCOUNTS).map(plan).collect(),
            index: names.iter().cloned().zip(0..).collect(),
            names,
            gaps: (0..ACCOUNTS).map(|i| 1e6 / (limit_s(i) * DEMAND)).collect(),
            table: vec![(CasVersion(0), Shard::default()); usize::from(SHARDS)],
            charges: vec![Vec::new(); ACCOUNTS],
            used: vec![(0, 0); ACCOUNTS],
            candidates: [BTreeMap::new(), BTreeMap::new()],
            boots: 0,
            requests: 0,
            bytes: 0,
            reads: 0,
            writes: 0,
            arrivals: BTreeMap::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(12),
        };
        for i in 0..HOSTS {
            let skew_ppm =
                rng.random_range(-(MAX_CLOCK_SKEW_PPM as i64)..=MAX_CLOCK_SKEW_PPM as i64);
            let host = world.host(i, skew_ppm);
            world.hosts.push(host);
            world.agenda.add(rng.random_range(0..TICK), Event::Tick(i));
        }
        world.set_view(0);
        for i in 0..ACCOUNTS {
            world
                .agenda
                .add(SECOND + rng.random_range(0..SECOND), Event::Arrive(i));
        }
        world.agenda.add(SETTLE_S * SECOND, Event::Restart);
        world.agenda.add(CRASH_S * SECOND, Event::Stop(CRASHED));
        let seconds = [CRASH_S, CUT_S.0, CUT_S.1, PAUSE_S.0 + 2, PAUSE_S.1];
        for s in seconds {
            world.agenda.add(s * SECOND + VIEW_DELAY, Event::View);
        }
        world
    }

    fn host(&mut self, index: usize, skew_ppm: i64) -> Host {
        self.boots += 1;
        let boot = self.boots;
        let domains = (0..DOMAINS).map(entity::DomainId::from_index).collect();
        let mut local = [false; SLICES as usize];
        for (slice, local) in local.iter_mut().enumerate() {
            *local = slice % DOMAINS == index % DOMAINS;
        }
        Host {
            claims: Claims::new(entity::HostId::from_index(index), boot, domains),
            lender: Lender::new(),
            borrower: Borrower::new(boot, local),
            boot,
            skew_ppm,
            alive: true,
            side: 0,
        }
    }

    /// Time on the clock of a host.
    fn clock(&self, host: usize, truth: u64) -> time::Time {
        let base = 1_000_000_000 + truth + host as u64 * 1_000_003;
        let skew = base as i64 * self.hosts[host].skew_ppm / 1_000_000;
        time::Time::from_micros(base.saturating_add_signed(skew))
    }

    fn apply(&mut self, now: u64, event: Event) {
        match event {
            Event::Tick(host) => self.tick(now, host),
            Event::Arrive(account) => self.arrive(now, account),
            Event::Ask(from, to, id, ask) => self.ask(now, (from, to), id, &ask),
            Event::Grant(to, boot, grant) => {
                if self.acts(now, to, boot) {
                    let time = self.clock(to, now);
                    let effects = self.hosts[to].borrower.handle_grant(time, &grant);
                    self.run(now, to, effects);
                }
            }
            Event::End(host, boot, permit, used) => {
                if self.acts(now, host, boot) {
                    let time = self.clock(host, now);
                    self.hosts[host]
                        .borrower
                        .end_request(time, &permit, Some(used));
                }
            }
            Event::Read(host, boot, sent, shard) => {
                self.reads += 1;
                let (guard, value) = self.table[usize::from(shard)];
                let back = self.store_delay();
                let value = Box::new(value);
                let answer = Event::Value(host, boot, sent, shard, guard, value);
                self.agenda.add(now + back, answer);
            }
            Event::Value(host, boot, sent, shard, guard, value) => {
                if self.acts(now, host, boot) && !Self::is_cut(now, host) {
                    let (sent, time) = (self.clock(host, sent), self.clock(host, now));
                    let claims = &mut self.hosts[host].claims;
                    let effects = claims.handle_read(sent, time, shard, guard, &value);
                    self.claim(now, host, effects);
                }
            }
            Event::Write(host, boot, shard, guard, value) => {
                self.writes += 1;
                let entry = &mut self.table[usize::from(shard)];
                if entry.0 == guard {
                    *entry = (CasVersion(guard.0 + 1), *value);
                }
                self.agenda.add(now, Event::Read(host, boot, now, shard));
            }
            Event::Restart => self.restart(now),
            Event::Stop(host) => {
                self.hosts[host].alive = false;
                self.agenda.add(now + VIEW_DELAY, Event::View);
                if host != CRASHED {
                    let skew = self.hosts[host].skew_ppm;
                    self.hosts[host] = self.host(host, skew);
                }
            }
            Event::View => self.set_view(now),
        }
    }

    /// Whether a process still runs and is not paused.
    fn acts(&self, now: u64, host: usize, boot: u64) -> bool {
        let host_state = &self.hosts[host];
        host_state.alive && host_state.boot == boot && !Self::paused(now, host)
    }

    fn tick(&mut self, now: u64, host: usize) {
        self.agenda.add(now + TICK, Event::Tick(host));
        if !self.acts(now, host, self.hosts[host].boot) {
            return;
        }
        let time = self.clock(host, now);
        let effects = self.hosts[host].borrower.tick(time);
        self.run(now, host, effects);
        self.hosts[host].lender.tick(time);
        let effects = self.hosts[host].claims.tick(time);
        self.claim(now, host, effects);
    }

    fn arrive(&mut self, now: u64, account: usize) {
        let gap = rand_distr::Exp::new(1.0 / self.gaps[account]).expect("a positive rate");
        let next = now + gap.sample(&mut self.rng) as u64 + 1;
        self.agenda.add(next, Event::Arrive(account));
        // Half of the requests of an account come in at a few hosts of its own.
        let host = if self.rng.random_bool(0.5) {
            (account * 31 + self.rng.random_range(0..8) * 53) % HOSTS
        } else {
            self.rng.random_range(0..HOSTS)
        };
        if now >= SETTLE_S * SECOND {
            *self.arrivals.entry((account, host)).or_default() += 1;
        }
        if !self.acts(now, host, self.hosts[host].boot) {
            return;
        }
        self.requests += 1;
        let id = request::RequestId(uuid::Uuid::from_u128(self.requests));
        let cost = units::Tokens(self.rng.random_range(500..1_500));
        let time = self.clock(host, now);
        let (name, plan) = (&self.names[account], &self.plans[account]);
        let effects = self.hosts[host].borrower.admit(time, id, name, plan, cost);
        self.run(now, host, effects);
    }

    fn run(&mut self, now: u64, host: usize, effects: borrower::Effects) {
        for effect in effects {
            match effect {
                borrower::Effect::Request(id, ask) => {
                    self.bytes += 2 * population::EXCHANGE_BYTES;
                    self.bytes += population::message_bytes(&ask).unwrap_or_default();
                    let candidates = &self.candidates[self.hosts[host].side];
                    let Some(holder) = candidates.get(&id).map(|host| host.index()) else {
                        continue;
                    };
                    if let Some(delay) = self.delay(now, host, holder) {
                        let event = Event::Ask(host, holder, id, ask);
                        self.agenda.add(now + delay, event);
                    }
                }
                borrower::Effect::Admitted(_, permit) => {
                    let account = self.index[&permit.account];
                    self.charges[account].push((now, 1, permit.cost.0 as i64));
                    let used = units::Tokens(self.rng.random_range(400..=permit.cost.0.max(400)));
                    let used = used.min(permit.cost);
                    if now >= SETTLE_S * SECOND {
                        self.used[account].0 += 1;
                        self.used[account].1 += used.0;
                    }
                    let length = self.rng.random_range(200_000..8_000_000);
                    let boot = self.hosts[host].boot;
                    let end = Event::End(host, boot, permit, used);
                    self.agenda.add(now + length, end);
                }
                borrower::Effect::Refused { .. } => {}
            }
        }
    }

    fn ask(&mut self, now: u64, (from, holder): (usize, usize), id: SliceId, ask: &CreditRequest) {
        if !self.acts(now, holder, self.hosts[holder].boot) {
            return;
        }
        let time = self.clock(holder, now);
        let plan = &self.plans[self.index[&ask.account]];
        let host = &mut self.hosts[holder];
        let authority = host.claims.authority(id);
        let from_id = entity::HostId::from_index(from);
        let grant = host
            .lender
            .handle_request(time, from_id, ask, plan, &authority);
        let Some(grant) = grant else { return };
        if grant.shortage != Some(Shortage::NotHolder) {
            // The estimate stays charged until the holder of the slice has taken the correction.
            let corrected = ask.overrun.0 as i64 - ask.refund.0 as i64;
            self.charges[self.index[&ask.account]].push((now, 0, corrected));
        }
        self.bytes += population::message_bytes(&grant).unwrap_or_default();
        if let Some(delay) = self.delay(now, holder, from) {
            self.agenda
                .add(now + delay, Event::Grant(from, ask.boot, grant));
        }
    }

    fn claim(&mut self, now: u64, host: usize, effects: Vec<claims::Effect>) {
        let boot = self.hosts[host].boot;
        for effect in effects {
            if Self::is_cut(now, host) {
                continue;
            }
            let at = now + self.store_delay();
            match effect {
                claims::Effect::Read(shard) => {
                    self.agenda.add(at, Event::Read(host, boot, now, shard));
                }
                claims::Effect::Write(shard, guard, value) => {
                    self.agenda
                        .add(at, Event::Write(host, boot, shard, guard, value));
                }
            }
        }
    }
}
