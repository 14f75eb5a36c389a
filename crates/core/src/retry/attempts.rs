//! Retry limits of one request whose attempts fail.
//!
//! Decides after each failed attempt whether the request goes to another endpoint or the caller is
//! answered. Used by hosts that call endpoints directly; [`super::RetryState`] is the counterpart
//! for requests that are forwarded between hosts.

use crate::retry::Sends;
use crate::{catalog, outcome, reason};

/// Maximum number of attempts of one request, including those whose connection was never made.
pub const MAX_ATTEMPTS: u32 = 6;

/// Why an attempt produced no answer that can be passed to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// This host has reached its limit of connections to the endpoint.
    AtLimit,
    /// The endpoint leaves, or has left, before a byte of the request was sent.
    Leaving,
    /// The endpoint asked this host for a pause before a byte of the request was sent.
    PushedBack,
    /// The permit for the endpoint ran out before a byte of the request was sent.
    PermitExpired,
    /// No byte of the request was sent to an endpoint.
    NotSent,
    /// The deadline passed before a byte of the request was sent.
    Expired,
    /// Nothing showed that the endpoint has the software version of the stream that the request resumes.
    /// No byte of it was sent.
    Unproven,
    /// The endpoint proved that it did not run the request.
    Refused,
    /// Another endpoint now has the address; it did not run the request.
    EndpointReplaced,
    /// The endpoint ran the request and failed.
    Failed,
    /// The endpoint answered with a status by which callers know that a request has not run, and did not
    /// say that it has not run this one.
    FalsePromise,
    /// The answer is corrupt, or belongs to another request.
    InvalidAnswer,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// The endpoint sent nothing for longer than the stall timeout.
    Stalled,
}

impl AttemptFailure {
    /// Evidence that the failure gives of whether the request ran.
    #[must_use]
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::AtLimit
            | Self::Leaving
            | Self::PushedBack
            | Self::PermitExpired
            | Self::NotSent
            | Self::Expired
            | Self::Unproven
            | Self::Refused
            | Self::EndpointReplaced => outcome::Outcome::NotRun,
            Self::FalsePromise | Self::InvalidAnswer | Self::ConnectionLost | Self::Stalled => {
                outcome::Outcome::Unknown
            }
            Self::Failed => outcome::Outcome::Run,
        }
    }

    /// Reason that the caller gets if the request is not retried.
    #[must_use]
    pub const fn refusal(self) -> reason::Refusal {
        match self {
            Self::AtLimit => reason::Refusal::AtBound,
            Self::NotSent => reason::Refusal::ConnectFailed,
            Self::Expired => reason::Refusal::Deadline,
            Self::Unproven => reason::Refusal::StreamVersionUnknown,
            Self::Refused => reason::Refusal::EndpointRefused,
            Self::Leaving | Self::EndpointReplaced => reason::Refusal::EndpointLeaving,
            Self::PushedBack => reason::Refusal::EndpointPushback,
            Self::PermitExpired => reason::Refusal::EndpointLimits,
            Self::Failed | Self::FalsePromise => reason::Refusal::EndpointFailed,
            Self::InvalidAnswer => reason::Refusal::AnswerIncomplete,
            Self::ConnectionLost => reason::Refusal::ConnectionLost,
            Self::Stalled => reason::Refusal::Stalled,
        }
    }

    /// Reason under which a retry after this failure is counted.
    #[must_use]
    pub const fn retry(self) -> reason::Retry {
        match self {
            Self::AtLimit | Self::PermitExpired => reason::Retry::AtBound,
            Self::NotSent | Self::Expired => reason::Retry::ConnectFailed,
            Self::Unproven => reason::Retry::VersionUnproven,
            Self::Refused => reason::Retry::EndpointRefused,
            Self::Leaving | Self::EndpointReplaced => reason::Retry::EndpointLeaving,
            Self::PushedBack => reason::Retry::EndpointPushback,
            Self::Failed | Self::FalsePromise => reason::Retry::EndpointFailed,
            Self::InvalidAnswer | Self::ConnectionLost => reason::Retry::ConnectionLost,
            Self::Stalled => reason::Retry::Stalled,
        }
    }

    /// Name of the failure in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AtLimit => "at_limit",
            Self::Leaving => "leaving",
            Self::PushedBack => "pushed_back",
            Self::PermitExpired => "permit_expired",
            Self::NotSent => "not_sent",
            Self::Expired => "expired",
            Self::Unproven => "unproven",
            Self::Refused => "refused",
            Self::EndpointReplaced => "elsewhere",
            Self::Failed => "failed",
            Self::FalsePromise => "false_promise",
            Self::InvalidAnswer => "damaged",
            Self::ConnectionLost => "lost",
            Self::Stalled => "stalled",
        }
    }

    /// Whether no byte of the request was sent.
    const fn is_unsent(self) -> bool {
        matches!(
            self,
            Self::AtLimit
                | Self::Leaving
                | Self::PushedBack
                | Self::PermitExpired
                | Self::NotSent
                | Self::Expired
                | Self::Unproven
        )
    }

    /// Whether the request may have reached the intended endpoint.
    const fn reached_endpoint(self) -> bool {
        !self.is_unsent() && !matches!(self, Self::EndpointReplaced)
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another endpoint.
    Retry(reason::Retry),
    /// Answer the caller now.
    GiveUp {
        /// Why the request is not retried.
        reason: reason::Refusal,
        /// Whether the request ran, joined over its attempts.
        outcome: outcome::Outcome,
    },
}

