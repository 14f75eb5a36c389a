//! The state machine of one host's view.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::membership::member::{Mark, Member};
use crate::membership::reach::Reach;
use crate::membership::{
    Config, Effect, Effects, Probe, Standing, Subject, Update, message, ring, rumour,
};
use crate::{entity, map, time, topology};

/// What one host knows of hosts and endpoints.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: Config,
    me: entity::HostId,
    domain: entity::DomainId,
    /// What this host tells of itself.
    own: Update,
    list_version: u64,
    members: map::EntityMap<entity::HostId, Member>,
    marks: map::EntityMap<entity::EndpointId, Mark>,
    domains: BTreeMap<entity::DomainId, Reach>,
    ring: ring::Ring,
    rumours: rumour::Rumours,
    next_probe: time::Time,
    /// Whether updates wait to be pushed.
    push_due: bool,
    last_push: time::Time,
}

impl Membership {
    /// Makes the view of a host that knows no other.
    #[must_use]
    pub fn new(cfg: Config, me: entity::HostId, domain: entity::DomainId) -> Self {
        let own = Update {
            subject: Subject::Host(me),
            incarnation: 0,
            standing: Standing::Alive,
        };
        Self {
            cfg,
            me,
            domain,
            own,
            list_version: 0,
            members: map::EntityMap::new(),
            marks: map::EntityMap::new(),
            domains: BTreeMap::new(),
            ring: ring::Ring::default(),
            rumours: rumour::Rumours::default(),
            next_probe: time::Time::ZERO,
            push_due: false,
            last_push: time::Time::ZERO,
        }
    }

    /// Takes in the host list. An older version than the last is ignored.
    pub fn host_list(&mut self, now: time::Time, list: &topology::HostList) -> Effects {
        let mut effects = Effects::new();
        if list.version <= self.list_version {
            return effects;
        }
        self.list_version = list.version;
        self.take_hosts(list);
        self.members
            .retain(|id, _| list.hosts.iter().any(|host| host.id == id));
        self.take_endpoints(list);
        self.ring = ring::Ring::new(self.domain_hosts(list).chain([self.me]));
        let leaves = |host: &topology::Host| {
            host.id == self.me && host.presence == topology::Presence::Leaving
        };
        if list.hosts.iter().any(leaves) {
            effects.extend(self.leave());
        }
        // A list does not change how a member stands, but what is held out is told anew, since the
        // receiver of the effects may have replaced its entries.
        for (host, member) in self.members.iter_mut() {
            member.usable = member.is_usable(now);
            if !member.usable {
                effects.push(Effect::Host {
                    host,
                    usable: false,
                });
            }
        }
        let leaving = self.marks.iter().filter(|(_, mark)| mark.leaving);
        effects.extend(leaving.map(|(endpoint, _)| Effect::Endpoint {
            endpoint,
            leaving: true,
        }));
        effects
    }

    fn take_endpoints(&mut self, list: &topology::HostList) {
        self.marks
            .retain(|id, _| list.endpoints.iter().any(|endpoint| endpoint.id == id));
        for endpoint in &list.endpoints {
            self.marks
                .get_or_insert_with(endpoint.id, || Mark::new(endpoint.id));
        }
    }

    fn take_hosts(&mut self, list: &topology::HostList) {
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
            let mut reach = self.domains.remove(&domain.id).unwrap_or_default();
            let hosts = others.clone().filter(|host| host.domain == domain.id);
            reach.hosts = hosts.map(|host| host.id).collect();
            domains.insert(domain.id, reach);
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

    /// Does the timed work: probes, pushes, and suspicions that were not refuted.
    pub fn tick(&mut self, now: time::Time) -> Effects {
        let mut effects = Effects::new();
        self.confirm_losses(now, &mut effects);
        self.release(now, &mut effects);
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.period;
            self.probe_all(&mut effects);
        }
        if self.push_due && now.since(self.last_push) >= self.cfg.push_gap {
            self.push_due = false;
            self.last_push = now;
            let fingers = self.ring.fingers(self.me);
            effects.extend(fingers.into_iter().map(|to| self.send(to)));
        }
        effects
    }

    fn probe_all(&mut self, effects: &mut Effects) {
        let mut targets = self.ring.successors(self.me, self.cfg.neighbours);
        // Hosts start at different places, so that they do not all probe the same one.
        let offset = self.me.as_u32() as usize;
        targets.extend(
            self.domains
                .values_mut()
                .filter_map(|reach| reach.next_host(offset)),
        );
        effects.extend(targets.into_iter().map(|to| self.send(to)));
    }

    fn send(&mut self, to: entity::HostId) -> Effect {
        Effect::Send {
            to,
            probe: self.message(to),
        }
    }

    fn message(&mut self, to: entity::HostId) -> Probe {
        let receiver = self.members.get(to).map(|member| member.known);
        Probe {
            from: self.me,
            receiver: receiver.filter(|known| known.standing != Standing::Alive),
            updates: self.rumours.take(),
        }
    }

    /// Takes a probe and makes its answer.
    pub fn probed(&mut self, now: time::Time, probe: &Probe) -> (Probe, Effects) {
        let effects = self.heard(now, probe);
        (self.message(probe.from), effects)
    }

    /// Takes the answer to a probe.
    pub fn answered(&mut self, now: time::Time, probe: &Probe) -> Effects {
        let mut effects = self.heard(now, probe);
        self.record(probe.from, true, &mut effects);
        if let Some(member) = self.members.get_mut(probe.from) {
            member.missed = 0;
        }
        effects
    }

