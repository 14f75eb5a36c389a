//! The endpoints as the traffic thread sees them: work in progress, caches, health and budgets.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::{cost, homes, load, prefix, prompt};
use pistachiochute_core::membership::load_reports;
use pistachiochute_core::{choice, directory, entity, health, map, retry, time};
use pistachiochute_messages::peer;

use crate::traffic::Context;
use crate::{adapter, shared};

/// Age up to which the load that an endpoint stated counts.
const STATED_HORIZON: Duration = Duration::from_millis(250);

/// Health settings: an endpoint that fails is out for a short time at first, since most of them
/// come back within seconds.
const HEALTH: health::Settings = health::Settings {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(500),
    max_ejection: Duration::from_secs(4),
    interval: Duration::from_secs(1),
    max_slow_share: 0.2,
};

/// What is known of one endpoint.
#[derive(Debug)]
struct Known {
    endpoint: Arc<directory::Endpoint>,
    hash: u64,
    /// Work of this host.
    work: load::Work,
    /// Whether the last attempt to connect failed, or met another endpoint at its address.
    is_unreachable: bool,
    /// Serial of the last view that held it.
    serial: u64,
    /// Requests that the endpoint stated, and when.
    stated: Option<(u32, time::Time)>,
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Chosen {
    pub endpoint: Arc<directory::Endpoint>,
    pub choice: choice::Choice,
    /// Address of the endpoint that cached prompt tokens are copied from.
    pub copy_from: Option<std::net::SocketAddr>,
}

/// State of the endpoints.
#[derive(Debug)]
pub(super) struct Fleet {
    domain: String,
    budget: retry::FleetBudget,
    ids: HashMap<directory::Identity, entity::EndpointId>,
    known: map::EntityMap<entity::EndpointId, Known>,
    by_hash: HashMap<u64, entity::EndpointId>,
    by_service: HashMap<Arc<str>, Vec<entity::EndpointId>>,
    /// Endpoints that leave, by service. They take no requests, but others of their service can
    /// copy from their caches.
    leaving: HashMap<Arc<str>, Vec<homes::Leaving>>,
    budgets: HashMap<Arc<str>, retry::Budget>,
    prefixes: prefix::Prefixes,
    health: health::Health,
    rates: cost::Rates,
    /// Serial of the view that the endpoints were taken from.
    serial: u64,
    next_id: u32,
}

impl Fleet {
    pub(super) fn new(domain: String, budget: retry::FleetBudget, now: time::Time) -> Self {
        Self {
            domain,
            budget,
            ids: HashMap::new(),
            known: map::EntityMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            leaving: HashMap::new(),
            budgets: HashMap::new(),
            prefixes: prefix::Prefixes::default(),
            health: health::Health::new(HEALTH, now),
            rates: cost::Rates::default(),
            serial: 0,
            next_id: 0,
        }
    }

    /// Takes over the endpoints of a view, if it is another one than before.
    pub(super) fn follow(&mut self, view: &shared::View) {
        if self.serial == view.serial {
            return;
        }
        self.serial = view.serial;
        self.by_service.clear();
        for endpoint in &view.endpoints {
            let id = self.id_of(endpoint);
            self.by_service
                .entry(endpoint.service.clone())
                .or_default()
                .push(id);
        }
        self.leaving.clear();
        for endpoint in &view.leaving {
            let leaving = homes::Leaving {
                endpoint: self.id_of(endpoint),
                hash: endpoint.identity.hash(),
            };
            self.leaving
                .entry(endpoint.service.clone())
                .or_default()
                .push(leaving);
        }
        self.forget_unused();
    }

    /// Chooses an endpoint of a service, apart from those that the request was at already.
    pub(super) fn choose(
        &self,
        service: &str,
        need: &choice::Need,
        others: &load_reports::WorkByEndpoint,
        tried: &[entity::EndpointId],
        now: time::Time,
    ) -> Option<Chosen> {
        let ids = self.by_service.get(service)?;
        let candidates: Vec<_> = ids
            .iter()
            .filter(|id| !tried.contains(id))
            .filter_map(|id| self.candidate(*id, others, now))
            .collect();
        let is_source = |id| {
            let is_present =
                |known: &Known| known.serial == self.serial && *known.endpoint.service == *service;
            self.known.get(id).is_some_and(is_present) && self.health.is_usable(id)
        };
        let leaving = self.leaving.get(service);
        let caches = choice::Caches {
            prefixes: &self.prefixes,
            leaving: leaving.map_or(&[], Vec::as_slice),
            is_source: &is_source,
        };
        let choice = choice::choose(need, &candidates, &caches, &self.rates, now)?;
        let known = self.known.get(choice.endpoint)?;
        let source = choice.copy_from.and_then(|id| self.known.get(id));
        Some(Chosen {
            endpoint: known.endpoint.clone(),
            copy_from: source.map(|known| known.endpoint.address),
            choice,
        })
    }

    /// Takes in what other hosts had endpoints read.
    pub(super) fn apply_remote_cached_parts(&mut self, shared: &shared::Shared, now: time::Time) {
        while let Some(holding) = shared.remote_cached_parts.pop() {
            if let Some(id) = self.by_hash.get(&holding.endpoint) {
                self.prefixes.hear(holding.part, *id, now);
            }
        }
    }

    /// Whether a service has another endpoint than those that were tried.
    pub(super) fn has_other(&self, service: &str, tried: &[entity::EndpointId]) -> bool {
        let ids = self.by_service.get(service);
        ids.is_some_and(|ids| ids.iter().any(|id| !tried.contains(id)))
    }

