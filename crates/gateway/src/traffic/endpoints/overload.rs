//! Load of a service over all its endpoints.

use std::time::Duration;

use pistachiochute_core::membership::load_reports;
use pistachiochute_core::{admission, overload, time};

use super::{Eligibility, EndpointTable};

impl EndpointTable {
    /// Load of a service, as far as endpoints tell it.
    pub(in crate::traffic) fn fleet_load(
        &self,
        service: &str,
        others: &load_reports::WorkByEndpoint,
        now: time::Time,
    ) -> overload::FleetLoad {
        let eligibility = Eligibility {
            may_ask: true,
            ..Eligibility::default()
        };
        let mut fleet = overload::FleetLoad::default();
        let mut open = 0_u32;
        let mut unread_tokens = 0.0;
        for id in self.by_service.get(service).into_iter().flatten() {
            let Some(candidate) = self.candidate(*id, others, now) else {
                continue;
            };
            let in_flight = candidate.load.in_flight();
            fleet.in_flight += in_flight;
            let is_open = candidate.is_healthy
                && candidate.is_reachable
                && !candidate.is_limited
                && self.opening(*id, &eligibility, now) == admission::Opening::Now;
            if is_open {
                open += 1;
                fleet.slots += candidate.slots;
                unread_tokens += f64::from(candidate.load.unread_tokens());
            } else {
                fleet.elsewhere += in_flight;
            }
        }
        let tokens_per_ms = self.cost_parameters.read_tokens_per_ms * f64::from(open.max(1));
        fleet.reading = Duration::from_secs_f64(unread_tokens / tokens_per_ms / 1_000.0);
        fleet
    }
}
