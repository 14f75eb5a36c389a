//! Work of one host at one shard.

use std::time::Duration;

use crate::journal::outbox::Outbox;
use crate::journal::{
    Answer, AttemptId, Begin, CallId, Fingerprint, Record, Recorded, Shard, State, Stored,
    UnixMillis,
};
use crate::{outcome, reason, time};

/// Delay after which a caller may ask again for an action that is in progress.
const IN_PROGRESS_DELAY: Duration = Duration::from_secs(1);

/// An attempt that waits for its reservation.
#[derive(Clone, Debug, Hash)]
pub(super) struct Waiting {
    pub(super) begin: Begin,
    /// Whether the shard was read since the attempt came.
    pub(super) compared: bool,
    /// Whether a swap that reserves the attempt may take effect without being confirmed.
    pub(super) exposed: bool,
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
pub(super) enum Verdict {
    /// Its reservation is in the shard.
    Confirmed,
    /// It is reserved by the next swap.
    Reserve,
    /// Another attempt of the key is reserved by the next swap.
    Later,
    /// The shard has to be read first.
    Read,
    /// It is answered without being dispatched.
    Answer(Answer),
}

/// Work of one host at one shard.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Work {
    /// Content that the shard had when it was last read or changed by this host.
    pub(super) known: Option<Stored>,
    /// Attempts that wait, in the order in which they came.
    pub(super) waiting: Vec<Waiting>,
    pub(super) outbox: Outbox,
    /// Call under way. Invariant: at most one, so that swaps of one host never compete.
    pub(super) call: Option<(CallId, Call)>,
}

impl Work {
    /// Whether nothing waits and no call is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.outbox.len() == 0 && self.call.is_none()
    }

    /// Whether a caller or a call waits for the shard.
    pub(super) fn is_awaited(&self) -> bool {
        !self.waiting.is_empty() || self.call.is_some()
    }

    /// Takes the content that the shard had after everything that waits had come.
    pub(super) fn learn(&mut self, stored: Stored) {
        for waiting in &mut self.waiting {
            waiting.compared = true;
        }
        self.outbox.keep_open(&stored.shard);
        self.known = Some(stored);
    }

    /// Marks the attempts of a swap that may take effect without being confirmed.
    pub(super) fn expose(&mut self, batch: &[AttemptId]) {
        for waiting in &mut self.waiting {
            waiting.exposed |= batch.contains(&waiting.begin.attempt);
        }
    }

    /// Records that no earlier swap can take effect any more.
    pub(super) fn unexpose(&mut self) {
        for waiting in &mut self.waiting {
            waiting.exposed = false;
        }
    }

    /// Whether the reservation of a waiting attempt may be in the shard or get into it.
    pub(super) fn may_be_reserved(&self, waiting: &Waiting) -> bool {
        let Begin { attempt, key, .. } = waiting.begin;
        let record = self
            .known
            .as_ref()
            .and_then(|known| known.shard.get(&key.hash));
        let in_shard = record.is_some_and(|record| record.attempt == attempt);
        let in_swap = match &self.call {
            Some((_, Call::Swap { batch, .. })) => batch.contains(&attempt),
            Some((_, Call::Read)) | None => false,
        };
        waiting.exposed || in_shard || in_swap
    }

    /// Gives up a waiting attempt. If its reservation may be in the shard, the record is ended as
    /// not run, which is true because the attempt is never dispatched.
    pub(super) fn abandon(&mut self, waiting: &Waiting, due: time::Time) {
        if self.may_be_reserved(waiting) {
            let Begin { attempt, key, .. } = waiting.begin;
            self.outbox.push(key.hash, attempt, State::NotRun, due);
        }
    }
}

/// Decides what becomes of a waiting attempt, given the content of the shard with the
/// reservations of the next swap.
pub(super) fn judge(
    waiting: &Waiting,
    known: &Shard,
    next: &Shard,
    clock: UnixMillis,
    skew_ms: u64,
) -> Verdict {
    let begin = &waiting.begin;
    let Some(record) = known.get(&begin.key.hash) else {
        return reserve_in(next, begin);
    };
    if record.fingerprint != begin.fingerprint {
        return refuse(reason::Refusal::KeyReused, outcome::Outcome::NotRun, None);
    }
    match &record.state {
        State::Reserved { .. } if record.attempt == begin.attempt => Verdict::Confirmed,
        State::Reserved { .. } if !waiting.compared => Verdict::Read,
        State::Reserved { until } => pending(*until, clock, skew_ms),
        State::NotRun => reserve_in(next, begin),
        State::Unknown => refuse(
            reason::Refusal::ActionUnknown,
            outcome::Outcome::Unknown,
            None,
        ),
        State::Run(recorded) => Verdict::Answer(replay(recorded)),
    }
}

/// Reserves the attempt unless the next swap already reserves another one for the key.
fn reserve_in(next: &Shard, begin: &Begin) -> Verdict {
    let taken = next
        .get(&begin.key.hash)
        .is_some_and(|record| matches!(record.state, State::Reserved { .. }));
    if taken {
        Verdict::Later
    } else {
        Verdict::Reserve
    }
}

/// Answer while another attempt holds the reservation.
fn pending(until: UnixMillis, clock: UnixMillis, skew_ms: u64) -> Verdict {
    let outcome = outcome::Outcome::Unknown;
    if clock > until.plus(2 * skew_ms) {
        return refuse(reason::Refusal::ActionUnknown, outcome, None);
    }
    refuse(
        reason::Refusal::InProgress,
        outcome,
        Some(IN_PROGRESS_DELAY),
    )
}

fn replay(recorded: &Recorded) -> Answer {
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
) -> Verdict {
    Verdict::Answer(Answer::Refused {
        reason,
        outcome,
        retry_after,
    })
}

/// The record that reserves an attempt.
pub(super) fn reservation(begin: &Begin) -> Record {
    let fingerprint: Fingerprint = begin.fingerprint;
    Record {
        fingerprint,
        attempt: begin.attempt,
        state: State::Reserved { until: begin.until },
    }
}
