//! What goes into a queue and what comes out of it.

use std::time::Duration;

use crate::{name, reason, time, units};

/// A request that waits for its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Account that the request is charged to.
    pub account: name::AccountName,
    /// Weight of the account, from its plan. Zero counts as one.
    pub weight: u32,
    /// Order among the entries of the account; larger is served earlier.
    pub priority: u8,
    /// Estimated work.
    pub cost: units::Tokens,
    /// Latest time at which the request may start.
    pub deadline: time::Time,
    /// The request.
    pub item: T,
}

/// A request that the queue gave back. It was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// The request.
    pub entry: Entry<T>,
    /// Why it was given back: [`reason::Refusal::QueueFull`] or [`reason::Refusal::Deadline`].
    pub reason: reason::Refusal,
    /// Delay after which the work that is queued now has been served.
    pub retry_after: Duration,
}

/// Result of taking the next request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Popped<T> {
    /// The request to serve next.
    pub next: Option<Entry<T>>,
    /// Requests that can no longer start in time.
    pub refused: Vec<Refused<T>>,
}
