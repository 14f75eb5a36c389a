//! Deadline of a request, as the permission to send it on.

use std::time::Duration;

use crate::time;

/// Time until which a request may be sent to endpoints.
///
/// The permission is not handed on as a time that is left, which would grow old while a process is
/// paused: it is looked at where the request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(time::Time);

impl Deadline {
    /// The deadline of a request that arrived at `arrived` and may take `timeout`.
    #[must_use]
    pub fn new(arrived: time::Time, timeout: Duration) -> Self {
        Self(arrived + timeout)
    }

    /// Time that is left, or `None` if the deadline has passed.
    #[must_use]
    pub fn remaining(self, now: time::Time) -> Option<Duration> {
        let remaining = self.0.since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// When it passes.
    #[must_use]
    pub const fn at(self) -> time::Time {
        self.0
    }
}
