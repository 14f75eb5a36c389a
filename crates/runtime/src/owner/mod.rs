//! The side of the host that calls the endpoints it owns.

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

/// Time between two looks at whether the caller of queued work is still there.
const CALLER_CHECK: Duration = Duration::from_millis(100);

/// Serves forwarded requests for the endpoints that this host owns.
#[derive(Debug)]
pub struct Server {
    control: control::Handle,
    journal: journal::Handle,
    pool: thread_pool::Pool,
    timeouts: endpoint::Timeouts,
}

impl Server {
    /// Makes a server that calls endpoints on the threads of `pool`.
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

    /// Serves a request; replies go to `tx`.
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
            // The channel of a new request has room.
            let _ = tx.try_send(refused);
        }
    }

    /// Serves a request of this host's own callers.
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
        let pieces = endpoint::Pieces::new(self.head.request, self.head.attempt, self.tx.clone());
        match self.wait(&decisions, &pieces) {
            control::OfferDecision::Dispatch { addr } => self.call(addr, pieces),
            control::OfferDecision::Refuse {
                reason,
                retry_after,
            } => {
                let outcome = outcome::Outcome::NotRun;
                let _ = pieces.reply(answer::Part::Failed {
                    reason,
                    outcome,
                    retry_after,
                });
            }
            control::OfferDecision::Queued { .. } => {}
        }
    }

    /// Waits for the decision that ends the wait. Work whose caller went away is taken back.
    fn wait(
        &self,
        decisions: &channel::Receiver<control::OfferDecision>,
        pieces: &endpoint::Pieces,
    ) -> control::OfferDecision {
        loop {
            match decisions.recv_timeout(CALLER_CHECK) {
                Ok(control::OfferDecision::Queued { .. }) => {
                    let _ = pieces.reply(answer::Part::Queued);
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

    /// Calls the endpoint. An action with a key is dispatched only with a permit of the journal.
    fn call(&self, addr: net::SocketAddr, mut pieces: endpoint::Pieces) {
        let action = self.head.idempotency == request::Idempotency::AtMostOnce;
        let Some(key) = self.head.idempotency_key.filter(|_| action) else {
            let (ended, pieces) = self.dispatch(addr, pieces);
            return reply(ended, pieces);
        };
        let wanted = || !self.tx.is_closed();
        match self.journal.reserve(&self.head, key, &self.body, wanted) {
            journal::Reservation::Permitted(permit) => {
                pieces.keep();
                let (ended, pieces) = self.dispatch(addr, pieces);
                permit.close(end_of(&ended, &pieces));
                reply(ended, pieces);
            }
            journal::Reservation::Answer(answer) => {
                self.release(None);
                let _ = match answer {
                    actions::Answer::Recorded(recorded) => pieces.replay(&recorded),
                    actions::Answer::Refused {
                        reason,
                        outcome,
                        retry_after,
                    } => pieces.reply(answer::Part::Failed {
                        reason,
                        outcome,
                        retry_after,
                    }),
                };
            }
            journal::Reservation::Dropped => {
                self.release(None);
                let _ = pieces.reply(answer::Part::Failed {
                    reason: reason::Refusal::Deadline,
                    outcome: outcome::Outcome::NotRun,
                    retry_after: None,
                });
            }
        }
    }

    /// Sends the request to the endpoint and passes its answer on.
    fn dispatch(
        &self,
        addr: net::SocketAddr,
        mut pieces: endpoint::Pieces,
    ) -> (endpoint::Ended, endpoint::Pieces) {
        let _ = pieces.reply(answer::Part::Dispatched);
        let call = endpoint::Call {
            addr,
            head: &self.head,
            body: &self.body,
            timeouts: self.timeouts,
        };
        let ended = call.run(&mut pieces);
        if let Some(sign) = sign_of(&ended) {
            self.control.observe_health(self.head.endpoint, sign);
        }
        self.release(match ended {
            endpoint::Ended::Whole { used } => used,
            endpoint::Ended::Failed(_) => None,
        });
        (ended, pieces)
    }

    /// Gives the place at the endpoint back.
    fn release(&self, used: Option<units::Tokens>) {
        self.control.finish(self.head.endpoint, self.id(), used);
    }
}

/// Sends how the call ended.
fn reply(ended: endpoint::Ended, pieces: endpoint::Pieces) {
    let _ = match ended {
        endpoint::Ended::Whole { used } => pieces.end(used),
        endpoint::Ended::Failed(failure) => pieces.reply(answer::Part::Failed {
            reason: failure.reason,
            outcome: failure.outcome,
            retry_after: failure.retry_after,
        }),
    };
}

/// How an action ended, for its record. An action whose answer is not whole may have run.
fn end_of(ended: &endpoint::Ended, pieces: &endpoint::Pieces) -> actions::AttemptResult {
    match ended {
        endpoint::Ended::Whole { .. } => pieces
            .recorded()
            .map_or(actions::AttemptResult::Unknown, actions::AttemptResult::Run),
        endpoint::Ended::Failed(failure) if failure.outcome == outcome::Outcome::NotRun => {
            actions::AttemptResult::NotRun
        }
        endpoint::Ended::Failed(_) => actions::AttemptResult::Unknown,
    }
}

const fn refusal(reason: reason::Refusal) -> control::OfferDecision {
    control::OfferDecision::Refuse {
        reason,
        retry_after: None,
    }
}

/// What the end of a call shows of the endpoint's health.
fn sign_of(ended: &endpoint::Ended) -> Option<health::Observation> {
    match ended {
        endpoint::Ended::Failed(failure) => match failure.reason {
            reason::Refusal::ConnectFailed => Some(health::Observation::ConnectFailed),
            reason::Refusal::Stalled => Some(health::Observation::Stalled),
            _ => None,
        },
        endpoint::Ended::Whole { .. } => Some(health::Observation::Completed),
    }
}
