//! Event queue of the simulations.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Priority queue of events by time. Events with the same time are returned in the order in which
/// they were scheduled.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(u64, u64, Unordered<E>)>>,
    added: u64,
}

/// Wrapper that excludes the event from the ordering of queue entries.
#[derive(Debug)]
struct Unordered<E>(E);

impl<E> PartialEq for Unordered<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<E> Eq for Unordered<E> {}

impl<E> PartialOrd for Unordered<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Unordered<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            added: 0,
        }
    }

    /// Schedules an event at a time in microseconds.
    pub fn schedule(&mut self, at: u64, event: E) {
        self.added += 1;
        self.heap.push(Reverse((at, self.added, Unordered(event))));
    }

    /// Removes the next event and returns it with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at, _, Unordered(event))) = self.heap.pop()?;
        Some((at, event))
    }
}
