//! Events in the order of their times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events that are due later. Events of the same time come in the order in which they were added.
#[derive(Debug)]
pub struct Agenda<E> {
    due: BinaryHeap<Reverse<(u64, u64, Slot<E>)>>,
    added: u64,
}

/// An event that takes no part in the order.
#[derive(Debug)]
struct Slot<E>(E);

impl<E> PartialEq for Slot<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<E> Eq for Slot<E> {}

impl<E> PartialOrd for Slot<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Slot<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Agenda<E> {
    /// Makes an agenda without events.
    pub fn new() -> Self {
        Self {
            due: BinaryHeap::new(),
            added: 0,
        }
    }

    /// Adds an event at a time in microseconds.
    pub fn add(&mut self, at: u64, event: E) {
        self.added += 1;
        self.due.push(Reverse((at, self.added, Slot(event))));
    }

    /// Takes the next event and its time.
    pub fn next(&mut self) -> Option<(u64, E)> {
        let Reverse((at, _, Slot(event))) = self.due.pop()?;
        Some((at, event))
    }
}
