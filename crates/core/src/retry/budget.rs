//! Retry budget of a host.

use crate::reason;

/// Thousandths of a retry in one retry.
const THOUSANDTHS_PER_RETRY: u64 = 1_000;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetConfig {
    /// Retries that each new request adds to the budget, in thousandths.
    pub per_request_millis: u64,
    /// Most retries that the budget holds. A new host starts with as many.
    pub reserve: u64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            per_request_millis: 80,
            reserve: 10,
        }
    }
}

/// Bounds on retries that all hosts of a fleet keep together, in every window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio, of all hosts together.
    pub extra: f64,
}

impl FleetBudget {
    /// The part of one among `hosts` hosts. The parts sum to the whole, whichever of the hosts
    /// receive the requests: a budget gives out no more than its reserve and what is deposited in
    /// any window.
    #[must_use]
    pub fn share(&self, hosts: u32) -> BudgetConfig {
        BudgetConfig {
            per_request_millis: (self.ratio * THOUSANDTHS_PER_RETRY as f64) as u64,
            reserve: (self.extra / f64::from(hosts.max(1))) as u64,
        }
    }
}

/// Whether a retry draws on the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The retry is bounded by the limit of attempts alone.
    Free,
    /// The retry takes one from the budget.
    Budget,
}

impl Charge {
    /// The charge of a retry for the given reason.
    #[must_use]
    pub const fn of(reason: reason::Retry) -> Self {
        match reason {
            reason::Retry::AtBound
            | reason::Retry::QueueFull
            | reason::Retry::NotOwner
            | reason::Retry::EndpointLeaving
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

/// Retries that a host may still make, refilled by a fraction of the requests that it starts.
///
/// The refill is counted rather than timed, so that the share of retries in the traffic is bounded
/// whatever the rate of requests is.
#[derive(Clone, Debug)]
pub struct Budget {
    cfg: BudgetConfig,
    /// Balance in thousandths of a retry. Invariant: at most `cfg.reserve` retries.
    balance: u64,
}

impl Budget {
    /// Makes a full budget.
    #[must_use]
    pub const fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            balance: Self::capacity(cfg),
        }
    }

    /// Makes an empty budget, for a host that may have spent its reserve before it was started
    /// again.
    #[must_use]
    pub const fn empty(cfg: BudgetConfig) -> Self {
        Self { cfg, balance: 0 }
    }

    /// Goes on under other settings.
    pub fn set_config(&mut self, cfg: BudgetConfig) {
        self.cfg = cfg;
        self.balance = self.balance.min(Self::capacity(cfg));
    }

    /// Adds the share of one new request.
    pub fn deposit(&mut self) {
        let balance = self.balance.saturating_add(self.cfg.per_request_millis);
        self.balance = balance.min(Self::capacity(self.cfg));
    }

    /// Takes one retry, and says whether the budget held one.
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
