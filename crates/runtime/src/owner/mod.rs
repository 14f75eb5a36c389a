//! Server for forwarded requests, which calls the endpoints that this host owns.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use pistachiochute_core::{
    answer, health, journal as actions, outcome, owner, reason, request, units,
};
use pistachiochute_messages::forward;
use tokio::sync::mpsc;

use crate::{control, endpoint, journal, link, thread_pool};

/// Interval at which queued work checks whether its caller is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serves forwarded requests for endpoints that this host owns.
#[derive(Debug)]
pub struct Server {
    control: control::Handle,
    journal: journal::Handle,
    pool: thread_pool::Pool,
    timeouts: endpoint::Timeouts,
}

impl Server {
    /// Creates a server that calls endpoints on the threads of `pool`.
    #[must_use]
    pub fn new(
        control: control::Handle,
        journal: journal::Handle,
        pool: thread_pool::Pool,
        timeouts: endpoint::Timeouts,
    ) -> Arc<Self> {
        Arc::new(Self {
            control,
            journal,
            pool,
            timeouts,
        })
    }

    /// Serves a request. Frames of the answer are sent to `tx`.
    pub fn serve(&self, head: forward::Forward, body: Bytes, tx: mpsc::Sender<answer::Frame>) {
        let refused = answer::Frame {
            request: head.request,
            attempt: head.attempt,
            part: answer::Part::Failed {
                reason: reason::Refusal::TooManyConnections,
                outcome: outcome::Outcome::NotRun,
                retry_after: None,
            },
        };
        let work = Work {
            control: self.control.clone(),
            journal: self.journal.clone(),
            timeouts: self.timeouts,
            head,
            body,
            tx: tx.clone(),
        };
        if self.pool.run(move || work.run()).is_err() {
            // The channel of a new request is empty, so this does not fail for lack of room.
            let _ = tx.try_send(refused);
        }
    }

    /// Serves a request of a caller of this host, and returns the frames of the answer.
    #[must_use]
    pub fn serve_local(
        &self,
        head: forward::Forward,
        body: Bytes,
    ) -> mpsc::Receiver<answer::Frame> {
        let (tx, rx) = mpsc::channel(link::REPLY_BUFFER);
        self.serve(head, body, tx);
        rx
    }
}

struct Work {
    control: control::Handle,
    journal: journal::Handle,
    timeouts: endpoint::Timeouts,
    head: forward::Forward,
    body: Bytes,
    tx: mpsc::Sender<answer::Frame>,
}

impl Work {
    fn id(&self) -> owner::AttemptId {
        owner::AttemptId {
            request: self.head.request,
            attempt: self.head.attempt,
        }
    }

    fn run(self) {
        let decisions = self.control.offer(&self.head);
        let sender =
            endpoint::AnswerSender::new(self.head.request, self.head.attempt, self.tx.clone());
        match self.wait(&decisions, &sender) {
            control::OfferDecision::Dispatch { addr } => self.call(addr, sender),
            control::OfferDecision::Refuse {
                reason,
                retry_after,
            } => {
                let outcome = outcome::Outcome::NotRun;
                let _ = sender.send(answer::Part::Failed {
                    reason,
                    outcome,
                    retry_after,
                });
            }
            control::OfferDecision::Queued { .. } => {}
        }
    }

    /// Waits until the work is dispatched or refused. Cancels work whose caller has disconnected.
    fn wait(
        &self,
        decisions: &channel::Receiver<control::OfferDecision>,
        sender: &endpoint::AnswerSender,
    ) -> control::OfferDecision {
        loop {
            match decisions.recv_timeout(CALLER_CHECK_INTERVAL) {
                Ok(control::OfferDecision::Queued { .. }) => {
                    let _ = sender.send(answer::Part::Queued);
                }
                Ok(decision) => return decision,
                Err(_) if self.control.has_ended() => return refusal(reason::Refusal::Draining),
                Err(channel::RecvTimeoutError::Timeout) if !self.tx.is_closed() => {}
                Err(_) => {
                    self.control.cancel(self.head.endpoint, self.id());
                    return refusal(reason::Refusal::CallerGone);
                }
            }
        }
    }

