//! A few hosts with their journals, the key-value service, one service endpoint and its callers,
//! every step of which can happen in any order.
//!
//! A host that is paused is one that takes no step while others do, so pauses need no state of
//! their own. Work of a machine and the delivery of what it asked for are separate steps. A
//! request that may reach the endpoint counts as run at once: no promise is easier to break if it
//! runs later or not at all.

use std::collections::BTreeMap;

use pistachiochute_core::{journal, outcome, time};

/// Shortcuts that an implementation could take, to show that the checks find them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Variant {
    /// No shortcut.
    Sound,
    /// An attempt is dispatched when its swap is sent.
    DispatchBeforeConfirmation,
    /// A lost answer to a swap is taken for success.
    LostAnswerIsSuccess,
    /// The retention window is checked with the clock as it was when the attempt came.
    ClockAtArrival,
    /// Shards are deleted without allowing for the skew of the clocks.
    PruneWithoutSkew,
    /// A dispatched attempt whose connection was lost is recorded as not run.
    LostConnectionIsNotRun,
}

/// How many of each step a trial may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// Hosts.
    pub hosts: usize,
    /// Keys, all in one shard.
    pub keys: u8,
    /// Requests of callers, first ones and repeats.
    pub requests: u8,
    /// Requests that reuse a key with another body.
    pub key_reuses: u8,
    /// Calls to the service that fail, with or without effect.
    pub store_faults: u8,
    /// Connections to the endpoint that fail.
    pub endpoint_faults: u8,
    /// Hosts that are killed and replaced.
    pub kills: u8,
    /// Callers that go away.
    pub cancels: u8,
    /// Phases of [`PHASES_MS`] that the trial goes through, in order.
    pub phases: &'static [usize],
}

/// True time, in milliseconds since the epoch, of each phase of a trial. The steps of a trial
/// stay in a phase until it moves to the next one.
///
/// The second lies after the deadline of an attempt of the first. In the third only the host whose
/// clock is behind accepts the key, and in the last no host does and the host whose clock is ahead
/// may delete the shard.
pub const PHASES_MS: [u64; 4] = [1_049, 1_105, 1_154, 1_155];

/// Time in every key: the last of its segment, which is the worst case for deletion.
const KEY_ISSUED_AT: journal::UnixMillis = journal::UnixMillis(1_049);

/// Time within which an attempt has to be dispatched, in milliseconds.
const DISPATCH_TIMEOUT_MS: u64 = 40;

/// Settings of the journals: a short window and no pacing.
#[must_use]
pub fn journal_config() -> journal::Config {
    journal::Config {
        window: journal::Window {
            retention_ms: 100,
            ahead_ms: 10,
            skew_ms: 5,
            segment_ms: 50,
        },
        slots: 1,
        swap_interval_ms: 0,
        outcome_linger_ms: 0,
        ..journal::Config::default()
    }
}

/// A host of the fleet.
#[derive(Clone, Debug, Hash)]
pub(super) struct Host {
    pub(super) journal: journal::Journal,
    /// Error of the wall clock, in milliseconds.
    pub(super) skew_ms: i64,
    /// Phase in which the journal last took an event.
    pub(super) phase: usize,
    /// Answers of the service that the host has not taken yet.
    pub(super) inbox: Vec<CallResult>,
}

/// What the service answered, or that no answer came.
#[derive(Clone, Debug, Hash)]
pub(super) enum CallResult {
    Loaded(journal::CallId, journal::StoredShard),
    ReadFailed(journal::CallId),
    Swapped(journal::CallId, journal::ModRevision),
    Conflict(journal::CallId, journal::StoredShard),
    SwapFailed(journal::CallId),
    SwapUnknown(journal::CallId),
}

/// A call to the service that was sent and not carried out yet.
#[derive(Clone, Debug, Hash)]
pub(super) struct Call {
    pub(super) host: usize,
    pub(super) id: journal::CallId,
    pub(super) shard: journal::ShardId,
    /// Expected revision and new content of a swap, or `None` for a read.
    pub(super) swap: Option<(journal::ModRevision, journal::Shard)>,
}

/// Where a request of a caller stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// The journal of its host has it.
    InJournal,
    /// The host may dispatch it.
    Permitted { not_after: journal::UnixMillis },
    /// The endpoint ran it and its answer is on the way back.
    Ran,
    /// Nothing more happens to it at its host.
    Ended,
}

