//! Endpoint table of the traffic thread: load, caches, health and retry budgets.

mod admissions;
mod call_slots;
mod departures;
mod overload;
mod permits;
mod preferences;
mod restarts;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::{cost, homes, load, prefix, prompt};
use pistachiochute_core::membership::load_reports;
use pistachiochute_core::{
    admission, choice, directory, entity, health, map, permits as core_permits, retry, spill,
    streams, time,
};
use pistachiochute_messages::peer;

pub(super) use self::permits::Permit;
use crate::{adapter, settings, shared};

pub(super) use call_slots::SlotQuestion;

/// Age up to which the load that an endpoint reported is used.
const REPORTED_LOAD_MAX_AGE: Duration = Duration::from_millis(250);

/// Settings of the outlier ejection: an endpoint that fails is ejected for a short time at first,
/// since most of them recover within seconds.
const HEALTH_SETTINGS: health::Settings = health::Settings {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(500),
    max_ejection: Duration::from_secs(4),
    interval: Duration::from_secs(1),
    max_slow_share: 0.2,
};

/// State of one endpoint.
#[derive(Debug)]
struct Entry {
    endpoint: Arc<directory::Endpoint>,
    hash: u64,
    /// Software version, if it is known.
    version: Option<streams::VersionTag>,
    /// Load of this host's requests.
    work: load::Work,
    /// Whether the last attempt to connect failed, or reached another endpoint at its address.
    is_unreachable: bool,
    /// When a connection to it was last lost or could not be made.
    lost_at: Option<time::Time>,
    /// Latest time at which the process that its entry describes is known to have been alive.
    alive_at: Option<time::Time>,
    /// Whether another process is known to have its address.
    has_ended: bool,
    /// Whether the last view that contained the endpoint has it among those that leave.
    is_listed_leaving: bool,
    /// Generation of the last view that contained the endpoint.
    generation: u64,
    /// Running and queued requests that the endpoint last reported, and when.
    reported: Option<(u32, time::Time)>,
}

impl Entry {
    /// Records that its process was alive at a point in time.
    fn record_alive(&mut self, at: time::Time) {
        if !self.has_ended {
            self.alive_at = self.alive_at.max(Some(at));
        }
    }

    /// Whether the view of a generation has the endpoint among those that take requests.
    fn is_listed_ready(&self, generation: u64) -> bool {
        self.generation == generation && !self.is_listed_leaving
    }
}

/// Endpoint selected for an attempt.
#[derive(Clone, Debug)]
pub(super) struct SelectedEndpoint {
    pub endpoint: Arc<directory::Endpoint>,
    pub choice: choice::Choice,
    /// Address of the endpoint that cached prompt tokens are copied from.
    pub copy_from: Option<std::net::SocketAddr>,
    /// Software version of the endpoint, if its entry is recent and not in doubt. It is a claim.
    pub version: Option<streams::VersionTag>,
    /// Permit for a request to it.
    pub permit: Permit,
    /// Why the request leaves the failure domain of this host, if it does.
    pub departure: Option<spill::Departure>,
}

/// Which endpoints of a service an attempt may be sent to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Eligibility<'a> {
    /// Endpoints that the request was sent to before.
    pub tried: &'a [entity::EndpointId],
    /// Software version that the endpoint must have, if the request resumes a stream. Cached
    /// prompt parts are then copied only from endpoints of this version, too.
    pub version: Option<streams::VersionTag>,
    /// Whether the request begins a stream that may be resumed later.
    pub may_be_resumed: bool,
    /// Whether another host can be asked for a permit.
    pub may_ask: bool,
    /// The only endpoint, if the request has a slot of it.
    pub only: Option<entity::EndpointId>,
}

impl Eligibility<'_> {
    fn has_version(&self, entry: &Entry) -> bool {
        self.version.is_none() || entry.version == self.version
    }
}

