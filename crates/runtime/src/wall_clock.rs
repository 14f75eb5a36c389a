//! Wall clock, for timestamps in records and in store keys.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns Unix time in milliseconds, or zero if the wall clock is set before 1970.
#[must_use]
pub fn now_ms() -> u64 {
    let span = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    span.as_millis() as u64
}
