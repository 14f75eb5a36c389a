//! Progress of one shard after an event: answers attempts, dispatches them and makes the next call.

use crate::journal::machine::{EventTime, refuse};
use crate::journal::shard_state::{Call, Disposition, decide, reservation};
use crate::journal::{
    AttemptId, CallId, Effect, Effects, Journal, NewAttempt, Shard, ShardId, StoredShard,
    UnixMillis, Window,
};
use crate::{outcome, reason};

impl Journal {
    /// Answers and dispatches the attempts of a shard that can be decided now, and makes the next
    /// call if one is due.
    pub(super) fn advance(&mut self, shard: ShardId, at: EventTime, effects: &mut Effects) {
        self.refuse_expired(shard, at, effects);
        let Some(state) = self.shards.get(&shard) else {
            return;
        };
        if state.call.is_some() || state.is_idle() {
            return;
        }
        let Some(cached) = state.cached.clone() else {
            return self.read_when_due(shard, at, effects);
        };
        match self.resolve_waiting(shard, &cached, at, effects) {
            Some(next) => self.swap_when_due(shard, cached, next, at, effects),
            None => self.read(shard, effects),
        }
    }

    /// Refuses the attempts that are too old to be dispatched.
    ///
    /// This check also follows the confirmation of a reservation: a key whose earlier run was in a
    /// shard that was deleted before the reservation took effect is refused here.
    fn refuse_expired(&mut self, shard: ShardId, at: EventTime, effects: &mut Effects) {
        let due = at.now + self.cfg.outcome_linger();
        let window = self.cfg.window;
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        for waiting in std::mem::take(&mut state.waiting) {
            match check_age(&window, &waiting.begin, at.clock) {
                None => state.waiting.push(waiting),
                Some((reason, outcome)) => {
                    state.abandon(&waiting, due);
                    refuse(effects, waiting.begin.attempt, reason, outcome);
                }
            }
        }
    }

    /// Reads a shard whose content is not cached if an attempt waits for it or an outcome is due.
    fn read_when_due(&mut self, shard: ShardId, at: EventTime, effects: &mut Effects) {
        let state = self.shards.entry(shard).or_default();
        let record_due = state.outbox.due().is_some_and(|due| due <= at.now);
        if !state.waiting.is_empty() || record_due {
            self.read(shard, effects);
        }
    }

    /// Answers or dispatches the waiting attempts that the cached content decides. Returns the
    /// content of the next swap and the attempts that it reserves, or `None` if the shard has to be
    /// read first.
    fn resolve_waiting(
        &mut self,
        shard: ShardId,
        cached: &StoredShard,
        at: EventTime,
        effects: &mut Effects,
    ) -> Option<(Shard, Vec<AttemptId>)> {
        let state = self.shards.get_mut(&shard)?;
        let mut next = cached.shard.clone();
        state.outbox.apply(&mut next);
        let mut batch = Vec::new();
        let mut read = false;
        let mut kept = Vec::new();
        let mut confirmed = Vec::new();
        for waiting in std::mem::take(&mut state.waiting) {
            let attempt = waiting.begin.attempt;
            match decide(
                &waiting,
                &cached.shard,
                &next,
                at.clock,
                self.cfg.window.skew_ms,
            ) {
                Disposition::Confirmed => confirmed.push(waiting),
                Disposition::Answer(answer) => effects.push(Effect::Answer { attempt, answer }),
                Disposition::Reserve if next.has_room(&waiting.begin.key.hash) => {
                    next.insert(waiting.begin.key.hash, reservation(&waiting.begin));
                    batch.push(attempt);
                    kept.push(waiting);
                }
                Disposition::Reserve => {
                    let due = at.now + self.cfg.outcome_linger();
                    state.abandon(&waiting, due);
                    let reason = reason::Refusal::JournalFull;
                    refuse(effects, attempt, reason, outcome::Outcome::NotRun);
                }
                Disposition::Defer => kept.push(waiting),
                Disposition::ReadFirst => {
                    read = true;
                    kept.push(waiting);
                }
            }
        }
        state.waiting = kept;
        for waiting in confirmed {
            self.dispatch(&waiting.begin, effects);
        }
        (!read).then_some((next, batch))
    }

    /// Dispatches an attempt whose reservation is confirmed.
    fn dispatch(&mut self, begin: &NewAttempt, effects: &mut Effects) {
        let NewAttempt { attempt, key, .. } = *begin;
        let newest = key.issued_at.plus(self.cfg.window.retention_ms);
        self.dispatched.insert(attempt, key);
        effects.push(Effect::Dispatch {
            attempt,
            key,
            not_after: begin.not_after.min(newest),
        });
    }

    /// Swaps the shard if there is something to write and the swap interval of its slot has passed.
    fn swap_when_due(
        &mut self,
        shard: ShardId,
        cached: StoredShard,
        next: (Shard, Vec<AttemptId>),
        at: EventTime,
        effects: &mut Effects,
    ) {
        let (content, batch) = next;
        let state = self.shards.entry(shard).or_default();
        let record_due = state.outbox.due().is_some_and(|due| due <= at.now);
        let paced = self
            .next_swap
            .get(&shard.slot)
            .is_some_and(|due| at.now < *due);
        if paced || (batch.is_empty() && !record_due) {
            return;
        }
        let call = self.next_call(shard);
        self.next_swap
            .insert(shard.slot, at.now + self.cfg.swap_interval());
        effects.push(Effect::Swap {
            call,
            shard,
            expected: cached.revision,
            content: content.clone(),
        });
        let state = self.shards.entry(shard).or_default();
        state.call = Some((call, Call::Swap { content, batch }));
    }

    fn read(&mut self, shard: ShardId, effects: &mut Effects) {
        let call = self.next_call(shard);
        effects.push(Effect::Read { call, shard });
        self.shards.entry(shard).or_default().call = Some((call, Call::Read));
    }

    fn next_call(&mut self, shard: ShardId) -> CallId {
        let call = self.next_call;
        self.next_call = CallId(call.0 + 1);
        self.calls.insert(call, shard);
        call
    }
}

/// Reason for which an attempt is too old to be dispatched, with the outcome to report. `None` if
/// it may be dispatched.
fn check_age(
    window: &Window,
    begin: &NewAttempt,
    clock: UnixMillis,
) -> Option<(reason::Refusal, outcome::Outcome)> {
    if let Err(reason) = window.check(&begin.key, clock) {
        return Some((reason, outcome::Outcome::Unknown));
    }
    (clock > begin.not_after).then_some((reason::Refusal::Deadline, outcome::Outcome::NotRun))
}
