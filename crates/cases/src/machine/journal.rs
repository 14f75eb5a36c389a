//! The journals of several hosts with the shards that they share in the key-value service.
//!
//! Each call of a host to the service waits until the case says what becomes of it. The wall clock
//! of every host shows [`EPOCH`] at the start of the case.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pistachiochute_core::{journal, name, outcome, reason, time};

/// Wall-clock time at the start of a case. Keys that begin with `018f3c5e-7b3a` carry it.
pub const EPOCH: journal::UnixMillis = journal::UnixMillis(0x018f_3c5e_7b3a);

/// Time for which an attempt may be dispatched, in milliseconds.
const UNTIL_MS: u64 = 60_000;

/// Path of every action of a case.
const PATH: &[u8] = b"/run";

/// Settings of the machine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Number of hosts.
    hosts: usize,
    /// Settings of the journal.
    #[serde(default)]
    journal: journal::Config,
}

/// What becomes of a call to the service.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is not carried out, and the host knows.
    NotSent,
    /// It is carried out and its answer is lost.
    AnswerLost,
    /// Its answer is lost and it is carried out when the case says so.
    Late,
}

/// How a dispatched attempt ended.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It was proved not to have run.
    NotRun,
    /// Its fate is not known.
    Unknown,
    /// It ran and was answered with this text.
    Run(String),
}

/// Event of the machine. Hosts are numbered from 0 and attempts have names of up to 16 bytes.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller asks for an action.
    Begin {
        /// Host that the caller reached.
        host: usize,
        /// Name of the attempt.
        attempt: String,
        /// Account of the caller.
        account: name::AccountName,
        /// Idempotency key.
        key: uuid::Uuid,
        /// Body of the request.
        body: String,
    },
    /// The oldest call of a host to the service ends.
    Call {
        /// The host.
        host: usize,
        /// What becomes of the call.
        fate: Fate,
    },
    /// A late call of a host is carried out.
    CarriedOut {
        /// The host.
        host: usize,
    },
    /// A dispatched attempt ended.
    Finished {
        /// Host that dispatched it.
        host: usize,
        /// Name of the attempt.
        attempt: String,
        /// How it ended.
        end: End,
    },
    /// The caller of an attempt went away.
    Cancel {
        /// Host of the attempt.
        host: usize,
        /// Name of the attempt.
        attempt: String,
    },
    /// Time has passed on a host.
    Tick {
        /// The host.
        host: usize,
    },
}

/// What a host does.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It reads a shard.
    Read,
    /// It asks to change a shard.
    Swap,
    /// It dispatches the attempt.
    Dispatch(String),
    /// It tells the caller of the attempt what an earlier one gave.
    Recorded {
        /// Name of the attempt.
        attempt: String,
        /// The answer.
        text: String,
    },
    /// It refuses the attempt.
    Refused {
        /// Name of the attempt.
        attempt: String,
        /// Why.
        reason: reason::Refusal,
        /// Whether the action ran.
        outcome: outcome::Outcome,
    },
    /// The event names a host, call or key that the case does not have.
    NoSuch,
}

/// A host with its calls to the service.
#[derive(Debug)]
struct Host {
    journal: journal::Journal,
    /// Calls that have not ended.
    calls: VecDeque<journal::Effect>,
    /// Calls that the host has given up and that may still be carried out.
    late: VecDeque<journal::Effect>,
}

/// The machine.
#[derive(Debug)]
pub struct Machine {
    hosts: Vec<Host>,
    shards: BTreeMap<journal::ShardId, journal::StoredShard>,
    /// Revision of the last change of any shard.
    revision: u64,
}

impl Machine {
    pub(super) fn new(cfg: &Config) -> Self {
        let host = |_| Host {
            journal: journal::Journal::new(cfg.journal),
            calls: VecDeque::new(),
            late: VecDeque::new(),
        };
        Self {
            hosts: (0..cfg.hosts).map(host).collect(),
            shards: BTreeMap::new(),
            revision: 0,
        }
    }

    pub(super) fn apply(&mut self, now: time::Time, event: Event) -> Option<Vec<Outcome>> {
        let Some((host, event)) = self.event(now, event) else {
            return Some(vec![Outcome::NoSuch]);
        };
        let effects = self.hosts[host].journal.handle(event?, now, clock(now));
        let outcomes: Vec<_> = effects.iter().map(outcome_of).collect();
        let calls = effects.into_iter().filter(is_call);
        self.hosts[host].calls.extend(calls);
        Some(outcomes).filter(|outcomes| !outcomes.is_empty())
    }

