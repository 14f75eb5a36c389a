//! Requests that are sent to endpoints of other failure domains.

use opentelemetry::metrics;
use pistachiochute_core::spill;

use super::{counter, label};

/// Counters of what leaves the failure domain of the host.
#[derive(Clone)]
pub(super) struct Departures {
    requests: metrics::Counter<u64>,
    prompt_tokens: metrics::Counter<u64>,
}

impl Departures {
    pub(super) fn new(meter: &metrics::Meter) -> Self {
        Self {
            requests: counter(
                meter,
                "departed_requests",
                "Requests sent to endpoints of other failure domains, by the reason",
            ),
            prompt_tokens: counter(
                meter,
                "departed_prompt_tokens",
                "Prompt tokens of requests sent to other failure domains, by the reason",
            ),
        }
    }

    /// Exports every counter, also one that has counted nothing.
    pub(super) fn init_to_zero(&self) {
        for reason in spill::Departure::ALL {
            self.record(reason, 0, 0);
        }
    }

    pub(super) fn record(&self, reason: spill::Departure, requests: u64, tokens: u64) {
        let labels = [label("reason", reason.as_str())];
        self.requests.add(requests, &labels);
        self.prompt_tokens.add(tokens, &labels);
    }
}