    /// Retry budget of a service, as one of `hosts` hosts.
    pub(super) fn budget(&mut self, service: &Arc<str>, hosts: u32) -> &mut retry::Budget {
        let share = self.budget.share(hosts);
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| retry::Budget::empty(share));
        budget.set_config(share);
        budget
    }

    /// Takes in a sign of an endpoint's health.
    pub(super) fn sign(
        &mut self,
        id: entity::EndpointId,
        sign: health::Observation,
        now: time::Time,
    ) {
        self.health.observe(now, id, sign);
        if let Some(known) = self.known.get_mut(id) {
            known.is_unreachable = matches!(
                sign,
                health::Observation::ConnectFailed | health::Observation::Replaced
            );
        }
    }

    /// Takes in the load that an endpoint stated.
    pub(super) fn stated(
        &mut self,
        id: entity::EndpointId,
        load: adapter::ReportedLoad,
        now: time::Time,
    ) {
        if let Some(known) = self.known.get_mut(id) {
            known.stated = Some((load.running + load.waiting, now));
        }
    }

    /// Work of this host. Also ends the holds of the health checks.
    pub(super) fn digest(&mut self, now: time::Time) -> Vec<load::EndpointLoad> {
        self.health.tick(now);
        self.known
            .values()
            .filter(|known| known.work.requests > 0)
            .map(|known| load::EndpointLoad {
                endpoint: known.hash,
                work: known.work,
            })
            .collect()
    }

    fn candidate(
        &self,
        id: entity::EndpointId,
        others: &load_reports::WorkByEndpoint,
        now: time::Time,
    ) -> Option<choice::Candidate> {
        let known = self.known.get(id)?;
        let other = others.get(&known.hash).copied().unwrap_or_default();
        let is_fresh = |at| now.since(at) < STATED_HORIZON;
        let stated = known.stated.filter(|(_, at)| is_fresh(*at));
        Some(choice::Candidate {
            endpoint: id,
            hash: known.hash,
            slots: known.endpoint.slots,
            is_local: *known.endpoint.domain == *self.domain,
            is_healthy: self.health.is_usable(id),
            is_reachable: !known.is_unreachable,
            load: load::Load {
                own: known.work,
                others: other,
                reported_requests: stated.map(|(requests, _)| requests),
            },
        })
    }

    fn id_of(&mut self, endpoint: &Arc<directory::Endpoint>) -> entity::EndpointId {
        if let Some(id) = self.ids.get(&endpoint.identity) {
            if let Some(known) = self.known.get_mut(*id) {
                known.endpoint = endpoint.clone();
                known.serial = self.serial;
            }
            return *id;
        }
        let id = entity::EndpointId::new(self.next_id).expect("fewer endpoints than ids");
        self.next_id += 1;
        self.ids.insert(endpoint.identity.clone(), id);
        let hash = endpoint.identity.hash();
        self.by_hash.insert(hash, id);
        self.known.insert(
            id,
            Known {
                endpoint: endpoint.clone(),
                hash,
                work: load::Work::default(),
                is_unreachable: false,
                serial: self.serial,
                stated: None,
            },
        );
        id
    }

    /// Forgets endpoints that are gone and have no work of this host.
    fn forget_unused(&mut self) {
        let gone: Vec<_> = self
            .known
            .iter()
            .filter(|(_, known)| known.work.requests == 0 && known.serial != self.serial)
            .map(|(id, _)| id)
            .collect();
        for id in gone {
            if let Some(known) = self.known.remove(id) {
                self.ids.remove(&known.endpoint.identity);
                self.by_hash.remove(&known.hash);
            }
            self.prefixes.forget(id);
            self.health.remove(id);
        }
    }
}

/// One request in progress at an endpoint. It counts until it is dropped, which also happens when
/// its caller leaves.
pub(super) struct InProgress<D>
where
    D: adapter::Dialect,
{
    cx: Rc<Context<D>>,
    endpoint: entity::EndpointId,
    /// Prompt tokens that count as unread.
    unread_tokens: u32,
}

impl<D> InProgress<D>
where
    D: adapter::Dialect,
{
    /// Counts a request that is sent to an endpoint.
    pub(super) fn begin(
        cx: &Rc<Context<D>>,
        choice: &choice::Choice,
        prompt: Option<&prompt::Prompt>,
        now: time::Time,
    ) -> Self {
        let mut fleet = cx.fleet.borrow_mut();
        let unread_tokens = choice.read_tokens;
        if let Some(known) = fleet.known.get_mut(choice.endpoint) {
            known.work.requests += 1;
            known.work.unread_tokens += unread_tokens;
        }
        if let Some(prompt) = prompt {
            let news = fleet.prefixes.note(prompt, choice.endpoint, now);
            let hash = fleet.known.get(choice.endpoint).map(|known| known.hash);
            for part in news {
                let holding = hash.map(|endpoint| peer::CachedPart { part, endpoint });
                holding
                    .into_iter()
                    .for_each(|h| cx.shared.local_cached_parts.push(h));
            }
        }
        drop(fleet);
        Self {
            cx: cx.clone(),
            endpoint: choice.endpoint,
            unread_tokens,
        }
    }

    /// Notes that the prompt has been read.
    pub(super) fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        let mut fleet = self.cx.fleet.borrow_mut();
        if let Some(known) = fleet.known.get_mut(self.endpoint) {
            let left = known.work.unread_tokens.saturating_sub(tokens);
            known.work.unread_tokens = left;
        }
    }
}

impl<D> Drop for InProgress<D>
where
    D: adapter::Dialect,
{
    fn drop(&mut self) {
        self.prompt_read();
        let mut fleet = self.cx.fleet.borrow_mut();
        if let Some(known) = fleet.known.get_mut(self.endpoint) {
            known.work.requests = known.work.requests.saturating_sub(1);
        }
    }
}
