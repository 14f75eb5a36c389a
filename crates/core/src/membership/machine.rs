//! State machine of one host's view of the fleet.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::membership::member::{EndpointState, Member};
use crate::membership::reachability::DomainReachability;
use crate::membership::{
    Config, Effect, Effects, Probe, Status, Subject, Update, gossip, message, ring,
};
use crate::{entity, map, time, topology};

/// One host's view of the hosts and endpoints.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: Config,
    me: entity::HostId,
    domain: entity::DomainId,
    /// Latest update of this host about itself.
    own: Update,
    list_version: u64,
    members: map::EntityMap<entity::HostId, Member>,
    endpoints: map::EntityMap<entity::EndpointId, EndpointState>,
    domains: BTreeMap<entity::DomainId, DomainReachability>,
    ring: ring::Ring,
    gossip: gossip::GossipQueue,
    next_probe: time::Time,
    /// Whether updates wait to be pushed.
    push_due: bool,
    last_push: time::Time,
}

impl Membership {
    /// Creates the view of a host that knows no other host.
    #[must_use]
    pub fn new(cfg: Config, me: entity::HostId, domain: entity::DomainId) -> Self {
        let own = Update {
            subject: Subject::Host(me),
            incarnation: 0,
            status: Status::Alive,
        };
        Self {
            cfg,
            me,
            domain,
            own,
            list_version: 0,
            members: map::EntityMap::new(),
            endpoints: map::EntityMap::new(),
            domains: BTreeMap::new(),
            ring: ring::Ring::default(),
            gossip: gossip::GossipQueue::default(),
            next_probe: time::Time::ZERO,
            push_due: false,
            last_push: time::Time::ZERO,
        }
    }

    /// Applies the host list. A list that is not newer than the last one is ignored.
    pub fn apply_host_list(&mut self, now: time::Time, list: &topology::HostList) -> Effects {
        let mut effects = Effects::new();
        if list.version <= self.list_version {
            return effects;
        }
        self.list_version = list.version;
        self.apply_hosts(list);
        self.members
            .retain(|id, _| list.hosts.iter().any(|host| host.id == id));
        self.apply_endpoints(list);
        self.ring = ring::Ring::new(self.domain_hosts(list).chain([self.me]));
        let leaves = |host: &topology::Host| {
            host.id == self.me && host.presence == topology::Presence::Leaving
        };
        if list.hosts.iter().any(leaves) {
            effects.extend(self.leave());
        }
        // A list does not change the status of a member. Unusable hosts and leaving endpoints are
        // still reported again, since the caller may have replaced its entries.
        for (host, member) in self.members.iter_mut() {
            member.usable = member.is_usable(now);
            if !member.usable {
                effects.push(Effect::HostChanged {
                    host,
                    usable: false,
                });
            }
        }
        let leaving = self.endpoints.iter().filter(|(_, state)| state.leaving);
        effects.extend(leaving.map(|(endpoint, _)| Effect::EndpointChanged {
            endpoint,
            leaving: true,
        }));
        effects
    }

    fn apply_endpoints(&mut self, list: &topology::HostList) {
        self.endpoints
            .retain(|id, _| list.endpoints.iter().any(|endpoint| endpoint.id == id));
        for endpoint in &list.endpoints {
            self.endpoints
                .get_or_insert_with(endpoint.id, || EndpointState::new(endpoint.id));
        }
    }

    fn apply_hosts(&mut self, list: &topology::HostList) {
        let others = list.hosts.iter().filter(|host| host.id != self.me);
        for host in others.clone() {
            let member = self
                .members
                .get_or_insert_with(host.id, || Member::new(host.id, host.domain));
            member.domain = host.domain;
        }
        let mine = list.domains.iter().find(|domain| domain.id == self.domain);
        let region = mine.map(|domain| domain.region);
        let mut domains = BTreeMap::new();
        for domain in list
            .domains
            .iter()
            .filter(|domain| Some(domain.region) == region)
        {
            if domain.id == self.domain {
                continue;
            }
            let mut reachability = self.domains.remove(&domain.id).unwrap_or_default();
            let hosts = others.clone().filter(|host| host.domain == domain.id);
            reachability.hosts = hosts.map(|host| host.id).collect();
            domains.insert(domain.id, reachability);
        }
        self.domains = domains;
    }

