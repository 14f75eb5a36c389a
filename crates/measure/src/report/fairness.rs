//! Waiting times at one endpoint while one of two accounts surges.

use std::collections::VecDeque;
use std::time::Duration;

use pistachiochute_core::{name, queue, time, units};

use super::plot;

/// Length of the trace, in milliseconds.
const LENGTH_MS: u64 = 60_000;

/// Time in which the endpoint serves one request, in milliseconds.
const SERVICE_MS: u64 = 100;

/// Time between two requests of an account, in milliseconds.
const STEADY_MS: u64 = 500;

/// Time between two requests of the surging account in its surge, in milliseconds.
const SURGE_MS: u64 = 50;

/// Start and end of the surge, in milliseconds.
const SURGE: std::ops::Range<u64> = 20_000..40_000;

/// Time until the deadline of each request.
const DEADLINE: Duration = Duration::from_secs(20);

/// Work of each request.
const COST: units::Tokens = units::Tokens(100);

/// Name of the account that sends evenly.
const STEADY: &str = "steady";

/// Name of the account that surges.
const SURGING: &str = "surging";

/// Requests of both accounts in the order of their arrival, in milliseconds.
fn arrivals() -> Vec<(u64, &'static str)> {
    let mut arrivals: Vec<_> = (0..LENGTH_MS)
        .step_by(STEADY_MS as usize)
        .flat_map(|at| [(at, STEADY), (at, SURGING)])
        .collect();
    let surge = SURGE.step_by(SURGE_MS as usize).map(|at| (at, SURGING));
    arrivals.extend(surge);
    arrivals.sort_by_key(|(at, _)| *at);
    arrivals
}

/// Plots the waits of the requests that each order serves.
///
/// # Errors
///
/// Returns an error if a name of an account is not a name.
pub(super) fn plot() -> eyre::Result<plot::Plot> {
    let arrivals = arrivals();
    let fair = fair(&arrivals)?;
    let first = first_in_first_out(&arrivals);
    let series = |name: &str, account: &str, waits: &[Wait]| plot::Series {
        name: name.to_owned(),
        points: waits
            .iter()
            .filter(|wait| wait.account == account)
            .map(|wait| (seconds(wait.arrived), seconds(wait.waited)))
            .collect(),
    };
    Ok(plot::Plot {
        title: "Wait for service through a surge of one account (20 s to 40 s)",
        x: "arrival, s",
        y: "wait, s",
        series: vec![
            series("steady account, fair queue", STEADY, &fair),
            series("steady account, first in first out", STEADY, &first),
            series("surging account, fair queue", SURGING, &fair),
        ],
    })
}

/// A request that was served.
struct Wait {
    account: String,
    arrived: u64,
    waited: u64,
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

fn fair(arrivals: &[(u64, &str)]) -> eyre::Result<Vec<Wait>> {
    let mut queue = queue::FairQueue::new(queue::Bounds::default());
    let mut waiting = arrivals.iter().peekable();
    let mut served = Vec::new();
    for now in (0..LENGTH_MS).step_by(SERVICE_MS as usize) {
        while let Some((at, account)) = waiting.next_if(|(at, _)| *at <= now) {
            let account: name::AccountName = account.parse()?;
            let entry = queue::Entry {
                account,
                weight: 1,
                priority: 0,
                cost: COST,
                deadline: time::Time::from_millis(*at) + DEADLINE,
                item: *at,
            };
            // What the queue refuses was not served and has no wait.
            let _ = queue.push(time::Time::from_millis(now), entry);
        }
        if let Some(entry) = queue.pop(time::Time::from_millis(now)).next {
            served.push(Wait {
                account: entry.account.to_string(),
                arrived: entry.item,
                waited: now - entry.item,
            });
        }
    }
    Ok(served)
}

fn first_in_first_out(arrivals: &[(u64, &str)]) -> Vec<Wait> {
    let mut queue = VecDeque::new();
    let mut waiting = arrivals.iter().peekable();
    let mut served = Vec::new();
    for now in (0..LENGTH_MS).step_by(SERVICE_MS as usize) {
        while let Some(arrival) = waiting.next_if(|(at, _)| *at <= now) {
            queue.push_back(arrival);
        }
        if let Some((at, account)) = queue.pop_front() {
            served.push(Wait {
                account: (*account).to_owned(),
                arrived: *at,
                waited: now - at,
            });
        }
    }
    served
}
