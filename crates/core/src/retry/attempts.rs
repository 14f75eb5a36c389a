//! What follows when an attempt at an endpoint ends without an answer for the caller.

use crate::{catalog, outcome, reason};

/// Most tries of one request, those included whose connection was never made.
pub const MAX_ATTEMPTS: u32 = 6;

/// How an attempt ended without an answer that the caller can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// This host has as many connections to the endpoint as it may.
    AtLimit,
    /// No byte of the request reached an endpoint.
    NotSent,
    /// The endpoint proved that it did not run the request.
    Refused,
    /// Another endpoint stands at the address; it did not run the request.
    EndpointReplaced,
    /// The endpoint ran the request and failed.
    Failed,
    /// The answer is damaged, or belongs to another request.
    InvalidAnswer,
    /// The connection was lost before the answer was whole.
    ConnectionLost,
    /// The endpoint has been silent for longer than it may.
    Stalled,
}

impl AttemptFailure {
    /// What the failure tells of whether the request ran.
    #[must_use]
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::AtLimit | Self::NotSent | Self::Refused | Self::EndpointReplaced => {
                outcome::Outcome::NotRun
            }
            Self::InvalidAnswer | Self::ConnectionLost | Self::Stalled => outcome::Outcome::Unknown,
            Self::Failed => outcome::Outcome::Run,
        }
    }

    /// Reason for the caller if no other attempt follows.
    #[must_use]
    pub const fn refusal(self) -> reason::Refusal {
        match self {
            Self::AtLimit => reason::Refusal::AtBound,
            Self::NotSent => reason::Refusal::ConnectFailed,
            Self::Refused => reason::Refusal::EndpointRefused,
            Self::EndpointReplaced => reason::Refusal::EndpointLeaving,
            Self::Failed => reason::Refusal::EndpointFailed,
            Self::InvalidAnswer => reason::Refusal::AnswerIncomplete,
            Self::ConnectionLost => reason::Refusal::ConnectionLost,
            Self::Stalled => reason::Refusal::Stalled,
        }
    }

    /// Reason for another attempt, for the counters.
    #[must_use]
    pub const fn retry(self) -> reason::Retry {
        match self {
            Self::AtLimit => reason::Retry::AtBound,
            Self::NotSent => reason::Retry::ConnectFailed,
            Self::Refused => reason::Retry::EndpointRefused,
            Self::EndpointReplaced => reason::Retry::EndpointLeaving,
            Self::Failed => reason::Retry::EndpointFailed,
            Self::InvalidAnswer | Self::ConnectionLost => reason::Retry::ConnectionLost,
            Self::Stalled => reason::Retry::Stalled,
        }
    }

    /// Name of the failure in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AtLimit => "at_limit",
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::EndpointReplaced => "elsewhere",
            Self::Failed => "failed",
            Self::InvalidAnswer => "damaged",
            Self::ConnectionLost => "lost",
            Self::Stalled => "stalled",
        }
    }

    /// Whether no byte of the request was sent.
    const fn is_unsent(self) -> bool {
        matches!(self, Self::AtLimit | Self::NotSent)
    }

    /// Whether the request arrived at the endpoint that it was meant for.
    const fn reached_endpoint(self) -> bool {
        !self.is_unsent() && !matches!(self, Self::EndpointReplaced)
    }
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another endpoint.
    Retry(reason::Retry),
    /// Answer the caller now.
    GiveUp {
        /// Why no other attempt follows.
        reason: reason::Refusal,
        /// Whether the request ran, joined over its attempts.
        outcome: outcome::Outcome,
    },
}

/// Attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: catalog::Kind,
    /// Endpoints that the request may arrive at.
    max_reached: u32,
    reached: u32,
    attempts: u32,
    outcome: outcome::Outcome,
}

impl Attempts {
    /// Makes a request without attempts.
    #[must_use]
    pub const fn new(kind: catalog::Kind, max_reached: u32) -> Self {
        Self {
            kind,
            max_reached,
            reached: 0,
            attempts: 0,
            outcome: outcome::Outcome::NotRun,
        }
    }

    /// Tries so far.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.attempts
    }

    /// Whether the request ran, joined over the attempts that have ended.
    #[must_use]
    pub const fn outcome(&self) -> outcome::Outcome {
        self.outcome
    }

    /// Takes in how an attempt ended and decides what follows. `withdraw` takes one repeat from
    /// the budget and is called only if all else allows another attempt.
    pub fn record_failure<F>(&mut self, failure: AttemptFailure, withdraw: F) -> Next
    where
        F: FnOnce() -> bool,
    {
        self.attempts += 1;
        self.reached += u32::from(failure.reached_endpoint());
        self.outcome = self.outcome.join(failure.outcome());
        match self.stop_reason(failure) {
            Some(reason) => self.give_up(reason),
            // The endpoint sees no arrival, so there is nothing to take from the budget.
            None if failure.is_unsent() => Next::Retry(failure.retry()),
            None if withdraw() => Next::Retry(failure.retry()),
            None => self.give_up(reason::Refusal::RetryBudget),
        }
    }

    /// Why no other attempt may follow, whatever the budget holds.
    fn stop_reason(&self, failure: AttemptFailure) -> Option<reason::Refusal> {
        let may_repeat = self.kind.is_idempotent() || self.outcome == outcome::Outcome::NotRun;
        let exhausted = self.reached >= self.max_reached || self.attempts >= MAX_ATTEMPTS;
        (!may_repeat || exhausted).then(|| failure.refusal())
    }

    const fn give_up(&self, reason: reason::Refusal) -> Next {
        Next::GiveUp {
            reason,
            outcome: self.outcome,
        }
    }
}
