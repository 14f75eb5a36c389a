//! Predicted cost of a request at an endpoint, in milliseconds.

use crate::choice::{self, homes};

/// Multiple of the mean load of a pool up to which an endpoint is preferred.
const BOUND_MULTIPLE: f64 = 1.5;

/// Requests above the multiple that an endpoint may have.
const BOUND_SLACK_REQUESTS: f64 = 2.5;

/// Part of the cost of a copy that counts at a home of the prompt, which may hold it by now.
const HOME_COPY_FACTOR: f64 = 0.25;

/// Speeds that costs are computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Multiple of its own time that reading costs, since it holds up all requests that run there.
    pub read_weight: f64,
    /// Prompt tokens that are copied between engines at the cost of a millisecond.
    pub copy_tokens_per_ms: f64,
    /// Cost of any copy, in milliseconds.
    pub copy_ms: f64,
    /// Time that one more running request costs the others and the new one, in milliseconds.
    pub contention_ms: f64,
    /// Time that a call to a plain service takes, in milliseconds.
    pub call_ms: f64,
    /// Time that a stream takes, in milliseconds.
    pub stream_ms: f64,
    /// Cost of sending a request to another failure domain, in milliseconds.
    pub remote_ms: f64,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            read_tokens_per_ms: 40.0,
            read_weight: 2.5,
            copy_tokens_per_ms: 200.0,
            copy_ms: 10.0,
            contention_ms: 3.0,
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
    (mean * BOUND_MULTIPLE + BOUND_SLACK_REQUESTS).ceil() as u32
}

/// Time that a request is predicted to lose at an endpoint.
#[must_use]
pub fn predict_ms(
    request: &choice::Request,
    candidate: &choice::Candidate,
    prefill: &homes::PrefillPlan,
    params: &Parameters,
) -> f64 {
    let remote = if candidate.is_local {
        0.0
    } else {
        params.remote_ms
    };
    let running = candidate.load.in_flight();
    let slots = candidate.slots.max(1);
    let waiting = (running + 1).saturating_sub(slots);
    match request.prompt {
        Some(_) => {
            let unread = f64::from(candidate.load.unread_tokens());
            let own = f64::from(prefill.read_tokens) * params.read_weight;
            let copy = copy_cost(prefill.copy_tokens, params);
            let copy = if prefill.is_home {
                copy * HOME_COPY_FACTOR
            } else {
                copy
            };
            let wait = f64::from(waiting) * params.stream_ms / f64::from(slots);
            let contention = f64::from(running) * params.contention_ms;
            (unread + own) / params.read_tokens_per_ms + copy + wait + contention + remote
        }
        None => {
            let wait = f64::from(waiting) * params.call_ms / f64::from(slots);
            let contention = f64::from(running) * params.call_ms / f64::from(slots);
            wait + contention + remote
        }
    }
}

/// Cost of copying tokens, in milliseconds.
fn copy_cost(tokens: u32, params: &Parameters) -> f64 {
    match tokens {
        0 => 0.0,
        _ => params.copy_ms + f64::from(tokens) / params.copy_tokens_per_ms,
    }
}
