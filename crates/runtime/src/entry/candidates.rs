//! Order in which a request is offered to its candidates.

use pistachiochute_core::reason;

use crate::control;

/// Number of candidates that are tried without queueing before the request may be queued.
const MAX_SPILL_CANDIDATES: usize = 3;

/// A candidate, and whether the request may be queued there.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// The candidate.
    pub candidate: control::Candidate,
    /// Whether the request may be queued.
    pub may_queue: bool,
}

/// Whether the failure concerns the owner rather than the endpoint, so that another host may soon
/// own the endpoint and a retry there may succeed.
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
        | reason::Retry::EndpointPushback
        | reason::Retry::VersionUnproven
        | reason::Retry::Resume => false,
    }
}

/// Iterator over placements: first the leading candidates without queueing, then all candidates
/// with queueing allowed.
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