    /// The host and the event that its journal gets. `None` if the case does not have them.
    fn event(&mut self, now: time::Time, event: Event) -> Option<(usize, Option<journal::Event>)> {
        match event {
            Event::Begin {
                host,
                attempt,
                account,
                key,
                body,
            } => {
                let begin = journal::NewAttempt {
                    attempt: attempt_id(&attempt),
                    key: journal::ActionKey::new(&account, key).ok()?,
                    fingerprint: journal::Fingerprint::of(PATH, body.as_bytes()),
                    not_after: clock(now).plus(UNTIL_MS),
                };
                self.hosts.get(host)?;
                Some((host, Some(journal::Event::Begin(begin))))
            }
            Event::Call { host, fate } => {
                let call = self.hosts.get_mut(host)?.calls.pop_front()?;
                Some((host, Some(self.end(host, call, fate))))
            }
            Event::CarriedOut { host } => {
                let call = self.hosts.get_mut(host)?.late.pop_front()?;
                self.carry_out(call);
                Some((host, None))
            }
            Event::Finished { host, attempt, end } => {
                self.hosts.get(host)?;
                let attempt = attempt_id(&attempt);
                let result = end.into();
                Some((host, Some(journal::Event::Finished { attempt, result })))
            }
            Event::Cancel { host, attempt } => {
                self.hosts.get(host)?;
                Some((host, Some(journal::Event::Cancel(attempt_id(&attempt)))))
            }
            Event::Tick { host } => {
                self.hosts.get(host)?;
                Some((host, Some(journal::Event::Tick)))
            }
        }
    }

    /// Ends a call and returns what its host learns.
    fn end(&mut self, host: usize, call: journal::Effect, fate: Fate) -> journal::Event {
        let (id, swap) = match &call {
            journal::Effect::Swap { call, .. } => (*call, true),
            journal::Effect::Read { call, .. } => (*call, false),
            _ => unreachable!("only calls are kept"),
        };
        match (fate, swap) {
            (Fate::Answered, _) => self.carry_out(call),
            (Fate::NotSent, true) => journal::Event::SwapFailed(id),
            (Fate::AnswerLost, true) => {
                self.carry_out(call);
                journal::Event::SwapUnknown(id)
            }
            (Fate::Late, true) => {
                self.hosts[host].late.push_back(call);
                journal::Event::SwapUnknown(id)
            }
            (_, false) => journal::Event::ReadFailed(id),
        }
    }

    fn carry_out(&mut self, call: journal::Effect) -> journal::Event {
        match call {
            journal::Effect::Read { call, shard } => {
                let stored = self.shards.get(&shard).cloned().unwrap_or_default();
                journal::Event::Loaded { call, stored }
            }
            journal::Effect::Swap {
                call,
                shard,
                expected,
                content,
            } => self.swap(call, shard, expected, content),
            _ => unreachable!("only calls are kept"),
        }
    }

    fn swap(
        &mut self,
        call: journal::CallId,
        shard: journal::ShardId,
        expected: journal::ModRevision,
        content: journal::Shard,
    ) -> journal::Event {
        let stored = self.shards.entry(shard).or_default();
        if stored.revision != expected {
            let stored = stored.clone();
            return journal::Event::Conflict { call, stored };
        }
        self.revision += 1;
        let revision = journal::ModRevision(self.revision);
        *stored = journal::StoredShard {
            revision,
            shard: content,
        };
        journal::Event::Swapped { call, revision }
    }
}

impl From<End> for journal::AttemptResult {
    fn from(end: End) -> Self {
        match end {
            End::NotRun => Self::NotRun,
            End::Unknown => Self::Unknown,
            End::Run(text) => {
                let recorded = journal::RecordedAnswer::new(200, &Bytes::new(), &Bytes::from(text));
                Self::Run(recorded)
            }
        }
    }
}

fn clock(now: time::Time) -> journal::UnixMillis {
    EPOCH.plus(super::millis(now))
}

/// Id that holds the name of an attempt, cut to its length.
fn attempt_id(name: &str) -> journal::AttemptId {
    let mut id = [0; 16];
    let len = name.len().min(id.len());
    id[..len].copy_from_slice(&name.as_bytes()[..len]);
    journal::AttemptId(id)
}

fn attempt_name(id: journal::AttemptId) -> String {
    String::from_utf8_lossy(&id.0)
        .trim_end_matches('\0')
        .to_owned()
}

fn is_call(effect: &journal::Effect) -> bool {
    matches!(
        effect,
        journal::Effect::Read { .. } | journal::Effect::Swap { .. }
    )
}

fn outcome_of(effect: &journal::Effect) -> Outcome {
    match effect {
        journal::Effect::Read { .. } => Outcome::Read,
        journal::Effect::Swap { .. } => Outcome::Swap,
        journal::Effect::Dispatch { attempt, .. } => Outcome::Dispatch(attempt_name(*attempt)),
        journal::Effect::Answer { attempt, answer } => {
            let attempt = attempt_name(*attempt);
            match answer {
                journal::Answer::Recorded(recorded) => Outcome::Recorded {
                    attempt,
                    text: String::from_utf8_lossy(recorded.body.as_deref().unwrap_or_default())
                        .into_owned(),
                },
                journal::Answer::Refused {
                    reason, outcome, ..
                } => Outcome::Refused {
                    attempt,
                    reason: *reason,
                    outcome: *outcome,
                },
            }
        }
    }
}