/// State of all endpoints. An endpoint stays in the table until it has left the view and the last
/// request of this host to it has ended.
#[derive(Debug)]
pub(super) struct EndpointTable {
    domain: String,
    budget: retry::FleetBudget,
    ids: HashMap<directory::Identity, entity::EndpointId>,
    entries: map::EntityMap<entity::EndpointId, Entry>,
    by_hash: HashMap<u64, entity::EndpointId>,
    by_service: HashMap<Arc<str>, Vec<entity::EndpointId>>,
    /// Draining endpoints, by service. They take no requests, but other endpoints of their service
    /// can copy from their caches.
    leaving: HashMap<Arc<str>, Vec<homes::ClosedEndpoint>>,
    budgets: HashMap<Arc<str>, retry::Budget>,
    prefixes: prefix::PrefixIndex,
    health: health::Health,
    reachability: health::reachability::Reachability,
    cost_parameters: cost::Parameters,
    /// Shares of the requests that leave the failure domain.
    spill: spill::Spill,
    /// What endpoints have said of themselves.
    admissions: admission::Admissions,
    /// What this host has lent and borrowed of the limits of endpoints.
    permits: core_permits::Permits,
    /// Failure domains that operators have taken back lately.
    returned: Vec<directory::ReturnedDomain>,
    /// Number of endpoints in failure domains that operators have evacuated, by service.
    evacuated: HashMap<Arc<str>, u32>,
    /// Endpoints of services whose slots are scheduled, by their group.
    slot_groups: call_slots::Groups,
    /// When the list of endpoints was last confirmed to be current.
    list_confirmed_at: time::Time,
    /// Endpoint ids whose process may have changed lately.
    restarts: restarts::Restarts,
    /// Services that have had several software versions lately.
    contested: Vec<Arc<str>>,
    /// Generation of the view that the table was updated from.
    generation: u64,
    next_id: u32,
}

impl EndpointTable {
    pub(super) fn new(host: &settings::Host, budget: retry::FleetBudget, now: time::Time) -> Self {
        Self {
            domain: host.domain.clone(),
            budget,
            ids: HashMap::new(),
            entries: map::EntityMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            leaving: HashMap::new(),
            budgets: HashMap::new(),
            prefixes: prefix::PrefixIndex::default(),
            health: health::Health::new(HEALTH_SETTINGS, now),
            reachability: health::reachability::Reachability::default(),
            cost_parameters: cost::Parameters::default(),
            spill: spill::Spill::new(cost::Parameters::default()),
            admissions: admission::Admissions::new(shared::host_hash(&host.name)),
            permits: core_permits::Permits::new(shared::host_hash(&host.name), now),
            returned: Vec::new(),
            evacuated: HashMap::new(),
            slot_groups: call_slots::Groups::default(),
            list_confirmed_at: now,
            restarts: restarts::Restarts::default(),
            contested: Vec::new(),
            generation: 0,
            next_id: 0,
        }
    }

    /// Updates the table from a view, if its generation has changed.
    pub(super) fn update(&mut self, view: &shared::View, now: time::Time) {
        if self.generation == view.generation {
            return;
        }
        self.generation = view.generation;
        self.admissions.set_hosts(&view.host_hashes, now);
        self.admissions
            .set_known_hosts(&view.known_host_hashes, now);
        self.returned.clone_from(&view.returned);
        self.contested.clone_from(&view.contested);
        self.evacuated.clear();
        self.by_service.clear();
        for endpoint in &view.endpoints {
            let id = self.id_for(endpoint, false);
            self.restarts.record_listed(&endpoint.identity, now);
            self.by_service
                .entry(endpoint.service.clone())
                .or_default()
                .push(id);
        }
        self.slot_groups = self.slot_groups(view);
        self.leaving.clear();
        for endpoint in &view.leaving {
            let closed = homes::ClosedEndpoint {
                endpoint: self.id_for(endpoint, true),
                hash: endpoint.identity.hash(),
            };
            if view.evacuated.contains(&endpoint.domain) {
                *self.evacuated.entry(endpoint.service.clone()).or_default() += 1;
            }
            self.leaving
                .entry(endpoint.service.clone())
                .or_default()
                .push(closed);
        }
        self.remove_unused(now);
        self.restarts.prune(now);
    }

