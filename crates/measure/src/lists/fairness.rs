//! Simulation of the queue at an owner of an endpoint: service of backlogged accounts with the fair
//! queue and with FIFO.

use std::collections::{BTreeMap, VecDeque};

use pistachiochute_core::{name, queue, time, units};
use rand::SeedableRng as _;

use super::population;

/// Number of owners that are simulated, independently of each other.
const OWNERS: u64 = 8;

/// Number of accounts at each owner. The first one surges, and the last one is mostly idle.
const ACCOUNTS: usize = 20;

/// Number of requests that the endpoint runs concurrently.
const SLOTS: usize = 8;

/// Ratio of the request rate in the surge to that of another account.
const SURGE_FACTOR: usize = 50;

/// Probability that an account sends a request in a millisecond, for a load above the capacity of
/// the endpoint.
const OVERLOAD_PROBABILITY: f64 = 0.005;

/// The same probability for a load of two thirds of the capacity.
const LIGHT_LOAD_PROBABILITY: f64 = 0.003;

/// Number of requests of each account that are queued at the start.
const INITIAL_REQUESTS: usize = 16;

/// Largest request, in tokens.
const MAX_REQUEST_TOKENS: u64 = 8_192;

/// Number of tokens that one slot serves in a millisecond.
const TOKENS_PER_MS: u64 = 50;

/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 120_000;

/// Interval between the requests of the idle account, in milliseconds.
const IDLE_PERIOD_MS: u64 = 2_000;

/// Results for the fair queue and for FIFO.
///
/// A gap is the difference between two accounts in the tokens served, each divided by the account's
/// weight. It is given in units of the largest request.
#[derive(Debug)]
pub struct Fairness {
    /// Largest gap between accounts that have been backlogged since the start, with exact
    /// estimates.
    pub gap: f64,
    /// Largest gap between the same accounts with estimates that are up to an eighth too large. A
    /// request counts with its estimate until it ends and with its actual tokens from then on.
    pub gap_corrected: f64,
    /// Largest gap between any two accounts since both became backlogged.
    pub gap_joining: f64,
    /// Largest gap with FIFO between accounts that have been backlogged since the start.
    pub gap_fifo: f64,
    /// Ratio of the mean wait of the idle account with the surge to that without it.
    pub idle_wait_ratio: f64,
    /// The same ratio with FIFO.
    pub idle_wait_ratio_fifo: f64,
}

/// Simulates all owners in each scenario.
pub fn run() -> Fairness {
    let runs = |scenario: Scenario| (0..OWNERS).map(move |seed| run_owner(seed, scenario));
    let gap = |scenario: Scenario| runs(scenario).map(|run| run.gap).fold(0.0, f64::max);
    let wait = |scenario: Scenario| runs(scenario).map(|run| run.idle_wait_ms).sum::<f64>();
    let fair = Scenario {
        queue_kind: QueueKind::Fair,
        surge: SURGE_FACTOR,
        exact_estimates: true,
        include_joining: false,
        initial_requests: INITIAL_REQUESTS,
        arrival_probability: OVERLOAD_PROBABILITY,
    };
    let fifo = |scenario| Scenario {
        queue_kind: QueueKind::Fifo,
        ..scenario
    };
    let light = Scenario {
        initial_requests: 0,
        arrival_probability: LIGHT_LOAD_PROBABILITY,
        ..fair
    };
    let without_surge = |scenario| Scenario {
        surge: 1,
        ..scenario
    };
    Fairness {
        gap: gap(fair),
        gap_corrected: gap(Scenario {
            exact_estimates: false,
            ..fair
        }),
        gap_joining: gap(Scenario {
            include_joining: true,
            ..fair
        }),
        gap_fifo: gap(fifo(fair)),
        idle_wait_ratio: wait(light) / wait(without_surge(light)).max(1.0),
        idle_wait_ratio_fifo: wait(fifo(light)) / wait(fifo(without_surge(light))).max(1.0),
    }
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    queue_kind: QueueKind,
    /// Ratio of the request rate of the first account to that of another in the second half.
    surge: usize,
    /// Whether the estimated tokens of a request equal those that it uses.
    exact_estimates: bool,
    /// Whether the gap covers accounts that became backlogged after the start.
    include_joining: bool,
    /// Number of requests of each account that are queued at the start.
    initial_requests: usize,
    /// Probability that an account sends a request in a millisecond.
    arrival_probability: f64,
}

