//! Events, effects and answers of the journal.

use std::time::Duration;

use smallvec::SmallVec;

use crate::journal::{
    ActionKey, AttemptId, ModRevision, NewAttempt, RecordedAnswer, Shard, ShardId, StoredShard,
    UnixMillis,
};
use crate::{outcome, reason};

/// Number of a call to the key-value service, so that a late answer is not taken for another's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// How a dispatched attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// It was proved not to have run.
    NotRun,
    /// Its fate is not known.
    Unknown,
    /// It ran.
    Run(RecordedAnswer),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller asks for an action.
    Begin(NewAttempt),
    /// The caller of an attempt went away, or its request was given up.
    Cancel(AttemptId),
    /// A dispatched attempt ended.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A read was answered.
    Loaded {
        /// The read.
        call: CallId,
        /// Content of the shard.
        stored: StoredShard,
    },
    /// A read was not answered.
    ReadFailed(CallId),
    /// A swap took effect.
    Swapped {
        /// The swap.
        call: CallId,
        /// Revision of the change.
        revision: ModRevision,
    },
    /// A swap was refused because the shard had changed.
    Conflict {
        /// The swap.
        call: CallId,
        /// Content of the shard.
        stored: StoredShard,
    },
    /// A swap surely never takes effect: it was not sent, or the service refused it.
    SwapFailed(CallId),
    /// The answer to a swap was lost: it may have taken effect, or may do so later.
    SwapUnknown(CallId),
    /// Time passed.
    Tick,
}

/// What a caller is told instead of the endpoint's answer to its own attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The action ran earlier with this answer, whose body was kept.
    Recorded(RecordedAnswer),
    /// The attempt is refused.
    Refused {
        /// Why.
        reason: reason::Refusal,
        /// Whether the action ran, as far as this attempt can tell.
        outcome: outcome::Outcome,
        /// Delay after which asking again may help.
        retry_after: Option<Duration>,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read a shard.
    Read {
        /// Number to answer with.
        call: CallId,
        /// The shard.
        shard: ShardId,
    },
    /// Change a shard if it still is at the expected revision, else read it, in one transaction.
    Swap {
        /// Number to answer with.
        call: CallId,
        /// The shard.
        shard: ShardId,
        /// Revision that the shard has to be at.
        expected: ModRevision,
        /// The new content.
        content: Shard,
    },
    /// Dispatch an attempt, once. Its end has to be reported.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// Key of the action.
        key: ActionKey,
        /// Time after which it must not be dispatched, to be checked just before.
        not_after: UnixMillis,
    },
    /// Answer the caller of an attempt. The attempt is never dispatched after this.
    Answer {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: Answer,
    },
}

/// Effects of one event.
pub type Effects = SmallVec<[Effect; 4]>;
