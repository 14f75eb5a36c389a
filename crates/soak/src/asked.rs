//! Faults that a part of the soak asks for at a moment that only it knows.

use std::sync::mpsc;
use std::time::Instant;

use crate::schedule::Fault;

/// A fault, and when it is to begin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub at: Instant,
    pub fault: Fault,
}

/// What asks for faults.
#[derive(Clone, Debug)]
pub(crate) struct Asker(mpsc::Sender<Asked>);

impl Asker {
    /// Asks for a fault. It is left out if the faults are over by then.
    pub(crate) fn ask(&self, at: Instant, fault: Fault) {
        let _ = self.0.send(Asked { at, fault });
    }
}

/// Faults that were asked for and have not begun.
#[derive(Debug)]
pub(crate) struct Queue {
    receiver: mpsc::Receiver<Asked>,
    waiting: Vec<Asked>,
}

impl Queue {
    /// Creates a queue and what fills it.
    pub(crate) fn new() -> (Asker, Self) {
        let (sender, receiver) = mpsc::channel();
        let waiting = Vec::new();
        (Asker(sender), Self { receiver, waiting })
    }

    /// Takes the faults whose time has come.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<Fault> {
        self.waiting.extend(self.receiver.try_iter());
        let due = self.waiting.extract_if(.., |asked| asked.at <= now);
        due.map(|asked| asked.fault).collect()
    }
}
