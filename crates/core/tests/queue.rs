//! Weighted fair queueing: service gap, deadlines, bounds and corrections.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::{name, queue, reason, time, units};
use proptest::prelude::*;

const MAX_COST: u64 = 1_000;

fn account(i: usize) -> name::AccountName {
    format!("account-{i}").parse().unwrap()
}

fn entry(i: usize, weight: u32, cost: u64, item: u64) -> queue::Entry<u64> {
    queue::Entry {
        account: account(i),
        weight,
        priority: 0,
        cost: units::Tokens(cost),
        deadline: time::Time::from_secs(1_000_000),
        item,
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x71_7565),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(100))]

    /// Accounts that stay backlogged differ in weighted service by at most the cost of the largest
    /// request divided by the smallest weight.
    #[test]
    fn service_gap_is_one_largest_request(
        weights in proptest::collection::vec(1_u32..5, 2..6),
        costs in proptest::collection::vec(1_u64..=MAX_COST, 60),
    ) {
        let bounds = queue::Bounds { entries: 4_096, account_entries: 4_096 };
        let mut q = queue::FairQueue::new(bounds);
        let now = time::Time::ZERO;
        for (n, cost) in costs.iter().enumerate() {
            for (i, weight) in weights.iter().enumerate() {
                let cost = 1 + (cost * (i as u64 + 7)) % MAX_COST;
                q.push(now, entry(i, *weight, cost, n as u64)).unwrap();
            }
        }
        let mut served: BTreeMap<_, f64> = (0..weights.len()).map(|i| (account(i), 0.0)).collect();
        let smallest = f64::from(*weights.iter().min().unwrap());
        for _ in 0..costs.len() {
            let popped = q.pop(now).next.unwrap();
            *served.get_mut(&popped.account).unwrap() +=
                popped.cost.0 as f64 / f64::from(popped.weight);
            let most = served.values().copied().fold(0.0, f64::max);
            let least = served.values().copied().fold(f64::MAX, f64::min);
            prop_assert!(most - least <= MAX_COST as f64 / smallest + 1e-6);
        }
    }

    /// Each entry is returned exactly once under any sequence of calls, and the bounds hold.
    #[test]
    fn each_entry_is_returned_exactly_once(
        ops in proptest::collection::vec((0_u8..10, 0_usize..6, 1_u64..500, 0_u64..3_000), 1..400),
    ) {
        let bounds = queue::Bounds { entries: 16, account_entries: 6 };
        let mut q = queue::FairQueue::new(bounds);
        let mut now = time::Time::ZERO;
        let mut out = Vec::new();
        let mut pushed = 0;
        for (op, i, cost, wait) in ops {
            now += Duration::from_millis(20);
            match op {
                0..=5 => {
                    let deadline = now + Duration::from_millis(wait);
                    let entry = queue::Entry { deadline, ..entry(i, 1, cost, pushed) };
                    pushed += 1;
                    match q.push(now, entry) {
                        Ok(dropped) => out.extend(dropped.map(|r| r.entry.item)),
                        Err(refused) => out.push(refused.entry.item),
                    }
                }
                6..=7 => {
                    let popped = q.pop(now);
                    out.extend(popped.refused.iter().map(|r| r.entry.item));
                    if let Some(next) = popped.next {
                        prop_assert!(next.deadline >= now);
                        out.push(next.item);
                    }
                }
                8 => out.extend(q.expire(now).iter().map(|r| r.entry.item)),
                _ => q.correct(&account(i), 1, units::Tokens(cost), units::Tokens(wait)),
            }
            prop_assert!(q.len() <= bounds.entries);
        }
        out.extend(q.drain().iter().map(|entry| entry.item));
        prop_assert!(q.is_empty());
        out.sort_unstable();
        prop_assert_eq!(out, (0..pushed).collect::<Vec<_>>());
    }
}

#[test]
fn an_idle_account_is_not_delayed_by_the_backlog_of_another() {
    let mut q = queue::FairQueue::new(queue::Bounds::default());
    let now = time::Time::ZERO;
    for n in 0..50 {
        q.push(now, entry(0, 1, 100, n)).unwrap();
    }
    for _ in 0..10 {
        q.pop(now);
    }
    q.push(now, entry(1, 1, 100, 99)).unwrap();
    let items = [q.pop(now).next.unwrap().item, q.pop(now).next.unwrap().item];
    assert!(items.contains(&99), "{items:?}");
}

