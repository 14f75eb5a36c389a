//! The order in which a request is sent to its candidates.

use pistachiochute_core::reason;

use crate::control;

/// Candidates that are asked before the request waits at the first.
const MAX_SPILL: usize = 3;

/// A candidate, and whether the request may wait in its queue.
#[derive(Clone, Copy, Debug)]
pub struct Hop {
    /// The candidate.
    pub candidate: control::Candidate,
    /// Whether the request may wait there.
    pub may_queue: bool,
}

/// Whether the reason tells of the owner rather than of its endpoint, which another host may own
/// soon.
pub const fn may_move(reason: reason::Retry) -> bool {
    match reason {
        reason::Retry::NotOwner
        | reason::Retry::Draining
        | reason::Retry::ConnectFailed
        | reason::Retry::ConnectionLost
        | reason::Retry::Stalled => true,
        reason::Retry::AtBound
        | reason::Retry::QueueFull
        | reason::Retry::EndpointLeaving
        | reason::Retry::EndpointRefused
        | reason::Retry::EndpointFailed
        | reason::Retry::Resume => false,
    }
}

/// Candidates in their order: each once without waiting, then again with waiting allowed.
#[derive(Debug)]
pub struct Hops<'a> {
    candidates: &'a [control::Candidate],
    taken: usize,
}

impl<'a> Hops<'a> {
    pub fn new(candidates: &'a [control::Candidate]) -> Self {
        Self {
            candidates,
            taken: 0,
        }
    }
}

impl Iterator for Hops<'_> {
    type Item = Hop;

    fn next(&mut self) -> Option<Hop> {
        let spills = self.candidates.len().min(MAX_SPILL);
        let may_queue = self.taken >= spills;
        let index = if may_queue {
            self.taken - spills
        } else {
            self.taken
        };
        self.taken += 1;
        let candidate = *self.candidates.get(index)?;
        Some(Hop {
            candidate,
            may_queue,
        })
    }
}
