//! The order in which a request is sent to its candidates.

use pistachiochute_core::reason;

use crate::control;

/// Candidates that are asked before the request waits at the first.
const MAX_SPILL_CANDIDATES: usize = 3;

/// A candidate, and whether the request may wait in its queue.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// The candidate.
    pub candidate: control::Candidate,
    /// Whether the request may wait there.
    pub may_queue: bool,
}

/// Whether the reason tells of the owner rather than of its endpoint, which another host may own
/// soon.
pub const fn owner_may_change(reason: reason::Retry) -> bool {
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
pub struct CandidateOrder<'a> {
    candidates: &'a [control::Candidate],
    next_index: usize,
}

impl<'a> CandidateOrder<'a> {
    pub fn new(candidates: &'a [control::Candidate]) -> Self {
        Self {
            candidates,
            next_index: 0,
        }
    }
}

impl Iterator for CandidateOrder<'_> {
    type Item = Placement;

    fn next(&mut self) -> Option<Placement> {
        let spill_count = self.candidates.len().min(MAX_SPILL_CANDIDATES);
        let may_queue = self.next_index >= spill_count;
        let index = if may_queue {
            self.next_index - spill_count
        } else {
            self.next_index
        };
        self.next_index += 1;
        let candidate = *self.candidates.get(index)?;
        Some(Placement {
            candidate,
            may_queue,
        })
    }
}
