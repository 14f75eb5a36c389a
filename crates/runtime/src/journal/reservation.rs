//! Reservation of an attempt: waits for the decision of the journal.

use std::time::Duration;

use crossbeam::channel;
use pistachiochute_core::journal;
use pistachiochute_messages::forward;

use crate::journal::{Command, Handle, wall_clock};

/// Interval at which a waiting thread checks whether its caller is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Decision of the journal on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt may be dispatched once.
    Dispatch {
        /// Time after which it must not be dispatched.
        not_after: journal::UnixMillis,
    },
    /// The attempt is not dispatched, and this answer is sent to the caller.
    Answer(journal::Answer),
}

/// Result of [`Handle::reserve`].
#[derive(Debug)]
pub enum Reservation {
    /// The attempt may be dispatched now, and its result must be recorded.
    Permitted(Permit),
    /// The attempt is not dispatched, and this answer is sent to the caller.
    Answer(journal::Answer),
    /// The caller disconnected, the permission expired, or the host is stopping. The attempt is not
    /// dispatched.
    Dropped,
}

/// Permission to dispatch an attempt once.
#[derive(Debug)]
pub struct Permit {
    handle: Handle,
    attempt: journal::AttemptId,
}

impl Permit {
    /// Consumes the permission and records the result of the attempt.
    pub fn record_result(self, result: journal::AttemptResult) {
        let attempt = self.attempt;
        self.handle
            .send_event(journal::Event::Finished { attempt, result });
    }
}

impl Handle {
    /// Reserves a new attempt of an action. Blocks until the attempt may be dispatched or is
    /// answered, or until `wanted` returns false.
    pub fn reserve<F>(
        &self,
        head: &forward::Forward,
        key: uuid::Uuid,
        body: &[u8],
        wanted: F,
    ) -> Reservation
    where
        F: Fn() -> bool,
    {
        let Ok(key) = journal::ActionKey::new(&head.account, key) else {
            return Reservation::Dropped;
        };
        let attempt = journal::AttemptId::new(uuid::Uuid::now_v7());
        let not_after = wall_clock().plus(head.remaining.as_millis() as u64);
        let begin = journal::NewAttempt {
            attempt,
            key,
            fingerprint: journal::Fingerprint::of(&head.path, body),
            not_after,
        };
        let (tx, rx) = channel::bounded(1);
        if self.tx.send(Command::Begin { begin, tx }).is_err() {
            return Reservation::Dropped;
        }
        match self.wait(attempt, &rx, wanted) {
            Some(Decision::Dispatch { not_after }) => self.permit(attempt, not_after),
            Some(Decision::Answer(answer)) => Reservation::Answer(answer),
            None => Reservation::Dropped,
        }
    }

    fn wait<F>(
        &self,
        attempt: journal::AttemptId,
        rx: &channel::Receiver<Decision>,
        wanted: F,
    ) -> Option<Decision>
    where
        F: Fn() -> bool,
    {
        loop {
            match rx.recv_timeout(CALLER_CHECK_INTERVAL) {
                Ok(decision) => return Some(decision),
                Err(channel::RecvTimeoutError::Disconnected) => return None,
                Err(channel::RecvTimeoutError::Timeout) if wanted() => {}
                Err(channel::RecvTimeoutError::Timeout) => {
                    self.send_event(journal::Event::Cancel(attempt));
                    // A permission granted before the cancellation is consumed here, so that the
                    // action is recorded as not run.
                    if let Ok(Decision::Dispatch { .. }) = rx.recv() {
                        let result = journal::AttemptResult::NotRun;
                        self.send_event(journal::Event::Finished { attempt, result });
                    }
                    return None;
                }
            }
        }
    }

    /// Checks the deadline again, because the thread may have been suspended since the decision.
    fn permit(&self, attempt: journal::AttemptId, not_after: journal::UnixMillis) -> Reservation {
        let handle = self.clone();
        let permit = Permit { handle, attempt };
        if wall_clock() <= not_after {
            return Reservation::Permitted(permit);
        }
        permit.record_result(journal::AttemptResult::NotRun);
        Reservation::Dropped
    }

    fn send_event(&self, event: journal::Event) {
        // A stopped journal records nothing more. Repeats of the action are then answered with the
        // outcome "unknown".
        let _ = self.tx.send(Command::Event(event));
    }
}
