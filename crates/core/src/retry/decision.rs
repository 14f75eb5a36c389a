//! The decision after a failed attempt.

use std::time::Duration;

use crate::retry::backoff::{hash_seed, jitter};
use crate::{outcome, reason, request, retry, time};

/// Number of the delay before the caller may come back, apart from those of the retries.
const CALLER_DELAY_INDEX: u32 = u32::MAX;

/// Settings of the retries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Most attempts of one request, the first included.
    pub max_attempts: u8,
    /// Most hosts that a request passes through.
    pub max_hops: u8,
    /// Delays between attempts.
    pub backoff: retry::Backoff,
    /// Longest delay that a caller is asked to wait where the refusal names none, in
    /// milliseconds.
    pub caller_delay_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_attempts: 6,
            max_hops: 4,
            backoff: retry::Backoff::default(),
            caller_delay_ms: 2_000,
        }
    }
}

/// What another attempt can do for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing was delivered yet: the request can be run from its start.
    Restart,
    /// Part of the answer was delivered and the engine can send the rest of the same answer.
    Resume,
    /// Part of the answer was delivered and the rest of it cannot be had.
    Impossible,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the attempt failed.
    pub reason: reason::Refusal,
    /// Evidence of the attempt.
    pub outcome: outcome::Outcome,
    /// What another attempt can do.
    pub recovery: Recovery,
    /// Delay that the refusing side asks for.
    pub retry_after: Option<Duration>,
}

/// A request that is not sent again, and what its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Reason that the caller gets: the limit that was met, or else `cause`.
    pub reason: reason::Refusal,
    /// Why the last attempt failed.
    pub cause: reason::Refusal,
    /// Whether the request ran, joined over its attempts.
    pub outcome: outcome::Outcome,
    /// Delay after which the caller may come back, or `None` if coming back cannot help.
    pub retry_after: Option<Duration>,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request again.
    Retry {
        /// Why, for the counters.
        reason: reason::Retry,
        /// When. Not after the deadline.
        at: time::Time,
    },
    /// Answer the caller now.
    GiveUp(GivenUp),
}

/// Attempts of one request.
#[derive(Clone, Debug)]
pub struct RetryState {
    cfg: Config,
    idempotency: request::Idempotency,
    deadline: time::Time,
    seed: u64,
    /// Attempts started.
    attempts: u8,
    /// Retries that were delayed, which is the exponent of the backoff.
    backoffs: u32,
    /// Join of the evidence of the ended attempts.
    outcome: outcome::Outcome,
}

impl RetryState {
    /// Makes a request without attempts and adds its share to the budget of the host.
    ///
    /// The seed spreads the delays; it should differ from request to request.
    #[must_use]
    pub fn new(
        cfg: Config,
        idempotency: request::Idempotency,
        deadline: time::Time,
        seed: u64,
        budget: &mut retry::Budget,
    ) -> Self {
        budget.deposit();
        Self {
            cfg,
            idempotency,
            deadline,
            seed,
            attempts: 0,
            backoffs: 0,
            outcome: outcome::Outcome::NotRun,
        }
    }

    /// Starts an attempt and returns its number, from 0.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the deadline has passed.
    pub fn start_attempt(&mut self, now: time::Time) -> Result<u8, GivenUp> {
        if now >= self.deadline {
            return Err(self.given_up(reason::Refusal::Deadline, reason::Refusal::Deadline, None));
        }
        let attempt = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        Ok(attempt)
    }

    /// Time left until the deadline, which is passed along with the request.
    #[must_use]
    pub const fn remaining(&self, now: time::Time) -> Duration {
        self.deadline.since(now)
    }

    /// Attempts started.
    #[must_use]
    pub const fn attempts(&self) -> u8 {
        self.attempts
    }

    /// Whether the request ran, joined over the attempts that have ended.
    #[must_use]
    pub const fn outcome(&self) -> outcome::Outcome {
        self.outcome
    }

    /// Records that an attempt failed and decides what follows.
    pub fn record_failure(
        &mut self,
        now: time::Time,
        failure: Failure,
        budget: &mut retry::Budget,
    ) -> Decision {
        self.outcome = self.outcome.join(failure.outcome);
        match self.plan_retry(now, &failure, budget) {
            Ok((reason, at)) => Decision::Retry { reason, at },
            Err(stop) => Decision::GiveUp(self.given_up(stop, failure.reason, failure.retry_after)),
        }
    }

    /// Why and when the request is sent again, or the reason that the caller gets.
    fn plan_retry(
        &mut self,
        now: time::Time,
        failure: &Failure,
        budget: &mut retry::Budget,
    ) -> Result<(reason::Retry, time::Time), reason::Refusal> {
        let cause = failure.reason;
        let reason = self.retry_reason(failure).ok_or(cause)?;
        if self.attempts >= self.cfg.max_attempts {
            return Err(cause);
        }
        let at = now + self.delay(reason, failure.retry_after);
        if at >= self.deadline {
            return Err(reason::Refusal::Deadline);
        }
        if !budget.withdraw(retry::Charge::of(reason)) {
            return Err(reason::Refusal::RetryBudget);
        }
        Ok((reason, at))
    }

    /// The reason for another attempt if one does no harm.
    fn retry_reason(&self, failure: &Failure) -> Option<reason::Retry> {
        let reason = reason::Retry::of(failure.reason);
        match failure.recovery {
            Recovery::Resume => Some(reason::Retry::Resume),
            Recovery::Impossible => None,
            Recovery::Restart => match self.idempotency {
                request::Idempotency::Idempotent => reason,
                request::Idempotency::AtMostOnce if self.outcome == outcome::Outcome::NotRun => {
                    reason
                }
                request::Idempotency::AtMostOnce => None,
            },
        }
    }

    /// Delay before the next attempt. A refusal that tells the sender to look elsewhere and the
    /// first resumption are followed at once.
    fn delay(&mut self, reason: reason::Retry, asked: Option<Duration>) -> Duration {
        let resumes = reason == reason::Retry::Resume;
        if !resumes && retry::Charge::of(reason) == retry::Charge::Free {
            return Duration::ZERO;
        }
        let n = self.backoffs;
        self.backoffs += 1;
        match (resumes, n) {
            (true, 0) => Duration::ZERO,
            _ => asked
                .unwrap_or_default()
                .max(self.cfg.backoff.delay(n, self.seed)),
        }
    }

    fn given_up(
        &self,
        reason: reason::Refusal,
        cause: reason::Refusal,
        asked: Option<Duration>,
    ) -> GivenUp {
        GivenUp {
            reason,
            cause,
            outcome: self.outcome,
            retry_after: asked.or_else(|| self.caller_delay(reason)),
        }
    }

    /// Delay for the caller where the refusing side named none.
    fn caller_delay(&self, reason: reason::Refusal) -> Option<Duration> {
        let may_help = matches!(reason.status(), 429 | 502 | 503 | 504);
        let longest = Duration::from_millis(self.cfg.caller_delay_ms);
        may_help.then(|| jitter(longest, hash_seed(self.seed, CALLER_DELAY_INDEX)))
    }
}

/// Counts one more host that a forwarded request passes through.
///
/// # Errors
///
/// Returns [`reason::Refusal::HopLimit`] if the request may not pass through another host.
pub const fn next_hop(cfg: &Config, hops: u8) -> Result<u8, reason::Refusal> {
    if hops >= cfg.max_hops {
        return Err(reason::Refusal::HopLimit);
    }
    Ok(hops + 1)
}
