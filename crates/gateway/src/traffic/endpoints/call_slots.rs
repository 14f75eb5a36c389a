//! Groups of endpoints whose slots a host schedules for all, as far as the endpoint table is asked for them.

use std::collections::HashMap;
use std::time::Duration;

use pistachiochute_core::call_slots::placement;
use pistachiochute_core::membership::load_reports;
use pistachiochute_core::{call_slots, catalog, entity, time};
use smallvec::SmallVec;

use super::{Eligibility, EndpointTable};
use crate::shared;

/// Most endpoints that a question excludes, so that it fits a datagram.
const MAX_EXCLUDED: usize = 64;

/// Groups of endpoints.
pub(super) type Groups = HashMap<placement::Group, Group>;

/// Endpoints of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    ids: Vec<entity::EndpointId>,
    /// Shortest target latency of the calls to their service.
    target_latency: Option<Duration>,
}

/// Group that a request asks for a slot.
#[derive(Clone, Debug)]
pub(in crate::traffic) struct SlotQuestion {
    /// The group.
    pub group: placement::Group,
    /// Its endpoints that the request must not be sent to.
    pub excluded: SmallVec<[u64; 4]>,
}

/// Leases that an endpoint with so many slots may have: two thirds more. A lease also lasts while its call
/// and its release travel; with one for each slot, slots would be idle.
const fn leases_for(slots: u32) -> u32 {
    slots.saturating_add(slots.saturating_mul(2) / 3)
}

/// Shortest target latency of the calls to a service, streams left out.
fn call_target_latency(catalog: &catalog::Catalog, service: &str) -> Option<Duration> {
    let content = catalog.content();
    let is_called = |route: &&catalog::Route| {
        let mut services = route.targets.iter().map(|t| catalog.service(t.service));
        !route.kind.is_stream() && services.any(|s| *s.name == *service)
    };
    let routes = content.routes.iter().filter(is_called);
    let targets = routes.filter_map(|route| route.target_latency);
    targets
        .filter(|t| placement::is_worth_asking(Some(*t)))
        .min()
}

impl EndpointTable {
    /// Groups of the services whose slots are scheduled.
    pub(super) fn slot_groups(&self, view: &shared::View) -> Groups {
        let mut groups = Groups::new();
        for (service, ids) in &self.by_service {
            let slots = self.slots(ids);
            if !placement::is_scheduled(view.hosts, slots) {
                continue;
            }
            let target_latency = view.catalog.as_ref();
            let target_latency = target_latency.and_then(|c| call_target_latency(c, service));
            let service = shared::host_hash(service);
            for id in ids {
                if let Some(entry) = self.entries.get(*id) {
                    let group = placement::group(service, entry.hash, slots);
                    let group = groups.entry(group).or_default();
                    group.ids.push(*id);
                    group.target_latency = target_latency;
                }
            }
        }
        groups
    }

    /// What a request asks for, or `None` if the slots of its service are not scheduled, or no endpoint
    /// of the group takes it from this host now. Endpoints of a domain that was taken back are used in full
    /// at once unless they may be cold: the scheduler keeps hosts from all choosing the empty ones.
    pub(in crate::traffic) fn slot_question(
        &self,
        service: &str,
        seed: u64,
        eligibility: &Eligibility<'_>,
        may_be_cold: bool,
        now: time::Time,
    ) -> Option<SlotQuestion> {
        if self.slot_groups.is_empty() {
            return None;
        }
        let ids = self.by_service.get(service)?;
        let mut open = ids.clone();
        open.retain(|id| self.is_eligible(*id, eligibility) && self.is_usable(*id, now));
        self.take_closed(&mut open, eligibility, now);
        if may_be_cold {
            self.hold_back_returning(&mut open, seed, now);
        }
        let pairs = open.iter().filter_map(|id| {
            let entry = self.entries.get(*id)?;
            Some((entry.hash, entry.endpoint.slots))
        });
        let drawn = placement::draw(seed, pairs)?;
        let group = placement::group(shared::host_hash(service), drawn, self.slots(ids));
        let members = self.slot_groups.get(&group)?.ids.iter();
        let closed = members.filter(|id| !open.contains(id));
        let hashes = closed.filter_map(|id| Some(self.entries.get(*id)?.hash));
        let excluded = hashes.take(MAX_EXCLUDED).collect();
        Some(SlotQuestion { group, excluded })
    }

    /// Endpoints of a group that take requests now, for its scheduler.
    pub(in crate::traffic) fn slot_endpoints(
        &self,
        group: placement::Group,
        others: &load_reports::WorkByEndpoint,
        now: time::Time,
    ) -> Vec<call_slots::Endpoint> {
        let known = self.slot_groups.get(&group);
        let mut ids = known.map_or_else(Vec::new, |group| group.ids.clone());
        ids.retain(|id| self.is_eligible(*id, &Eligibility::default()));
        let endpoint = |id: &entity::EndpointId| {
            let candidate = self.candidate(*id, others, now)?;
            let domain = &self.entries.get(*id)?.endpoint.domain;
            candidate.is_healthy.then(|| call_slots::Endpoint {
                hash: candidate.hash,
                domain: shared::host_hash(domain),
                slots: leases_for(candidate.slots),
                reported: candidate.load.own.requests + candidate.load.others.requests,
            })
        };
        ids.iter().filter_map(endpoint).collect()
    }

    /// Whether a group is known.
    pub(in crate::traffic) fn has_slot_group(&self, group: placement::Group) -> bool {
        self.slot_groups.contains_key(&group)
    }

    /// Target latency of the calls to the endpoints of a group, if it is known.
    pub(in crate::traffic) fn slot_target_latency(
        &self,
        group: placement::Group,
    ) -> Option<Duration> {
        self.slot_groups.get(&group)?.target_latency
    }

    /// Endpoint with a hash.
    pub(in crate::traffic) fn id_of_hash(&self, hash: u64) -> Option<entity::EndpointId> {
        self.by_hash.get(&hash).copied()
    }

    fn slots(&self, ids: &[entity::EndpointId]) -> u32 {
        let entries = ids.iter().filter_map(|id| self.entries.get(*id));
        entries.map(|entry| entry.endpoint.slots).sum()
    }
}
