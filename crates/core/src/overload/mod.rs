//! Whether and when a prompt is sent to a service with engines.
//!
//! A host has one [`Gate`] for each service. While the fleet's load reports show that the service has
//! places, every request runs. Once it is overloaded, the gate limits the requests of this host, so that
//! each client account holds no more than its fair share of the places of the whole fleet, and all
//! together no more than begin in time. A request above that waits for a short time, in a bounded line,
//! or is refused at once.

mod fleet;
mod gate;
mod line;
mod own;

use std::time::Duration;

use crate::time;

pub use fleet::FleetLoad;
pub use gate::Gate;

/// Hash of a client account's name, or 0 for requests without one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountKey(pub u64);

/// Number of a request at its host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub ticket: Ticket,
    /// Its client account.
    pub account: AccountKey,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Target latency of its route.
    pub target: Option<Duration>,
    /// Its deadline.
    pub deadline: time::Time,
}

/// Fraction of the target latency that a request may wait; the rest is for reading its prompt.
const WAIT_FRACTION: u32 = 2;

/// Fraction of the remaining time that a request may wait. One that is refused later leaves its caller
/// no time to come back.
const REMAINING_FRACTION: u32 = 3;

impl Ask {
    /// Longest time that the request may wait.
    #[must_use]
    pub fn patience(&self, now: time::Time) -> Duration {
        let remaining = self.deadline.since(now) / REMAINING_FRACTION;
        let target = self.target.map(|target| target / WAIT_FRACTION);
        target.map_or(remaining, |target| target.min(remaining))
    }
}

/// What holds a request back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Its account has its fair share of the places.
    Account,
    /// All accounts together have as many requests as begin in time.
    All,
    /// The line is full.
    Line,
}

impl Limit {
    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Account => "account_share",
            Self::All => "all_places",
            Self::Line => "line_full",
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs, and has a place until [`Gate::end`].
    Run,
    /// It waits, and another verdict follows.
    Hold(Limit),
    /// It does not run.
    Refuse {
        /// What holds it back.
        by: Limit,
        /// Time after which a place is expected.
        retry_after: Duration,
    },
}

/// Verdicts on requests, in the order in which they were reached.
pub type Verdicts = Vec<(Ticket, Verdict)>;
