//! Entries of a queue, and the results of its operations.

use std::time::Duration;

use crate::{name, reason, time, units};

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Account that the request is charged to.
    pub account: name::AccountName,
    /// Weight of the account, from its plan. Zero counts as one.
    pub weight: u32,
    /// Order among the entries of the account; a higher priority is served earlier.
    pub priority: u8,
    /// Estimated work, in tokens.
    pub cost: units::Tokens,
    /// Latest time at which the request may start.
    pub deadline: time::Time,
    /// The request.
    pub item: T,
}

/// A request that the queue refused or dropped. It was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// The request.
    pub entry: Entry<T>,
    /// Why it was refused: [`reason::Refusal::QueueFull`] or [`reason::Refusal::Deadline`].
    pub reason: reason::Refusal,
    /// Expected time to serve the work that is queued now, from 1 to 60 seconds.
    pub retry_after: Duration,
}

/// Result of taking the next request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Popped<T> {
    /// The request to serve next.
    pub next: Option<Entry<T>>,
    /// Requests that can no longer start before their deadline.
    pub refused: Vec<Refused<T>>,
}
