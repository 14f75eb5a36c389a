//! Since when what a process receives now can have waited for it.

use crate::time;

/// Regular beats of a process. One that stood still has not beaten meanwhile, and reads at first what came
/// while it did.
#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    /// The last beat but one. All that had come by then was read by the last beat.
    previous: time::Time,
    latest: time::Time,
}

impl Pulse {
    /// The pulse of a process that starts now.
    #[must_use]
    pub const fn new(now: time::Time) -> Self {
        Self {
            previous: now,
            latest: now,
        }
    }

    /// Records a beat.
    pub const fn beat(&mut self, now: time::Time) {
        self.previous = self.latest;
        self.latest = now;
    }

    /// Time after which all that the process receives now has come.
    #[must_use]
    pub const fn came_after(&self) -> time::Time {
        self.previous
    }
}
