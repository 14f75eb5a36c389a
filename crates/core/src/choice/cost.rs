//! Cost model: the predicted latency that an endpoint adds to a request, in milliseconds.

use crate::choice::{self, homes};

/// Multiple of the mean load of the candidates that bounds the load of an endpoint.
const BOUND_MULTIPLE: f64 = 1.5;

/// Multiple of the mean load of all endpoints, evacuated ones included, that bounds the load of one. The
/// others carry their load, so it grows less than the mean of those.
const MULTIPLE_OF_ALL: f64 = 1.75;

/// Smallest multiple of the mean load of the candidates.
const MIN_MULTIPLE: f64 = 1.15;

/// Requests in flight that the bound allows on top of the multiple.
const BOUND_SLACK_REQUESTS: f64 = 2.5;

/// Factor on the slowdown from requests of the same batch while endpoints of the service are evacuated. The
/// others get more requests within the age of a load report than their loads differ by; hosts that all
/// weigh the same old differences in full send to the same endpoints.
const EVACUATED_CONTENTION_FACTOR: f64 = 0.2;

/// Factor on the copy cost at a home of the prompt, which may hold the prompt already.
const HOME_COPY_FACTOR: f64 = 0.25;

/// Parameters of the cost model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Prompt tokens that an engine prefills per millisecond.
    pub read_tokens_per_ms: f64,
    /// Weight of the prefill time, above 1 because prefill stalls the other requests of the batch.
    pub read_weight: f64,
    /// Prompt tokens that are copied between engines per millisecond.
    pub copy_tokens_per_ms: f64,
    /// Fixed cost of a copy, in milliseconds.
    pub copy_ms: f64,
    /// Slowdown from each request that runs in the same batch, in milliseconds.
    pub contention_ms: f64,
    /// Duration of a call to a plain service, in milliseconds.
    pub call_ms: f64,
    /// Duration of a streamed answer, in milliseconds.
    pub stream_ms: f64,
    /// Cost of a request to another failure domain if nothing is known of the loads, in milliseconds.
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

impl Parameters {
    /// The parameters while so many endpoints of the service get nothing because their failure domains are
    /// evacuated.
    #[must_use]
    pub fn while_evacuated(self, evacuated: u32) -> Self {
        let factor = match evacuated {
            0 => 1.0,
            _ => EVACUATED_CONTENTION_FACTOR,
        };
        Self {
            contention_ms: self.contention_ms * factor,
            ..self
        }
    }
}

/// Returns the requests in flight from which on an endpoint is above the load bound. `evacuated` is the
/// number of endpoints of the service that get nothing because their failure domains are evacuated.
#[must_use]
pub fn bound(candidates: &[choice::Candidate], evacuated: u32) -> u32 {
    let total: u32 = candidates.iter().map(|c| c.load.in_flight()).sum();
    let count = candidates.len().max(1) as f64;
    let mean = f64::from(total + 1) / count;
    let all_over_used = (count + f64::from(evacuated)) / count;
    let multiple = (MULTIPLE_OF_ALL / all_over_used).clamp(MIN_MULTIPLE, BOUND_MULTIPLE);
    (mean * multiple + BOUND_SLACK_REQUESTS).ceil() as u32
}

/// What a request asks of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Demand {
    /// An answer to a prompt.
    Prompt,
    /// A call to a plain service.
    #[default]
    Call,
}

/// Work that a new request finds at an endpoint, or at the mean endpoint of several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Queue {
    /// Requests in progress.
    pub requests: f64,
    /// Requests that run concurrently. Invariant: at least 1.
    pub slots: f64,
    /// Prompt tokens that are prefilled before those of the new request.
    pub unread_tokens: f64,
}

/// Price of sending a request to the failure domain of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainPrice {
    /// Price of a request that finds nothing of its prompt there, in milliseconds.
    pub request_ms: f64,
    /// Price of a request at a home or a holder of its prompt, in milliseconds.
    pub cached_ms: f64,
}

impl DomainPrice {
    /// Price of the host's own domain.
    pub const NONE: Self = Self {
        request_ms: 0.0,
        cached_ms: 0.0,
    };

    /// Price of another domain if nothing is known of the loads.
    #[must_use]
    pub const fn constant(params: &Parameters) -> Self {
        Self {
            request_ms: params.remote_ms,
            cached_ms: params.remote_ms,
        }
    }

    /// Price of one request, in milliseconds.
    fn of_request(&self, prefill: &homes::PrefillPlan) -> f64 {
        match prefill.is_cached() {
            true => self.cached_ms,
            false => self.request_ms,
        }
    }
}

/// Predicts the latency from the work that a new request finds, in milliseconds.
#[must_use]
pub fn queue_ms(demand: Demand, queue: &Queue, params: &Parameters) -> f64 {
    let waiting = (queue.requests + 1.0 - queue.slots).max(0.0);
    match demand {
        Demand::Prompt => {
            let wait = waiting * params.stream_ms / queue.slots;
            let contention = queue.requests * params.contention_ms;
            queue.unread_tokens / params.read_tokens_per_ms + wait + contention
        }
        Demand::Call => (waiting + queue.requests) * params.call_ms / queue.slots,
    }
}

/// Predicts the latency that an endpoint adds to a request, in milliseconds.
#[must_use]
pub fn predict_ms(
    request: &choice::Request,
    candidate: &choice::Candidate,
    prefill: &homes::PrefillPlan,
    params: &Parameters,
) -> f64 {
    let queue = Queue {
        requests: f64::from(candidate.load.in_flight()),
        slots: f64::from(candidate.slots.max(1)),
        unread_tokens: f64::from(candidate.load.unread_tokens()),
    };
    let price = candidate.price.of_request(prefill);
    match request.prompt {
        Some(_) => {
            let own = f64::from(prefill.read_tokens) * params.read_weight;
            let copy = copy_cost(prefill.copy_tokens, params);
            let copy = if prefill.is_home {
                copy * HOME_COPY_FACTOR
            } else {
                copy
            };
            let queued = queue_ms(Demand::Prompt, &queue, params);
            own / params.read_tokens_per_ms + copy + queued + price
        }
        None => queue_ms(Demand::Call, &queue, params) + price,
    }
}

/// Returns the cost of copying cached tokens, in milliseconds.
fn copy_cost(tokens: u32, params: &Parameters) -> f64 {
    match tokens {
        0 => 0.0,
        _ => params.copy_ms + f64::from(tokens) / params.copy_tokens_per_ms,
    }
}
