//! The machine of the journal on one host.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::journal::work::{Call, Waiting, Work};
use crate::journal::{
    ActionKey, Answer, AttemptId, CallId, Config, Effect, Effects, End, Event, Fingerprint,
    ShardId, State, Stored, UnixMillis,
};
use crate::{outcome, reason, time};

/// Delay after which a caller may try again when the journal cannot take its action.
const BUSY_DELAY: Duration = Duration::from_secs(1);

/// A caller's request for an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Begin {
    /// New id of the attempt.
    pub attempt: AttemptId,
    /// Key of the action.
    pub key: ActionKey,
    /// Hash of what the action asks for.
    pub fingerprint: Fingerprint,
    /// Time after which the attempt must not be dispatched.
    pub until: UnixMillis,
}

/// The journal as one host works with it.
#[derive(Clone, Debug, Hash)]
pub struct Journal {
    pub(super) cfg: Config,
    pub(super) works: BTreeMap<ShardId, Work>,
    /// Dispatched attempts whose end was not reported yet.
    pub(super) running: BTreeMap<AttemptId, ActionKey>,
    /// Shard of each call under way.
    pub(super) calls: BTreeMap<CallId, ShardId>,
    pub(super) next_call: CallId,
    /// Earliest next swap of each slot.
    pub(super) paced: BTreeMap<u16, time::Time>,
}

/// Time of an event on the two clocks of the host.
#[derive(Clone, Copy)]
pub(super) struct Moment {
    pub(super) now: time::Time,
    pub(super) clock: UnixMillis,
}

