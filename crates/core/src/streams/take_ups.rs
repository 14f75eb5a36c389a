//! When streams were first asked about.

use std::collections::{HashMap, VecDeque};

use crate::streams::{MAX_STREAMS, RETENTION, StreamKey};
use crate::time;

/// Times at which streams were first asked about. Each had begun before.
///
/// A take-up that is refused, since nothing shows yet what served when it came, leaves that time behind: what
/// is shown later counts for the next one.
#[derive(Debug, Default)]
pub struct TakeUps {
    first_asked: HashMap<StreamKey, time::Time>,
    /// Streams in the order in which they were first asked about. Invariant: has one entry per time.
    order: VecDeque<StreamKey>,
}

impl TakeUps {
    /// No stream was asked about.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a stream is asked about now. Returns when it was first.
    pub fn note(&mut self, stream: StreamKey, now: time::Time) -> time::Time {
        if let Some(first) = self.first_asked.get(&stream) {
            return *first;
        }
        if self.order.len() >= MAX_STREAMS {
            self.remove_oldest();
        }
        self.first_asked.insert(stream, now);
        self.order.push_back(stream);
        now
    }

    /// Forgets streams that were first asked about longer ago than a stream can last.
    pub fn tick(&mut self, now: time::Time) {
        while self.is_oldest_expired(now) {
            self.remove_oldest();
        }
    }

    fn is_oldest_expired(&self, now: time::Time) -> bool {
        let oldest = self.order.front();
        let first = oldest.and_then(|stream| self.first_asked.get(stream));
        first.is_some_and(|first| now.since(*first) >= RETENTION)
    }

    fn remove_oldest(&mut self) {
        if let Some(stream) = self.order.pop_front() {
            self.first_asked.remove(&stream);
        }
    }
}