/// Counts the attempts of one request and settles what was sent in each.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: catalog::RequestKind,
    /// Maximum number of attempts that may reach an endpoint.
    max_reached: u32,
    /// Attempts that may have reached their endpoint.
    reached: u32,
    /// All attempts, including those whose connection was never made.
    attempts: u32,
    sends: Sends,
}

impl Attempts {
    /// Creates the state of a request of which at most `max_reached` attempts may reach an
    /// endpoint.
    #[must_use]
    pub fn new(kind: catalog::RequestKind, max_reached: u32) -> Self {
        Self::of(Sends::new(), kind, max_reached)
    }

    /// Creates the state of a request whose sends others record as well.
    #[must_use]
    pub const fn of(sends: Sends, kind: catalog::RequestKind, max_reached: u32) -> Self {
        Self {
            kind,
            max_reached,
            reached: 0,
            attempts: 0,
            sends,
        }
    }

    /// Number of attempts so far, including those whose connection was never made.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.attempts
    }

    /// Number of attempts that may still reach an endpoint.
    #[must_use]
    pub const fn left(&self) -> u32 {
        self.max_reached.saturating_sub(self.reached)
    }

    /// What was sent of the request.
    #[must_use]
    pub const fn sends(&self) -> &Sends {
        &self.sends
    }

    /// Whether the request ran, joined over all that was sent of it.
    #[must_use]
    pub fn outcome(&self) -> outcome::Outcome {
        self.sends.outcome()
    }

    /// Records a failed attempt and decides whether the request is retried.
    ///
    /// `withdraw` takes one retry from the retry budget and returns whether the budget held one. It
    /// is called only if bytes of the request were sent and every other condition allows a retry.
    pub fn record_failure<F>(&mut self, failure: AttemptFailure, withdraw: F) -> Next
    where
        F: FnOnce() -> bool,
    {
        self.record(failure);
        match self.stop_reason(failure) {
            Some(reason) => self.give_up(reason),
            // The endpoint received nothing, so the retry adds no load and is not charged to the
            // budget.
            None if failure.is_unsent() => Next::Retry(failure.retry()),
            None if withdraw() => Next::Retry(failure.retry()),
            None => self.give_up(reason::Refusal::RetryBudget),
        }
    }

    /// Records a failed attempt after which the request must not be sent again, for `reason`.
    pub fn give_up_after(&mut self, failure: AttemptFailure, reason: reason::Refusal) -> Next {
        self.record(failure);
        self.give_up(reason)
    }

    fn record(&mut self, failure: AttemptFailure) {
        self.attempts += 1;
        self.reached += u32::from(failure.reached_endpoint());
        self.sends.settle(failure.outcome());
    }

    /// Reason that rules out a retry regardless of the budget, if there is one.
    fn stop_reason(&self, failure: AttemptFailure) -> Option<reason::Refusal> {
        let may_repeat = self.kind.is_idempotent() || self.outcome() == outcome::Outcome::NotRun;
        let exhausted = self.reached >= self.max_reached || self.attempts >= MAX_ATTEMPTS;
        (!may_repeat || exhausted).then(|| failure.refusal())
    }

    fn give_up(&self, reason: reason::Refusal) -> Next {
        Next::GiveUp {
            reason,
            outcome: self.outcome(),
        }
    }
}
