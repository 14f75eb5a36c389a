//! `Retry-After` delay of a refused request.

use std::time::Duration;

use crate::{quarantine, reason};

/// Lower bound of the longest delay, whatever time remains.
const MIN_LONGEST_DELAY: Duration = Duration::from_millis(80);

/// Longest delay if another host can probably serve the request at once. The delay then only
/// spreads callers that were refused together.
const MAX_DELAY_OTHER_HOST: Duration = Duration::from_millis(400);

/// Longest delay as a fraction of the caller's remaining time, if no host can serve the request at
/// present. Callers retry only once or twice, so a retry that comes too early wastes one of them.
const REMAINING_FRACTION: f64 = 0.25;

/// Longest delay for any reason but a quarantine and a pushback.
const MAX_DELAY: Duration = Duration::from_secs(3);

/// Longest time over which callers are spread that come back after a pause of all endpoints.
const MAX_SPREAD_AFTER_PAUSE: Duration = Duration::from_secs(1);

/// Delay after which a refused caller should retry, given the time `remaining` until its deadline.
///
/// `seed` spreads callers over the upper half of the range.
#[must_use]
pub fn retry_after(reason: reason::Refusal, remaining: Duration, seed: u64) -> Duration {
    let longest = match reason {
        reason::Refusal::CrashesEndpoints => return quarantine::QUARANTINE,
        reason::Refusal::NoEndpoint
        | reason::Refusal::DomainEvacuated
        | reason::Refusal::StreamVersionGone
        | reason::Refusal::ConnectFailed
        | reason::Refusal::AtBound
        | reason::Refusal::EndpointRefused => remaining.mul_f64(REMAINING_FRACTION),
        _ => MAX_DELAY_OTHER_HOST,
    };
    let longest = longest.clamp(MIN_LONGEST_DELAY, MAX_DELAY).as_micros() as u64;
    Duration::from_micros(longest / 2 + seed % (longest / 2 + 1))
}

/// Delay after which a refused caller should retry, if it is known that there is room after `room`.
///
/// `seed` spreads callers over half of that time after it.
#[must_use]
pub fn retry_after_room(room: Duration, seed: u64) -> Duration {
    let room = room.clamp(MIN_LONGEST_DELAY, MAX_DELAY);
    let spread = room.as_micros() as u64 / 2;
    room + Duration::from_micros(seed % (spread + 1))
}

/// Delay after which a refused caller should retry, if the first endpoint wants requests again after
/// `pause`. Nothing can be served before.
///
/// `seed` spreads callers over a part of that time after it.
#[must_use]
pub fn retry_after_pause(pause: Duration, seed: u64) -> Duration {
    let pause = pause.max(MIN_LONGEST_DELAY);
    let spread = (pause / 2).min(MAX_SPREAD_AFTER_PAUSE).as_micros() as u64;
    pause + Duration::from_micros(seed % (spread + 1))
}
