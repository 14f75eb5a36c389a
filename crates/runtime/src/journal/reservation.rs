//! The wait of one thread for the decision on its attempt.

use std::time::Duration;

use crossbeam::channel;
use pistachiochute_core::journal;
use pistachiochute_messages::forward;

use crate::journal::{Command, Handle, wall_clock};

/// Time between two looks at whether the caller is still there.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What becomes of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be dispatched, once.
    Dispatch {
        /// Time after which it must not be.
        not_after: journal::UnixMillis,
    },
    /// Its caller gets this answer.
    Answer(journal::Answer),
}

/// The reservation of one attempt, or why there is none.
#[derive(Debug)]
pub enum Reservation {
    /// The attempt may be dispatched now, and its end has to be recorded.
    Permitted(Permit),
    /// The caller gets this answer.
    Answer(journal::Answer),
    /// The caller went away, or the host is closing. The attempt is not dispatched.
    Dropped,
}

/// Permission to dispatch one attempt once.
#[derive(Debug)]
pub struct Permit {
    handle: Handle,
    attempt: journal::AttemptId,
}

impl Permit {
    /// Uses the permission up and records how the attempt ended.
    pub fn record_result(self, result: journal::AttemptResult) {
        let attempt = self.attempt;
        self.handle
            .send_event(journal::Event::Finished { attempt, result });
    }
}

impl Handle {
    /// Reserves a new attempt of an action. Waits until it may be dispatched or is answered, for as
    /// long as `wanted` holds.
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
                    // A decision that was made before the cancellation is used up here.
                    if let Ok(Decision::Dispatch { .. }) = rx.recv() {
                        let result = journal::AttemptResult::NotRun;
                        self.send_event(journal::Event::Finished { attempt, result });
                    }
                    return None;
                }
            }
        }
    }

    /// Checks the clock once more: the thread may have been stopped since the decision.
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
        // A journal that has ended records nothing more; repeats then get "unknown".
        let _ = self.tx.send(Command::Event(event));
    }
}
