//! Service of backlogged accounts at one owner, with the fair queue and with FIFO.

use std::collections::{BTreeMap, VecDeque};

use pistachiochute_core::{name, queue, time, units};
use rand::SeedableRng as _;

use super::population;

/// Owners that are measured, each by itself.
const OWNERS: u64 = 8;

/// Accounts of each owner. The first surges, the last is mostly idle.
const ACCOUNTS: usize = 20;

/// Requests that an endpoint runs at once.
const SLOTS: usize = 8;

/// Rate of the surge over that of another account.
const SURGE: usize = 50;

/// Chance of a request of each account in a millisecond, above what the endpoint serves.
const OVERLOAD: f64 = 0.005;

/// The same, at two thirds of what the endpoint serves.
const LIGHT_LOAD: f64 = 0.003;

/// Requests of each account that wait at the start.
const START_ENTRIES: usize = 16;

/// Largest request, in tokens.
const LARGEST: u64 = 8_192;

/// Tokens that one slot serves in a millisecond.
const TOKENS_PER_MS: u64 = 50;

/// Length of a run, in milliseconds.
const LENGTH_MS: u64 = 120_000;

/// Milliseconds between two requests of the idle account.
const IDLE_PERIOD_MS: u64 = 2_000;

/// What the fair queue and FIFO gave. Gaps are differences of the tokens served over the weight,
/// in largest requests.
#[derive(Debug)]
pub struct Fairness {
    /// Largest gap between accounts that are backlogged from the start on, by estimated tokens.
    pub gap: f64,
    /// The same by the tokens really used, as far as they are known, with estimates that are up
    /// to an eighth too large.
    pub gap_corrected: f64,
    /// Largest gap between any two accounts since both became backlogged.
    pub gap_joining: f64,
    /// The same with FIFO.
    pub gap_fifo: f64,
    /// Mean wait of the idle account during the surge over that without it.
    pub idle_wait: f64,
    /// The same with FIFO.
    pub idle_wait_fifo: f64,
}

/// Measures all owners.
pub fn run() -> Fairness {
    let runs = |setup: Setup| (0..OWNERS).map(move |seed| run_owner(seed, setup));
    let gap = |setup: Setup| runs(setup).map(|run| run.gap).fold(0.0, f64::max);
    let wait = |setup: Setup| runs(setup).map(|run| run.idle_wait_ms).sum::<f64>();
    let fair = Setup {
        order: Order::Fair,
        surge: SURGE,
        exact: true,
        joining: false,
        start: START_ENTRIES,
        rate: OVERLOAD,
    };
    let fifo = |setup| Setup {
        order: Order::Fifo,
        ..setup
    };
    let light = Setup {
        start: 0,
        rate: LIGHT_LOAD,
        ..fair
    };
    let calm = |setup| Setup { surge: 1, ..setup };
    Fairness {
        gap: gap(fair),
        gap_corrected: gap(Setup {
            exact: false,
            ..fair
        }),
        gap_joining: gap(Setup {
            joining: true,
            ..fair
        }),
        gap_fifo: gap(fifo(fair)),
        idle_wait: wait(light) / wait(calm(light)).max(1.0),
        idle_wait_fifo: wait(fifo(light)) / wait(fifo(calm(light))).max(1.0),
    }
}

/// What a run is about.
#[derive(Clone, Copy, Debug)]
struct Setup {
    order: Order,
    /// Rate of the first account over that of another in the second half.
    surge: usize,
    /// Whether the estimates are exact.
    exact: bool,
    /// Whether pairs count whose accounts were not backlogged from the start.
    joining: bool,
    /// Requests of each account that wait at the start.
    start: usize,
    /// Chance of a request of each account in a millisecond.
    rate: f64,
}

#[derive(Clone, Copy, Debug)]
enum Order {
    Fair,
    Fifo,
}

/// A queue of either kind.
enum Queue {
    Fair(queue::FairQueue<Work>),
    Fifo(VecDeque<queue::Entry<Work>>),
}

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
struct Work {
    account: usize,
    arrived_ms: u64,
    /// Tokens that it uses, which the estimate exceeds.
    used: u64,
}

struct Run {
    gap: f64,
    idle_wait_ms: f64,
}