#[test]
fn full_queue_drops_from_the_account_with_the_largest_backlog() {
    let bounds = queue::Bounds {
        entries: 8,
        account_entries: 8,
    };
    let mut q = queue::FairQueue::new(bounds);
    let now = time::Time::ZERO;
    for n in 0..8 {
        q.push(now, entry(0, 1, 100, n)).unwrap();
    }
    let dropped = q.push(now, entry(1, 1, 100, 50)).unwrap().unwrap();
    assert_eq!(dropped.entry.item, 7);
    assert_eq!(dropped.reason, reason::Refusal::QueueFull);
    let refused = q.push(now, entry(0, 1, 100, 51)).unwrap_err();
    assert_eq!(refused.entry.item, 51);
    assert!(refused.retry_after >= Duration::from_secs(1));
}

#[test]
fn refuses_entries_that_would_miss_their_deadline() {
    let mut q = queue::FairQueue::new(queue::Bounds::default());
    for n in 0..20 {
        q.push(time::Time::ZERO, entry(0, 1, 100, n)).unwrap();
    }
    // Drains 100 tokens per second.
    for s in 1..=10 {
        q.pop(time::Time::from_secs(s));
    }
    let now = time::Time::from_secs(10);
    let late = queue::Entry {
        deadline: now + Duration::from_secs(5),
        ..entry(0, 1, 100, 90)
    };
    let refused = q.push(now, late.clone()).unwrap_err();
    assert_eq!(refused.reason, reason::Refusal::Deadline);
    assert_eq!(refused.retry_after, Duration::from_secs(10));
    let other = queue::Entry {
        account: account(1),
        ..late
    };
    q.push(now, other).unwrap();
    assert_eq!(q.len(), 11);
}

#[test]
fn refuses_queued_entries_when_the_endpoint_stalls() {
    let mut q = queue::FairQueue::new(queue::Bounds::default());
    for n in 0..4 {
        let deadline = time::Time::from_secs(8);
        q.push(
            time::Time::ZERO,
            queue::Entry {
                deadline,
                ..entry(0, 1, 100, n)
            },
        )
        .unwrap();
    }
    assert_eq!(q.pop(time::Time::from_secs(1)).next.unwrap().item, 0);
    assert!(q.expire(time::Time::from_secs(2)).is_empty());
    let late: Vec<_> = q
        .expire(time::Time::from_secs(4))
        .iter()
        .map(|r| r.entry.item)
        .collect();
    assert_eq!(
        late,
        [3],
        "the two entries before it drain at a quarter of the rate"
    );
    assert_eq!(q.len(), 2);
}

#[test]
fn tokens_used_beyond_the_estimate_delay_the_account() {
    let mut q = queue::FairQueue::new(queue::Bounds::default());
    let now = time::Time::ZERO;
    for n in 0..20 {
        q.push(now, entry(0, 1, 100, n)).unwrap();
        q.push(now, entry(1, 1, 100, 100 + n)).unwrap();
    }
    q.pop(now);
    q.pop(now);
    q.correct(&account(0), 1, units::Tokens(100), units::Tokens(500));
    let next: Vec<_> = (0..4).map(|_| q.pop(now).next.unwrap().account).collect();
    assert!(next.iter().all(|name| *name == account(1)), "{next:?}");
}

#[test]
fn priority_orders_entries_within_an_account_only() {
    let mut q = queue::FairQueue::new(queue::Bounds::default());
    let now = time::Time::ZERO;
    q.push(now, entry(0, 1, 100, 1)).unwrap();
    q.push(
        now,
        queue::Entry {
            priority: 9,
            ..entry(0, 1, 100, 2)
        },
    )
    .unwrap();
    q.push(
        now,
        queue::Entry {
            priority: 9,
            ..entry(0, 1, 100, 3)
        },
    )
    .unwrap();
    q.push(now, entry(1, 1, 100, 4)).unwrap();
    let items: Vec<_> = (0..4).map(|_| q.pop(now).next.unwrap().item).collect();
    assert_eq!(items, [2, 4, 3, 1]);
}
