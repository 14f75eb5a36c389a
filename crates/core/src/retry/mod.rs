//! Retries: whether and when a request is sent again after a failed attempt.
//!
//! [`RetryState`] joins the evidence of a request's attempts into one outcome. A request is retried
//! only if it is idempotent or no earlier attempt can have run, and only within four limits: the
//! number of attempts, the deadline, the hops of a forwarded request and the retry [`Budget`] of
//! the host. A request that is given up is answered at once, with the delay after which the caller
//! may retry.
//!
//! The budget is a fraction of the requests that the host starts. Retries after failures are
//! charged to it, so that the retries during a total outage stay within that fraction. Two kinds of
//! retry are free, and only the limit of attempts bounds them: those after refusals that cost the
//! receiver nothing and redirect the sender, and resumptions of a stream that is already being
//! answered.

mod attempts;
mod backoff;
mod budget;
mod decision;
mod retry_after;
mod sends;

pub use attempts::{AttemptFailure, Attempts, MAX_ATTEMPTS, Next};
pub use backoff::{Backoff, ceil_secs};
pub use budget::{Budget, BudgetConfig, Charge, FleetBudget};
pub use decision::{Config, Decision, Failure, GivenUp, Recovery, RetryState, next_hop};
pub use retry_after::{retry_after, retry_after_pause, retry_after_room};
pub use sends::Sends;