/// Service that accounts had since they became backlogged, over their weights.
#[derive(Default)]
struct Served {
    /// Service of each account since the start.
    total: BTreeMap<usize, f64>,
    /// Service of each pair of accounts at the time when both had become backlogged.
    since: BTreeMap<(usize, usize), (f64, f64)>,
}

impl Served {
    /// Starts and ends pairs, and returns the largest gap of those that go on.
    fn gap(&mut self, backlogged: &[usize]) -> f64 {
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

fn run_owner(seed: u64, setup: Setup) -> Run {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let bounds = queue::Bounds {
        entries: 512,
        account_entries: 64,
    };
    let mut queue = match setup.order {
        Order::Fair => Queue::Fair(queue::FairQueue::new(bounds)),
        Order::Fifo => Queue::Fifo(VecDeque::new()),
    };
    let names: Vec<_> = (0..ACCOUNTS).map(population::account).collect();
    let mut running: Vec<(u64, queue::Entry<Work>)> = Vec::new();
    let mut served = Served::default();
    let mut queued = [0_usize; ACCOUNTS];
    let (mut gap, mut idle_waits, mut idle_count) = (0.0_f64, 0.0, 0.0);
    // Every account but the idle one is backlogged from the start on.
    let mut steady: Vec<_> = (0..ACCOUNTS - 1).collect();
    for account in steady.iter().cycle().take(setup.start * (ACCOUNTS - 1)) {
        let entry = entry(&mut rng, &names, 0, *account, setup.exact);
        push(&mut queue, bounds, time::Time::ZERO, entry, &mut queued);
    }
    served.gap(&steady);
    for ms in 0..LENGTH_MS {
        let now = time::Time::from_millis(ms);
        for account in 0..ACCOUNTS {
            for _ in 0..arrivals(&mut rng, ms, account, setup) {
                let entry = entry(&mut rng, &names, ms, account, setup.exact);
                push(&mut queue, bounds, now, entry, &mut queued);
            }
        }
        let finished: Vec<_> = running.extract_if(.., |(end, _)| *end <= ms).collect();
        for (_, entry) in finished {
            let used = units::Tokens(entry.item.used);
            if let Queue::Fair(queue) = &mut queue {
                queue.correct(&entry.account, entry.weight, entry.cost, used);
            }
            let over = (entry.cost - used).0 as f64 / f64::from(entry.weight);
            *served.total.entry(entry.item.account).or_default() -= over;
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
            steady.retain(|i| queued[*i] > 0);
            let joined: Vec<_> = (0..ACCOUNTS).filter(|i| queued[*i] > 0).collect();
            let backlogged = if setup.joining { &joined } else { &steady };
            gap = gap.max(served.gap(backlogged));
        }
    }
    Run {
        gap: gap / LARGEST as f64,
        idle_wait_ms: idle_waits / f64::max(idle_count, 1.0),
    }
}

/// Requests of an account in one millisecond. The first surges in the second half, and the last
/// sends one request every [`IDLE_PERIOD_MS`].
fn arrivals<R>(rng: &mut R, ms: u64, account: usize, setup: Setup) -> usize
where
    R: rand::Rng,
{
    match account {
        0 if ms > LENGTH_MS / 2 => (0..setup.surge)
            .filter(|_| rng.random_bool(setup.rate))
            .count(),
        i if i == ACCOUNTS - 1 => usize::from(ms.is_multiple_of(IDLE_PERIOD_MS)),
        _ => usize::from(rng.random_bool(setup.rate)),
    }
}

fn entry<R>(
    rng: &mut R,
    names: &[name::AccountName],
    ms: u64,
    account: usize,
    exact: bool,
) -> queue::Entry<Work>
where
    R: rand::Rng,
{
    let cost = rng.random_range(LARGEST / 16..=LARGEST);
    queue::Entry {
        account: names[account].clone(),
        weight: weight(account),
        priority: 0,
        cost: units::Tokens(cost),
        deadline: time::Time::from_secs(1 << 30),
        item: Work {
            account,
            arrived_ms: ms,
            used: if exact {
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
    entry: queue::Entry<Work>,
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

fn pop(queue: &mut Queue, now: time::Time) -> Option<queue::Entry<Work>> {
    match queue {
        Queue::Fair(queue) => queue.pop(now).next,
        Queue::Fifo(queue) => queue.pop_front(),
    }
}
