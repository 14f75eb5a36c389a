//! The fair queue of one endpoint. Requests are written as texts.

use pistachiochute_core::{name, queue, reason, time, units};

/// Settings of the machine.
pub type Config = queue::Bounds;

/// A request that asks to be queued.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Push {
    /// The request.
    item: String,
    account: name::AccountName,
    #[serde(default = "one")]
    weight: u32,
    #[serde(default)]
    priority: u8,
    cost: units::Tokens,
    deadline_ms: u64,
}

const fn one() -> u32 {
    1
}

/// Event of the machine.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A request asks to be queued.
    Push(Push),
    /// The endpoint can take the next request.
    Pop,
    /// Time has passed.
    Expire,
    /// The tokens that a request used are known.
    Correct {
        /// Account of the request.
        account: name::AccountName,
        /// Weight of the account.
        #[serde(default = "one")]
        weight: u32,
        /// Tokens that were estimated.
        estimated: units::Tokens,
        /// Tokens that were used.
        used: units::Tokens,
    },
    /// The endpoint is leaving: every request is handed back.
    Drain,
}

/// A request that was refused as not run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Refused {
    item: String,
    reason: reason::Refusal,
    retry_after_ms: u64,
}

/// Outcome of an event.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Outcome {
    /// Requests that are queued after the event.
    len: usize,
    /// Request that is served.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<String>,
    /// Requests that are refused.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    refused: Vec<Refused>,
    /// Requests that are handed back.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    handed_back: Vec<String>,
}

/// The machine.
#[derive(Debug)]
pub struct Machine(queue::FairQueue<String>);

impl Machine {
    pub(super) fn new(cfg: &Config) -> Self {
        Self(queue::FairQueue::new(*cfg))
    }

    pub(super) fn apply(&mut self, now: time::Time, event: Event) -> Outcome {
        let mut next = None;
        let mut refused = Vec::new();
        let mut handed_back = Vec::new();
        match event {
            Event::Push(push) => match self.0.push(now, entry(push)) {
                Ok(displaced) => refused.extend(displaced),
                Err(back) => refused.push(back),
            },
            Event::Pop => {
                let popped = self.0.pop(now);
                next = popped.next;
                refused = popped.refused;
            }
            Event::Expire => refused = self.0.expire(now),
            Event::Correct {
                account,
                weight,
                estimated,
                used,
            } => self.0.correct(&account, weight, estimated, used),
            Event::Drain => handed_back = self.0.drain(),
        }
        Outcome {
            len: self.0.len(),
            next: next.map(|entry| entry.item),
            refused: refused.into_iter().map(refusal).collect(),
            handed_back: handed_back.into_iter().map(|entry| entry.item).collect(),
        }
    }
}

fn entry(push: Push) -> queue::Entry<String> {
    queue::Entry {
        account: push.account,
        weight: push.weight,
        priority: push.priority,
        cost: push.cost,
        deadline: time::Time::from_millis(push.deadline_ms),
        item: push.item,
    }
}

fn refusal(refused: queue::Refused<String>) -> Refused {
    Refused {
        item: refused.entry.item,
        reason: refused.reason,
        retry_after_ms: refused.retry_after.as_millis() as u64,
    }
}
