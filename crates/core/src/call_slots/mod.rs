//! Slots of endpoints that many hosts share: one host, the scheduler, knows which are taken now.
//!
//! A plain call takes a few tens of milliseconds, less than load reports take. With more hosts than
//! slots, no host sees enough calls to know how full endpoints are. So the hosts ask the
//! [scheduler](Scheduler) of a [group](placement::Group) of endpoints for a slot before each attempt, and
//! give it back afterwards. [`Asker`] decides whether to ask, and for how long to wait for an answer: no
//! answer is needed, since a host can always choose by load reports.

mod asker;
mod foreign;
mod leases;
mod line;
pub mod placement;
mod room;
mod scheduler;
mod usage;

use std::time::Duration;

use smallvec::SmallVec;

use crate::time;

pub use asker::Asker;
pub use scheduler::Scheduler;

/// Time without a sign of the scheduler after which a request no longer waits in its line.
pub const QUEUED_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which the scheduler tells those in its line that they wait.
pub const QUEUED_INTERVAL: Duration = Duration::from_millis(40);

/// Question of a host, by which it also gives back the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// Hash of the asker's name.
    pub host: u64,
    /// Number that the asker gave the question.
    pub number: u32,
}

/// A request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The question.
    pub ticket: Ticket,
    /// Hash of the client account's name, or 0.
    pub account: u64,
    /// Hash of the name of the asker's failure domain.
    pub domain: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Deadline of the request, on the clock of the scheduler.
    pub deadline: time::Time,
    /// Until when an answer is within the target latency of its route, if that is known.
    pub target: Option<time::Time>,
    /// Endpoints that the request must not be sent to.
    pub excluded: SmallVec<[u64; 4]>,
}

impl Ask {
    /// Whether the request may be sent to an endpoint.
    fn allows(&self, endpoint: &Endpoint) -> bool {
        endpoint.slots > 0 && !self.excluded.contains(&endpoint.hash)
    }
}

/// An endpoint that takes requests now, as the scheduler knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Hash of its identity.
    pub hash: u64,
    /// Hash of the name of its failure domain.
    pub domain: u64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests in flight there, by the counts of all hosts. What the endpoint itself last reported is not in
    /// it, as it counts the request that it answered.
    pub reported: u32,
}

/// What a host is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request has a slot of this endpoint.
    Slot(u64),
    /// The request waits, and another answer follows.
    Queued,
    /// No slot is free in time; the line is expected to be served after this time.
    Full(Duration),
    /// The scheduler knows no endpoint that the request may be sent to, or no more requests that wait.
    Unknown,
}
