//! Simulation of distributed rate limits under restarts, a crash, a paused host and a partitioned
//! domain. It measures over-admission, the used share of the limits and the traffic.

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

use super::event_queue::EventQueue;
use super::population;

const MICROS_PER_S: u64 = 1_000_000;

const HOSTS: usize = 420;
const DOMAINS: usize = 8;
const ACCOUNTS: usize = 430;

/// Request rate that the limits of all accounts allow together. It is a sixth of that of the design
/// size, to keep the run short.
const TOTAL_REQUESTS_PER_S: f64 = 700.0;

/// Ratio of the request rate of each account to its limit.
const DEMAND_RATIO: f64 = 1.4;

/// Mean number of tokens that a request uses.
const MEAN_TOKENS: f64 = 700.0;

/// Skew of the accounts' limits: that of the account with rank `r` is proportional to `r` to the
/// negative of this power.
const ZIPF_EXPONENT: f64 = 0.7;

/// Simulated time, in seconds.
const DURATION_S: u64 = 300;

/// Warm-up, in seconds, in which the accounts use up their initial bursts. Use in it is not
/// counted.
const WARM_UP_S: u64 = 40;

/// Interval between the ticks of a host, in microseconds.
const TICK_US: u64 = 500_000;

/// Time from a change of the live hosts until every host sees it, in microseconds.
const VIEW_DELAY_US: u64 = 3 * MICROS_PER_S;

/// Probability that a message between domains is lost.
const LOSS_PROBABILITY: f64 = 0.005;

/// Interval between graceful restarts, in seconds. It gives twenty times the expected churn.
const RESTART_PERIOD_S: u64 = 10;

/// Time at which a host crashes and does not restart, in seconds.
const CRASH_S: u64 = 80;

/// Start and end of the pause of a host, in seconds.
const PAUSE_S: (u64, u64) = (100, 125);

/// Start and end of the partition that separates a domain from the store and from the other
/// domains, in seconds.
const PARTITION_S: (u64, u64) = (150, 240);

/// Index of the partitioned domain.
const PARTITIONED_DOMAIN: usize = 2;

/// Index of the host that crashes.
const CRASHED_HOST: usize = 17;

/// Index of the host that is paused.
const PAUSED_HOST: usize = 34;

/// Result of a run.
#[derive(Debug)]
pub struct LimitUsage {
    /// Requests and tokens beyond rate and burst, as the largest excess of any account over any
    /// window of time.
    pub over_admission: [f64; 2],
    /// Used share of the limits: the mean over the accounts, weighted by their limits.
    pub use_ratio: f64,
    /// Used share of the limits: the unweighted mean over the accounts.
    pub mean_use_ratio: f64,
    /// Used share of the limits: the minimum over the accounts.
    pub min_use_ratio: f64,
    /// Share of the limits that a static split over the hosts would have used.
    pub static_split_ratio: f64,
    /// Bytes a second that a host sends to request and grant credit: the mean over the hosts.
    pub bytes_per_host_s: f64,
    /// Reads a second from the table of claims in the store.
    pub store_reads_s: f64,
    /// Writes a second to the table of claims in the store.
    pub store_writes_s: f64,
}

enum Event {
    /// The timers of a host are due.
    Tick(usize),
    /// A request of an account arrives at the fleet.
    Arrival(usize),
    /// A credit request arrives: sending host, receiving host, slice and request.
    CreditRequest(usize, usize, SliceId, CreditRequest),
    /// A grant arrives: receiving host, its boot when it sent the request, and grant.
    Grant(usize, u64, Grant),
    /// An admitted request ends: host, boot, permit and tokens used.
    RequestEnd(usize, u64, Permit, units::Tokens),
    /// A read arrives at the store: host, boot, time of sending and shard.
    Read(usize, u64, u64, u8),
    /// The answer to a read arrives: host, boot, time of sending of the read, shard, and its
    /// version and content.
    ReadAnswer(usize, u64, u64, u8, CasVersion, Box<Shard>),
    /// A compare-and-swap arrives at the store: host, boot, shard, expected version and content.
    Write(usize, u64, u8, CasVersion, Box<Shard>),
    /// A graceful restart of a random host is due.
    Restart,
    /// The process on a host stops.
    Stop(usize),
    /// The views of the live hosts are updated.
    ViewChange,
}