impl Journal {
    /// Makes a journal without work.
    #[must_use]
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            works: BTreeMap::new(),
            running: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: CallId(0),
            paced: BTreeMap::new(),
        }
    }

    /// Takes an event.
    ///
    /// `clock` has to be read after the event happened: the check of the retention window before a
    /// dispatch depends on it.
    pub fn handle(&mut self, event: Event, now: time::Time, clock: UnixMillis) -> Effects {
        let at = Moment { now, clock };
        let mut effects = Effects::new();
        match event {
            Event::Begin(begin) => self.begin(begin, at, &mut effects),
            Event::Cancel(attempt) => self.cancel(attempt, at),
            Event::Finished { attempt, end } => self.finished(attempt, end, at, &mut effects),
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

    /// When the next [`Event::Tick`] is needed at the latest, apart from one a second while
    /// anything waits.
    #[must_use]
    pub fn wakeup(&self) -> Option<time::Time> {
        let due = |(shard, work): (&ShardId, &Work)| {
            let paced = self.paced.get(&shard.slot).copied().unwrap_or_default();
            let reserve = (!work.waiting.is_empty()).then_some(paced);
            let record = work.outbox.due().map(|due| due.max(paced));
            let call = work.call.is_none();
            reserve.into_iter().chain(record).min().filter(|_| call)
        };
        self.works.iter().filter_map(due).min()
    }

    /// Whether nothing waits, runs or has to be recorded.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.works.values().all(Work::is_idle)
    }

    /// First segment that has to be kept. The shards of earlier ones may be deleted.
    #[must_use]
    pub const fn first_kept_segment(&self, clock: UnixMillis) -> u64 {
        self.cfg.window.first_kept(clock)
    }

    /// Attempts that wait, run or have to be recorded.
    #[must_use]
    pub fn load(&self) -> usize {
        let work = |work: &Work| work.waiting.len() + work.outbox.len();
        self.running.len() + self.works.values().map(work).sum::<usize>()
    }

    fn begin(&mut self, begin: Begin, at: Moment, effects: &mut Effects) {
        if let Err(reason) = self.cfg.window.check(&begin.key, at.clock) {
            return answer(effects, begin.attempt, reason, outcome::Outcome::Unknown);
        }
        let shard = self.cfg.shard(&begin.key);
        let waiting = self.works.get(&shard).map_or(0, |work| work.waiting.len());
        if waiting >= self.cfg.max_waiting || self.load() >= self.cfg.max_running {
            let reason = reason::Refusal::JournalFull;
            return answer(effects, begin.attempt, reason, outcome::Outcome::NotRun);
        }
        self.evict();
        self.works.entry(shard).or_default().waiting.push(Waiting {
            begin,
            compared: false,
            exposed: false,
        });
        self.advance(shard, at, effects);
    }

    fn cancel(&mut self, attempt: AttemptId, at: Moment) {
        let due = at.now + self.cfg.outcome_linger();
        for work in self.works.values_mut() {
            let found = work
                .waiting
                .iter()
                .position(|waiting| waiting.begin.attempt == attempt);
            if let Some(i) = found {
                let waiting = work.waiting.remove(i);
                work.abandon(&waiting, due);
            }
        }
    }

    fn finished(&mut self, attempt: AttemptId, end: End, at: Moment, effects: &mut Effects) {
        let Some(key) = self.running.remove(&attempt) else {
            return;
        };
        let state = match end {
            End::NotRun => State::NotRun,
            End::Unknown => State::Unknown,
            End::Run(recorded) => State::Run(recorded),
        };
        let shard = self.cfg.shard(&key);
        // A caller that was told "not run" may come back at once.
        let due = match state {
            State::NotRun => at.now,
            _ => at.now + self.cfg.outcome_linger(),
        };
        let work = self.works.entry(shard).or_default();
        work.outbox.push(key.hash, attempt, state, due);
        self.advance(shard, at, effects);
    }

    /// Takes a call off the calls under way. A late answer to a call that was given up finds none.
    fn answered(&mut self, call: CallId) -> Option<(ShardId, Call)> {
        let shard = self.calls.remove(&call)?;
        let (_, under_way) = self.works.get_mut(&shard)?.call.take()?;
        Some((shard, under_way))
    }

    fn loaded(&mut self, call: CallId, stored: Stored, at: Moment, effects: &mut Effects) {
        let Some((shard, _)) = self.answered(call) else {
            return;
        };
        self.works.entry(shard).or_default().learn(stored);
        self.advance(shard, at, effects);
    }

    fn swapped(
        &mut self,
        call: CallId,
        revision: crate::journal::ModRevision,
        at: Moment,
        effects: &mut Effects,
    ) {
        let Some((shard, Call::Swap { content, .. })) = self.answered(call) else {
            return;
        };
        let work = self.works.entry(shard).or_default();
        work.unexpose();
        work.learn(Stored {
            revision,
            shard: content,
        });
        self.advance(shard, at, effects);
    }

    fn conflict(&mut self, call: CallId, stored: Stored, at: Moment, effects: &mut Effects) {
        let Some((shard, _)) = self.answered(call) else {
            return;
        };
        let work = self.works.entry(shard).or_default();
        work.unexpose();
        work.learn(stored);
        self.advance(shard, at, effects);
    }

    /// Reads the shard back after the answer to a swap was lost.
    fn swap_unknown(&mut self, call: CallId, at: Moment, effects: &mut Effects) {
        let Some((shard, Call::Swap { batch, .. })) = self.answered(call) else {
            return;
        };
        let work = self.works.entry(shard).or_default();
        work.expose(&batch);
        work.known = None;
        self.advance(shard, at, effects);
    }

    /// Refuses everything that waits for the shard, because the service cannot be reached.
    fn store_failed(&mut self, call: CallId, at: Moment, effects: &mut Effects) {
        let Some((shard, _)) = self.answered(call) else {
            return;
        };
        let retry = at.now + self.cfg.outcome_linger();
        let work = self.works.entry(shard).or_default();
        work.known = None;
        for waiting in std::mem::take(&mut work.waiting) {
            work.abandon(&waiting, retry);
            let reason = reason::Refusal::StoreUnavailable;
            let attempt = waiting.begin.attempt;
            answer(effects, attempt, reason, outcome::Outcome::NotRun);
        }
        work.outbox.postpone(retry);
    }

    fn tick(&mut self, at: Moment, effects: &mut Effects) {
        let first_kept = self.first_kept_segment(at.clock);
        self.paced.retain(|_, due| *due > at.now);
        let shards: Vec<ShardId> = self.works.keys().copied().collect();
        for shard in shards {
            self.advance(shard, at, effects);
        }
        self.works
            .retain(|shard, work| shard.segment >= first_kept || work.is_awaited());
        self.evict();
    }

    /// Drops the content of the oldest shards that nothing waits for.
    fn evict(&mut self) {
        let idle = |work: &Work| work.is_idle();
        let cached = self.works.values().filter(|work| idle(work)).count();
        let mut surplus = cached.saturating_sub(self.cfg.max_cached);
        self.works.retain(|_, work| {
            let drop = surplus > 0 && idle(work);
            surplus -= usize::from(drop);
            !drop
        });
    }
}

pub(super) fn answer(
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
