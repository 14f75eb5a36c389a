//! Decides after each failed attempt whether a forwarded request is retried, and when.

use std::time::Duration;

use crate::retry::backoff::{hash_seed, jitter};
use crate::{outcome, reason, request, retry, time};

/// Index that seeds the jitter of the caller's `Retry-After` delay. Retries use indices from 0.
const CALLER_DELAY_INDEX: u32 = u32::MAX;

/// Settings of the retries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u8,
    /// Maximum number of hosts that a request passes through.
    pub max_hops: u8,
    /// Delays between attempts.
    pub backoff: retry::Backoff,
    /// Longest `Retry-After` delay if the refusing side gave none, in milliseconds.
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

/// How another attempt could complete the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing was delivered to the caller yet, so the request can be run from its start.
    Restart,
    /// Part of the answer was delivered and the engine can send the rest of the same answer.
    Resume,
    /// Part of the answer was delivered and no attempt can provide the rest.
    Impossible,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the attempt failed.
    pub reason: reason::Refusal,
    /// Evidence that the attempt gives of whether the request ran.
    pub outcome: outcome::Outcome,
    /// How another attempt could complete the answer.
    pub recovery: Recovery,
    /// Delay that the refusing side asked for.
    pub retry_after: Option<Duration>,
}

/// Final result of a request that is not retried, as its caller gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Reason that the caller gets: the limit that was reached, or else `cause`.
    pub reason: reason::Refusal,
    /// Why the last attempt failed.
    pub cause: reason::Refusal,
    /// Whether the request ran, joined over its attempts.
    pub outcome: outcome::Outcome,
    /// Delay after which the caller may retry, or `None` if a retry cannot help.
    pub retry_after: Option<Duration>,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request again.
    Retry {
        /// Reason under which the retry is counted.
        reason: reason::Retry,
        /// When to send it, which is before the deadline.
        at: time::Time,
    },
    /// Answer the caller now.
    GiveUp(GivenUp),
}

/// Retry state of one request: its attempts, their joined outcome and its deadline.
#[derive(Clone, Debug)]
pub struct RetryState {
    cfg: Config,
    idempotency: request::Idempotency,
    deadline: time::Time,
    seed: u64,
    /// Attempts started.
    attempts: u8,
    /// Delayed retries so far, which is the exponent of the next backoff.
    backoffs: u32,
    /// Join of the evidence of the ended attempts.
    outcome: outcome::Outcome,
}

impl RetryState {
    /// Creates the state of a new request and deposits its refill in the budget of the host.
    ///
    /// `seed` determines the jitter of the delays and should differ between requests.
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
    /// Returns the result for the caller if the deadline has passed.
    pub fn start_attempt(&mut self, now: time::Time) -> Result<u8, GivenUp> {
        if now >= self.deadline {
            return Err(self.given_up(reason::Refusal::Deadline, reason::Refusal::Deadline, None));
        }
        let attempt = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        Ok(attempt)
    }

    /// Time until the deadline, which is sent along with the request.
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

    /// Records a failed attempt and decides whether the request is retried.
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

    /// Reason and time of the retry, or the reason that the caller gets if there is none.
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

    /// Reason for a retry, or `None` if a retry cannot help or could run the request twice.
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

    /// Delay before the next attempt. Zero after a refusal that redirects the sender to another
    /// owner or endpoint, and before the first resumption.
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

    /// `Retry-After` delay for the caller if the refusing side gave none.
    fn caller_delay(&self, reason: reason::Refusal) -> Option<Duration> {
        let may_help = matches!(reason.status(), 429 | 502 | 503 | 504);
        let longest = Duration::from_millis(self.cfg.caller_delay_ms);
        may_help.then(|| jitter(longest, hash_seed(self.seed, CALLER_DELAY_INDEX)))
    }
}

/// Number of hosts that a forwarded request has passed through after its next hop.
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
