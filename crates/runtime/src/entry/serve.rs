//! Serving of one caller's request: attempts at owners, retries and delivery of the answer.

use std::thread;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pistachiochute_core::{answer, outcome, reason, request, retry, time};
use pistachiochute_messages::{codec, forward};
use tokio::sync::mpsc;

use crate::entry::{call, candidates, respond};
use crate::{clock, control, entry, link, listener};

/// A caller's request while it is served.
pub struct Exchange<'a> {
    cx: &'a entry::Context,
    request: request::RequestId,
    call: call::Call,
}

impl<'a> Exchange<'a> {
    pub fn new(cx: &'a entry::Context, request: request::RequestId, call: call::Call) -> Self {
        Self { cx, request, call }
    }

    /// Serves the request to its end.
    pub fn run(self, answer: listener::Answer) {
        self.cx.metrics.started();
        let caller = Caller::new(self.cx, self.request, answer, self.call.arrived);
        let outcome = match self.cx.control.admit(self.request, &self.call) {
            Ok(admitted) => {
                let outcome = self.run_attempts(caller, &admitted);
                self.cx.control.end_request(self.request);
                outcome
            }
            Err(refused) => caller.refuse(&self.not_admitted(refused)),
        };
        self.cx.metrics.finished(outcome);
    }

    fn not_admitted(&self, refused: control::Refused) -> respond::Refused {
        respond::Refused::not_admitted(self.request, refused)
    }

    /// Makes attempts until the caller has an answer or a refusal, and returns the outcome.
    fn run_attempts(
        &self,
        mut caller: Caller<'_>,
        admitted: &control::Admitted,
    ) -> outcome::Outcome {
        let deadline = self.call.arrived + self.cx.settings.timeouts.request;
        let retries =
            self.cx
                .control
                .new_retry_state(self.request, self.call.idempotency, deadline);
        let Some(mut retries) = retries else {
            return caller.refuse(&self.not_admitted(control::Refused::shutting_down()));
        };
        let mut assembler = answer::Assembler::new(self.request, self.call.stream);
        let mut order = candidates::CandidateOrder::new(&admitted.candidates);
        let mut placement = order.next();
        loop {
            let attempt = match retries.start_attempt(clock::now()) {
                Ok(attempt) => attempt,
                Err(given_up) => return self.give_up(caller, given_up),
            };
            let Some(current) = placement else {
                return self.give_up(caller, no_endpoint(&retries));
            };
            let mut head = self.head(admitted, current, attempt);
            head.remaining = retries.remaining(clock::now());
            head.resume_after = assembler.begin_attempt(attempt);
            let failure = match self.attempt(&mut caller, &mut assembler, current, head) {
                Ok(()) => return outcome::Outcome::Run,
                Err(failure) => failure,
            };
            let Some((next, decision)) = self.cx.control.record_failure(retries, failure) else {
                return caller.refuse(&self.not_admitted(control::Refused::shutting_down()));
            };
            retries = next;
            match decision {
                retry::Decision::GiveUp(given_up) => return self.give_up(caller, given_up),
                retry::Decision::Retry { reason, at } => {
                    self.cx.metrics.retried(reason);
                    sleep_until(at);
                    placement = self.next_placement(&mut order, current, reason);
                }
            }
        }
    }

    /// Selects the next placement, at the current owner of its endpoint.
    ///
    /// After the last candidate, the failed endpoint is tried again if its owner may have changed.
    fn next_placement(
        &self,
        order: &mut candidates::CandidateOrder<'_>,
        current: candidates::Placement,
        reason: reason::Retry,
    ) -> Option<candidates::Placement> {
        let same_endpoint = || {
            self.locate(candidates::Placement {
                may_queue: true,
                ..current
            })
        };
        match reason {
            reason::Retry::Resume => same_endpoint(),
            _ => order
                .find_map(|placement| self.locate(placement))
                .or_else(|| {
                    candidates::owner_may_change(reason)
                        .then(same_endpoint)
                        .flatten()
                }),
        }
    }

    fn locate(&self, placement: candidates::Placement) -> Option<candidates::Placement> {
        let candidate = self.cx.control.locate(placement.candidate.endpoint)?;
        Some(candidates::Placement {
            candidate,
            ..placement
        })
    }

    fn give_up(&self, caller: Caller<'_>, given_up: retry::GivenUp) -> outcome::Outcome {
        caller.refuse(&respond::Refused::given_up(self.request, given_up))
    }

    fn head(
        &self,
        admitted: &control::Admitted,
        placement: candidates::Placement,
        attempt: u8,
    ) -> forward::Forward {
        forward::Forward {
            request: self.request,
            attempt,
            hops: 1,
            from: self.cx.settings.host.id,
            endpoint: placement.candidate.endpoint,
            account: admitted.account.clone(),
            weight: admitted.weight,
            priority: admitted.priority,
            target: self.call.target.clone(),
            chat: admitted.chat,
            idempotency: self.call.idempotency,
            idempotency_key: self.call.idempotency_key,
            cost: admitted.cost,
            prompt: self.call.prompt,
            remaining: Duration::ZERO,
            may_queue: placement.may_queue,
            resume_after: None,
            stream: self.call.stream,
            method: self.call.method,
            path: self.call.path.clone(),
            content_type: self.call.content_type.clone(),
            body_len: self.call.body.len() as u64,
            revision: admitted.revision,
            loads: admitted.loads.clone(),
        }
    }

