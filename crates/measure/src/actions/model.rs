//! Model of a few hosts with their journals, the key-value service, one service endpoint and its
//! callers, whose steps can interleave in any order.
//!
//! A paused host is one that takes no step while others do, so pauses need no state of their own.
//! The execution of a call and the delivery of its answer are separate steps. A request that may
//! reach the endpoint counts as run at once, since running it later or not at all cannot violate
//! a guarantee that running it at once does not.

use std::collections::BTreeMap;

use pistachiochute_core::{journal, outcome, time};

/// The protocol, or a variant of it with a known fault that the checks have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Variant {
    /// The protocol as implemented.
    Sound,
    /// An attempt is dispatched when its swap is sent, before the swap is confirmed.
    DispatchBeforeConfirmation,
    /// A swap whose answer is lost is treated as successful.
    LostAnswerIsSuccess,
    /// The journal uses the clock reading of the host's latest request arrival, so the retention
    /// window and deadlines are checked against a stale time.
    ClockAtArrival,
    /// Shards are deleted without a margin for clock skew.
    PruneWithoutSkew,
    /// A dispatched attempt whose connection is lost is recorded as not run.
    LostConnectionIsNotRun,
}

/// Size of a model and how many faults and other events of each kind may occur in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// Hosts.
    pub hosts: usize,
    /// Keys, all in one shard.
    pub keys: u8,
    /// Requests of callers, retries with the same key included.
    pub requests: u8,
    /// How many of the requests may use a key with another body.
    pub key_reuses: u8,
    /// Calls to the key-value service that fail or whose answer is lost, with or without effect.
    pub store_faults: u8,
    /// Connections to the endpoint that fail or are lost.
    pub endpoint_faults: u8,
    /// Hosts that are killed and replaced.
    pub kills: u8,
    /// Requests that their callers cancel.
    pub cancels: u8,
    /// Indices into [`PHASES_MS`] of the phases that the model passes through, in order.
    pub phases: &'static [usize],
}

/// True time of each phase, in milliseconds since the epoch. Time does not advance within a phase.
///
/// The second phase is after the deadline of attempts that begin in the first. In the third, only
/// hosts whose clocks are behind accept the key. In the last, no host accepts it, and hosts whose
/// clocks are ahead may delete the shard.
pub const PHASES_MS: [u64; 4] = [1_049, 1_105, 1_154, 1_155];

/// Time of issue of every key, in milliseconds since the epoch. It is the last millisecond of its
/// segment, which leaves the least time before the shard may be deleted.
const KEY_ISSUED_AT: journal::UnixMillis = journal::UnixMillis(1_049);

/// Time from the arrival of a request to its dispatch deadline, in milliseconds.
const DISPATCH_TIMEOUT_MS: u64 = 40;

/// Returns the configuration of the journals: a short retention window and no delay of swaps.
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
    /// Phase in which the journal last handled an event.
    pub(super) phase: usize,
    /// Results of calls that the host has not handled yet, oldest first.
    pub(super) inbox: Vec<CallResult>,
}

/// Result of a call to the key-value service, as its host sees it.
#[derive(Clone, Debug, Hash)]
pub(super) enum CallResult {
    Loaded(journal::CallId, journal::StoredShard),
    ReadFailed(journal::CallId),
    Swapped(journal::CallId, journal::ModRevision),
    Conflict(journal::CallId, journal::StoredShard),
    SwapFailed(journal::CallId),
    SwapUnknown(journal::CallId),
}

/// A call to the key-value service that has been sent but not executed yet.
#[derive(Clone, Debug, Hash)]
pub(super) struct Call {
    pub(super) host: usize,
    pub(super) id: journal::CallId,
    pub(super) shard: journal::ShardId,
    /// Expected revision and new content of a swap, or `None` for a read.
    pub(super) swap: Option<(journal::ModRevision, journal::Shard)>,
}

/// Progress of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// The journal of its host has not decided about it yet.
    InJournal,
    /// The host may dispatch it.
    Permitted { not_after: journal::UnixMillis },
    /// The endpoint ran it and its answer is in flight.
    Ran,
    /// Its host has ended it.
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
    /// Outcome in the answer to the caller, or `None` if the caller got no answer.
    pub(super) reported_outcome: Option<outcome::Outcome>,
    /// Wall clock of the host when the request arrived.
    pub(super) arrived_at: journal::UnixMillis,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An action ran more than once.
    RanTwice,
    /// A caller got the outcome "not run" for a request that ran.
    FalseNotRun,
    /// A caller got the answer of a request that did not run or that had another key or body.
    WrongAnswer,
    /// A request was refused for reuse of its key with another body, but every request with the
    /// key had the same body.
    FalseReuse,
}

/// State of the model.
#[derive(Clone, Debug, Hash)]
pub struct Model {
    pub(super) variant: Variant,
    /// Requests, faults and other events that may still occur.
    pub(super) remaining: Scope,
    /// Index into the phases of the scope.
    pub(super) phase: usize,
    pub(super) hosts: Vec<Host>,
    pub(super) store: BTreeMap<journal::ShardId, journal::StoredShard>,
    pub(super) revision: u64,
    pub(super) calls: Vec<Call>,
    /// Swaps that have timed out at their hosts but may still be executed.
    pub(super) delayed: Vec<Call>,
    /// Requests, by attempt number.
    pub(super) requests: Vec<Request>,
}

impl Model {
    /// Creates the initial state.
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

    /// Number of requests that ran at the endpoint.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.requests.iter().filter(|req| req.ran).count()
    }

    /// Largest number of runs of any key.
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

    /// Reads the wall clock of a host.
    pub(super) fn clock(&self, host: usize) -> journal::UnixMillis {
        let skew_ms = self.hosts[host].skew_ms;
        journal::UnixMillis(self.true_ms().saturating_add_signed(skew_ms))
    }

    /// Reads the monotonic clock, which all hosts share.
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

    /// Returns a guarantee that the state violates, if any.
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

/// Returns the id of the attempt with the given number.
pub(super) fn attempt_id(number: usize) -> journal::AttemptId {
    let mut id = [0; 16];
    id[0] = number as u8;
    journal::AttemptId(id)
}

/// Returns the number of the attempt with the given id.
pub(super) const fn attempt_number(id: journal::AttemptId) -> usize {
    id.0[0] as usize
}

fn action_key(key: u8) -> journal::ActionKey {
    journal::ActionKey {
        hash: journal::KeyHash([key; 16]),
        issued_at: KEY_ISSUED_AT,
    }
}

/// Returns the fingerprint of the usual body of a key, or of another body.
pub(super) const fn fingerprint(other_body: bool) -> journal::Fingerprint {
    journal::Fingerprint([other_body as u8; 16])
}
