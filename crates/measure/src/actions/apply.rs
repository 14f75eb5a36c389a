//! What each step of a trial does.

use bytes::Bytes;
use pistachiochute_core::{journal, outcome, reason};

use crate::actions::action::Action;
use crate::actions::world::{
    Answered, Call, Request, Stage, Variant, Violation, World, attempt_id, attempt_number,
    fingerprint, journal_config,
};

/// Base of the status that the endpoint answers; the attempt's number is added, so that every
/// answer tells whose it is.
const STATUS_BASE: u16 = 200;

impl World {
    /// Takes a step.
    ///
    /// # Errors
    ///
    /// Returns the promise that the step breaks.
    pub fn apply(&mut self, action: Action) -> Result<(), Violation> {
        match action {
            Action::Begin {
                host,
                key,
                other_body,
            } => self.begin(host, key, other_body)?,
            Action::Serve(i) => self.serve(i),
            Action::ServeSilently(i) => self.serve_silently(i),
            Action::Delay(i) => self.delay(i),
            Action::Refuse(i) => self.refuse(i),
            Action::Late(i) => {
                let call = self.late.remove(i);
                self.carry_out(&call);
            }
            Action::Deliver(host) => self.deliver(host)?,
            Action::Dispatch(i) => self.dispatch(i)?,
            Action::ConnectFails(i) => {
                self.left.endpoint_faults -= 1;
                self.finish(i, journal::AttemptResult::NotRun)?;
            }
            Action::ConnectionLost(i) => self.connection_lost(i)?,
            Action::Answer(i) => self.answer(i)?,
            Action::Cancel(i) => self.cancel(i)?,
            Action::Kill(host) => self.kill(host),
            Action::Prune(host) => self.prune(host),
            Action::Tick(host) => self.event(host, journal::Event::Tick)?,
            Action::Advance => self.phase += 1,
        }
        self.violation().map_or(Ok(()), Err)
    }

    fn begin(&mut self, host: usize, key: u8, other_body: bool) -> Result<(), Violation> {
        self.left.begins -= 1;
        self.left.reuses -= u8::from(other_body);
        let attempt = self.requests.len();
        self.requests.push(Request {
            key,
            fingerprint: fingerprint(other_body),
            host,
            stage: Stage::Journal,
            ran: false,
            told: None,
            came: self.clock(host),
        });
        let begin = self.begin_event(attempt);
        self.event(host, journal::Event::Begin(begin))
    }

    /// Gives an event to the journal of a host and takes up its effects.
    fn event(&mut self, host: usize, event: journal::Event) -> Result<(), Violation> {
        let clock = self.clock_seen(host);
        let now = self.now();
        self.hosts[host].phase = self.phase;
        let effects = self.hosts[host].journal.handle(event, now, clock);
        for effect in effects {
            self.effect(host, effect)?;
        }
        Ok(())
    }

    /// Clock that the journal is given.
    fn clock_seen(&self, host: usize) -> journal::UnixMillis {
        let arrivals = self.requests.iter().filter(|req| req.host == host);
        match self.variant {
            Variant::ClockOfArrival => arrivals
                .map(|req| req.came)
                .max()
                .unwrap_or_else(|| self.clock(host)),
            _ => self.clock(host),
        }
    }

    fn effect(&mut self, host: usize, effect: journal::Effect) -> Result<(), Violation> {
        match effect {
            journal::Effect::Read { call, shard } => self.calls.push(Call {
                host,
                id: call,
                shard,
                swap: None,
            }),
            journal::Effect::Swap {
                call,
                shard,
                expected,
                content,
            } => {
                self.shortcut(&content);
                self.calls.push(Call {
                    host,
                    id: call,
                    shard,
                    swap: Some((expected, content)),
                });
            }
            journal::Effect::Dispatch {
                attempt, not_after, ..
            } => {
                let req = &mut self.requests[attempt_number(attempt)];
                if req.stage == Stage::Journal {
                    req.stage = Stage::Permitted { not_after };
                }
            }
            journal::Effect::Answer { attempt, answer } => {
                self.told(attempt_number(attempt), &answer)?;
            }
        }
        Ok(())
    }

