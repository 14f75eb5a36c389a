//! Parameters that all hosts share: bursts, leases and other durations.

use std::time::Duration;

use crate::units;

/// The burst of a plan, as the time in which its rate yields that amount.
pub const BURST_WINDOW: Duration = Duration::from_secs(20);

/// Number of requests of the largest size that may start at once, regardless of the rate.
pub const MIN_BURST_REQUESTS: u64 = 4;

/// Maximum difference between the rates of two clocks, in parts per million.
pub const MAX_CLOCK_SKEW_PPM: u64 = 500;

/// Time for which an entry host may spend credit, on its own clock, counted from its request.
pub const CREDIT_TTL: Duration = Duration::from_secs(2);

/// Time for which a holder may use the elastic part of a slice, counted from the read of the table
/// that showed it as the holder.
pub const ELASTIC_LEASE: Duration = Duration::from_secs(60);

/// Time for which a holder may use the floor of a slice, counted from the read of the table that
/// showed it as the holder.
pub const FLOOR_LEASE: Duration = Duration::from_secs(6 * 3600);

/// Time for which a request in flight counts after its entry host last reported it. If an entry
/// host cannot reach the holder of a slice for longer, its requests no longer count, although they
/// may still be running.
pub const SLOT_LEASE: Duration = Duration::from_secs(30);

/// Interval at which an entry host reports its requests in flight to the holder of their slice.
/// Several reports fit into [`SLOT_LEASE`].
pub const SLOT_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a new holder of a slice has received the reports of requests in flight from
/// every entry host that can reach it.
pub const SLOT_RECOVERY_WAIT: Duration = Duration::from_secs(12);

/// Number of quarters of a slice that form its floor.
pub const FLOOR_QUARTERS: u64 = 1;

/// Number of quarters in a slice.
pub const QUARTERS: u64 = 4;

/// Billionths per unit.
pub(super) const BILLION: u128 = 1_000_000_000;

const MICROS_PER_MINUTE: u64 = 60_000_000;

/// Extends a duration by the maximum clock skew: once the result has passed on one clock, `span`
/// has passed on every clock.
#[must_use]
pub const fn with_skew_margin(span: Duration) -> Duration {
    let micros = span.as_micros() as u64;
    Duration::from_micros(micros + 2 * micros * MAX_CLOCK_SKEW_PPM / 1_000_000 + 1)
}

/// Token burst of a plan: over any window of length `T`, an account is charged at most its rate
/// times `T` plus the burst.
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

/// Request burst of a plan: the number of requests that it may start at once.
#[must_use]
pub const fn request_burst(rate: units::PerMinute) -> units::Requests {
    let of_rate = rate.0 / (60 / BURST_WINDOW.as_secs());
    units::Requests(if of_rate > MIN_BURST_REQUESTS {
        of_rate
    } else {
        MIN_BURST_REQUESTS
    })
}

/// Tokens of a request with the longest answer and a prompt of equal length.
#[must_use]
pub const fn largest_request(longest_answer: units::Tokens) -> units::Tokens {
    units::Tokens(2 * longest_answer.0)
}

/// Billionths of a unit that a rate per minute yields in a span, on the slowest clock.
pub(super) fn accrued(rate: u64, span: Duration) -> u128 {
    let micros = span.as_micros();
    let slow = micros - micros * u128::from(MAX_CLOCK_SKEW_PPM) / 1_000_000;
    u128::from(rate) * slow * BILLION / u128::from(MICROS_PER_MINUTE)
}
