//! State machine of the journal on one host.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::journal::shard_state::{Call, ShardState, WaitingAttempt};
use crate::journal::{
    ActionKey, Answer, AttemptId, AttemptResult, CallId, Config, Effect, Effects, Event,
    Fingerprint, ShardId, State, StoredShard, UnixMillis,
};
use crate::{outcome, reason, time};

/// Delay after which a caller may retry an action that the journal cannot accept at present.
const BUSY_DELAY: Duration = Duration::from_secs(1);

/// A new attempt at an action, on behalf of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NewAttempt {
    /// New id of the attempt.
    pub attempt: AttemptId,
    /// Key of the action.
    pub key: ActionKey,
    /// Hash of the content of the action's request.
    pub fingerprint: Fingerprint,
    /// Time after which the attempt must not be dispatched.
    pub not_after: UnixMillis,
}

/// State of the journal on one host.
#[derive(Clone, Debug, Hash)]
pub struct Journal {
    pub(super) cfg: Config,
    pub(super) shards: BTreeMap<ShardId, ShardState>,
    /// Dispatched attempts whose result was not reported yet.
    pub(super) dispatched: BTreeMap<AttemptId, ActionKey>,
    /// Shard of each call in progress.
    pub(super) calls: BTreeMap<CallId, ShardId>,
    pub(super) next_call: CallId,
    /// Earliest time of the next swap of each slot.
    pub(super) next_swap: BTreeMap<u16, time::Time>,
}

/// Time of an event on the two clocks of the host: `now` is monotonic, `clock` is wall-clock time.
#[derive(Clone, Copy)]
pub(super) struct EventTime {
    pub(super) now: time::Time,
    pub(super) clock: UnixMillis,
}