    /// Dispatches the attempts of a swap that was only just sent, in the variant that does so.
    fn shortcut(&mut self, content: &journal::Shard) {
        if self.variant != Variant::DispatchBeforeConfirmation {
            return;
        }
        for i in 0..self.requests.len() {
            let key = self.begin_event(i).key.hash;
            let mine = content
                .get(&key)
                .is_some_and(|r| r.attempt == attempt_id(i));
            if mine && self.requests[i].stage == Stage::Journal {
                let not_after = journal::UnixMillis(u64::MAX);
                self.requests[i].stage = Stage::Permitted { not_after };
            }
        }
    }

    /// Checks what a caller is told without an answer of the endpoint to its own request.
    fn told(&mut self, i: usize, answer: &journal::Answer) -> Result<(), Violation> {
        let outcome = match answer {
            journal::Answer::Recorded(recorded) => {
                let writer = usize::from(recorded.status - STATUS_BASE);
                let source = self.requests.get(writer).ok_or(Violation::WrongAnswer)?;
                let same = source.ran
                    && source.key == self.requests[i].key
                    && source.fingerprint == self.requests[i].fingerprint;
                if !same {
                    return Err(Violation::WrongAnswer);
                }
                outcome::Outcome::Run
            }
            journal::Answer::Refused {
                reason, outcome, ..
            } => {
                let reused = *reason == reason::Refusal::KeyReused;
                let mine = &self.requests[i];
                let differs =
                    |req: &Request| req.key == mine.key && req.fingerprint != mine.fingerprint;
                if reused && !self.requests.iter().any(differs) {
                    return Err(Violation::FalseReuse);
                }
                *outcome
            }
        };
        let req = &mut self.requests[i];
        req.told = Some(outcome);
        if req.stage == Stage::Journal {
            req.stage = Stage::Over;
        }
        Ok(())
    }

    /// Carries out a call at the service and returns its answer.
    fn carry_out(&mut self, call: &Call) -> Answered {
        let stored = self.store.get(&call.shard).cloned().unwrap_or_default();
        let Some((expected, content)) = &call.swap else {
            return Answered::Loaded(call.id, stored);
        };
        if stored.revision != *expected {
            return Answered::Conflict(call.id, stored);
        }
        self.revision += 1;
        let revision = journal::ModRevision(self.revision);
        let shard = content.clone();
        self.store
            .insert(call.shard, journal::StoredShard { revision, shard });
        Answered::Swapped(call.id, revision)
    }

    fn serve(&mut self, i: usize) {
        let call = self.calls.remove(i);
        let answered = self.carry_out(&call);
        self.hosts[call.host].inbox.push(answered);
    }

    fn serve_silently(&mut self, i: usize) {
        self.left.store_faults -= 1;
        let call = self.calls.remove(i);
        self.carry_out(&call);
        self.hosts[call.host]
            .inbox
            .push(Answered::SwapUnknown(call.id));
    }

    fn delay(&mut self, i: usize) {
        self.left.store_faults -= 1;
        let call = self.calls.remove(i);
        self.hosts[call.host]
            .inbox
            .push(Answered::SwapUnknown(call.id));
        self.late.push(call);
    }

    fn refuse(&mut self, i: usize) {
        self.left.store_faults -= 1;
        let call = self.calls.remove(i);
        let answered = match call.swap {
            Some(_) => Answered::SwapFailed(call.id),
            None => Answered::ReadFailed(call.id),
        };
        self.hosts[call.host].inbox.push(answered);
    }

