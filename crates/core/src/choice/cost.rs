//! Predicted cost of a request at an endpoint, in milliseconds.

use crate::choice::{self, homes};

/// Multiple of the mean load of a pool up to which an endpoint is preferred.
const BOUND_MULTIPLE: f64 = 1.5;

/// Requests above the multiple that an endpoint may have.
const BOUND_SLACK: f64 = 2.5;

/// Part of the cost of a copy that counts at a home of the prompt, which may hold it by now.
const HOME_COPY: f64 = 0.25;

/// Speeds that costs are computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Multiple of its own time that reading costs, since it holds up all requests that run there.
    pub read_weight: f64,
    /// Prompt tokens that are copied between engines at the cost of a millisecond.
    pub copy_tokens_per_ms: f64,
    /// Cost of any copy, in milliseconds.
    pub copy_ms: f64,
    /// Time that one more running request costs the others and the new one, in milliseconds.
    pub crowding_ms: f64,
    /// Time that a call to a plain service takes, in milliseconds.
    pub call_ms: f64,
    /// Time that a stream takes, in milliseconds.
    pub stream_ms: f64,
    /// Cost of sending a request to another failure domain, in milliseconds.
    pub remote_ms: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            read_tokens_per_ms: 40.0,
            read_weight: 2.5,
            copy_tokens_per_ms: 200.0,
            copy_ms: 10.0,
            crowding_ms: 3.0,
            call_ms: 30.0,
            stream_ms: 2_000.0,
            remote_ms: 12.0,
        }
    }
}

/// Requests from which on an endpoint is above the bound of its pool.
#[must_use]
pub fn bound(candidates: &[choice::Candidate]) -> u32 {
    let total: u32 = candidates.iter().map(|c| c.load.in_flight()).sum();
    let mean = f64::from(total + 1) / candidates.len().max(1) as f64;
    (mean * BOUND_MULTIPLE + BOUND_SLACK).ceil() as u32
}

/// Time that a request is predicted to lose at an endpoint.
#[must_use]
pub fn of(
    need: &choice::Need,
    candidate: &choice::Candidate,
    reading: &homes::Reading,
    rates: &Rates,
) -> f64 {
    let remote = if candidate.is_local {
        0.0
    } else {
        rates.remote_ms
    };
    let running = candidate.load.in_flight();
    let slots = candidate.slots.max(1);
    let waiting = (running + 1).saturating_sub(slots);
    match need.prompt {
        Some(_) => {
            let unread = f64::from(candidate.load.unread_tokens());
            let own = f64::from(reading.read_tokens) * rates.read_weight;
            let copy = copy_cost(reading.copy_tokens, rates);
            let copy = if reading.is_home {
                copy * HOME_COPY
            } else {
                copy
            };
            let wait = f64::from(waiting) * rates.stream_ms / f64::from(slots);
            let crowding = f64::from(running) * rates.crowding_ms;
            (unread + own) / rates.read_tokens_per_ms + copy + wait + crowding + remote
        }
        None => {
            let wait = f64::from(waiting) * rates.call_ms / f64::from(slots);
            let crowding = f64::from(running) * rates.call_ms / f64::from(slots);
            wait + crowding + remote
        }
    }
}

/// Cost of copying tokens, in milliseconds.
fn copy_cost(tokens: u32, rates: &Rates) -> f64 {
    match tokens {
        0 => 0.0,
        _ => rates.copy_ms + f64::from(tokens) / rates.copy_tokens_per_ms,
    }
}
