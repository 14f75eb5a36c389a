//! Questions to other hosts that wait for an answer in a datagram.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use pistachiochute_messages::datagram::Number;
use tokio::sync::oneshot;

/// A question without an answer so far.
#[derive(Debug)]
struct Question<R> {
    /// Hash of the host that was asked.
    host: u64,
    reply: oneshot::Sender<R>,
}

/// Questions that wait for their answers, of type `R`.
#[derive(Debug)]
pub(super) struct Questions<R> {
    next: Cell<Number>,
    waiting: RefCell<HashMap<Number, Question<R>>>,
}

impl<R> Default for Questions<R> {
    fn default() -> Self {
        Self {
            next: Cell::default(),
            waiting: RefCell::default(),
        }
    }
}

impl<R> Questions<R> {
    /// Begins a question.
    pub(super) fn begin(&self, host: u64) -> (Number, oneshot::Receiver<R>) {
        let number = self.next.get();
        self.next.set(number.next());
        let (reply, answer) = oneshot::channel();
        let question = Question { host, reply };
        self.waiting.borrow_mut().insert(number, question);
        (number, answer)
    }

    /// Hands an answer to the request that waits for it. One that comes too late, twice, or from another
    /// host changes nothing.
    pub(super) fn answer(&self, host: u64, number: Number, reply: R) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.get(&number).is_some_and(|q| q.host == host)
            && let Some(question) = waiting.remove(&number)
        {
            // The request may have gone.
            question.reply.send(reply).ok();
        }
    }

    /// Removes questions whose request does not wait any more.
    pub(super) fn prune(&self) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, question| !question.reply.is_closed());
    }
}
