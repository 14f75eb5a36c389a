//! The times during which a host may use the parts of a slice.

use std::time::Duration;

use crate::limits::parameters;
use crate::time;

/// Time span during which a host may use a part of a slice, on its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// Start, inclusive.
    pub from: time::Time,
    /// End, exclusive.
    pub until: time::Time,
}

impl Span {
    /// Whether the span contains a point in time.
    #[must_use]
    pub fn contains(&self, now: time::Time) -> bool {
        self.from <= now && now < self.until
    }

    /// Length of the overlap of the span with the time between two points.
    #[must_use]
    pub fn overlap(&self, from: time::Time, to: time::Time) -> Duration {
        self.until.min(to).since(self.from.max(from))
    }
}

/// Spans during which a host may use the two parts of a slice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Authority {
    /// Span of the elastic part.
    pub elastic: Span,
    /// Span of the floor.
    pub floor: Span,
}

impl Authority {
    /// Number of quarters of the slice's rates that may be used.
    #[must_use]
    pub fn quarters(&self, now: time::Time) -> u64 {
        let floor = u64::from(self.floor.contains(now)) * parameters::FLOOR_QUARTERS;
        let rest = parameters::QUARTERS - parameters::FLOOR_QUARTERS;
        floor + u64::from(self.elastic.contains(now)) * rest
    }

    /// Integral, between two points in time, of the number of quarters that may be used.
    #[must_use]
    pub(super) fn quarter_time(&self, from: time::Time, to: time::Time) -> Duration {
        let floor = self.floor.overlap(from, to) * parameters::FLOOR_QUARTERS as u32;
        let rest = (parameters::QUARTERS - parameters::FLOOR_QUARTERS) as u32;
        floor + self.elastic.overlap(from, to) * rest
    }

    /// The authority over requests in flight. It starts when the entry hosts have reported the
    /// requests in flight that a previous holder granted. A span that starts at time zero has no
    /// previous holder.
    #[must_use]
    pub fn for_slots(&self) -> Self {
        let later = |span: Span| match span.from {
            time::Time::ZERO => span,
            from => Span {
                from: from + parameters::with_skew_margin(parameters::SLOT_RECOVERY_WAIT),
                ..span
            },
        };
        Self {
            elastic: later(self.elastic),
            floor: later(self.floor),
        }
    }
}