struct Host {
    claims: Claims,
    lender: Lender,
    borrower: Borrower,
    boot: u64,
    skew_ppm: i64,
    alive: bool,
    /// Side of the partition that its view of the live hosts shows: 1 is the partitioned domain.
    side: usize,
}

/// Charges of one account: true time in microseconds, requests and tokens.
type AccountCharges = Vec<(u64, i64, i64)>;

struct Simulation {
    rng: rand_chacha::ChaCha8Rng,
    events: EventQueue<Event>,
    hosts: Vec<Host>,
    plans: Vec<lists::Plan>,
    names: Vec<name::AccountName>,
    index: BTreeMap<name::AccountName, usize>,
    /// Mean time between the requests of each account, in microseconds.
    mean_gaps_us: Vec<f64>,
    /// Table of claims in the store: version and content of each shard.
    table: Vec<(CasVersion, Shard)>,
    charges: Vec<AccountCharges>,
    /// Requests and tokens that each account used after the warm-up.
    used: Vec<(u64, u64)>,
    /// Preferred holder of each slice, according to the view on each side of the partition.
    candidates: [BTreeMap<SliceId, entity::HostId>; 2],
    last_boot: u64,
    /// Number of requests so far, from which request ids are derived.
    requests: u128,
    /// Bytes sent for credit by all hosts.
    bytes: u64,
    reads: u64,
    writes: u64,
    /// Arrivals by account and host after the warm-up.
    arrivals: BTreeMap<(usize, usize), u64>,
}

/// Simulates the fleet.
pub fn run() -> LimitUsage {
    let mut simulation = Simulation::new();
    let end = DURATION_S * MICROS_PER_S;
    while let Some((now, event)) = simulation.events.pop() {
        if now >= end {
            break;
        }
        simulation.handle_event(now, event);
    }
    simulation.result()
}

