//! Work of one host at one shard.

use std::time::Duration;

use crate::journal::outbox::Outbox;
use crate::journal::{
    Answer, AttemptId, CallId, Fingerprint, NewAttempt, Record, RecordedAnswer, Shard, State,
    StoredShard, UnixMillis,
};
use crate::{outcome, reason, time};

/// Delay after which a caller may ask again for an action that is in progress.
const IN_PROGRESS_DELAY: Duration = Duration::from_secs(1);

/// An attempt that waits for its reservation.
#[derive(Clone, Debug, Hash)]
pub(super) struct WaitingAttempt {
    pub(super) begin: NewAttempt,
    /// Whether the shard was read since the attempt came.
    pub(super) read_since_arrival: bool,
    /// Whether a swap that reserves the attempt may take effect without being confirmed.
    pub(super) swap_unresolved: bool,
}

/// Call to the key-value service that is under way.
#[derive(Clone, Debug, Hash)]
pub(super) enum Call {
    /// The shard is read.
    Read,
    /// The shard is changed.
    Swap {
        /// The new content.
        content: Shard,
        /// Attempts that it reserves.
        batch: Vec<AttemptId>,
    },
}

/// What becomes of a waiting attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    /// Its reservation is in the shard.
    Confirmed,
    /// It is reserved by the next swap.
    Reserve,
    /// Another attempt of the key is reserved by the next swap.
    Defer,
    /// The shard has to be read first.
    ReadFirst,
    /// It is answered without being dispatched.
    Answer(Answer),
}

/// Work of one host at one shard.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct ShardState {
    /// Content that the shard had when it was last read or changed by this host.
    pub(super) cached: Option<StoredShard>,
    /// Attempts that wait, in the order in which they came.
    pub(super) waiting: Vec<WaitingAttempt>,
    pub(super) outbox: Outbox,
    /// Call under way. Invariant: at most one, so that swaps of one host never compete.
    pub(super) call: Option<(CallId, Call)>,
}

impl ShardState {
    /// Whether nothing waits and no call is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.outbox.len() == 0 && self.call.is_none()
    }

    /// Whether a caller or a call waits for the shard.
    pub(super) fn is_awaited(&self) -> bool {
        !self.waiting.is_empty() || self.call.is_some()
    }

    /// Takes the content that the shard had after everything that waits had come.
    pub(super) fn update_cached(&mut self, stored: StoredShard) {
        for waiting in &mut self.waiting {
            waiting.read_since_arrival = true;
        }
        self.outbox.retain_reserved(&stored.shard);
        self.cached = Some(stored);
    }

    /// Marks the attempts of a swap that may take effect without being confirmed.
    pub(super) fn mark_swap_unresolved(&mut self, batch: &[AttemptId]) {
        for waiting in &mut self.waiting {
            waiting.swap_unresolved |= batch.contains(&waiting.begin.attempt);
        }
    }

    /// Records that no earlier swap can take effect any more.
    pub(super) fn clear_swap_unresolved(&mut self) {
        for waiting in &mut self.waiting {
            waiting.swap_unresolved = false;
        }
    }

    /// Whether the reservation of a waiting attempt may be in the shard or get into it.
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

    /// Gives up a waiting attempt. If its reservation may be in the shard, the record is ended as
    /// not run, which is true because the attempt is never dispatched.
    pub(super) fn abandon(&mut self, waiting: &WaitingAttempt, due: time::Time) {
        if self.may_be_reserved(waiting) {
            let NewAttempt { attempt, key, .. } = waiting.begin;
            self.outbox.push(key.hash, attempt, State::NotRun, due);
        }
    }
}

/// Decides what becomes of a waiting attempt, given the content of the shard with the
/// reservations of the next swap.
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
        State::Reserved { not_after } => refuse_pending(*not_after, clock, skew_ms),
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

/// Answer while another attempt holds the reservation.
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

/// The record that reserves an attempt.
pub(super) fn reservation(begin: &NewAttempt) -> Record {
    let fingerprint: Fingerprint = begin.fingerprint;
    Record {
        fingerprint,
        attempt: begin.attempt,
        state: State::Reserved {
            not_after: begin.not_after,
        },
    }
}
