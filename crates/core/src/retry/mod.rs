//! Whether a request whose attempt failed is sent again, when, and what its caller is told.
//!
//! One [`RetryState`] joins the evidence of its attempts into one outcome. Another attempt is made
//! only if running the request again does no harm or no earlier attempt can have run, and only
//! within four limits: attempts, the deadline, the hops of a forwarded request and the
//! [`Budget`] of the host. A request that is given up gets its answer at once, with the delay
//! after which the caller may come back.
//!
//! The budget is a fraction of the requests that the host starts. Failures draw on it, so that
//! the attempts at a total outage stay within the fraction. Refusals that cost the receiver
//! nothing and tell the sender to look elsewhere, and resumptions of a stream that is already
//! being answered, do not draw on it: the limit of attempts bounds them.

mod attempts;
mod backoff;
mod budget;
mod decision;
mod retry_after;

pub use attempts::{AttemptFailure, Attempts, MAX_ATTEMPTS, Next};
pub use backoff::{Backoff, ceil_secs};
pub use budget::{Budget, BudgetConfig, Charge, FleetBudget};
pub use decision::{Config, Decision, Failure, GivenUp, Recovery, RetryState, next_hop};
pub use retry_after::retry_after;
