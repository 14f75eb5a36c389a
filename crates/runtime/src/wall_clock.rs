//! The time of day, for records that people read and for keys that carry it.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds of Unix time, or zero before 1970.
#[must_use]
pub fn now_ms() -> u64 {
    let span = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    span.as_millis() as u64
}
