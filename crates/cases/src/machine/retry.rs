//! The attempts of requests on one host, which share its retry budget.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::{outcome, reason, request, retry, time};

/// Settings of the machine.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    request: retry::Config,
    budget: retry::BudgetConfig,
}

/// What another attempt can do.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recovery {
    /// The request can be run from its start.
    #[default]
    Repeat,
    /// The engine can send the rest of the same answer.
    Resume,
    /// The rest of the answer cannot be had.
    Impossible,
}

/// Event of the machine. Requests are named by texts.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A request arrives.
    Begin {
        /// Name of the request.
        request: String,
        /// Whether it may be sent again after it may have run.
        repeat: request::Idempotency,
        /// Deadline of the request, in milliseconds.
        deadline_ms: u64,
    },
    /// An attempt is made.
    Attempt {
        /// Name of the request.
        request: String,
    },
    /// An attempt failed.
    Failed {
        /// Name of the request.
        request: String,
        /// Why it failed.
        reason: reason::Refusal,
        /// Evidence of the attempt.
        outcome: outcome::Outcome,
        /// What another attempt can do.
        #[serde(default)]
        recovery: Recovery,
        /// Delay that the refusing side asks for, in milliseconds.
        #[serde(default)]
        retry_after_ms: Option<u64>,
    },
}

/// Outcome of an event.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The attempt has this number.
    Attempt(u8),
    /// The request is sent again.
    Retry {
        /// Why.
        reason: reason::Retry,
        /// When, in milliseconds.
        at_ms: u64,
    },
    /// The caller is answered now.
    GiveUp {
        /// Reason that the caller gets.
        reason: reason::Refusal,
        /// What the caller is told about whether the request ran.
        outcome: outcome::Outcome,
        /// Whether the caller is told when to come back.
        come_back: bool,
    },
    /// No request of this name has begun.
    UnknownRequest,
}

/// The machine.
#[derive(Debug)]
pub struct Machine {
    cfg: retry::Config,
    budget: retry::Budget,
    requests: BTreeMap<String, retry::RetryState>,
}

impl Machine {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            cfg: cfg.request,
            budget: retry::Budget::new(cfg.budget),
            requests: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, now: time::Time, event: Event) -> Option<Outcome> {
        match event {
            Event::Begin {
                request,
                repeat,
                deadline_ms,
            } => {
                self.begin(request, repeat, time::Time::from_millis(deadline_ms));
                None
            }
            Event::Attempt { request } => Some(self.attempt(now, &request)),
            Event::Failed {
                request,
                reason,
                outcome,
                recovery,
                retry_after_ms,
            } => {
                let failure = retry::Failure {
                    reason,
                    outcome,
                    recovery: recovery.into(),
                    retry_after: retry_after_ms.map(Duration::from_millis),
                };
                Some(self.failed(now, &request, failure))
            }
        }
    }

    fn begin(&mut self, request: String, repeat: request::Idempotency, deadline: time::Time) {
        let seed = self.requests.len() as u64;
        let state = retry::RetryState::new(self.cfg, repeat, deadline, seed, &mut self.budget);
        self.requests.insert(request, state);
    }

    fn attempt(&mut self, now: time::Time, request: &str) -> Outcome {
        let Some(state) = self.requests.get_mut(request) else {
            return Outcome::UnknownRequest;
        };
        match state.start_attempt(now) {
            Ok(attempt) => Outcome::Attempt(attempt),
            Err(given_up) => give_up(&given_up),
        }
    }

    fn failed(&mut self, now: time::Time, request: &str, failure: retry::Failure) -> Outcome {
        let Some(state) = self.requests.get_mut(request) else {
            return Outcome::UnknownRequest;
        };
        match state.record_failure(now, failure, &mut self.budget) {
            retry::Decision::Retry { reason, at } => Outcome::Retry {
                reason,
                at_ms: super::millis(at),
            },
            retry::Decision::GiveUp(given_up) => give_up(&given_up),
        }
    }
}

fn give_up(given_up: &retry::GivenUp) -> Outcome {
    Outcome::GiveUp {
        reason: given_up.reason,
        outcome: given_up.outcome,
        come_back: given_up.retry_after.is_some(),
    }
}

impl From<Recovery> for retry::Recovery {
    fn from(recovery: Recovery) -> Self {
        match recovery {
            Recovery::Repeat => Self::Restart,
            Recovery::Resume => Self::Resume,
            Recovery::Impossible => Self::Impossible,
        }
    }
}

impl From<retry::Recovery> for Recovery {
    fn from(recovery: retry::Recovery) -> Self {
        match recovery {
            retry::Recovery::Restart => Self::Repeat,
            retry::Recovery::Resume => Self::Resume,
            retry::Recovery::Impossible => Self::Impossible,
        }
    }
}
