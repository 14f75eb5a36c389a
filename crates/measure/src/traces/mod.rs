//! Traces of requests, generated from fixed seeds.
//!
//! A trace is open: the times of arrival do not depend on how the requests are served, so that
//! every policy gets the same trace.

mod chats;
mod deployment;

pub use chats::generate;
pub use deployment::{BOCAGE, DESIGN, Deployment, LOMBARDY, Surge};

use std::time::Duration;

use pistachiochute_core::routing::work;
use pistachiochute_core::{request, time, units};

/// A request of a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When the request reaches its entry host.
    pub at: time::Time,
    /// Number of the client account.
    pub account: u32,
    /// Chat of the request.
    pub chat: request::ChatKey,
    /// Number of the entry host before it is reduced to the hosts of the run.
    pub entry: u32,
    /// Tokens of the prompt that an earlier turn of the chat had, zero on the first turn.
    pub history: units::Tokens,
    /// Tokens of the whole prompt.
    pub prompt: units::Tokens,
    /// Tokens of the answer.
    pub answer: units::Tokens,
}

impl Arrival {
    /// Estimated work of the request.
    #[must_use]
    pub fn cost(&self) -> u64 {
        work::of_tokens(self.prompt, self.answer)
    }

    /// Time that the answer takes to generate.
    #[must_use]
    pub fn generation(&self) -> Duration {
        TIME_PER_TOKEN * self.answer.0 as u32
    }
}

/// Time between two generated tokens of a request.
pub const TIME_PER_TOKEN: Duration = Duration::from_millis(26);
