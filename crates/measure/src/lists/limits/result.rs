//! What a run gave: use of the limits and charges beyond them.

use pistachiochute_core::limits::{self};
use pistachiochute_core::{lists, units};

use super::{ACCOUNTS, Charges, DEMAND, HOSTS, LENGTH_S, Limits, MEAN_TOKENS, SETTLE_S, World};

impl World {
    pub(super) fn result(&self) -> Limits {
        let over = (0..ACCOUNTS).map(|i| over(&self.plans[i], &self.charges[i]));
        let over = over.fold([0.0; 2], |worst, over| {
            [f64::max(worst[0], over[0]), f64::max(worst[1], over[1])]
        });
        let span = (LENGTH_S - SETTLE_S) as f64;
        let used: Vec<_> = (0..ACCOUNTS).map(|i| self.used(i, span)).collect();
        let seconds = LENGTH_S as f64;
        Limits {
            over,
            used: self.weighted(&used),
            used_mean: used.iter().sum::<f64>() / ACCOUNTS as f64,
            used_worst: used.iter().copied().fold(f64::MAX, f64::min),
            used_static: self.used_static(span),
            bytes_per_host_s: self.bytes as f64 / HOSTS as f64 / seconds,
            store_reads_s: self.reads as f64 / seconds,
            store_writes_s: self.writes as f64 / seconds,
        }
    }

    /// Part of an account's limit, or of its demand if that was less, that was used: of requests or of tokens, whichever is scarcer.
    pub(super) fn used(&self, account: usize, span: f64) -> f64 {
        let plan = &self.plans[account];
        let (requests, tokens) = self.used[account];
        let offered = self.arrivals.iter().filter(|((of, _), _)| *of == account);
        let offered = offered.map(|(_, arrivals)| *arrivals as f64).sum::<f64>();
        let part = |used: u64, rate: units::PerMinute, each: f64| {
            let limit = rate.0 as f64 * span / 60.0;
            used as f64 / limit.min(offered * each)
        };
        let requests = part(requests, plan.requests_per_minute, 1.0);
        let tokens = part(tokens, plan.tokens_per_minute, MEAN_TOKENS);
        requests.max(tokens)
    }

    /// Part of the limits that hosts with an equal part each would use of the same arrivals.
    pub(super) fn used_static(&self, span: f64) -> f64 {
        let mut used = vec![0.0; ACCOUNTS];
        for ((account, _), arrivals) in &self.arrivals {
            let share = 1e6 / self.gaps[*account] / DEMAND * span / HOSTS as f64;
            used[*account] += (*arrivals as f64).min(share);
        }
        let part = |(i, used): (usize, &f64)| used / (1e6 / self.gaps[i] / DEMAND * span);
        let parts: Vec<_> = used.iter().enumerate().map(part).collect();
        self.weighted(&parts)
    }

    /// Mean of a figure of each account, weighted by the account's limit.
    pub(super) fn weighted(&self, of_accounts: &[f64]) -> f64 {
        let weights = self.gaps.iter().map(|gap| 1.0 / gap);
        let sum: f64 = weights.clone().sum();
        weights
            .zip(of_accounts)
            .map(|(w, figure)| w * figure)
            .sum::<f64>()
            / sum
    }
}

/// Largest charge over any window beyond rate and burst, as requests and tokens.
pub(super) fn over(plan: &lists::Plan, charges: &Charges) -> [f64; 2] {
    let bursts = [
        limits::request_burst(plan.requests_per_minute).0,
        limits::token_burst(plan.tokens_per_minute, plan.longest_answer).0,
    ];
    let rates = [plan.requests_per_minute.0, plan.tokens_per_minute.0];
    let mut over = [0.0; 2];
    for kind in 0..2 {
        // A bucket that starts full shows the worst window: it is below zero by the excess.
        let full = i128::from(bursts[kind]) * 60_000_000;
        let (mut level, mut last, mut worst) = (full, 0, 0_i128);
        for (at, requests, tokens) in charges {
            let charge = if kind == 0 { *requests } else { *tokens };
            let refill = i128::from(*at - last) * i128::from(rates[kind]);
            level = (level + refill).min(full) - i128::from(charge) * 60_000_000;
            last = *at;
            worst = worst.min(level);
        }
        over[kind] = (-worst) as f64 / 60_000_000.0;
    }
    over
}
