//! What a plan allows over any window of time.

use std::time::Duration;

use crate::units;

/// Span of the rate that may be used at once.
pub const BURST: Duration = Duration::from_secs(20);

/// Tokens that a plan may use at once: over any window of length `T` an account uses at most its
/// rate times `T` and this.
#[must_use]
pub const fn token_burst(rate: units::PerMinute) -> units::Tokens {
    units::Tokens(rate.0 / (60 / BURST.as_secs()))
}

/// Requests that a plan may start at once; at least one.
#[must_use]
pub const fn request_burst(rate: units::PerMinute) -> units::Requests {
    let burst = rate.0 / (60 / BURST.as_secs());
    units::Requests(if burst == 0 { 1 } else { burst })
}
