//! Retry budget of a host: bounds retries to a fraction of the requests that the host starts.

use crate::reason;

/// Scale of the budget's fixed-point balance.
const THOUSANDTHS_PER_RETRY: u64 = 1_000;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetConfig {
    /// Retries that each new request adds to the budget, in thousandths.
    #[serde(rename = "per_request_millis")]
    pub per_request_thousandths: u64,
    /// Capacity of the budget in retries. [`Budget::new`] starts full.
    pub reserve: u64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            per_request_thousandths: 80,
            reserve: 10,
        }
    }
}

/// Bound on the retries of all hosts of a fleet together, in every window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio that all hosts together may make in a burst.
    pub extra: f64,
}

impl FleetBudget {
    /// Budget of one of `hosts` hosts.
    ///
    /// In any window a budget grants no more than its reserve and the deposits of that window, so
    /// the shares together stay within the fleet's budget, whichever hosts receive the requests.
    #[must_use]
    pub fn share(&self, hosts: u32) -> BudgetConfig {
        BudgetConfig {
            per_request_thousandths: (self.ratio * THOUSANDTHS_PER_RETRY as f64) as u64,
            reserve: (self.extra / f64::from(hosts.max(1))) as u64,
        }
    }
}

/// Whether a retry is charged to the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The retry is not charged; only the limit of attempts bounds it.
    Free,
    /// The retry takes one from the budget.
    Budget,
}

impl Charge {
    /// Charge of a retry that is made for the given reason.
    #[must_use]
    pub const fn of(reason: reason::Retry) -> Self {
        match reason {
            reason::Retry::AtBound
            | reason::Retry::QueueFull
            | reason::Retry::NotOwner
            | reason::Retry::EndpointLeaving
            | reason::Retry::EndpointPushback
            | reason::Retry::VersionUnproven
            | reason::Retry::Draining
            | reason::Retry::Resume => Self::Free,
            reason::Retry::ConnectFailed
            | reason::Retry::ConnectionLost
            | reason::Retry::Stalled
            | reason::Retry::EndpointRefused
            | reason::Retry::EndpointFailed => Self::Budget,
        }
    }
}

/// Retries that a host may still make, refilled by a fraction of a retry for each new request.
///
/// The refill follows the number of requests rather than time, so that the share of retries in the
/// traffic is bounded at any request rate.
#[derive(Clone, Debug)]
pub struct Budget {
    cfg: BudgetConfig,
    /// Balance in thousandths of a retry. Invariant: at most `cfg.reserve` retries.
    balance: u64,
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            balance: Self::capacity(cfg),
        }
    }

    /// Creates an empty budget, for a host that may have spent its reserve before a restart.
    #[must_use]
    pub const fn empty(cfg: BudgetConfig) -> Self {
        Self { cfg, balance: 0 }
    }

    /// Replaces the settings. The balance stays, up to the new capacity.
    pub fn set_config(&mut self, cfg: BudgetConfig) {
        self.cfg = cfg;
        self.balance = self.balance.min(Self::capacity(cfg));
    }

    /// Adds the refill of one new request.
    pub fn deposit(&mut self) {
        let balance = self
            .balance
            .saturating_add(self.cfg.per_request_thousandths);
        self.balance = balance.min(Self::capacity(self.cfg));
    }

    /// Takes one retry from the budget, unless it is free. Returns whether the retry may be made.
    pub fn withdraw(&mut self, charge: Charge) -> bool {
        match charge {
            Charge::Free => true,
            Charge::Budget if self.balance >= THOUSANDTHS_PER_RETRY => {
                self.balance -= THOUSANDTHS_PER_RETRY;
                true
            }
            Charge::Budget => false,
        }
    }

    /// Whole retries that the budget holds.
    #[must_use]
    pub const fn available(&self) -> u64 {
        self.balance / THOUSANDTHS_PER_RETRY
    }

    const fn capacity(cfg: BudgetConfig) -> u64 {
        cfg.reserve.saturating_mul(THOUSANDTHS_PER_RETRY)
    }
}
