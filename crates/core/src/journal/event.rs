//! Events, effects and answers of the journal.

use std::time::Duration;

use smallvec::SmallVec;

use crate::journal::{
    ActionKey, AttemptId, ModRevision, NewAttempt, RecordedAnswer, Shard, ShardId, StoredShard,
    UnixMillis,
};
use crate::{outcome, reason};

/// Id of a call to the key-value service. It keeps a late answer from being matched with another
/// call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// How a dispatched attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// It provably did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Run(RecordedAnswer),
}

/// Input of the journal's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller asks for an action.
    Begin(NewAttempt),
    /// The caller of an attempt disconnected, or its request was given up.
    Cancel(AttemptId),
    /// A dispatched attempt ended.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A read succeeded.
    Loaded {
        /// Id of the read.
        call: CallId,
        /// Content of the shard.
        stored: StoredShard,
    },
    /// A read failed or was not answered.
    ReadFailed(CallId),
    /// A swap took effect.
    Swapped {
        /// Id of the swap.
        call: CallId,
        /// Revision of the shard after the swap.
        revision: ModRevision,
    },
    /// A swap was refused because the shard had changed.
    Conflict {
        /// Id of the swap.
        call: CallId,
        /// Content of the shard.
        stored: StoredShard,
    },
    /// A swap will never take effect: it was not sent, or the service refused it.
    SwapFailed(CallId),
    /// The answer to a swap was lost. The swap may have taken effect, or may do so later.
    SwapUnknown(CallId),
    /// Time passed.
    Tick,
}

/// Answer for a caller whose own attempt is not dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The action ran earlier with this answer, whose body was recorded.
    Recorded(RecordedAnswer),
    /// The attempt is refused.
    Refused {
        /// Why it is refused.
        reason: reason::Refusal,
        /// Whether the action ran, as far as the journal knows.
        outcome: outcome::Outcome,
        /// Delay after which a retry may help.
        retry_after: Option<Duration>,
    },
}

/// Output of the journal's state machine, to be carried out by the runtime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read a shard.
    Read {
        /// Id to use in the event that answers the call.
        call: CallId,
        /// The shard.
        shard: ShardId,
    },
    /// Replace the content of a shard if it is still at the expected revision, else read it, in one
    /// transaction.
    Swap {
        /// Id to use in the event that answers the call.
        call: CallId,
        /// The shard.
        shard: ShardId,
        /// Expected revision of the shard.
        expected: ModRevision,
        /// The new content.
        content: Shard,
    },
    /// Dispatch an attempt, once. Its result has to be reported by [`Event::Finished`].
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// Key of the action.
        key: ActionKey,
        /// Time after which it must not be dispatched. To be checked immediately before dispatch.
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
