//! Result of a run: used share of the limits, and charges beyond them.

use pistachiochute_core::{limits, lists, units};

use super::{
    ACCOUNTS, AccountCharges, DEMAND_RATIO, DURATION_S, HOSTS, LimitUsage, MEAN_TOKENS, Simulation,
    WARM_UP_S,
};

impl Simulation {
    pub(super) fn result(&self) -> LimitUsage {
        let over_admission =
            (0..ACCOUNTS).map(|i| over_admission(&self.plans[i], &self.charges[i]));
        let over_admission = over_admission.fold([0.0; 2], |worst, account| {
            [
                f64::max(worst[0], account[0]),
                f64::max(worst[1], account[1]),
            ]
        });
        let span = (DURATION_S - WARM_UP_S) as f64;
        let use_ratios: Vec<_> = (0..ACCOUNTS)
            .map(|i| self.account_use_ratio(i, span))
            .collect();
        let seconds = DURATION_S as f64;
        LimitUsage {
            over_admission,
            use_ratio: self.weighted_mean(&use_ratios),
            mean_use_ratio: use_ratios.iter().sum::<f64>() / ACCOUNTS as f64,
            min_use_ratio: use_ratios.iter().copied().fold(f64::MAX, f64::min),
            static_split_ratio: self.static_split_ratio(span),
            bytes_per_host_s: self.bytes as f64 / HOSTS as f64 / seconds,
            store_reads_s: self.reads as f64 / seconds,
            store_writes_s: self.writes as f64 / seconds,
        }
    }

    /// Returns the share that an account used of its limit, or of its demand if that was lower. Of
    /// the shares for requests and for tokens it is the larger.
    pub(super) fn account_use_ratio(&self, account: usize, span: f64) -> f64 {
        let plan = &self.plans[account];
        let (requests, tokens) = self.used[account];
        let offered = self.arrivals.iter().filter(|((of, _), _)| *of == account);
        let offered = offered.map(|(_, arrivals)| *arrivals as f64).sum::<f64>();
        let ratio = |used: u64, rate: units::PerMinute, each: f64| {
            let limit = rate.0 as f64 * span / 60.0;
            used as f64 / limit.min(offered * each)
        };
        let requests = ratio(requests, plan.requests_per_minute, 1.0);
        let tokens = ratio(tokens, plan.tokens_per_minute, MEAN_TOKENS);
        requests.max(tokens)
    }

    /// Returns the share of the limits that would be used for the same arrivals if every host had
    /// an equal, fixed part of each limit.
    pub(super) fn static_split_ratio(&self, span: f64) -> f64 {
        let mut used = vec![0.0; ACCOUNTS];
        for ((account, _), arrivals) in &self.arrivals {
            let share = 1e6 / self.mean_gaps_us[*account] / DEMAND_RATIO * span / HOSTS as f64;
            used[*account] += (*arrivals as f64).min(share);
        }
        let ratio =
            |(i, used): (usize, &f64)| used / (1e6 / self.mean_gaps_us[i] / DEMAND_RATIO * span);
        let ratios: Vec<_> = used.iter().enumerate().map(ratio).collect();
        self.weighted_mean(&ratios)
    }

    /// Returns the mean of one value per account, weighted by the accounts' limits.
    pub(super) fn weighted_mean(&self, values: &[f64]) -> f64 {
        let weights = self.mean_gaps_us.iter().map(|gap| 1.0 / gap);
        let sum: f64 = weights.clone().sum();
        weights
            .zip(values)
            .map(|(w, figure)| w * figure)
            .sum::<f64>()
            / sum
    }
}

/// Returns the largest charge beyond rate and burst over any window of time, as requests and
/// tokens.
pub(super) fn over_admission(plan: &lists::Plan, charges: &AccountCharges) -> [f64; 2] {
    let bursts = [
        limits::request_burst(plan.requests_per_minute).0,
        limits::token_burst(plan.tokens_per_minute, plan.longest_answer).0,
    ];
    let rates = [plan.requests_per_minute.0, plan.tokens_per_minute.0];
    let mut over_admission = [0.0; 2];
    for kind in 0..2 {
        // A token bucket that starts full and may become negative finds the worst window: its
        // lowest level is the negative of the largest excess.
        let full = i128::from(bursts[kind]) * 60_000_000;
        let (mut level, mut last, mut worst) = (full, 0, 0_i128);
        for (at, requests, tokens) in charges {
            let charge = if kind == 0 { *requests } else { *tokens };
            let refill = i128::from(*at - last) * i128::from(rates[kind]);
            level = (level + refill).min(full) - i128::from(charge) * 60_000_000;
            last = *at;
            worst = worst.min(level);
        }
        over_admission[kind] = (-worst) as f64 / 60_000_000.0;
    }
    over_admission
}