    fn domain_hosts<'a>(
        &self,
        list: &'a topology::HostList,
    ) -> impl Iterator<Item = entity::HostId> + use<'a> {
        let domain = self.domain;
        list.hosts
            .iter()
            .filter(move |host| host.domain == domain)
            .map(|host| host.id)
    }

    /// Does the periodic work: sends probes and pushes, and confirms suspicions that were not
    /// refuted.
    pub fn tick(&mut self, now: time::Time) -> Effects {
        let mut effects = Effects::new();
        self.expire_suspicions(now, &mut effects);
        self.readmit(now, &mut effects);
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.probe_period;
            self.probe_all(&mut effects);
        }
        if self.push_due && now.since(self.last_push) >= self.cfg.min_push_interval {
            self.push_due = false;
            self.last_push = now;
            let fingers = self.ring.fingers(self.me);
            effects.extend(fingers.into_iter().map(|to| self.send(to)));
        }
        effects
    }

    fn probe_all(&mut self, effects: &mut Effects) {
        let mut targets = self.ring.successors(self.me, self.cfg.probed_neighbours);
        // Hosts start at different offsets, so that they do not all probe the same host.
        let offset = self.me.as_u32() as usize;
        targets.extend(
            self.domains
                .values_mut()
                .filter_map(|reachability| reachability.next_host(offset)),
        );
        effects.extend(targets.into_iter().map(|to| self.send(to)));
    }

    fn send(&mut self, to: entity::HostId) -> Effect {
        Effect::SendProbe {
            to,
            probe: self.make_probe(to),
        }
    }

    fn make_probe(&mut self, to: entity::HostId) -> Probe {
        let receiver = self.members.get(to).map(|member| member.known);
        Probe {
            from: self.me,
            receiver: receiver.filter(|known| known.status != Status::Alive),
            updates: self.gossip.take_batch(),
        }
    }

    /// Handles a probe and returns the answer to it.
    pub fn handle_probe(&mut self, now: time::Time, probe: &Probe) -> (Probe, Effects) {
        let effects = self.apply_message(now, probe);
        (self.make_probe(probe.from), effects)
    }

    /// Handles the answer to a probe.
    pub fn handle_answer(&mut self, now: time::Time, probe: &Probe) -> Effects {
        let mut effects = self.apply_message(now, probe);
        self.record_domain_probe(probe.from, true, &mut effects);
        if let Some(member) = self.members.get_mut(probe.from) {
            member.missed = 0;
        }
        effects
    }

    /// Handles a probe that was not answered. `refused` means that the connection was refused, so
    /// nothing listens at the address.
    pub fn handle_probe_failure(
        &mut self,
        now: time::Time,
        to: entity::HostId,
        refused: bool,
    ) -> Effects {
        let mut effects = Effects::new();
        self.record_domain_probe(to, false, &mut effects);
        let limit = self.cfg.max_missed_probes;
        let domain = self.domain;
        let Some(member) = self.members.get_mut(to) else {
            return effects;
        };
        member.missed = if refused {
            limit
        } else {
            member.missed.saturating_add(1)
        };
        // Only hosts of its own domain suspect a host: for others, the link to it may be down.
        let is_neighbour = member.domain == domain;
        if is_neighbour && member.missed >= limit && member.known.status < Status::Suspect {
            let suspicion = Update {
                status: Status::Suspect,
                ..member.known
            };
            self.apply_update(now, suspicion, &mut effects);
        }
        effects
    }

    /// Announces that this host is leaving and takes no new work.
    pub fn leave(&mut self) -> Effects {
        if self.own.status != Status::Leaving {
            self.own.status = Status::Leaving;
            self.own.incarnation += 1;
            self.enqueue_update(self.own);
        }
        Effects::new()
    }

    /// Records whether an endpoint is leaving, as its owner observed it.
    pub fn set_endpoint_leaving(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        leaving: bool,
    ) -> Effects {
        let mut effects = Effects::new();
        let Some(known) = self.endpoints.get(endpoint).map(|state| state.known) else {
            return effects;
        };
        let status = if leaving {
            Status::Leaving
        } else {
            Status::Alive
        };
        if known.status != status {
            let incarnation = known.incarnation.saturating_add(1);
            self.apply_update(
                now,
                Update {
                    incarnation,
                    status,
                    ..known
                },
                &mut effects,
            );
        }
        effects
    }

    /// Whether a host takes new work.
    #[must_use]
    pub fn is_usable(&self, host: entity::HostId) -> bool {
        match host == self.me {
            true => self.own.status == Status::Alive,
            false => self.members.get(host).is_some_and(|member| member.usable),
        }
    }

    /// Whether an endpoint is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, endpoint: entity::EndpointId) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|state| state.leaving)
    }

    /// Whether a failure domain can be reached from this host.
    #[must_use]
    pub fn is_reachable(&self, domain: entity::DomainId) -> bool {
        domain == self.domain
            || self
                .domains
                .get(&domain)
                .is_none_or(DomainReachability::is_reachable)
    }

    /// Applies the updates of a probe or an answer.
    fn apply_message(&mut self, now: time::Time, probe: &Probe) -> Effects {
        let mut effects = Effects::new();
        if let Some(claim) = probe.receiver {
            self.refute(claim);
        }
        for &update in probe.updates.iter().take(message::MAX_UPDATES) {
            self.apply_update(now, update, &mut effects);
        }
        effects
    }

    /// Refutes an update about this host that supersedes the host's own one.
    fn refute(&mut self, claim: Update) {
        if claim.subject == self.own.subject && claim.supersedes(&self.own) {
            self.own.incarnation = claim.incarnation.saturating_add(1);
            self.enqueue_update(self.own);
        }
    }

    fn apply_update(&mut self, now: time::Time, update: Update, effects: &mut Effects) {
        match update.subject {
            Subject::Host(host) if host == self.me => self.refute(update),
            Subject::Host(host) => self.apply_host_update(now, host, update, effects),
            Subject::Endpoint(endpoint) => {
                self.apply_endpoint_update(now, endpoint, update, effects)
            }
        }
    }

    fn apply_host_update(
        &mut self,
        now: time::Time,
        host: entity::HostId,
        update: Update,
        effects: &mut Effects,
    ) {
        // A host that is not on the list yet cannot be reached, so updates about it are dropped.
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if !update.supersedes(&member.known) {
            return;
        }
        member.apply_update(update, now + self.cfg.suspicion_timeout);
        member.refresh(host, now, effects);
        self.enqueue_update(update);
    }

    fn apply_endpoint_update(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        update: Update,
        effects: &mut Effects,
    ) {
        // An endpoint that is not on the list gets no work, so updates about it are dropped.
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if !update.supersedes(&state.known) {
            return;
        }
        state.known = update;
        state.refresh(endpoint, now, effects);
        self.enqueue_update(update);
    }

    /// Marks hosts as down whose suspicion was not refuted in time.
    fn expire_suspicions(&mut self, now: time::Time, effects: &mut Effects) {
        let due = |member: &Member| member.suspected_until.is_some_and(|until| now >= until);
        let lost: SmallVec<[Update; 4]> = self
            .members
            .values()
            .filter(|member| due(member))
            .map(|member| Update {
                status: Status::Down,
                ..member.known
            })
            .collect();
        for update in lost {
            self.apply_update(now, update, effects);
        }
    }

    /// Re-evaluates unusable hosts and leaving endpoints, whose suppression may have ended.
    fn readmit(&mut self, now: time::Time, effects: &mut Effects) {
        for (host, member) in self.members.iter_mut().filter(|(_, member)| !member.usable) {
            member.refresh(host, now, effects);
        }
        for (endpoint, state) in self.endpoints.iter_mut().filter(|(_, state)| state.leaving) {
            state.refresh(endpoint, now, effects);
        }
    }

    /// Records the result of a probe for the reachability of the host's domain, if that is another
    /// domain.
    fn record_domain_probe(&mut self, host: entity::HostId, answered: bool, effects: &mut Effects) {
        let Some(domain) = self.members.get(host).map(|member| member.domain) else {
            return;
        };
        let Some(reachability) = self.domains.get_mut(&domain) else {
            return;
        };
        let was_reachable = reachability.is_reachable();
        let reachable = reachability.record_probe(answered);
        if reachable != was_reachable {
            effects.push(Effect::DomainChanged { domain, reachable });
        }
    }

    fn enqueue_update(&mut self, update: Update) {
        // Enough transmissions to reach every host by probes alone, even if every push is lost.
        let rounds = usize::BITS - self.ring.len().leading_zeros();
        let times = (rounds + 1) * self.cfg.probed_neighbours as u32;
        self.gossip.add(update, times);
        self.push_due = true;
    }
}
