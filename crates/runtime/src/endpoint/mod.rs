//! Calls to endpoints over HTTP.
//!
//! Each call uses a connection of its own, so no idle connection can go silent. The answer is
//! passed on in pieces; a stream of events is cut at whole events only, so that a cut stream can
//! be resumed at the engine after the last whole event.

mod answer_sender;
mod call;
mod events;

use std::time::Duration;

use pistachiochute_core::{outcome, reason, units};

pub use answer_sender::{AnswerSender, ReceiverClosed};
pub use call::Call;

/// Header that tells the outcome of a request, on answers of endpoints and of the fleet.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Header that carries the id of a request on every hop.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header that carries the priority of a request to an engine.
const PRIORITY_HEADER: &str = "x-priority";

/// Header that carries the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Times after which a call is given up.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time to make a connection.
    pub connect: Duration,
    /// Time without a byte of the answer.
    pub stall: Duration,
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer was passed on.
    Complete {
        /// Tokens that the endpoint reports to have used.
        used: Option<units::Tokens>,
    },
    /// The answer is not whole.
    Failed(Failure),
}

/// Why a call to an endpoint brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub reason: reason::Refusal,
    /// Whether the request ran.
    pub outcome: outcome::Outcome,
    /// Delay after which the endpoint may be tried again.
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
