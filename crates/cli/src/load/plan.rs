//! Arrival times of requests.

use std::time::Duration;

use rand::Rng as _;
use rand_distr::Distribution as _;

use crate::load::args;

/// Arrivals of all accounts, in the order of their times.
///
/// Arrivals are a Poisson process. A surge is made by thinning the process of the highest rate.
#[derive(Debug)]
pub(super) struct Plan {
    rng: rand_chacha::ChaCha8Rng,
    /// Time between two arrivals at the highest rate, in seconds.
    gap: rand_distr::Exp<f64>,
    accounts: usize,
    surge: Option<args::Surge>,
    duration: Duration,
    now: Duration,
}

/// An arrival of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Arrival {
    /// Planned time, from the start of the load.
    pub(super) at: Duration,
    /// Number of the account.
    pub(super) account: usize,
}

impl Plan {
    /// Makes the plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the rate is not positive.
    pub(super) fn new(cfg: &args::Config, rng: rand_chacha::ChaCha8Rng) -> eyre::Result<Self> {
        let accounts = cfg.keys.len();
        let factor = cfg.surge.map_or(1.0, |surge| surge.factor);
        let most = cfg.rate * weight(accounts, factor) / accounts as f64;
        Ok(Self {
            rng,
            gap: rand_distr::Exp::new(most)?,
            accounts,
            surge: cfg.surge,
            duration: cfg.duration,
            now: Duration::ZERO,
        })
    }

    /// Account of the arrival at the present time, or `None` if it is thinned out.
    fn account(&mut self) -> Option<usize> {
        let now = self.now;
        let surge = self.surge;
        let most = surge.map_or(1.0, |surge| surge.factor);
        let surging = surge.is_some_and(|surge| (surge.from..surge.until).contains(&now));
        let factor = if surging { most } else { 1.0 };
        let at = self.rng.random::<f64>() * weight(self.accounts, most);
        if at < factor {
            return Some(0);
        }
        // The other accounts have weight 1 each, above the largest weight of the first.
        (at >= most).then(|| 1 + (at - most) as usize)
    }
}

/// Sum of the weights of the accounts when the first has `factor`.
fn weight(accounts: usize, factor: f64) -> f64 {
    accounts as f64 - 1.0 + factor
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            self.now += Duration::from_secs_f64(self.gap.sample(&mut self.rng));
            if self.now >= self.duration {
                return None;
            }
            if let Some(account) = self.account() {
                let account = account.min(self.accounts - 1);
                return Some(Arrival {
                    at: self.now,
                    account,
                });
            }
        }
    }
}