    /// Selects an eligible endpoint of a service. Those that take no request of this host now are left
    /// out.
    pub(super) fn select(
        &self,
        service: &str,
        request: &choice::Request,
        others: &load_reports::WorkByEndpoint,
        eligibility: &Eligibility<'_>,
        now: time::Time,
    ) -> Option<SelectedEndpoint> {
        let ids = self.by_service.get(service)?;
        let mut ids = ids.to_vec();
        ids.retain(|id| self.is_eligible(*id, eligibility));
        let mut closed = self.leaving.get(service).cloned().unwrap_or_default();
        closed.extend(self.take_closed(&mut ids, eligibility, now));
        self.prefer_provable(service, &mut ids, eligibility);
        self.hold_back_returning(&mut ids, request.seed, now);
        let mut candidates: Vec<_> = ids
            .iter()
            .filter_map(|id| self.candidate(*id, others, now))
            .collect();
        let quote = self.set_prices(service, &mut candidates, request.seed);
        let is_source = |id| {
            let is_present = |entry: &Entry| {
                entry.generation == self.generation
                    && *entry.endpoint.service == *service
                    && eligibility.has_version(entry)
            };
            self.entries.get(id).is_some_and(is_present) && self.is_usable(id, now)
        };
        let caches = choice::Caches {
            prefixes: &self.prefixes,
            closed: &closed,
            evacuated: self.evacuated.get(service).copied().unwrap_or(0),
            is_source: &is_source,
        };
        let choice = choice::choose(request, &candidates, &caches, &self.cost_parameters, now)?;
        let entry = self.entries.get(choice.endpoint)?;
        let source = choice.copy_from.and_then(|id| self.entries.get(id));
        Some(SelectedEndpoint {
            endpoint: entry.endpoint.clone(),
            copy_from: source.map(|entry| entry.endpoint.address),
            version: entry.version.filter(|_| self.may_begin_by_list(entry, now)),
            permit: self.permit_for(entry, now),
            departure: (*entry.endpoint.domain != *self.domain)
                .then(|| quote.departure(&entry.endpoint.domain, choice.is_cached)),
            choice,
        })
    }

    /// Applies the cached prompt parts that other hosts have reported.
    pub(super) fn apply_remote_cached_parts(&mut self, shared: &shared::Shared, now: time::Time) {
        while let Some(part) = shared.remote_cached_parts.pop() {
            if let Some(id) = self.by_hash.get(&part.endpoint) {
                self.prefixes.record_remote_use(part.part, *id, now);
            }
        }
    }

    /// Last shared part of a prompt, if it is large enough to be copied and no usable endpoint is known to
    /// hold it.
    pub(super) fn unknown_part(
        &self,
        service: &str,
        prompt: &prompt::Prompt,
        now: time::Time,
    ) -> Option<u64> {
        let shared = prompt.shared_tokens();
        if shared < homes::MIN_COPY_TOKENS {
            return None;
        }
        let is_usable = |id| {
            let entry = self.entries.get(id);
            entry.is_some_and(|entry| {
                entry.generation == self.generation && *entry.endpoint.service == *service
            }) && self.is_usable(id, now)
        };
        let best = self.prefixes.best_holder(prompt, now, is_usable);
        let is_known = best.is_some_and(|(_, tokens)| tokens >= shared);
        if is_known { None } else { prompt.home_key() }
    }

    /// Records that another host knows an endpoint to hold the shared parts of a prompt.
    pub(super) fn record_holder(
        &mut self,
        prompt: &prompt::Prompt,
        endpoint: u64,
        now: time::Time,
    ) {
        let Some(id) = self.by_hash.get(&endpoint) else {
            return;
        };
        for part in prompt.shared_parts() {
            self.prefixes.record_remote_use(part.key, *id, now);
        }
    }

