//! What a plan allows over any window of time, and the times that every host agrees on.

use std::time::Duration;

use crate::units;

/// Span of the rate that may be used at once.
pub const BURST_WINDOW: Duration = Duration::from_secs(20);

/// Requests of the largest size that may start at once whatever the rate is.
pub const MIN_BURST_REQUESTS: u64 = 4;

/// Largest difference between the rates of two clocks, in parts per million.
pub const MAX_CLOCK_SKEW_PPM: u64 = 500;

/// Time for which an entry host may spend credit, on its own clock from when it asked.
pub const CREDIT_TTL: Duration = Duration::from_secs(2);

/// Time for which a holder may use the elastic part of a slice after it read that it holds it.
pub const ELASTIC_LEASE: Duration = Duration::from_secs(60);

/// Time for which a holder may use the floor of a slice after it read that it holds it.
pub const FLOOR_LEASE: Duration = Duration::from_secs(6 * 3600);

/// Time for which a request in flight counts after its entry host last reported it. A request
/// that runs on while its entry host cannot reach the holder of its slice no longer counts.
pub const SLOT_LEASE: Duration = Duration::from_secs(30);

/// Period at which an entry host reports its requests in flight to the holder of their slice,
/// several times within [`SLOT_LEASE`].
pub const SLOT_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a new holder of a slice knows the requests in flight of every entry host that
/// reaches it.
pub const SLOT_RECOVERY_WAIT: Duration = Duration::from_secs(12);

/// Part of a slice that is its floor, in quarters.
pub const FLOOR_QUARTERS: u64 = 1;

/// Quarters in a slice.
pub const QUARTERS: u64 = 4;

/// Billionths in a unit.
pub(super) const BILLION: u128 = 1_000_000_000;

const MICROS_PER_MINUTE: u64 = 60_000_000;

/// A span that has surely passed on every clock once `span`, made longer, has passed on one.
#[must_use]
pub const fn with_skew_margin(span: Duration) -> Duration {
    let micros = span.as_micros() as u64;
    Duration::from_micros(micros + 2 * micros * MAX_CLOCK_SKEW_PPM / 1_000_000 + 1)
}

/// Tokens that a plan may use at once: over any window of length `T` an account is charged at
/// most its rate times `T` and this.
#[must_use]
pub const fn token_burst(rate: units::PerMinute, longest_answer: units::Tokens) -> units::Tokens {
    let of_rate = rate.0 / (60 / BURST_WINDOW.as_secs());
    let of_requests = MIN_BURST_REQUESTS * largest_request(longest_answer).0;
    units::Tokens(if of_rate > of_requests {
        of_rate
    } else {
        of_requests
    })
}

/// Requests that a plan may start at once.
#[must_use]
pub const fn request_burst(rate: units::PerMinute) -> units::Requests {
    let of_rate = rate.0 / (60 / BURST_WINDOW.as_secs());
    units::Requests(if of_rate > MIN_BURST_REQUESTS {
        of_rate
    } else {
        MIN_BURST_REQUESTS
    })
}

/// Tokens of a request with the longest answer and a prompt of the same length.
#[must_use]
pub const fn largest_request(longest_answer: units::Tokens) -> units::Tokens {
    units::Tokens(2 * longest_answer.0)
}

/// Billionths of a unit that a rate gives in a span, on the slowest clock.
pub(super) fn accrued(rate: u64, span: Duration) -> u128 {
    let micros = span.as_micros();
    let slow = micros - micros * u128::from(MAX_CLOCK_SKEW_PPM) / 1_000_000;
    u128::from(rate) * slow * BILLION / u128::from(MICROS_PER_MINUTE)
}
