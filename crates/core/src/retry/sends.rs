//! What was sent of one request.
//!
//! A request may pass several places on its way: endpoints that this host calls, and other hosts. No
//! single place sees all of that, so none may decide by itself whether the request has run. Each hands
//! its bytes over through [`Sends`], and each answer to the caller takes the outcome from there.

use std::cell::Cell;
use std::rc::Rc;

use crate::outcome::Outcome;

/// Record of all that was sent of one request, and the only source of its outcome.
///
/// Clones share one record. Without a call of [`Sends::hand_over`] the outcome is
/// [`Outcome::NotRun`]; it never goes back to that once a byte that was handed over may have been taken.
#[derive(Clone, Debug, Default)]
pub struct Sends(Rc<Record>);

#[derive(Debug, Default)]
struct Record {
    /// Whether bytes were handed over of which nothing is known yet.
    is_under_way: Cell<bool>,
    /// Joined over all that has become known.
    outcome: Cell<Outcome>,
}

impl Sends {
    /// Creates the record of a request of which nothing was sent.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the first byte is about to be handed to a connection or a link. From here on the
    /// request may run, until [`Sends::settle`] says what became of it.
    pub fn hand_over(&self) {
        self.0.is_under_way.set(true);
    }

    /// Records what became of the bytes that were handed over last.
    pub fn settle(&self, outcome: Outcome) {
        self.0.is_under_way.set(false);
        self.0.outcome.set(self.0.outcome.get().join(outcome));
    }

    /// Whether the request ran, by all that was sent of it.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self.0.is_under_way.get() {
            true => self.0.outcome.get().join(Outcome::Unknown),
            false => self.0.outcome.get(),
        }
    }
}