    /// Number of endpoints of a service that take requests.
    pub(super) fn service_size(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Whether a service has an eligible endpoint.
    pub(super) fn has_eligible(&self, service: &str, eligibility: &Eligibility<'_>) -> bool {
        let ids = self.by_service.get(service);
        ids.is_some_and(|ids| ids.iter().any(|id| self.is_eligible(*id, eligibility)))
    }

    /// Records that the list of endpoints was current at a point in time.
    pub(super) fn confirm_list(&mut self, at: time::Time) {
        self.list_confirmed_at = self.list_confirmed_at.max(at);
    }

    /// Records what a report has shown of the process that an endpoint's entry describes.
    pub(super) fn record_sign(
        &mut self,
        identity: &directory::Identity,
        sign: streams::LifeSign,
        now: time::Time,
    ) {
        let id = self.ids.get(identity);
        let Some(entry) = id.and_then(|id| self.entries.get_mut(*id)) else {
            return;
        };
        match sign {
            streams::LifeSign::Alive(at) => entry.record_alive(at),
            streams::LifeSign::Ended => {
                entry.has_ended = true;
                entry.lost_at = Some(now);
                self.restarts.record_loss(&identity.id, now);
            }
        }
    }

    /// Records whether the report of a process said which one it is.
    pub(super) fn record_report(&mut self, identity: &directory::Identity, is_nameless: bool) {
        self.restarts.record_report(&identity.id, is_nameless);
    }

    /// Applies the writes of entries that the control thread has read.
    pub(super) fn apply_entry_writes(&mut self, shared: &shared::Shared) {
        while let Some(write) = shared.entry_writes.pop() {
            let id = self.by_hash.get(&write.endpoint);
            if let Some(entry) = id.and_then(|id| self.entries.get_mut(*id)) {
                entry.record_alive(write.alive_at);
            }
        }
    }

    /// Whether an incarnation is known to have been alive at a point in time, or later. A connection that
    /// was made to its address by then is its own.
    pub(super) fn was_alive_after(&self, identity: &directory::Identity, at: time::Time) -> bool {
        let id = self.ids.get(identity);
        let entry = id.and_then(|id| self.entries.get(*id));
        identity.is_distinct()
            && entry.is_some_and(|entry| entry.alive_at.is_some_and(|alive_at| at <= alive_at))
    }

    /// The incarnation with a tag.
    pub(super) fn incarnation(
        &self,
        tag: streams::IncarnationTag,
    ) -> Option<Arc<directory::Endpoint>> {
        let mut endpoints = self.entries.values().map(|entry| &entry.endpoint);
        let is_meant = |endpoint: &&Arc<directory::Endpoint>| {
            streams::IncarnationTag::of(&endpoint.identity) == tag
        };
        endpoints.find(is_meant).cloned()
    }

    /// Whether an endpoint passes its health checks and its domain can be reached.
    fn is_usable(&self, id: entity::EndpointId, now: time::Time) -> bool {
        let domain = self.remote_domain(id);
        let is_unreachable =
            domain.is_some_and(|domain| self.reachability.is_unreachable(&domain, now));
        self.health.is_usable(id) && !is_unreachable
    }

    /// Failure domain of an endpoint, if it is not that of this host.
    fn remote_domain(&self, id: entity::EndpointId) -> Option<Arc<str>> {
        let domain = &self.entries.get(id)?.endpoint.domain;
        (**domain != *self.domain).then(|| domain.clone())
    }

    /// Records that a connection to an endpoint timed out.
    pub(super) fn record_connect_timeout(&mut self, id: entity::EndpointId, now: time::Time) {
        if let Some(domain) = self.remote_domain(id) {
            self.reachability.record_timeout(id, &domain, now);
        }
    }

    /// Records that an endpoint answered, whatever it said.
    pub(super) fn record_answer(&mut self, id: entity::EndpointId, now: time::Time) {
        if let Some(domain) = self.remote_domain(id) {
            self.reachability.record_answer(&domain, now);
        }
    }

    /// Records that a connection to an endpoint was lost.
    pub(super) fn record_lost_connection(&mut self, id: entity::EndpointId, now: time::Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.lost_at = Some(now);
            self.restarts.record_loss(&entry.endpoint.identity.id, now);
        }
    }

    fn is_eligible(&self, id: entity::EndpointId, eligibility: &Eligibility<'_>) -> bool {
        let entry = self.entries.get(id);
        !eligibility.tried.contains(&id)
            && eligibility.only.is_none_or(|only| only == id)
            && entry.is_some_and(|entry| {
                eligibility.has_version(entry) && !self.admissions.is_leaving(entry.hash)
            })
    }

