//! State machines that a case can drive.
//!
//! Each module holds the settings, events and outcomes of one machine in the form in which a case
//! writes them, and applies an event to the machine.

pub mod answer;
pub mod candidates;
pub mod journal;
pub mod link;
pub mod queue;
pub mod replica;
pub mod retry;

use pistachiochute_core::time;
use serde_json::Value;

/// A machine and its settings, as the header of a case names them.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Config {
    /// Assembly of one answer.
    Answer(answer::Config),
    /// Candidates of chats and owners of endpoints.
    Candidates(candidates::Config),
    /// Journals of several hosts.
    Journal(journal::Config),
    /// Liveness of a link between hosts.
    Link(link::Config),
    /// Fair queue of one endpoint.
    Queue(queue::Config),
    /// Copy of the lists on one host.
    Replica(replica::Config),
    /// Attempts of requests on one host.
    Retry(retry::Config),
}

/// A machine that is driven by a case.
#[derive(Debug)]
pub enum Machine {
    /// Assembly of one answer.
    Answer(answer::Machine),
    /// Candidates of chats and owners of endpoints.
    Candidates(Box<candidates::Machine>),
    /// Journals of several hosts.
    Journal(journal::Machine),
    /// Liveness of a link between hosts.
    Link(link::Machine),
    /// Fair queue of one endpoint.
    Queue(queue::Machine),
    /// Copy of the lists on one host.
    Replica(Box<replica::Machine>),
    /// Attempts of requests on one host.
    Retry(retry::Machine),
}

impl Machine {
    /// Makes the machine in its first state.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        match cfg {
            Config::Answer(cfg) => Self::Answer(answer::Machine::new(&cfg)),
            Config::Candidates(cfg) => Self::Candidates(Box::new(candidates::Machine::new(&cfg))),
            Config::Journal(cfg) => Self::Journal(journal::Machine::new(&cfg)),
            Config::Link(cfg) => Self::Link(link::Machine::new(&cfg)),
            Config::Queue(cfg) => Self::Queue(queue::Machine::new(&cfg)),
            Config::Replica(cfg) => Self::Replica(Box::new(replica::Machine::new(&cfg))),
            Config::Retry(cfg) => Self::Retry(retry::Machine::new(&cfg)),
        }
    }

    /// Applies an event and returns its outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if `event` is not an event of the machine.
    pub fn apply(&mut self, now: time::Time, event: &Value) -> Result<Value, serde_json::Error> {
        match self {
            Self::Answer(machine) => drive(event, |event| machine.apply(event)),
            Self::Candidates(machine) => drive(event, |event| machine.apply(event)),
            Self::Journal(machine) => drive(event, |event| machine.apply(now, event)),
            Self::Link(machine) => drive(event, |event| machine.apply(now, event)),
            Self::Queue(machine) => drive(event, |event| machine.apply(now, event)),
            Self::Replica(machine) => drive(event, |event| machine.apply(now, event)),
            Self::Retry(machine) => drive(event, |event| machine.apply(now, event)),
        }
    }
}

fn drive<E, O, F>(event: &Value, apply: F) -> Result<Value, serde_json::Error>
where
    E: serde::de::DeserializeOwned,
    O: serde::Serialize,
    F: FnOnce(E) -> O,
{
    let event = E::deserialize(event)?;
    serde_json::to_value(apply(event))
}

/// Whole milliseconds of a time, rounded down.
fn millis(at: time::Time) -> u64 {
    at.as_micros() / 1_000
}
