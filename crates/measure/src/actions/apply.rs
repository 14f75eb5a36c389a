//! Effect of each step on the model.

use bytes::Bytes;
use pistachiochute_core::{journal, outcome, reason};

use crate::actions::model::{
    Call, CallResult, Model, Request, Stage, Variant, Violation, attempt_id, attempt_number,
    fingerprint, journal_config,
};
use crate::actions::step::Step;

/// The endpoint answers with this status plus the attempt's number, so that each answer identifies
/// its attempt.
const BASE_STATUS: u16 = 200;

impl Model {
    /// Takes a step.
    ///
    /// # Errors
    ///
    /// Returns the guarantee that the step violates.
    pub fn apply(&mut self, step: Step) -> Result<(), Violation> {
        match step {
            Step::SendRequest {
                host,
                key,
                other_body,
            } => self.send_request(host, key, other_body)?,
            Step::ServeCall(i) => self.serve_call(i),
            Step::LoseCallAnswer(i) => self.lose_call_answer(i),
            Step::DelayCall(i) => self.delay_call(i),
            Step::FailCall(i) => self.fail_call(i),
            Step::ApplyDelayedCall(i) => {
                let call = self.delayed.remove(i);
                self.execute_call(&call);
            }
            Step::DeliverCallAnswer(host) => self.deliver_call_answer(host)?,
            Step::Dispatch(i) => self.dispatch(i)?,
            Step::FailConnect(i) => {
                self.remaining.endpoint_faults -= 1;
                self.finish(i, journal::AttemptResult::NotRun)?;
            }
            Step::LoseConnection(i) => self.lose_connection(i)?,
            Step::DeliverEndpointAnswer(i) => self.deliver_endpoint_answer(i)?,
            Step::Cancel(i) => self.cancel(i)?,
            Step::Kill(host) => self.kill(host),
            Step::Prune(host) => self.prune(host),
            Step::Tick(host) => self.handle_event(host, journal::Event::Tick)?,
            Step::AdvancePhase => self.phase += 1,
        }
        self.violation().map_or(Ok(()), Err)
    }

    fn send_request(&mut self, host: usize, key: u8, other_body: bool) -> Result<(), Violation> {
        self.remaining.requests -= 1;
        self.remaining.key_reuses -= u8::from(other_body);
        let attempt = self.requests.len();
        self.requests.push(Request {
            key,
            fingerprint: fingerprint(other_body),
            host,
            stage: Stage::InJournal,
            ran: false,
            reported_outcome: None,
            arrived_at: self.clock(host),
        });
        let begin = self.new_attempt(attempt);
        self.handle_event(host, journal::Event::Begin(begin))
    }

    /// Passes an event to the journal of a host and applies its effects.
    fn handle_event(&mut self, host: usize, event: journal::Event) -> Result<(), Violation> {
        let clock = self.journal_clock(host);
        let now = self.now();
        self.hosts[host].phase = self.phase;
        let effects = self.hosts[host].journal.handle(event, now, clock);
        for effect in effects {
            self.apply_effect(host, effect)?;
        }
        Ok(())
    }

    /// Wall-clock reading that the journal of a host gets. It is stale in
    /// [`Variant::ClockAtArrival`].
    fn journal_clock(&self, host: usize) -> journal::UnixMillis {
        let arrivals = self.requests.iter().filter(|req| req.host == host);
        match self.variant {
            Variant::ClockAtArrival => arrivals
                .map(|req| req.arrived_at)
                .max()
                .unwrap_or_else(|| self.clock(host)),
            _ => self.clock(host),
        }
    }