#[derive(Clone, Copy, Debug)]
enum QueueKind {
    Fair,
    Fifo,
}

/// Queue with the discipline of a scenario.
enum Queue {
    Fair(queue::FairQueue<QueuedRequest>),
    Fifo(VecDeque<queue::Entry<QueuedRequest>>),
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    account: usize,
    arrived_ms: u64,
    /// Tokens that the request uses, which are at most the estimate.
    used: u64,
}

struct RunResult {
    gap: f64,
    idle_wait_ms: f64,
}

/// Weighted service of the accounts, in tokens divided by the account's weight.
#[derive(Default)]
struct ServiceTracker {
    /// Service of each account since the start.
    total: BTreeMap<usize, f64>,
    /// Service of the accounts of each backlogged pair at the time when both had become backlogged.
    since: BTreeMap<(usize, usize), (f64, f64)>,
}

impl ServiceTracker {
    /// Updates the pairs for the accounts that are backlogged now, and returns the largest gap of
    /// any pair.
    fn update_gap(&mut self, backlogged: &[usize]) -> f64 {
        let total = |i: usize| self.total.get(&i).copied().unwrap_or_default();
        self.since
            .retain(|(a, b), _| backlogged.contains(a) && backlogged.contains(b));
        let mut worst = 0.0_f64;
        for (n, &a) in backlogged.iter().enumerate() {
            for &b in &backlogged[n + 1..] {
                let start = *self.since.entry((a, b)).or_insert((total(a), total(b)));
                let gap = (total(a) - start.0) - (total(b) - start.1);
                worst = worst.max(gap.abs());
            }
        }
        worst
    }
}

fn weight(account: usize) -> u32 {
    1 + (account % 4) as u32
}

fn run_owner(seed: u64, scenario: Scenario) -> RunResult {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let bounds = queue::Bounds {
        entries: 512,
        account_entries: 64,
    };
    let mut queue = match scenario.queue_kind {
        QueueKind::Fair => Queue::Fair(queue::FairQueue::new(bounds)),
        QueueKind::Fifo => Queue::Fifo(VecDeque::new()),
    };
    let names: Vec<_> = (0..ACCOUNTS).map(population::account_name).collect();
    let mut running: Vec<(u64, queue::Entry<QueuedRequest>)> = Vec::new();
    let mut served = ServiceTracker::default();
    let mut queued = [0_usize; ACCOUNTS];
    let (mut gap, mut idle_waits, mut idle_count) = (0.0_f64, 0.0, 0.0);
    // Every account but the idle one is backlogged from the start.
    let mut initially_backlogged: Vec<_> = (0..ACCOUNTS - 1).collect();
    for account in initially_backlogged
        .iter()
        .cycle()
        .take(scenario.initial_requests * (ACCOUNTS - 1))
    {
        let entry = entry(&mut rng, &names, 0, *account, scenario.exact_estimates);
        push(&mut queue, bounds, time::Time::ZERO, entry, &mut queued);
    }
    served.update_gap(&initially_backlogged);
    for ms in 0..DURATION_MS {
        let now = time::Time::from_millis(ms);
        for account in 0..ACCOUNTS {
            for _ in 0..arrivals(&mut rng, ms, account, scenario) {
                let entry = entry(&mut rng, &names, ms, account, scenario.exact_estimates);
                push(&mut queue, bounds, now, entry, &mut queued);
            }
        }
        let finished: Vec<_> = running.extract_if(.., |(end, _)| *end <= ms).collect();
        for (_, entry) in finished {
            let used = units::Tokens(entry.item.used);
            if let Queue::Fair(queue) = &mut queue {
                queue.correct(&entry.account, entry.weight, entry.cost, used);
            }
            let overestimate = (entry.cost - used).0 as f64 / f64::from(entry.weight);
            *served.total.entry(entry.item.account).or_default() -= overestimate;
        }
        while running.len() < SLOTS {
            let Some(entry) = pop(&mut queue, now) else {
                break;
            };
            let work = entry.item;
            queued[work.account] -= 1;
            let charged = entry.cost.0 as f64 / f64::from(entry.weight);
            *served.total.entry(work.account).or_default() += charged;
            if work.account == ACCOUNTS - 1 {
                idle_waits += (ms - work.arrived_ms) as f64;
                idle_count += 1.0;
            }
            running.push((ms + work.used / TOKENS_PER_MS + 1, entry));
            initially_backlogged.retain(|i| queued[*i] > 0);
            let backlogged_now: Vec<_> = (0..ACCOUNTS).filter(|i| queued[*i] > 0).collect();
            let backlogged = if scenario.include_joining {
                &backlogged_now
            } else {
                &initially_backlogged
            };
            gap = gap.max(served.update_gap(backlogged));
        }
    }
    RunResult {
        gap: gap / MAX_REQUEST_TOKENS as f64,
        idle_wait_ms: idle_waits / f64::max(idle_count, 1.0),
    }
}