    /// Records that a probe was not answered. `refused` tells that nothing listens there.
    pub fn failed(&mut self, now: time::Time, to: entity::HostId, refused: bool) -> Effects {
        let mut effects = Effects::new();
        self.record(to, false, &mut effects);
        let limit = self.cfg.missed;
        let domain = self.domain;
        let Some(member) = self.members.get_mut(to) else {
            return effects;
        };
        member.missed = if refused {
            limit
        } else {
            member.missed.saturating_add(1)
        };
        // A host of another domain is judged by its own domain; the link to it may be cut.
        let is_neighbour = member.domain == domain;
        if is_neighbour && member.missed >= limit && member.known.standing < Standing::Suspect {
            let suspicion = Update {
                standing: Standing::Suspect,
                ..member.known
            };
            self.learn(now, suspicion, &mut effects);
        }
        effects
    }

    /// Starts to leave: this host takes no new work.
    pub fn leave(&mut self) -> Effects {
        if self.own.standing != Standing::Leaving {
            self.own.standing = Standing::Leaving;
            self.own.incarnation += 1;
            self.spread(self.own);
        }
        Effects::new()
    }

    /// Takes in whether an endpoint is leaving, as its owner saw it.
    pub fn endpoint(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        leaving: bool,
    ) -> Effects {
        let mut effects = Effects::new();
        let Some(known) = self.marks.get(endpoint).map(|mark| mark.known) else {
            return effects;
        };
        let standing = if leaving {
            Standing::Leaving
        } else {
            Standing::Alive
        };
        if known.standing != standing {
            let incarnation = known.incarnation.saturating_add(1);
            self.learn(
                now,
                Update {
                    incarnation,
                    standing,
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
            true => self.own.standing == Standing::Alive,
            false => self.members.get(host).is_some_and(|member| member.usable),
        }
    }

    /// Whether an endpoint is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, endpoint: entity::EndpointId) -> bool {
        self.marks.get(endpoint).is_some_and(|mark| mark.leaving)
    }

    /// Whether a failure domain can be reached from this host.
    #[must_use]
    pub fn is_reachable(&self, domain: entity::DomainId) -> bool {
        domain == self.domain || self.domains.get(&domain).is_none_or(Reach::is_reachable)
    }

    /// Takes in what a message tells.
    fn heard(&mut self, now: time::Time, probe: &Probe) -> Effects {
        let mut effects = Effects::new();
        if let Some(told) = probe.receiver {
            self.refute(told);
        }
        for &update in probe.updates.iter().take(message::MAX_UPDATES) {
            self.learn(now, update, &mut effects);
        }
        effects
    }

    /// Supersedes what is told of this host, unless it is what the host tells itself.
    fn refute(&mut self, told: Update) {
        if told.subject == self.own.subject && told.supersedes(&self.own) {
            self.own.incarnation = told.incarnation.saturating_add(1);
            self.spread(self.own);
        }
    }

    fn learn(&mut self, now: time::Time, update: Update, effects: &mut Effects) {
        match update.subject {
            Subject::Host(host) if host == self.me => self.refute(update),
            Subject::Host(host) => self.learn_host(now, host, update, effects),
            Subject::Endpoint(endpoint) => self.learn_endpoint(now, endpoint, update, effects),
        }
    }

    fn learn_host(
        &mut self,
        now: time::Time,
        host: entity::HostId,
        update: Update,
        effects: &mut Effects,
    ) {
        // A host that the list does not show yet cannot be reached, so nothing is kept of it.
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if !update.supersedes(&member.known) {
            return;
        }
        member.take(update, now + self.cfg.suspicion);
        member.settle(host, now, effects);
        self.spread(update);
    }

    fn learn_endpoint(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        update: Update,
        effects: &mut Effects,
    ) {
        // An endpoint that the list does not show gets no work, so nothing is kept of it.
        let Some(mark) = self.marks.get_mut(endpoint) else {
            return;
        };
        if !update.supersedes(&mark.known) {
            return;
        }
        mark.known = update;
        mark.settle(endpoint, now, effects);
        self.spread(update);
    }

    /// Turns suspicions that were not refuted into losses.
    fn confirm_losses(&mut self, now: time::Time, effects: &mut Effects) {
        let due = |member: &Member| member.suspected_until.is_some_and(|until| now >= until);
        let lost: SmallVec<[Update; 4]> = self
            .members
            .values()
            .filter(|member| due(member))
            .map(|member| Update {
                standing: Standing::Down,
                ..member.known
            })
            .collect();
        for update in lost {
            self.learn(now, update, effects);
        }
    }

    /// Lets in what was held out and has been steady.
    fn release(&mut self, now: time::Time, effects: &mut Effects) {
        for (host, member) in self.members.iter_mut().filter(|(_, member)| !member.usable) {
            member.settle(host, now, effects);
        }
        for (endpoint, mark) in self.marks.iter_mut().filter(|(_, mark)| mark.leaving) {
            mark.settle(endpoint, now, effects);
        }
    }

    /// Records the end of a probe of a host of another domain.
    fn record(&mut self, host: entity::HostId, answered: bool, effects: &mut Effects) {
        let Some(domain) = self.members.get(host).map(|member| member.domain) else {
            return;
        };
        let Some(reach) = self.domains.get_mut(&domain) else {
            return;
        };
        let was_reachable = reach.is_reachable();
        let reachable = reach.record(answered);
        if reachable != was_reachable {
            effects.push(Effect::Domain { domain, reachable });
        }
    }

    fn spread(&mut self, update: Update) {
        // Enough times to reach every host with probes alone, were each push lost.
        let rounds = usize::BITS - self.ring.len().leading_zeros();
        let times = (rounds + 1) * self.cfg.neighbours as u32;
        self.rumours.add(update, times);
        self.push_due = true;
    }
}