    fn apply_effect(&mut self, host: usize, effect: journal::Effect) -> Result<(), Violation> {
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
                self.dispatch_unconfirmed(&content);
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
                if req.stage == Stage::InJournal {
                    req.stage = Stage::Permitted { not_after };
                }
            }
            journal::Effect::Answer { attempt, answer } => {
                self.check_answer(attempt_number(attempt), &answer)?;
            }
        }
        Ok(())
    }

    /// In [`Variant::DispatchBeforeConfirmation`], permits the dispatch of the attempts that a swap
    /// reserves, although the swap is not confirmed yet.
    fn dispatch_unconfirmed(&mut self, content: &journal::Shard) {
        if self.variant != Variant::DispatchBeforeConfirmation {
            return;
        }
        for i in 0..self.requests.len() {
            let key = self.new_attempt(i).key.hash;
            let mine = content
                .get(&key)
                .is_some_and(|r| r.attempt == attempt_id(i));
            if mine && self.requests[i].stage == Stage::InJournal {
                let not_after = journal::UnixMillis(u64::MAX);
                self.requests[i].stage = Stage::Permitted { not_after };
            }
        }
    }

    /// Checks and records an answer that the journal gives to a caller instead of dispatching the
    /// request.
    fn check_answer(&mut self, i: usize, answer: &journal::Answer) -> Result<(), Violation> {
        let outcome = match answer {
            journal::Answer::Recorded(recorded) => {
                let writer = usize::from(recorded.status - BASE_STATUS);
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
        req.reported_outcome = Some(outcome);
        if req.stage == Stage::InJournal {
            req.stage = Stage::Ended;
        }
        Ok(())
    }

    /// Executes a call at the key-value service and returns its result.
    fn execute_call(&mut self, call: &Call) -> CallResult {
        let stored = self.store.get(&call.shard).cloned().unwrap_or_default();
        let Some((expected, content)) = &call.swap else {
            return CallResult::Loaded(call.id, stored);
        };
        if stored.revision != *expected {
            return CallResult::Conflict(call.id, stored);
        }
        self.revision += 1;
        let revision = journal::ModRevision(self.revision);
        let shard = content.clone();
        self.store
            .insert(call.shard, journal::StoredShard { revision, shard });
        CallResult::Swapped(call.id, revision)
    }

    fn serve_call(&mut self, i: usize) {
        let call = self.calls.remove(i);
        let result = self.execute_call(&call);
        self.hosts[call.host].inbox.push(result);
    }

    fn lose_call_answer(&mut self, i: usize) {
        self.remaining.store_faults -= 1;
        let call = self.calls.remove(i);
        self.execute_call(&call);
        self.hosts[call.host]
            .inbox
            .push(CallResult::SwapUnknown(call.id));
    }

    fn delay_call(&mut self, i: usize) {
        self.remaining.store_faults -= 1;
        let call = self.calls.remove(i);
        self.hosts[call.host]
            .inbox
            .push(CallResult::SwapUnknown(call.id));
        self.delayed.push(call);
    }

    fn fail_call(&mut self, i: usize) {
        self.remaining.store_faults -= 1;
        let call = self.calls.remove(i);
        let result = match call.swap {
            Some(_) => CallResult::SwapFailed(call.id),
            None => CallResult::ReadFailed(call.id),
        };
        self.hosts[call.host].inbox.push(result);
    }

    fn deliver_call_answer(&mut self, host: usize) -> Result<(), Violation> {
        let event = match self.hosts[host].inbox.remove(0) {
            CallResult::Loaded(call, stored) => journal::Event::Loaded { call, stored },
            CallResult::ReadFailed(call) => journal::Event::ReadFailed(call),
            CallResult::Swapped(call, revision) => journal::Event::Swapped { call, revision },
            CallResult::Conflict(call, stored) => journal::Event::Conflict { call, stored },
            CallResult::SwapFailed(call) => journal::Event::SwapFailed(call),
            CallResult::SwapUnknown(call) if self.variant == Variant::LostAnswerIsSuccess => {
                let revision = journal::ModRevision(self.revision);
                journal::Event::Swapped { call, revision }
            }
            CallResult::SwapUnknown(call) => journal::Event::SwapUnknown(call),
        };
        self.handle_event(host, event)
    }

    /// Runs a request at the endpoint unless its dispatch deadline has passed.
    fn dispatch(&mut self, i: usize) -> Result<(), Violation> {
        let Stage::Permitted { not_after } = self.requests[i].stage else {
            return Ok(());
        };
        if self.journal_clock(self.requests[i].host) > not_after {
            return self.finish(i, journal::AttemptResult::NotRun);
        }
        let req = &mut self.requests[i];
        req.stage = Stage::Ran;
        req.ran = true;
        Ok(())
    }

    fn lose_connection(&mut self, i: usize) -> Result<(), Violation> {
        self.remaining.endpoint_faults -= 1;
        let result = match self.variant {
            Variant::LostConnectionIsNotRun => journal::AttemptResult::NotRun,
            _ => journal::AttemptResult::Unknown,
        };
        self.finish(i, result)
    }

    fn deliver_endpoint_answer(&mut self, i: usize) -> Result<(), Violation> {
        let status = BASE_STATUS + i as u16;
        let body = Bytes::from_static(b"done");
        let recorded = journal::RecordedAnswer::new(status, &Bytes::new(), &body);
        self.finish(i, journal::AttemptResult::Run(recorded))
    }

    /// Ends a request whose dispatch was permitted: answers its caller and informs the journal.
    fn finish(&mut self, i: usize, result: journal::AttemptResult) -> Result<(), Violation> {
        let req = &mut self.requests[i];
        req.stage = Stage::Ended;
        req.reported_outcome = Some(match &result {
            journal::AttemptResult::NotRun => outcome::Outcome::NotRun,
            journal::AttemptResult::Unknown => outcome::Outcome::Unknown,
            journal::AttemptResult::Run(_) => outcome::Outcome::Run,
        });
        let host = req.host;
        let attempt = attempt_id(i);
        self.handle_event(host, journal::Event::Finished { attempt, result })
    }

    fn cancel(&mut self, i: usize) -> Result<(), Violation> {
        self.remaining.cancels -= 1;
        let req = &mut self.requests[i];
        req.stage = Stage::Ended;
        let host = req.host;
        self.handle_event(host, journal::Event::Cancel(attempt_id(i)))
    }

    /// Replaces a host by one with empty state. Swaps that it has sent may still be executed.
    fn kill(&mut self, host: usize) {
        self.remaining.kills -= 1;
        self.hosts[host].journal = journal::Journal::new(journal_config());
        self.hosts[host].inbox.clear();
        let (dead, alive) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.host == host);
        self.calls = alive;
        self.delayed.extend::<Vec<Call>>(dead);
        self.delayed.retain(|call| call.swap.is_some());
        for i in 0..self.requests.len() {
            let req = &mut self.requests[i];
            if req.host == host && req.stage != Stage::Ended {
                req.stage = Stage::Ended;
            }
        }
    }

    /// Whether some shard is old enough for the host to delete it.
    pub(super) fn can_prune(&self, host: usize) -> bool {
        let first_retained_segment = self.first_retained_segment(host);
        self.store
            .keys()
            .any(|shard| shard.segment < first_retained_segment)
    }

    fn first_retained_segment(&self, host: usize) -> u64 {
        let mut window = journal_config().window;
        if self.variant == Variant::PruneWithoutSkew {
            window.skew_ms = 0;
        }
        window.first_retained_segment(self.clock(host))
    }

    fn prune(&mut self, host: usize) {
        let first_retained_segment = self.first_retained_segment(host);
        self.store
            .retain(|shard, _| shard.segment >= first_retained_segment);
    }
}