    /// Retry budget of a service: the share of one of `hosts` hosts.
    pub(super) fn budget(&mut self, service: &Arc<str>, hosts: u32) -> &mut retry::Budget {
        let share = self.budget.share(hosts);
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| retry::Budget::empty(share));
        budget.set_config(share);
        budget
    }

    /// Records a health observation of an endpoint.
    pub(super) fn observe_health(
        &mut self,
        id: entity::EndpointId,
        observation: health::Observation,
        now: time::Time,
    ) {
        self.health.observe(now, id, observation);
        if observation != health::Observation::Completed {
            self.record_lost_connection(id, now);
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.is_unreachable = matches!(
                observation,
                health::Observation::ConnectFailed | health::Observation::Replaced
            );
        }
    }

    /// Records the load that an endpoint reported.
    pub(super) fn record_reported_load(
        &mut self,
        id: entity::EndpointId,
        load: adapter::ReportedLoad,
        now: time::Time,
    ) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.reported = Some((load.running + load.waiting, now));
        }
    }

    /// Load that this host puts on endpoints. Also ends ejections whose time is over.
    pub(super) fn local_loads(&mut self, now: time::Time) -> Vec<load::EndpointLoad> {
        self.health.tick(now);
        self.entries
            .values()
            .filter(|entry| entry.work.requests > 0)
            .map(|entry| load::EndpointLoad {
                endpoint: entry.hash,
                work: entry.work,
            })
            .collect()
    }

    /// Counts a request that is about to be sent to an endpoint. Returns the parts of its prompt that
    /// other hosts are to be told of.
    pub(super) fn start_request(
        &mut self,
        choice: &choice::Choice,
        prompt: Option<&prompt::Prompt>,
        permit: Permit,
        now: time::Time,
    ) -> Vec<peer::CachedPart> {
        let Some(entry) = self.entries.get_mut(choice.endpoint) else {
            return Vec::new();
        };
        let endpoint = entry.hash;
        entry.work.requests += 1;
        entry.work.unread_tokens += choice.read_tokens;
        let demand = match prompt {
            Some(_) => cost::Demand::Prompt,
            None => cost::Demand::Call,
        };
        self.spill.record_request(&entry.endpoint.service, demand);
        match permit {
            Permit::Own => self.admissions.record_sent(endpoint, now),
            Permit::Pool | Permit::Ask(_) | Permit::Until(_) => {
                self.admissions.record_sent_on_permit(endpoint, now);
            }
        }
        let Some(prompt) = prompt else {
            return Vec::new();
        };
        let parts = self.prefixes.record_use(prompt, choice.endpoint, now);
        let cached = parts
            .into_iter()
            .map(|part| peer::CachedPart { part, endpoint });
        cached.collect()
    }

    /// Records that an endpoint has read prompt tokens that [`EndpointTable::start_request`] counted.
    pub(super) fn mark_read(&mut self, id: entity::EndpointId, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(id) {
            let remaining = entry.work.unread_tokens.saturating_sub(tokens);
            entry.work.unread_tokens = remaining;
        }
    }

    /// Records the end of a request that [`EndpointTable::start_request`] counted.
    pub(super) fn end_request(&mut self, id: entity::EndpointId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.work.requests = entry.work.requests.saturating_sub(1);
        }
    }

    fn candidate(
        &self,
        id: entity::EndpointId,
        others: &load_reports::WorkByEndpoint,
        now: time::Time,
    ) -> Option<choice::Candidate> {
        let entry = self.entries.get(id)?;
        let other = others.get(&entry.hash).copied().unwrap_or_default();
        let is_fresh = |at| now.since(at) < REPORTED_LOAD_MAX_AGE;
        let reported = entry.reported.filter(|(_, at)| is_fresh(*at));
        Some(choice::Candidate {
            endpoint: id,
            hash: entry.hash,
            slots: entry.endpoint.slots,
            price: cost::DomainPrice::NONE,
            is_beside_share: false,
            is_healthy: self.is_usable(id, now),
            is_reachable: !entry.is_unreachable,
            is_limited: self.has_own_permit(entry, now)
                || (!self.admissions.is_limited(entry.hash)
                    && self.admissions.is_cold(entry.hash, now)),
            load: load::Load {
                own: entry.work,
                others: other,
                reported_requests: reported.map(|(requests, _)| requests),
            },
        })
    }

    /// Id of an endpoint of the current view; one is assigned if it has none. `is_leaving` states
    /// whether the view has it among those that leave.
    fn id_for(
        &mut self,
        endpoint: &Arc<directory::Endpoint>,
        is_leaving: bool,
    ) -> entity::EndpointId {
        let version = endpoint
            .version
            .as_ref()
            .map(|version| streams::VersionTag::new(&endpoint.service, version));
        if let Some(id) = self.ids.get(&endpoint.identity) {
            if let Some(entry) = self.entries.get_mut(*id) {
                entry.endpoint = endpoint.clone();
                entry.version = version;
                entry.is_listed_leaving = is_leaving;
                entry.generation = self.generation;
            }
            return *id;
        }
        let id = entity::EndpointId::new(self.next_id).expect("fewer endpoints than ids");
        self.next_id += 1;
        self.ids.insert(endpoint.identity.clone(), id);
        let hash = endpoint.identity.hash();
        self.by_hash.insert(hash, id);
        self.entries.insert(
            id,
            Entry {
                endpoint: endpoint.clone(),
                hash,
                version,
                work: load::Work::default(),
                is_unreachable: false,
                lost_at: None,
                alive_at: None,
                has_ended: false,
                is_listed_leaving: is_leaving,
                generation: self.generation,
                reported: None,
            },
        );
        id
    }

    /// Removes endpoints that have left the view and have no requests of this host.
    fn remove_unused(&mut self, now: time::Time) {
        let unused: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.work.requests == 0 && entry.generation != self.generation)
            .map(|(id, _)| id)
            .collect();
        for id in unused {
            if let Some(entry) = self.entries.remove(id) {
                self.ids.remove(&entry.endpoint.identity);
                self.by_hash.remove(&entry.hash);
            }
            self.prefixes.remove_endpoint(id);
            self.health.remove(id);
        }
        let by_hash = &self.by_hash;
        self.admissions
            .retain_present(|hash| by_hash.contains_key(&hash), now);
    }
}
