//! What a host does at one shard once something has changed: answers, dispatches, the next call.

use crate::journal::machine::{Moment, answer};
use crate::journal::work::{Call, Verdict, judge, reservation};
use crate::journal::{
    AttemptId, Begin, CallId, Effect, Effects, Journal, Shard, ShardId, Stored, UnixMillis, Window,
};
use crate::{outcome, reason};

impl Journal {
    /// Does what can be done at a shard: answers, dispatches and the next call.
    pub(super) fn advance(&mut self, shard: ShardId, at: Moment, effects: &mut Effects) {
        self.expire(shard, at, effects);
        let Some(work) = self.works.get(&shard) else {
            return;
        };
        if work.call.is_some() || work.is_idle() {
            return;
        }
        let Some(known) = work.known.clone() else {
            return self.read_when_due(shard, at, effects);
        };
        match self.settle(shard, &known, at, effects) {
            Some(next) => self.swap_when_due(shard, known, next, at, effects),
            None => self.read(shard, effects),
        }
    }

    /// Answers the attempts that must not be dispatched any more.
    ///
    /// This is the check that follows a confirmation. If the shard of an earlier run of the key
    /// was deleted before the reservation took effect, the key is refused here.
    fn expire(&mut self, shard: ShardId, at: Moment, effects: &mut Effects) {
        let due = at.now + self.cfg.outcome_linger();
        let window = self.cfg.window;
        let Some(work) = self.works.get_mut(&shard) else {
            return;
        };
        for waiting in std::mem::take(&mut work.waiting) {
            match refusal_of_age(&window, &waiting.begin, at.clock) {
                None => work.waiting.push(waiting),
                Some((reason, outcome)) => {
                    work.abandon(&waiting, due);
                    answer(effects, waiting.begin.attempt, reason, outcome);
                }
            }
        }
    }

    /// Reads a shard whose content is not known, at once if an attempt waits for it.
    fn read_when_due(&mut self, shard: ShardId, at: Moment, effects: &mut Effects) {
        let work = self.works.entry(shard).or_default();
        let record_due = work.outbox.due().is_some_and(|due| due <= at.now);
        if !work.waiting.is_empty() || record_due {
            self.read(shard, effects);
        }
    }

    /// Answers and dispatches what the content of the shard decides, and returns the content with
    /// the reservations of the next swap, or `None` if the shard has to be read first.
    fn settle(
        &mut self,
        shard: ShardId,
        known: &Stored,
        at: Moment,
        effects: &mut Effects,
    ) -> Option<(Shard, Vec<AttemptId>)> {
        let work = self.works.get_mut(&shard)?;
        let mut next = known.shard.clone();
        work.outbox.apply(&mut next);
        let mut batch = Vec::new();
        let mut read = false;
        let mut kept = Vec::new();
        let mut confirmed = Vec::new();
        for waiting in std::mem::take(&mut work.waiting) {
            let attempt = waiting.begin.attempt;
            match judge(
                &waiting,
                &known.shard,
                &next,
                at.clock,
                self.cfg.window.skew_ms,
            ) {
                Verdict::Confirmed => confirmed.push(waiting),
                Verdict::Answer(answer) => effects.push(Effect::Answer { attempt, answer }),
                Verdict::Reserve if next.has_room(&waiting.begin.key.hash) => {
                    next.insert(waiting.begin.key.hash, reservation(&waiting.begin));
                    batch.push(attempt);
                    kept.push(waiting);
                }
                Verdict::Reserve => {
                    let due = at.now + self.cfg.outcome_linger();
                    work.abandon(&waiting, due);
                    let reason = reason::Refusal::JournalFull;
                    answer(effects, attempt, reason, outcome::Outcome::NotRun);
                }
                Verdict::Later => kept.push(waiting),
                Verdict::Read => {
                    read = true;
                    kept.push(waiting);
                }
            }
        }
        work.waiting = kept;
        for waiting in confirmed {
            self.permit(&waiting.begin, effects);
        }
        (!read).then_some((next, batch))
    }

    /// Dispatches an attempt whose reservation is confirmed.
    fn permit(&mut self, begin: &Begin, effects: &mut Effects) {
        let Begin { attempt, key, .. } = *begin;
        let newest = key.at.plus(self.cfg.window.retention_ms);
        self.running.insert(attempt, key);
        effects.push(Effect::Dispatch {
            attempt,
            key,
            not_after: begin.until.min(newest),
        });
    }

    /// Changes the shard if there is something to write and the pace of its slot allows it.
    fn swap_when_due(
        &mut self,
        shard: ShardId,
        known: Stored,
        next: (Shard, Vec<AttemptId>),
        at: Moment,
        effects: &mut Effects,
    ) {
        let (content, batch) = next;
        let work = self.works.entry(shard).or_default();
        let record_due = work.outbox.due().is_some_and(|due| due <= at.now);
        let paced = self.paced.get(&shard.slot).is_some_and(|due| at.now < *due);
        if paced || (batch.is_empty() && !record_due) {
            return;
        }
        let call = self.next_call(shard);
        self.paced
            .insert(shard.slot, at.now + self.cfg.swap_interval());
        effects.push(Effect::Swap {
            call,
            shard,
            expected: known.revision,
            content: content.clone(),
        });
        let work = self.works.entry(shard).or_default();
        work.call = Some((call, Call::Swap { content, batch }));
    }

    fn read(&mut self, shard: ShardId, effects: &mut Effects) {
        let call = self.next_call(shard);
        effects.push(Effect::Read { call, shard });
        self.works.entry(shard).or_default().call = Some((call, Call::Read));
    }

    fn next_call(&mut self, shard: ShardId) -> CallId {
        let call = self.next_call;
        self.next_call = CallId(call.0 + 1);
        self.calls.insert(call, shard);
        call
    }
}

/// Why an attempt is too old to be dispatched, and what is known of its action.
fn refusal_of_age(
    window: &Window,
    begin: &Begin,
    clock: UnixMillis,
) -> Option<(reason::Refusal, outcome::Outcome)> {
    if let Err(reason) = window.check(&begin.key, clock) {
        return Some((reason, outcome::Outcome::Unknown));
    }
    (clock > begin.until).then_some((reason::Refusal::Deadline, outcome::Outcome::NotRun))
}