/// Draws the number of requests of an account in one millisecond. The first account surges in the
/// second half, and the last one sends one request every [`IDLE_PERIOD_MS`].
fn arrivals<R>(rng: &mut R, ms: u64, account: usize, scenario: Scenario) -> usize
where
    R: rand::Rng,
{
    match account {
        0 if ms > DURATION_MS / 2 => (0..scenario.surge)
            .filter(|_| rng.random_bool(scenario.arrival_probability))
            .count(),
        i if i == ACCOUNTS - 1 => usize::from(ms.is_multiple_of(IDLE_PERIOD_MS)),
        _ => usize::from(rng.random_bool(scenario.arrival_probability)),
    }
}

fn entry<R>(
    rng: &mut R,
    names: &[name::AccountName],
    ms: u64,
    account: usize,
    exact_estimates: bool,
) -> queue::Entry<QueuedRequest>
where
    R: rand::Rng,
{
    let cost = rng.random_range(MAX_REQUEST_TOKENS / 16..=MAX_REQUEST_TOKENS);
    queue::Entry {
        account: names[account].clone(),
        weight: weight(account),
        priority: 0,
        cost: units::Tokens(cost),
        deadline: time::Time::from_secs(1 << 30),
        item: QueuedRequest {
            account,
            arrived_ms: ms,
            used: if exact_estimates {
                cost
            } else {
                cost - rng.random_range(0..cost / 8)
            },
        },
    }
}

fn push(
    queue: &mut Queue,
    bounds: queue::Bounds,
    now: time::Time,
    entry: queue::Entry<QueuedRequest>,
    queued: &mut [usize; ACCOUNTS],
) {
    let account = entry.item.account;
    match queue {
        Queue::Fair(queue) => match queue.push(now, entry) {
            Ok(dropped) => {
                queued[account] += 1;
                if let Some(dropped) = dropped {
                    queued[dropped.entry.item.account] -= 1;
                }
            }
            Err(_refused) => {}
        },
        Queue::Fifo(queue) if queue.len() < bounds.entries => {
            queued[account] += 1;
            queue.push_back(entry);
        }
        Queue::Fifo(_) => {}
    }
}

fn pop(queue: &mut Queue, now: time::Time) -> Option<queue::Entry<QueuedRequest>> {
    match queue {
        Queue::Fair(queue) => queue.pop(now).next,
        Queue::Fifo(queue) => queue.pop_front(),
    }
}
