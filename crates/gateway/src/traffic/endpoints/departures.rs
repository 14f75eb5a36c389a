//! Requests that leave the failure domain of this host, as far as the endpoint table is asked for them.

use pistachiochute_core::membership::load_reports;
use pistachiochute_core::{admission, choice, spill, time};
use smallvec::SmallVec;

use super::{Eligibility, EndpointTable};

/// Loads of the failure domains.
type DomainLoads = SmallVec<[spill::DomainLoad; 4]>;

impl EndpointTable {
    /// Updates the shares of the services that this host is asked for. `heard_at` is when a host that
    /// reports loads was last heard. Returns the changes worth a log line.
    pub(in crate::traffic) fn update_spill(
        &mut self,
        others: &load_reports::WorkByEndpoint,
        heard_at: Option<time::Time>,
        now: time::Time,
    ) -> Vec<spill::Change> {
        let by_service = &self.by_service;
        self.spill
            .retain(|service| by_service.contains_key(service));
        let services: Vec<_> = self.spill.services().cloned().collect();
        let mut changes = Vec::new();
        for service in services {
            let ids = self.by_service.get(&service).into_iter().flatten();
            let open = ids.filter(|id| {
                self.is_eligible(**id, &Eligibility::default())
                    && self.opening(**id, &Eligibility::default(), now) == admission::Opening::Now
            });
            let candidates: Vec<_> = open
                .filter_map(|id| self.candidate(*id, others, now))
                .collect();
            let loads = self.domain_loads(&candidates);
            changes.extend(self.spill.update(&service, &loads, heard_at, now));
        }
        changes
    }

    /// Sets what leaving the domain depends on at each candidate of a request. Returns its terms.
    pub(super) fn set_prices(
        &self,
        service: &str,
        candidates: &mut [choice::Candidate],
        seed: u64,
    ) -> spill::Quote {
        let is_spilling = self.spill.state(service) == spill::State::Spilling;
        let loads = match is_spilling {
            true => self.domain_loads(candidates),
            // The terms do not depend on the loads.
            false => DomainLoads::new(),
        };
        let quote = self.spill.quote(service, &loads, seed);
        let prices: SmallVec<[_; 4]> = loads
            .iter()
            .map(|load| (&load.domain, quote.price(&load.domain)))
            .collect();
        for candidate in candidates {
            let Some(entry) = self.entries.get(candidate.endpoint) else {
                continue;
            };
            let domain = &entry.endpoint.domain;
            if **domain == *self.domain {
                candidate.is_beside_share = is_spilling;
            } else {
                let known = prices.iter().find(|(name, _)| *name == domain);
                candidate.price = known.map_or_else(|| quote.price(domain), |(_, price)| *price);
            }
        }
        quote
    }

    /// Loads of the domains of these candidates, those without a usable one included.
    fn domain_loads(&self, candidates: &[choice::Candidate]) -> DomainLoads {
        let mut loads = DomainLoads::new();
        for candidate in candidates {
            let Some(entry) = self.entries.get(candidate.endpoint) else {
                continue;
            };
            let domain = &entry.endpoint.domain;
            let known = loads.iter().position(|load| load.domain == *domain);
            let i = known.unwrap_or_else(|| {
                loads.push(spill::DomainLoad {
                    domain: domain.clone(),
                    is_own: **domain == *self.domain,
                    endpoints: 0,
                    slots: 0,
                    requests: 0,
                    unread_tokens: 0,
                });
                loads.len() - 1
            });
            if candidate.is_healthy {
                loads[i].add(candidate.slots, &candidate.load);
            }
        }
        loads
    }
}