    /// Makes one attempt and delivers the answer to the caller as it arrives.
    fn attempt(
        &self,
        caller: &mut Caller<'_>,
        assembler: &mut answer::Assembler,
        placement: candidates::Placement,
        head: forward::Forward,
    ) -> Result<(), retry::Failure> {
        let Some(mut replies) = self.send(placement, head) else {
            return Err(assembler.fail_attempt(reason::Refusal::Internal));
        };
        loop {
            let frame = match replies.recv() {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => {
                    if e.outcome() != outcome::Outcome::NotRun {
                        assembler.mark_sent();
                    }
                    return Err(assembler.fail_attempt(e.reason()));
                }
                None => {
                    assembler.mark_sent();
                    return Err(assembler.fail_attempt(reason::Refusal::ConnectionLost));
                }
            };
            match assembler.handle_frame(frame) {
                answer::Step::Wait => {}
                answer::Step::Deliver(delivery) => {
                    let end = delivery.end;
                    if caller.deliver(delivery).is_err() {
                        return Err(assembler.fail_attempt(reason::Refusal::CallerGone));
                    }
                    if end {
                        return Ok(());
                    }
                }
                answer::Step::Discarded(discard) => {
                    slog::warn!(self.cx.log, "frame discarded";
                        "request" => %self.request, "why" => ?discard);
                }
                answer::Step::Failed(failure) => return Err(failure),
            }
        }
    }

    /// Sends the request to the owner, which may be this host. Returns `None` if the request is too
    /// large to encode.
    fn send(&self, placement: candidates::Placement, head: forward::Forward) -> Option<Replies> {
        let body = self.call.body.clone();
        let Some(addr) = placement.candidate.addr else {
            return Some(Replies::Local(self.cx.owner.serve_local(head, body)));
        };
        let head = codec::encode(&head).ok()?;
        Some(Replies::Remote(self.cx.links.forward(addr, head, body)))
    }
}

fn no_endpoint(retries: &retry::RetryState) -> retry::GivenUp {
    retry::GivenUp {
        reason: reason::Refusal::NoEndpoint,
        cause: reason::Refusal::NoEndpoint,
        outcome: retries.outcome(),
        retry_after: Some(control::DEFAULT_RETRY_AFTER),
    }
}

fn sleep_until(at: time::Time) {
    let left = at.since(clock::now());
    if !left.is_zero() {
        thread::sleep(left);
    }
}

/// Answer frames from the owner.
enum Replies {
    Local(mpsc::Receiver<answer::Frame>),
    Remote(mpsc::Receiver<link::Received>),
}

impl Replies {
    fn recv(&mut self) -> Option<link::Received> {
        match self {
            Self::Local(rx) => rx.blocking_recv().map(Ok),
            Self::Remote(rx) => rx.blocking_recv(),
        }
    }
}

/// Progress of the answer to the caller.
enum State {
    /// Nothing yet.
    Waiting(listener::Answer),
    /// The head of a streamed answer has been sent.
    Streaming(respond::Streamed),
    /// Nothing more will be sent.
    Done,
}

/// The caller of a request.
struct Caller<'a> {
    cx: &'a entry::Context,
    request: request::RequestId,
    state: State,
    /// Time of the last write, or arrival of the request before the first write.
    last_write: time::Time,
}

impl<'a> Caller<'a> {
    fn new(
        cx: &'a entry::Context,
        request: request::RequestId,
        answer: listener::Answer,
        arrived: time::Time,
    ) -> Self {
        Self {
            cx,
            request,
            state: State::Waiting(answer),
            last_write: arrived,
        }
    }

    /// Writes the next part of the answer.
    fn deliver(&mut self, delivery: answer::Delivery) -> Result<(), listener::Disconnected> {
        let now = clock::now();
        let elapsed = now.since(self.last_write);
        self.last_write = now;
        self.state = match std::mem::replace(&mut self.state, State::Done) {
            State::Waiting(answer) => {
                self.cx.metrics.first_token(elapsed);
                self.begin_answer(answer, &delivery)?
            }
            State::Streaming(stream) => {
                self.cx.metrics.token_gap(elapsed);
                write_all(&stream, &delivery.data)?;
                State::Streaming(stream)
            }
            State::Done => State::Done,
        };
        if delivery.end
            && let State::Streaming(stream) = std::mem::replace(&mut self.state, State::Done)
        {
            return stream.finish();
        }
        Ok(())
    }

    fn begin_answer(
        &self,
        answer: listener::Answer,
        delivery: &answer::Delivery,
    ) -> Result<State, listener::Disconnected> {
        let head = delivery.head.as_ref().expect("the first part has the head");
        if delivery.end {
            let body = concat(&delivery.data);
            respond::complete(answer, self.request, head, body)?;
            return Ok(State::Done);
        }
        let stream = respond::stream(answer, self.request, head)?;
        write_all(&stream, &delivery.data)?;
        Ok(State::Streaming(stream))
    }

    /// Ends the request without a complete answer, and returns the outcome sent to the caller.
    fn refuse(self, refused: &respond::Refused) -> outcome::Outcome {
        match self.state {
            State::Waiting(answer) => respond::refuse(self.cx, answer, refused),
            State::Streaming(stream) => {
                respond::record_refusal(self.cx, refused);
                stream.abort(refused);
            }
            State::Done => respond::record_refusal(self.cx, refused),
        }
        refused.outcome
    }
}

fn write_all(stream: &respond::Streamed, data: &[Bytes]) -> Result<(), listener::Disconnected> {
    data.iter()
        .try_for_each(|chunk| stream.send_chunk(chunk.clone()))
}

fn concat(data: &[Bytes]) -> Bytes {
    let mut body = BytesMut::with_capacity(data.iter().map(Bytes::len).sum());
    data.iter().for_each(|chunk| body.extend_from_slice(chunk));
    body.freeze()
}
