//! What follows when an attempt at an endpoint ends without an answer for the caller.

use crate::{catalog, outcome, reason};

/// Most tries of one request, those included whose connection was never made.
pub const MAX_TRIES: u32 = 6;

/// How an attempt ended without an answer that the caller can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// This host has as many connections to the endpoint as it may.
    AtLimit,
    /// No byte of the request reached an endpoint.
    NotSent,
    /// The endpoint proved that it did not run the request.
    Refused,
    /// Another endpoint stands at the address; it did not run the request.
    Elsewhere,
    /// The endpoint ran the request and failed.
    Failed,
    /// The answer is damaged, or belongs to another request.
    Damaged,
    /// The connection was lost before the answer was whole.
    Lost,
    /// The endpoint has been silent for longer than it may.
    Stalled,
}

impl Ending {
    /// What the ending tells of whether the request ran.
    #[must_use]
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::AtLimit | Self::NotSent | Self::Refused | Self::Elsewhere => {
                outcome::Outcome::NotRun
            }
            Self::Damaged | Self::Lost | Self::Stalled => outcome::Outcome::Unknown,
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
            Self::Elsewhere => reason::Refusal::EndpointLeaving,
            Self::Failed => reason::Refusal::EndpointFailed,
            Self::Damaged => reason::Refusal::AnswerIncomplete,
            Self::Lost => reason::Refusal::ConnectionLost,
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
            Self::Elsewhere => reason::Retry::EndpointLeaving,
            Self::Failed => reason::Retry::EndpointFailed,
            Self::Damaged | Self::Lost => reason::Retry::ConnectionLost,
            Self::Stalled => reason::Retry::Stalled,
        }
    }

    /// Name of the ending in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AtLimit => "at_limit",
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Elsewhere => "elsewhere",
            Self::Failed => "failed",
            Self::Damaged => "damaged",
            Self::Lost => "lost",
            Self::Stalled => "stalled",
        }
    }

    /// Whether no byte of the request was sent.
    const fn is_unsent(self) -> bool {
        matches!(self, Self::AtLimit | Self::NotSent)
    }

    /// Whether the request arrived at the endpoint that it was meant for.
    const fn arrived(self) -> bool {
        !self.is_unsent() && !matches!(self, Self::Elsewhere)
    }
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another endpoint.
    Again(reason::Retry),
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
    max_arrivals: u32,
    arrivals: u32,
    tries: u32,
    outcome: outcome::Outcome,
}

impl Attempts {
    /// Makes a request without attempts.
    #[must_use]
    pub const fn new(kind: catalog::Kind, max_arrivals: u32) -> Self {
        Self {
            kind,
            max_arrivals,
            arrivals: 0,
            tries: 0,
            outcome: outcome::Outcome::NotRun,
        }
    }

    /// Tries so far.
    #[must_use]
    pub const fn tries(&self) -> u32 {
        self.tries
    }

    /// Whether the request ran, joined over the attempts that have ended.
    #[must_use]
    pub const fn outcome(&self) -> outcome::Outcome {
        self.outcome
    }

    /// Takes in how an attempt ended and decides what follows. `withdraw` takes one repeat from
    /// the budget and is called only if all else allows another attempt.
    pub fn ended<F>(&mut self, ending: Ending, withdraw: F) -> Next
    where
        F: FnOnce() -> bool,
    {
        self.tries += 1;
        self.arrivals += u32::from(ending.arrived());
        self.outcome = self.outcome.join(ending.outcome());
        match self.forbidden(ending) {
            Some(reason) => self.give_up(reason),
            // The endpoint sees no arrival, so there is nothing to take from the budget.
            None if ending.is_unsent() => Next::Again(ending.retry()),
            None if withdraw() => Next::Again(ending.retry()),
            None => self.give_up(reason::Refusal::RetryBudget),
        }
    }

    /// Why no other attempt may follow, whatever the budget holds.
    fn forbidden(&self, ending: Ending) -> Option<reason::Refusal> {
        let may_repeat = self.kind.is_idempotent() || self.outcome == outcome::Outcome::NotRun;
        let exhausted = self.arrivals >= self.max_arrivals || self.tries >= MAX_TRIES;
        (!may_repeat || exhausted).then(|| ending.refusal())
    }

    const fn give_up(&self, reason: reason::Refusal) -> Next {
        Next::GiveUp {
            reason,
            outcome: self.outcome,
        }
    }
}
