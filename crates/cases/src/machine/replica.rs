//! One host's copy of the two lists.
//!
//! A case writes a version as the number of the edit that led to it. Edits change nothing but the
//! version. A host starts in `dom0` of a fleet with equal failure domains, numbered through.

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::lists::{message, replica};
use pistachiochute_core::{entity, lists, time};

/// Largest version of a case.
const MAX_VERSION: u64 = 64;

/// Settings of the machine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The host.
    host: entity::HostId,
    /// Failure domains.
    domains: usize,
    /// Hosts of each failure domain.
    hosts: usize,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The sender has this version in force.
    Announce(u64),
    /// The deltas that lead to these versions, each from the one before.
    Deltas(Vec<u64>),
    /// Asks for what follows this version.
    Fetch(u64),
    /// The lists at this version.
    Snapshot(u64),
    /// A report on the domains, or a request for one.
    Domains,
}

/// What the store answers.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Store {
    /// The lists at this version.
    Lists(u64),
    /// The version that the host has.
    Same,
    /// Nothing.
    Unavailable,
}

/// Event of the machine.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// The host starts.
    Start,
    /// A message arrives.
    Receive {
        /// Sender.
        from: entity::HostId,
        /// The message.
        message: Message,
    },
    /// The store answers a read.
    Store(Store),
    /// The watch shows the delta that leads to this version.
    Recorded(u64),
    /// Time has passed.
    Tick,
}

/// What the host does.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// It sends a message.
    Send {
        /// Receiver.
        to: entity::HostId,
        /// The message.
        message: Message,
    },
    /// It reads the store.
    ReadStore,
    /// It starts to watch the store.
    Watch,
    /// It ends its watch.
    Unwatch,
    /// It puts the lists of this version in force.
    InForce(u64),
    /// It writes its lists to the store.
    Repair {
        /// Version that the store must still have.
        expected: u64,
    },
}

/// State after an event and what the host does.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Outcome {
    /// Version in force.
    version: u64,
    /// Whether the host may serve.
    ready: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    acts: Vec<Act>,
}

/// The machine.
#[derive(Debug)]
pub struct Machine {
    cfg: Config,
    history: History,
    /// The copy, once the host has started.
    replica: Option<replica::Replica>,
}

impl Machine {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            cfg: cfg.clone(),
            history: History::new(),
            replica: None,
        }
    }

    pub(super) fn apply(&mut self, now: time::Time, event: Event) -> Option<Outcome> {
        if matches!(event, Event::Start) {
            let (replica, effects) = replica::Replica::start(now, self.view());
            self.replica = Some(replica);
            return self.outcome(&effects);
        }
        let history = &self.history;
        let replica = self.replica.as_mut()?;
        let effects = match event {
            Event::Start | Event::Tick => replica.tick(now),
            Event::Receive { from, message } => {
                replica.handle_message(now, from, history.message(message))
            }
            Event::Store(store) => replica.handle_store_answer(now, history.answer(store)),
            Event::Recorded(version) => replica.handle_recorded_delta(now, history.delta(version)),
        };
        self.outcome(&effects)
    }

    fn view(&self) -> replica::View {
        let host = |number| entity::HostId::from_index(number);
        let domain = |number| entity::DomainId::from_index(number / self.cfg.hosts.max(1));
        let hosts = 0..self.cfg.domains * self.cfg.hosts;
        let own = domain(self.cfg.host.index());
        replica::View::new(self.cfg.host, own, hosts.map(|n| (host(n), domain(n))))
    }

    fn outcome(&self, effects: &[replica::Effect]) -> Option<Outcome> {
        let replica = self.replica.as_ref()?;
        Some(Outcome {
            version: replica.version().revision.0,
            ready: replica.is_ready(),
            acts: effects.iter().map(act).collect(),
        })
    }
}

/// The edits that a case refers to by their numbers.
#[derive(Debug)]
struct History {
    /// Deltas; the one at `i` leads to version `i + 1`.
    deltas: Vec<lists::Delta>,
}

impl History {
    fn new() -> Self {
        let mut deltas: Vec<lists::Delta> = Vec::new();
        for _ in 0..MAX_VERSION {
            let from = deltas.last().map_or(lists::Version::NONE, |delta| delta.to);
            deltas.push(lists::Delta::after(from, Vec::new()));
        }
        Self { deltas }
    }

    /// The delta that leads to a version. Versions beyond the history count as its last.
    fn delta(&self, version: u64) -> lists::Delta {
        let index = version.clamp(1, MAX_VERSION) as usize - 1;
        self.deltas[index].clone()
    }

    fn version(&self, version: u64) -> lists::Version {
        match version {
            0 => lists::Version::NONE,
            _ => self.delta(version).to,
        }
    }

    fn snapshot(&self, version: u64) -> lists::Snapshot {
        lists::Snapshot {
            version: self.version(version),
            lists: lists::Lists::default(),
        }
    }

    fn message(&self, message: Message) -> message::Message {
        match message {
            Message::Announce(version) => message::Message::Announce(self.version(version)),
            Message::Deltas(versions) => {
                let deltas = versions.into_iter().map(|version| self.delta(version));
                message::Message::Deltas(deltas.collect())
            }
            Message::Fetch(version) => message::Message::Fetch(self.version(version)),
            Message::Snapshot(version) => message::Message::Snapshot(self.snapshot(version)),
            Message::Domains => message::Message::AskDomains,
        }
    }

    fn answer(&self, store: Store) -> replica::StoreAnswer {
        match store {
            Store::Lists(version) => replica::StoreAnswer::Lists(self.snapshot(version)),
            Store::Same => replica::StoreAnswer::Same,
            Store::Unavailable => replica::StoreAnswer::Unavailable,
        }
    }
}

fn act(effect: &replica::Effect) -> Act {
    match effect {
        replica::Effect::Send(to, message) => Act::Send {
            to: *to,
            message: message_of(message),
        },
        replica::Effect::ReadStore => Act::ReadStore,
        replica::Effect::Watch => Act::Watch,
        replica::Effect::Unwatch => Act::Unwatch,
        replica::Effect::InForce(version, _) => Act::InForce(version.revision.0),
        replica::Effect::Repair { expected, .. } => Act::Repair {
            expected: expected.revision.0,
        },
    }
}

fn message_of(message: &message::Message) -> Message {
    let number = |version: &lists::Version| version.revision.0;
    match message {
        message::Message::Announce(version) => Message::Announce(number(version)),
        message::Message::Deltas(deltas) => {
            Message::Deltas(deltas.iter().map(|delta| number(&delta.to)).collect())
        }
        message::Message::Fetch(version) => Message::Fetch(number(version)),
        message::Message::Snapshot(snapshot) => Message::Snapshot(number(&snapshot.version)),
        message::Message::Domains(_) | message::Message::AskDomains => Message::Domains,
    }
}