/// A request of a caller.
#[derive(Clone, Debug, Hash)]
pub(super) struct Request {
    pub(super) key: u8,
    pub(super) fingerprint: journal::Fingerprint,
    pub(super) host: usize,
    pub(super) stage: Stage,
    /// Whether the endpoint ran it.
    pub(super) ran: bool,
    /// Outcome that the caller was told, or `None` if it got no answer.
    pub(super) reported_outcome: Option<outcome::Outcome>,
    /// Clock of the host when the request came.
    pub(super) arrived_at: journal::UnixMillis,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An action ran more than once.
    RanTwice,
    /// A caller was told that its request was not run, but it was.
    FalseNotRun,
    /// A caller was given the answer of a request that did not run, or of another body.
    WrongAnswer,
    /// A key was refused as reused with the same body.
    FalseReuse,
}

/// State of a trial.
#[derive(Clone, Debug, Hash)]
pub struct Model {
    pub(super) variant: Variant,
    pub(super) remaining: Scope,
    /// Index in the phases of the scope.
    pub(super) phase: usize,
    pub(super) hosts: Vec<Host>,
    pub(super) store: BTreeMap<journal::ShardId, journal::StoredShard>,
    pub(super) revision: u64,
    pub(super) calls: Vec<Call>,
    /// Swaps whose author has given up waiting, which may still take effect.
    pub(super) delayed: Vec<Call>,
    /// Requests; the index is the attempt's number.
    pub(super) requests: Vec<Request>,
}

impl Model {
    /// Starts a trial.
    #[must_use]
    pub fn new(scope: Scope, variant: Variant) -> Self {
        let host = |i: usize| Host {
            journal: journal::Journal::new(journal_config()),
            skew_ms: if i.is_multiple_of(2) { 5 } else { -5 },
            phase: 0,
            inbox: Vec::new(),
        };
        Self {
            variant,
            remaining: scope,
            phase: 0,
            hosts: (0..scope.hosts).map(host).collect(),
            store: BTreeMap::new(),
            revision: 0,
            calls: Vec::new(),
            delayed: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Runs of all keys.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.requests.iter().filter(|req| req.ran).count()
    }

    /// Most runs of one key.
    #[must_use]
    pub fn runs_per_key_max(&self) -> usize {
        let runs = |key| {
            self.requests
                .iter()
                .filter(move |req| req.key == key && req.ran)
        };
        let keys = self.requests.iter().map(|req| req.key);
        keys.map(|key| runs(key).count()).max().unwrap_or(0)
    }

    /// Wall clock of a host.
    pub(super) fn clock(&self, host: usize) -> journal::UnixMillis {
        let skew_ms = self.hosts[host].skew_ms;
        journal::UnixMillis(self.true_ms().saturating_add_signed(skew_ms))
    }

    /// Monotonic clock of the hosts.
    pub(super) fn now(&self) -> time::Time {
        time::Time::from_millis(self.true_ms())
    }

    fn true_ms(&self) -> u64 {
        PHASES_MS[self.remaining.phases[self.phase]]
    }

    pub(super) fn new_attempt(&self, attempt: usize) -> journal::NewAttempt {
        let req = &self.requests[attempt];
        journal::NewAttempt {
            attempt: attempt_id(attempt),
            key: action_key(req.key),
            fingerprint: req.fingerprint,
            not_after: req.arrived_at.plus(DISPATCH_TIMEOUT_MS),
        }
    }

    /// First promise that is broken, if any.
    #[must_use]
    pub fn violation(&self) -> Option<Violation> {
        if self.runs_per_key_max() > 1 {
            return Some(Violation::RanTwice);
        }
        let not_run = Some(outcome::Outcome::NotRun);
        let false_not_run = self
            .requests
            .iter()
            .any(|req| req.ran && req.reported_outcome == not_run);
        false_not_run.then_some(Violation::FalseNotRun)
    }
}

/// Id of the attempt with the given number.
pub(super) fn attempt_id(number: usize) -> journal::AttemptId {
    let mut id = [0; 16];
    id[0] = number as u8;
    journal::AttemptId(id)
}

/// Number of the attempt with the given id.
pub(super) const fn attempt_number(id: journal::AttemptId) -> usize {
    id.0[0] as usize
}

fn action_key(key: u8) -> journal::ActionKey {
    journal::ActionKey {
        hash: journal::KeyHash([key; 16]),
        issued_at: KEY_ISSUED_AT,
    }
}

/// Fingerprint of the body that a key is first used with, or of another body.
pub(super) const fn fingerprint(other_body: bool) -> journal::Fingerprint {
    journal::Fingerprint([other_body as u8; 16])
}