    /// Calls the endpoint. An action with an idempotency key is dispatched only with a permit of
    /// the journal.
    fn call(&self, addr: net::SocketAddr, mut sender: endpoint::AnswerSender) {
        let action = self.head.idempotency == request::Idempotency::AtMostOnce;
        let Some(key) = self.head.idempotency_key.filter(|_| action) else {
            let (result, sender) = self.dispatch(addr, sender);
            return send_result(result, sender);
        };
        let wanted = || !self.tx.is_closed();
        match self.journal.reserve(&self.head, key, &self.body, wanted) {
            journal::Reservation::Permitted(permit) => {
                sender.start_recording();
                let (result, sender) = self.dispatch(addr, sender);
                permit.record_result(attempt_result(&result, &sender));
                send_result(result, sender);
            }
            journal::Reservation::Answer(answer) => {
                self.release_slot(None);
                let _ = match answer {
                    actions::Answer::Recorded(recorded) => sender.replay(&recorded),
                    actions::Answer::Refused {
                        reason,
                        outcome,
                        retry_after,
                    } => sender.send(answer::Part::Failed {
                        reason,
                        outcome,
                        retry_after,
                    }),
                };
            }
            journal::Reservation::Dropped => {
                self.release_slot(None);
                let _ = sender.send(answer::Part::Failed {
                    reason: reason::Refusal::Deadline,
                    outcome: outcome::Outcome::NotRun,
                    retry_after: None,
                });
            }
        }
    }

    /// Sends the request to the endpoint and forwards its answer.
    fn dispatch(
        &self,
        addr: net::SocketAddr,
        mut sender: endpoint::AnswerSender,
    ) -> (endpoint::CallResult, endpoint::AnswerSender) {
        let _ = sender.send(answer::Part::Dispatched);
        let call = endpoint::Call {
            addr,
            head: &self.head,
            body: &self.body,
            timeouts: self.timeouts,
        };
        let result = call.run(&mut sender);
        if let Some(observation) = health_observation(&result) {
            self.control.observe_health(self.head.endpoint, observation);
        }
        self.release_slot(match result {
            endpoint::CallResult::Complete { used } => used,
            endpoint::CallResult::Failed(_) => None,
        });
        (result, sender)
    }

    /// Frees the slot at the endpoint.
    fn release_slot(&self, used: Option<units::Tokens>) {
        self.control.finish(self.head.endpoint, self.id(), used);
    }
}

/// Sends the last frame of the answer: its end, or the failure.
fn send_result(result: endpoint::CallResult, sender: endpoint::AnswerSender) {
    let _ = match result {
        endpoint::CallResult::Complete { used } => sender.finish(used),
        endpoint::CallResult::Failed(failure) => sender.send(answer::Part::Failed {
            reason: failure.reason,
            outcome: failure.outcome,
            retry_after: failure.retry_after,
        }),
    };
}

/// Result of an action for the journal. An action whose answer is incomplete may have run.
fn attempt_result(
    result: &endpoint::CallResult,
    sender: &endpoint::AnswerSender,
) -> actions::AttemptResult {
    match result {
        endpoint::CallResult::Complete { .. } => sender
            .recorded()
            .map_or(actions::AttemptResult::Unknown, actions::AttemptResult::Run),
        endpoint::CallResult::Failed(failure) if failure.outcome == outcome::Outcome::NotRun => {
            actions::AttemptResult::NotRun
        }
        endpoint::CallResult::Failed(_) => actions::AttemptResult::Unknown,
    }
}

const fn refusal(reason: reason::Refusal) -> control::OfferDecision {
    control::OfferDecision::Refuse {
        reason,
        retry_after: None,
    }
}

/// What the result of a call shows about the health of its endpoint.
fn health_observation(result: &endpoint::CallResult) -> Option<health::Observation> {
    match result {
        endpoint::CallResult::Failed(failure) => match failure.reason {
            reason::Refusal::ConnectFailed => Some(health::Observation::ConnectFailed),
            reason::Refusal::Stalled => Some(health::Observation::Stalled),
            _ => None,
        },
        endpoint::CallResult::Complete { .. } => Some(health::Observation::Completed),
    }
}
