//! State of one shard on one host: cached content, waiting attempts and pending outcomes.

use std::time::Duration;

use crate::journal::outbox::Outbox;
use crate::journal::{
    Answer, AttemptId, CallId, Fingerprint, NewAttempt, Record, RecordedAnswer, Shard, State,
    StoredShard, UnixMillis,
};
use crate::{outcome, reason, time};

/// Delay after which a caller may retry an action that is in progress.
const IN_PROGRESS_DELAY: Duration = Duration::from_secs(1);

/// An attempt that waits for its reservation.
#[derive(Clone, Debug, Hash)]
pub(super) struct WaitingAttempt {
    pub(super) begin: NewAttempt,
    /// Whether the shard was read since the attempt arrived.
    pub(super) read_since_arrival: bool,
    /// Whether a swap that reserves the attempt may take effect without a confirmation.
    pub(super) swap_unresolved: bool,
}

/// Call to the key-value service that is in progress.
#[derive(Clone, Debug, Hash)]
pub(super) enum Call {
    /// A read of the shard.
    Read,
    /// A compare-and-swap of the shard.
    Swap {
        /// The new content.
        content: Shard,
        /// Attempts that it reserves.
        batch: Vec<AttemptId>,
    },
}

/// Decision on a waiting attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    /// Its reservation is in the shard.
    Confirmed,
    /// The next swap reserves it.
    Reserve,
    /// It waits, because the next swap reserves another attempt of the same key.
    Defer,
    /// The shard has to be read first.
    ReadFirst,
    /// It is answered without being dispatched.
    Answer(Answer),
}

/// State of one shard on one host.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct ShardState {
    /// Content of the shard when this host last read or changed it.
    pub(super) cached: Option<StoredShard>,
    /// Waiting attempts, in order of arrival.
    pub(super) waiting: Vec<WaitingAttempt>,
    pub(super) outbox: Outbox,
    /// Call in progress. Invariant: at most one, so that swaps of the same host never conflict.
    pub(super) call: Option<(CallId, Call)>,
}

impl ShardState {
    /// Whether nothing waits and no call is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.outbox.len() == 0 && self.call.is_none()
    }

    /// Whether an attempt waits for the shard or a call is in progress.
    pub(super) fn is_awaited(&self) -> bool {
        !self.waiting.is_empty() || self.call.is_some()
    }

    /// Caches the content of the shard after a read or a swap. It counts as read since the arrival
    /// of every attempt that waits now.
    pub(super) fn update_cached(&mut self, stored: StoredShard) {
        for waiting in &mut self.waiting {
            waiting.read_since_arrival = true;
        }
        self.outbox.retain_reserved(&stored.shard);
        self.cached = Some(stored);
    }

    /// Marks the attempts of a swap that may take effect without a confirmation.
    pub(super) fn mark_swap_unresolved(&mut self, batch: &[AttemptId]) {
        for waiting in &mut self.waiting {
            waiting.swap_unresolved |= batch.contains(&waiting.begin.attempt);
        }
    }

    /// Records that no earlier swap can take effect any longer, since the shard has moved past the
    /// revision that it expected.
    pub(super) fn clear_swap_unresolved(&mut self) {
        for waiting in &mut self.waiting {
            waiting.swap_unresolved = false;
        }
    }

    /// Whether the shard contains the reservation of a waiting attempt, or may come to contain it.
    pub(super) fn may_be_reserved(&self, waiting: &WaitingAttempt) -> bool {
        let NewAttempt { attempt, key, .. } = waiting.begin;
        let record = self
            .cached
            .as_ref()
            .and_then(|cached| cached.shard.get(&key.hash));
        let in_shard = record.is_some_and(|record| record.attempt == attempt);
        let in_swap = match &self.call {
            Some((_, Call::Swap { batch, .. })) => batch.contains(&attempt),
            Some((_, Call::Read)) | None => false,
        };
        waiting.swap_unresolved || in_shard || in_swap
    }

    /// Gives up a waiting attempt. If its reservation may be in the shard, the outcome "not run" is
    /// queued for the record. This is correct because the attempt is never dispatched.
    pub(super) fn abandon(&mut self, waiting: &WaitingAttempt, due: time::Time) {
        if self.may_be_reserved(waiting) {
            let NewAttempt { attempt, key, .. } = waiting.begin;
            self.outbox.push(key.hash, attempt, State::NotRun, due);
        }
    }
}

/// Decides on a waiting attempt, given the cached content of the shard and the content of the next
/// swap with the reservations made so far.
pub(super) fn decide(
    waiting: &WaitingAttempt,
    cached: &Shard,
    next: &Shard,
    clock: UnixMillis,
    skew_ms: u64,
) -> Disposition {
    let begin = &waiting.begin;
    let Some(record) = cached.get(&begin.key.hash) else {
        return reserve_unless_taken(next, begin);
    };
    if record.fingerprint != begin.fingerprint {
        return refuse(reason::Refusal::KeyReused, outcome::Outcome::NotRun, None);
    }
    match &record.state {
        State::Reserved { .. } if record.attempt == begin.attempt => Disposition::Confirmed,
        State::Reserved { .. } if !waiting.read_since_arrival => Disposition::ReadFirst,
        State::Reserved { until } => refuse_pending(*until, clock, skew_ms),
        State::NotRun => reserve_unless_taken(next, begin),
        State::Unknown => refuse(
            reason::Refusal::ActionUnknown,
            outcome::Outcome::Unknown,
            None,
        ),
        State::Run(recorded) => Disposition::Answer(replay(recorded)),
    }
}

/// Reserves the attempt unless the next swap already reserves another one for the key.
fn reserve_unless_taken(next: &Shard, begin: &NewAttempt) -> Disposition {
    let taken = next
        .get(&begin.key.hash)
        .is_some_and(|record| matches!(record.state, State::Reserved { .. }));
    if taken {
        Disposition::Defer
    } else {
        Disposition::Reserve
    }
}

/// Refuses an attempt while another attempt has the reservation.
///
/// The action counts as in progress until the dispatch deadline of the other attempt has passed on
/// the clock of every host, allowing for skew. After that its outcome is reported as unknown.
fn refuse_pending(not_after: UnixMillis, clock: UnixMillis, skew_ms: u64) -> Disposition {
    let outcome = outcome::Outcome::Unknown;
    if clock > not_after.plus(2 * skew_ms) {
        return refuse(reason::Refusal::ActionUnknown, outcome, None);
    }
    refuse(
        reason::Refusal::InProgress,
        outcome,
        Some(IN_PROGRESS_DELAY),
    )
}

fn replay(recorded: &RecordedAnswer) -> Answer {
    if recorded.body.is_some() {
        return Answer::Recorded(recorded.clone());
    }
    Answer::Refused {
        reason: reason::Refusal::AnswerNotKept,
        outcome: outcome::Outcome::Run,
        retry_after: None,
    }
}

fn refuse(
    reason: reason::Refusal,
    outcome: outcome::Outcome,
    retry_after: Option<Duration>,
) -> Disposition {
    Disposition::Answer(Answer::Refused {
        reason,
        outcome,
        retry_after,
    })
}

/// Record that reserves an attempt.
pub(super) fn reservation(begin: &NewAttempt) -> Record {
    let fingerprint: Fingerprint = begin.fingerprint;
    Record {
        fingerprint,
        attempt: begin.attempt,
        state: State::Reserved {
            until: begin.not_after,
        },
    }
}