impl Journal {
    /// Creates an empty journal.
    #[must_use]
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            shards: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: CallId(0),
            next_swap: BTreeMap::new(),
        }
    }

    /// Handles an event and returns the effects to carry out.
    ///
    /// `clock` has to be read after the event occurred, since the check of the retention window
    /// before a dispatch depends on it.
    pub fn handle(&mut self, event: Event, now: time::Time, clock: UnixMillis) -> Effects {
        let at = EventTime { now, clock };
        let mut effects = Effects::new();
        match event {
            Event::Begin(begin) => self.begin(begin, at, &mut effects),
            Event::Cancel(attempt) => self.cancel(attempt, at),
            Event::Finished { attempt, result } => self.finished(attempt, result, at, &mut effects),
            Event::Loaded { call, stored } => self.loaded(call, stored, at, &mut effects),
            Event::ReadFailed(call) => self.store_failed(call, at, &mut effects),
            Event::Swapped { call, revision } => self.swapped(call, revision, at, &mut effects),
            Event::Conflict { call, stored } => self.conflict(call, stored, at, &mut effects),
            Event::SwapFailed(call) => self.store_failed(call, at, &mut effects),
            Event::SwapUnknown(call) => self.swap_unknown(call, at, &mut effects),
            Event::Tick => self.tick(at, &mut effects),
        }
        effects
    }

    /// Time at which the next [`Event::Tick`] is due. While anything waits, a tick every second is
    /// needed as well.
    #[must_use]
    pub fn wakeup(&self) -> Option<time::Time> {
        let due = |(shard, state): (&ShardId, &ShardState)| {
            let paced = self.next_swap.get(&shard.slot).copied().unwrap_or_default();
            let reserve = (!state.waiting.is_empty()).then_some(paced);
            let record = state.outbox.due().map(|due| due.max(paced));
            let call = state.call.is_none();
            reserve.into_iter().chain(record).min().filter(|_| call)
        };
        self.shards.iter().filter_map(due).min()
    }

    /// Whether no attempt waits or runs and no outcome has to be recorded.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.dispatched.is_empty() && self.shards.values().all(ShardState::is_idle)
    }

    /// First segment that has to be retained. Shards of earlier segments may be deleted.
    #[must_use]
    pub const fn first_retained_segment(&self, clock: UnixMillis) -> u64 {
        self.cfg.window.first_retained_segment(clock)
    }

    /// Number of attempts that wait, run or have an outcome that is not recorded yet.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        let in_shard = |state: &ShardState| state.waiting.len() + state.outbox.len();
        self.dispatched.len() + self.shards.values().map(in_shard).sum::<usize>()
    }

    fn begin(&mut self, begin: NewAttempt, at: EventTime, effects: &mut Effects) {
        if let Err(reason) = self.cfg.window.check(&begin.key, at.clock) {
            return refuse(effects, begin.attempt, reason, outcome::Outcome::Unknown);
        }
        let shard = self.cfg.shard(&begin.key);
        let waiting = self
            .shards
            .get(&shard)
            .map_or(0, |state| state.waiting.len());
        if waiting >= self.cfg.max_waiting || self.open_attempts() >= self.cfg.max_running {
            let reason = reason::Refusal::JournalFull;
            return refuse(effects, begin.attempt, reason, outcome::Outcome::NotRun);
        }
        self.evict();
        self.shards
            .entry(shard)
            .or_default()
            .waiting
            .push(WaitingAttempt {
                begin,
                read_since_arrival: false,
                swap_unresolved: false,
            });
        self.advance(shard, at, effects);
    }

    fn cancel(&mut self, attempt: AttemptId, at: EventTime) {
        let due = at.now + self.cfg.outcome_linger();
        for state in self.shards.values_mut() {
            let found = state
                .waiting
                .iter()
                .position(|waiting| waiting.begin.attempt == attempt);
            if let Some(i) = found {
                let waiting = state.waiting.remove(i);
                state.abandon(&waiting, due);
            }
        }
    }

    fn finished(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        at: EventTime,
        effects: &mut Effects,
    ) {
        let Some(key) = self.dispatched.remove(&attempt) else {
            return;
        };
        let state = match result {
            AttemptResult::NotRun => State::NotRun,
            AttemptResult::Unknown => State::Unknown,
            AttemptResult::Run(recorded) => State::Run(recorded),
        };
        let shard = self.cfg.shard(&key);
        // A caller that got "not run" may retry at once, so the outcome is written without delay.
        let due = match state {
            State::NotRun => at.now,
            _ => at.now + self.cfg.outcome_linger(),
        };
        let entry = self.shards.entry(shard).or_default();
        entry.outbox.push(key.hash, attempt, state, due);
        self.advance(shard, at, effects);
    }

    /// Removes a call from the calls in progress. Returns `None` for a late answer to a call that
    /// was given up.
    fn take_call(&mut self, call: CallId) -> Option<(ShardId, Call)> {
        let shard = self.calls.remove(&call)?;
        let (_, call) = self.shards.get_mut(&shard)?.call.take()?;
        Some((shard, call))
    }

    fn loaded(&mut self, call: CallId, stored: StoredShard, at: EventTime, effects: &mut Effects) {
        let Some((shard, _)) = self.take_call(call) else {
            return;
        };
        self.shards.entry(shard).or_default().update_cached(stored);
        self.advance(shard, at, effects);
    }

    fn swapped(
        &mut self,
        call: CallId,
        revision: crate::journal::ModRevision,
        at: EventTime,
        effects: &mut Effects,
    ) {
        let Some((shard, Call::Swap { content, .. })) = self.take_call(call) else {
            return;
        };
        let state = self.shards.entry(shard).or_default();
        state.clear_swap_unresolved();
        state.update_cached(StoredShard {
            revision,
            shard: content,
        });
        self.advance(shard, at, effects);
    }

    fn conflict(
        &mut self,
        call: CallId,
        stored: StoredShard,
        at: EventTime,
        effects: &mut Effects,
    ) {
        let Some((shard, _)) = self.take_call(call) else {
            return;
        };
        let state = self.shards.entry(shard).or_default();
        state.clear_swap_unresolved();
        state.update_cached(stored);
        self.advance(shard, at, effects);
    }

    /// Handles the loss of the answer to a swap: the shard has to be read back.
    fn swap_unknown(&mut self, call: CallId, at: EventTime, effects: &mut Effects) {
        let Some((shard, Call::Swap { batch, .. })) = self.take_call(call) else {
            return;
        };
        let state = self.shards.entry(shard).or_default();
        state.mark_swap_unresolved(&batch);
        state.cached = None;
        self.advance(shard, at, effects);
    }

    /// Refuses every attempt that waits for the shard, because the service cannot be reached.
    fn store_failed(&mut self, call: CallId, at: EventTime, effects: &mut Effects) {
        let Some((shard, _)) = self.take_call(call) else {
            return;
        };
        let retry = at.now + self.cfg.outcome_linger();
        let state = self.shards.entry(shard).or_default();
        state.cached = None;
        for waiting in std::mem::take(&mut state.waiting) {
            state.abandon(&waiting, retry);
            let reason = reason::Refusal::StoreUnavailable;
            let attempt = waiting.begin.attempt;
            refuse(effects, attempt, reason, outcome::Outcome::NotRun);
        }
        state.outbox.postpone(retry);
    }

    fn tick(&mut self, at: EventTime, effects: &mut Effects) {
        let first_retained_segment = self.first_retained_segment(at.clock);
        self.next_swap.retain(|_, due| *due > at.now);
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in ids {
            self.advance(shard, at, effects);
        }
        self.shards
            .retain(|shard, state| shard.segment >= first_retained_segment || state.is_awaited());
        self.evict();
    }

    /// Evicts the oldest idle shards beyond the limit on cached shards.
    fn evict(&mut self) {
        let idle = |state: &ShardState| state.is_idle();
        let cached = self.shards.values().filter(|state| idle(state)).count();
        let mut surplus = cached.saturating_sub(self.cfg.max_cached);
        self.shards.retain(|_, state| {
            let drop = surplus > 0 && idle(state);
            surplus -= usize::from(drop);
            !drop
        });
    }
}

pub(super) fn refuse(
    effects: &mut Effects,
    attempt: AttemptId,
    reason: reason::Refusal,
    outcome: outcome::Outcome,
) {
    let may_help = reason.status() == 503;
    effects.push(Effect::Answer {
        attempt,
        answer: Answer::Refused {
            reason,
            outcome,
            retry_after: may_help.then_some(BUSY_DELAY),
        },
    });
}
