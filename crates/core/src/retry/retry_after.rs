//! When a refused caller is asked to come back.

use std::time::Duration;

use crate::reason;

/// Shortest delay.
const MIN_DELAY: Duration = Duration::from_millis(80);

/// Longest delay if another host can probably serve the request at once: it only spreads callers
/// that were refused together.
const MAX_DELAY_OTHER_HOST: Duration = Duration::from_millis(400);

/// Part of the time that the caller has left, if no host can serve the request for now. Callers
/// come back once or twice, so coming back too early is a chance lost.
const REMAINING_FRACTION: f64 = 0.25;

/// Longest delay.
const MAX_DELAY: Duration = Duration::from_secs(3);

/// Delay after which a caller may come back that has `remaining` to wait. The seed spreads callers over
/// the upper half of the range.
#[must_use]
pub fn retry_after(reason: reason::Refusal, remaining: Duration, seed: u64) -> Duration {
    let longest = match reason {
        reason::Refusal::NoEndpoint
        | reason::Refusal::ConnectFailed
        | reason::Refusal::AtBound
        | reason::Refusal::EndpointRefused => remaining.mul_f64(REMAINING_FRACTION),
        _ => MAX_DELAY_OTHER_HOST,
    };
    let longest = longest.clamp(MIN_DELAY, MAX_DELAY).as_micros() as u64;
    Duration::from_micros(longest / 2 + seed % (longest / 2 + 1))
}