    fn deliver(&mut self, host: usize) -> Result<(), Violation> {
        let event = match self.hosts[host].inbox.remove(0) {
            Answered::Loaded(call, stored) => journal::Event::Loaded { call, stored },
            Answered::ReadFailed(call) => journal::Event::ReadFailed(call),
            Answered::Swapped(call, revision) => journal::Event::Swapped { call, revision },
            Answered::Conflict(call, stored) => journal::Event::Conflict { call, stored },
            Answered::SwapFailed(call) => journal::Event::SwapFailed(call),
            Answered::SwapUnknown(call) if self.variant == Variant::LostAnswerIsSuccess => {
                let revision = journal::ModRevision(self.revision);
                journal::Event::Swapped { call, revision }
            }
            Answered::SwapUnknown(call) => journal::Event::SwapUnknown(call),
        };
        self.event(host, event)
    }

    /// Runs a request at the endpoint, if its time has not passed.
    fn dispatch(&mut self, i: usize) -> Result<(), Violation> {
        let Stage::Permitted { not_after } = self.requests[i].stage else {
            return Ok(());
        };
        if self.clock_seen(self.requests[i].host) > not_after {
            return self.finish(i, journal::AttemptResult::NotRun);
        }
        let req = &mut self.requests[i];
        req.stage = Stage::Ran;
        req.ran = true;
        Ok(())
    }

    fn connection_lost(&mut self, i: usize) -> Result<(), Violation> {
        self.left.endpoint_faults -= 1;
        let result = match self.variant {
            Variant::LostDispatchIsNotRun => journal::AttemptResult::NotRun,
            _ => journal::AttemptResult::Unknown,
        };
        self.finish(i, result)
    }

    fn answer(&mut self, i: usize) -> Result<(), Violation> {
        let status = STATUS_BASE + i as u16;
        let body = Bytes::from_static(b"done");
        let recorded = journal::RecordedAnswer::new(status, &Bytes::new(), &body);
        self.finish(i, journal::AttemptResult::Run(recorded))
    }

    /// Ends a request that was permitted, at its caller and in the journal.
    fn finish(&mut self, i: usize, result: journal::AttemptResult) -> Result<(), Violation> {
        let req = &mut self.requests[i];
        req.stage = Stage::Over;
        req.told = Some(match &result {
            journal::AttemptResult::NotRun => outcome::Outcome::NotRun,
            journal::AttemptResult::Unknown => outcome::Outcome::Unknown,
            journal::AttemptResult::Run(_) => outcome::Outcome::Run,
        });
        let host = req.host;
        let attempt = attempt_id(i);
        self.event(host, journal::Event::Finished { attempt, result })
    }

    fn cancel(&mut self, i: usize) -> Result<(), Violation> {
        self.left.cancels -= 1;
        let req = &mut self.requests[i];
        req.stage = Stage::Over;
        let host = req.host;
        self.event(host, journal::Event::Cancel(attempt_id(i)))
    }

    /// Replaces a host by one that knows nothing. What it sent may still take effect.
    fn kill(&mut self, host: usize) {
        self.left.kills -= 1;
        self.hosts[host].journal = journal::Journal::new(journal_config());
        self.hosts[host].inbox.clear();
        let (dead, alive) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.host == host);
        self.calls = alive;
        self.late.extend::<Vec<Call>>(dead);
        self.late.retain(|call| call.swap.is_some());
        for i in 0..self.requests.len() {
            let req = &mut self.requests[i];
            if req.host == host && req.stage != Stage::Over {
                req.stage = Stage::Over;
            }
        }
    }

    /// Whether a host may delete a shard.
    pub(super) fn may_prune(&self, host: usize) -> bool {
        let first_kept = self.first_kept(host);
        self.store.keys().any(|shard| shard.segment < first_kept)
    }

    fn first_kept(&self, host: usize) -> u64 {
        let mut window = journal_config().window;
        if self.variant == Variant::PruneWithoutSkew {
            window.skew_ms = 0;
        }
        window.first_retained_segment(self.clock(host))
    }

    fn prune(&mut self, host: usize) {
        let first_kept = self.first_kept(host);
        self.store.retain(|shard, _| shard.segment >= first_kept);
    }
}
