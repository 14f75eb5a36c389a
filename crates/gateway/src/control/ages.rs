//! Times in messages between hosts: sent as ages, since the clocks of two hosts cannot be compared.

use std::time::Duration;

use pistachiochute_core::time;

/// Age of a point in time, in milliseconds.
pub(super) fn age_of(at: time::Time, now: time::Time) -> u32 {
    millis(now.since(at))
}

/// Point in time of an age in milliseconds.
pub(super) fn time_of(age_ms: u32, now: time::Time) -> time::Time {
    now - from_millis(age_ms)
}

/// Milliseconds of a span, at most those that fit.
pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Span of milliseconds.
pub(super) const fn from_millis(ms: u32) -> Duration {
    Duration::from_millis(ms as u64)
}