impl Simulation {
    fn new() -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(11);
        let weights: Vec<_> = (1..=ACCOUNTS)
            .map(|r| (r as f64).powf(-ZIPF_EXPONENT))
            .collect();
        let sum: f64 = weights.iter().sum();
        let limit_s = |i: usize| (TOTAL_REQUESTS_PER_S * weights[i] / sum).max(0.1);
        let plan = |i: usize| {
            let requests = (limit_s(i) * 60.0).round() as u64;
            // Even accounts are limited by their request rate and odd ones by their token rate.
            let tokens = if i.is_multiple_of(2) { 2_000 } else { 350 };
            population::plan(requests * (1 + i as u64 % 2), tokens, 4 * requests.max(16))
        };
        let names: Vec<_> = (0..ACCOUNTS).map(population::account_name).collect();
        let mut simulation = Self {
            events: EventQueue::new(),
            hosts: Vec::new(),
            plans: (0..ACCOUNTS).map(plan).collect(),
            index: names.iter().cloned().zip(0..).collect(),
            names,
            mean_gaps_us: (0..ACCOUNTS)
                .map(|i| 1e6 / (limit_s(i) * DEMAND_RATIO))
                .collect(),
            table: vec![(CasVersion(0), Shard::default()); usize::from(SHARDS)],
            charges: vec![Vec::new(); ACCOUNTS],
            used: vec![(0, 0); ACCOUNTS],
            candidates: [BTreeMap::new(), BTreeMap::new()],
            last_boot: 0,
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
            let host = simulation.host(i, skew_ppm);
            simulation.hosts.push(host);
            simulation
                .events
                .schedule(rng.random_range(0..TICK_US), Event::Tick(i));
        }
        simulation.update_views(0);
        for i in 0..ACCOUNTS {
            simulation.events.schedule(
                MICROS_PER_S + rng.random_range(0..MICROS_PER_S),
                Event::Arrival(i),
            );
        }
        simulation
            .events
            .schedule(WARM_UP_S * MICROS_PER_S, Event::Restart);
        simulation
            .events
            .schedule(CRASH_S * MICROS_PER_S, Event::Stop(CRASHED_HOST));
        let seconds = [
            CRASH_S,
            PARTITION_S.0,
            PARTITION_S.1,
            PAUSE_S.0 + 2,
            PAUSE_S.1,
        ];
        for s in seconds {
            simulation
                .events
                .schedule(s * MICROS_PER_S + VIEW_DELAY_US, Event::ViewChange);
        }
        simulation
    }

    fn host(&mut self, index: usize, skew_ppm: i64) -> Host {
        self.last_boot += 1;
        let boot = self.last_boot;
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

    /// Returns the reading of a host's clock at the true time `truth`.
    fn clock(&self, host: usize, truth: u64) -> time::Time {
        let base = 1_000_000_000 + truth + host as u64 * 1_000_003;
        let skew = base as i64 * self.hosts[host].skew_ppm / 1_000_000;
        time::Time::from_micros(base.saturating_add_signed(skew))
    }

    fn handle_event(&mut self, now: u64, event: Event) {
        match event {
            Event::Tick(host) => self.tick(now, host),
            Event::Arrival(account) => self.handle_arrival(now, account),
            Event::CreditRequest(from, to, id, request) => {
                self.handle_credit_request(now, (from, to), id, &request)
            }
            Event::Grant(to, boot, grant) => {
                if self.is_running(now, to, boot) {
                    let time = self.clock(to, now);
                    let effects = self.hosts[to].borrower.handle_grant(time, &grant);
                    self.run_borrower_effects(now, to, effects);
                }
            }
            Event::RequestEnd(host, boot, permit, used) => {
                if self.is_running(now, host, boot) {
                    let time = self.clock(host, now);
                    self.hosts[host]
                        .borrower
                        .end_request(time, &permit, Some(used));
                }
            }
            Event::Read(host, boot, sent, shard) => {
                self.reads += 1;
                let (cas_version, value) = self.table[usize::from(shard)];
                let back = self.store_delay();
                let value = Box::new(value);
                let answer = Event::ReadAnswer(host, boot, sent, shard, cas_version, value);
                self.events.schedule(now + back, answer);
            }
            Event::ReadAnswer(host, boot, sent, shard, cas_version, value) => {
                if self.is_running(now, host, boot) && !Self::is_partitioned(now, host) {
                    let (sent, time) = (self.clock(host, sent), self.clock(host, now));
                    let claims = &mut self.hosts[host].claims;
                    let effects = claims.handle_read(sent, time, shard, cas_version, &value);
                    self.run_claim_effects(now, host, effects);
                }
            }
            Event::Write(host, boot, shard, cas_version, value) => {
                self.writes += 1;
                let entry = &mut self.table[usize::from(shard)];
                if entry.0 == cas_version {
                    *entry = (CasVersion(cas_version.0 + 1), *value);
                }
                self.events
                    .schedule(now, Event::Read(host, boot, now, shard));
            }
            Event::Restart => self.restart(now),
            Event::Stop(host) => {
                self.hosts[host].alive = false;
                self.events.schedule(now + VIEW_DELAY_US, Event::ViewChange);
                if host != CRASHED_HOST {
                    let skew = self.hosts[host].skew_ppm;
                    self.hosts[host] = self.host(host, skew);
                }
            }
            Event::ViewChange => self.update_views(now),
        }
    }

    /// Whether the process with this boot number still runs on the host and is not paused.
    fn is_running(&self, now: u64, host: usize, boot: u64) -> bool {
        let host_state = &self.hosts[host];
        host_state.alive && host_state.boot == boot && !Self::is_paused(now, host)
    }

    fn tick(&mut self, now: u64, host: usize) {
        self.events.schedule(now + TICK_US, Event::Tick(host));
        if !self.is_running(now, host, self.hosts[host].boot) {
            return;
        }
        let time = self.clock(host, now);
        let effects = self.hosts[host].borrower.tick(time);
        self.run_borrower_effects(now, host, effects);
        self.hosts[host].lender.tick(time);
        let effects = self.hosts[host].claims.tick(time);
        self.run_claim_effects(now, host, effects);
    }

    fn handle_arrival(&mut self, now: u64, account: usize) {
        let gap = rand_distr::Exp::new(1.0 / self.mean_gaps_us[account]).expect("a positive rate");
        let next = now + gap.sample(&mut self.rng) as u64 + 1;
        self.events.schedule(next, Event::Arrival(account));
        // Half of an account's requests arrive at eight hosts that are specific to the account.
        let host = if self.rng.random_bool(0.5) {
            (account * 31 + self.rng.random_range(0..8) * 53) % HOSTS
        } else {
            self.rng.random_range(0..HOSTS)
        };
        if now >= WARM_UP_S * MICROS_PER_S {
            *self.arrivals.entry((account, host)).or_default() += 1;
        }
        if !self.is_running(now, host, self.hosts[host].boot) {
            return;
        }
        self.requests += 1;
        let id = request::RequestId(uuid::Uuid::from_u128(self.requests));
        let cost = units::Tokens(self.rng.random_range(500..1_500));
        let time = self.clock(host, now);
        let (name, plan) = (&self.names[account], &self.plans[account]);
        let effects = self.hosts[host].borrower.admit(time, id, name, plan, cost);
        self.run_borrower_effects(now, host, effects);
    }

    fn run_borrower_effects(&mut self, now: u64, host: usize, effects: borrower::Effects) {
        for effect in effects {
            match effect {
                borrower::Effect::Request(id, request) => {
                    self.bytes += 2 * population::EXCHANGE_OVERHEAD_BYTES;
                    self.bytes += population::message_bytes(&request).unwrap_or_default();
                    let candidates = &self.candidates[self.hosts[host].side];
                    let Some(holder) = candidates.get(&id).map(|host| host.index()) else {
                        continue;
                    };
                    if let Some(delay) = self.message_delay(now, host, holder) {
                        let event = Event::CreditRequest(host, holder, id, request);
                        self.events.schedule(now + delay, event);
                    }
                }
                borrower::Effect::Admitted(_, permit) => {
                    let account = self.index[&permit.account];
                    self.charges[account].push((now, 1, permit.cost.0 as i64));
                    let used = units::Tokens(self.rng.random_range(400..=permit.cost.0.max(400)));
                    let used = used.min(permit.cost);
                    if now >= WARM_UP_S * MICROS_PER_S {
                        self.used[account].0 += 1;
                        self.used[account].1 += used.0;
                    }
                    let length = self.rng.random_range(200_000..8_000_000);
                    let boot = self.hosts[host].boot;
                    let end = Event::RequestEnd(host, boot, permit, used);
                    self.events.schedule(now + length, end);
                }
                borrower::Effect::Refused { .. } => {}
            }
        }
    }

    fn handle_credit_request(
        &mut self,
        now: u64,
        (from, holder): (usize, usize),
        id: SliceId,
        request: &CreditRequest,
    ) {
        if !self.is_running(now, holder, self.hosts[holder].boot) {
            return;
        }
        let time = self.clock(holder, now);
        let plan = &self.plans[self.index[&request.account]];
        let host = &mut self.hosts[holder];
        let authority = host.claims.authority(id);
        let from_id = entity::HostId::from_index(from);
        let grant = host
            .lender
            .handle_request(time, from_id, request, plan, &authority);
        let Some(grant) = grant else { return };
        if grant.shortage != Some(Shortage::NotHolder) {
            // An admission charges the estimated cost. The difference to the actual use counts only
            // once the holder of the slice has processed it.
            let corrected = request.overrun.0 as i64 - request.refund.0 as i64;
            self.charges[self.index[&request.account]].push((now, 0, corrected));
        }
        self.bytes += population::message_bytes(&grant).unwrap_or_default();
        if let Some(delay) = self.message_delay(now, holder, from) {
            self.events
                .schedule(now + delay, Event::Grant(from, request.boot, grant));
        }
    }

    fn run_claim_effects(&mut self, now: u64, host: usize, effects: Vec<claims::Effect>) {
        let boot = self.hosts[host].boot;
        for effect in effects {
            if Self::is_partitioned(now, host) {
                continue;
            }
            let at = now + self.store_delay();
            match effect {
                claims::Effect::Read(shard) => {
                    self.events
                        .schedule(at, Event::Read(host, boot, now, shard));
                }
                claims::Effect::Write(shard, cas_version, value) => {
                    self.events
                        .schedule(at, Event::Write(host, boot, shard, cas_version, value));
                }
            }
        }
    }
}
