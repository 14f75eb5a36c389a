//! Calls to endpoints over HTTP.
//!
//! Each call uses its own connection, so a call never meets a pooled connection that broke while
//! idle. The answer is forwarded in chunks. Each chunk of an event stream holds complete events,
//! so that a truncated stream can be resumed at the engine after the last complete event.

mod answer_sender;
mod call;
mod events;
mod place;

use std::time::Duration;

use pistachiochute_core::{outcome, reason, units};

pub use answer_sender::{AnswerSender, ReceiverClosed};
pub use call::Call;

/// Header with the outcome of a request, on answers of endpoints and of the fleet.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Header with the request id, sent on every hop.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header with the request priority, sent to engines.
const PRIORITY_HEADER: &str = "x-priority";

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Maximum time to connect.
    pub connect: Duration,
    /// Maximum time without receiving a byte of the answer.
    pub stall: Duration,
}

/// Result of a call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The complete answer was forwarded.
    Complete {
        /// Number of tokens used, as reported by the endpoint.
        used: Option<units::Tokens>,
    },
    /// The answer is missing or incomplete.
    Failed(Failure),
}

/// Failure of a call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Reason code.
    pub reason: reason::Refusal,
    /// Whether the request ran, as far as the host can tell.
    pub outcome: outcome::Outcome,
    /// Delay after which the endpoint may be called again.
    pub retry_after: Option<Duration>,
}

impl Failure {
    const fn new(reason: reason::Refusal, outcome: outcome::Outcome) -> Self {
        Self {
            reason,
            outcome,
            retry_after: None,
        }
    }
}
