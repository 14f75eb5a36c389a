//! Load reports between the hosts of a failure domain, and handover of endpoints between owners.

use std::time::Duration;

use pistachiochute_core::routing::bound::pool;
use pistachiochute_core::routing::report;
use pistachiochute_core::{entity, owner, reason, time, topology};
use pistachiochute_messages::control;
use smallvec::SmallVec;

use crate::control::state::State;

/// Assumed age of a report on arrival: half of a typical round trip within a domain.
const REPORT_AGE: Duration = Duration::from_millis(1);

impl State {
    /// Returns the other hosts of the domain.
    fn peers(&self) -> SmallVec<[entity::HostId; 8]> {
        let (host, domain) = (self.settings.host.id, self.settings.host.domain);
        self.directory
            .hosts()
            .filter(|peer| peer.domain == domain && peer.id != host)
            .map(|peer| peer.id)
            .collect()
    }

    /// Opens the endpoints that this host owns and closes all others, after the host list or the
    /// membership has changed.
    pub(super) fn reconcile_endpoints(&mut self, now: time::Time) {
        let host = self.settings.host.id;
        let domain = self.settings.host.domain;
        let live: Vec<topology::Endpoint> = self
            .directory
            .endpoints()
            .filter(|endpoint| endpoint.domain == domain)
            .filter(|endpoint| self.directory.is_live(endpoint.id))
            .cloned()
            .collect();
        let owned = |state: &Self, id| state.directory.owner(id) == Some(host) && !state.draining;
        let open: SmallVec<[entity::EndpointId; 8]> = self.owner.open_ids().collect();
        for endpoint in open {
            let listed = live.iter().any(|e| e.id == endpoint);
            if !listed || !owned(self, endpoint) {
                let reason = match self.directory.owner(endpoint) == Some(host) {
                    true => reason::Refusal::EndpointLeaving,
                    false => reason::Refusal::NotOwner,
                };
                self.close_endpoint(now, endpoint, reason);
            }
        }
        let members: SmallVec<[entity::EndpointId; 8]> = self.owner.members().collect();
        for member in members {
            if !live.iter().any(|endpoint| endpoint.id == member) {
                self.owner.leave(member);
            }
        }
        for endpoint in &live {
            let class = owner::Class::of(&endpoint.serves);
            self.owner.join(now, endpoint.id, class);
            if owned(self, endpoint.id) {
                self.open_endpoint(now, endpoint);
            }
        }
        self.query_former_owners(now);
        self.schedule_report(now);
    }

    fn open_endpoint(&mut self, now: time::Time, endpoint: &topology::Endpoint) {
        let class = owner::Class::of(&endpoint.serves);
        if !self.owner.open(now, endpoint.id, class, endpoint.slots) {
            return;
        }
        let peers = self.peers();
        if self.handovers.claim(endpoint.id, peers) {
            let effects = self.owner.record_handover(now, endpoint.id, 0);
            self.apply_owner_effects(effects);
        }
    }

    pub(super) fn close_endpoint(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        reason: reason::Refusal,
    ) {
        self.handovers.cancel(endpoint);
        self.health.remove(endpoint);
        let effects = self.owner.close(now, endpoint, reason);
        self.apply_owner_effects(effects);
    }

    /// Asks the other hosts of the domain for the load they still have in flight at endpoints that
    /// this host takes over.
    fn query_former_owners(&mut self, now: time::Time) {
        for (peer, claims) in self.handovers.due_queries(now) {
            let report = self.report(claims);
            self.send(peer, &control::Message::Loads(report));
        }
    }

    fn report(&self, claims: SmallVec<[entity::EndpointId; 4]>) -> report::Report {
        let load = |(endpoint, load)| report::Load { endpoint, load };
        report::Report {
            from: self.settings.host.id,
            pushes_changes: self.pushes_changes,
            loads: self
                .owner
                .owned_loads()
                .map(load)
                .take(report::MAX_ENTRIES)
                .collect(),
            claims,
            residual: SmallVec::new(),
        }
    }

    /// Schedules a report of changed loads to the other hosts of the domain, within the budget for
    /// reports, and sends it if it is due.
    pub(super) fn schedule_report(&mut self, now: time::Time) {
        let peers = self.peers();
        if let Some(at) = self.report_pacer.schedule(peers.len(), now) {
            self.report_at = Some(at);
        }
        self.send_report(now, &peers);
    }

    /// Sends due reports and handover queries, and dispatches queued work.
    pub(super) fn tick_loads(&mut self, now: time::Time) {
        let peers = self.peers();
        if let Some(at) = self.report_pacer.schedule_refresh(peers.len(), now) {
            self.report_at = Some(at);
        }
        self.send_report(now, &peers);
        self.query_former_owners(now);
        let effects = self.owner.dispatch_queued(now);
        self.apply_owner_effects(effects);
    }

    fn send_report(&mut self, now: time::Time, peers: &[entity::HostId]) {
        if self.report_at.is_none_or(|at| now < at) {
            return;
        }
        self.report_at = None;
        self.pushes_changes = self.report_pacer.record_sent(peers.len(), now);
        let message = control::Message::Loads(self.report(SmallVec::new()));
        for peer in peers {
            self.send(*peer, &message);
        }
    }

    /// Applies a report from another host and returns the report to answer it with.
    pub(super) fn handle_report(
        &mut self,
        now: time::Time,
        report: &report::Report,
    ) -> report::Report {
        self.apply_report(now, report);
        let not_owned = |endpoint: &&entity::EndpointId| !self.owner.is_open(**endpoint);
        let residual = |endpoint: &entity::EndpointId| report::Load {
            endpoint: *endpoint,
            load: self.owner.residual_load(*endpoint),
        };
        let claims = report.claims.iter().take(report::MAX_ENTRIES);
        report::Report {
            residual: claims.filter(not_owned).map(residual).collect(),
            ..self.report(SmallVec::new())
        }
    }

    /// Applies the loads that another host reports, and its residual load at endpoints that this
    /// host claims.
    pub(super) fn apply_report(&mut self, now: time::Time, report: &report::Report) {
        for load in report.loads.iter().take(report::MAX_ENTRIES) {
            let remote = pool::RemoteLoad {
                load: load.load,
                age: REPORT_AGE,
                pushes_changes: Some(report.pushes_changes),
            };
            self.owner.update_view(now, load.endpoint, remote);
        }
        for left in report.residual.iter().take(report::MAX_ENTRIES) {
            if let Some(load) = self
                .handovers
                .record_answer(report.from, left.endpoint, left.load)
            {
                let effects = self.owner.record_handover(now, left.endpoint, load);
                self.apply_owner_effects(effects);
            }
        }
    }

    /// Stops waiting for handover answers from a host that is down.
    pub(super) fn host_down(&mut self, now: time::Time, host: entity::HostId) {
        for (endpoint, load) in self.handovers.host_down(host) {
            let effects = self.owner.record_handover(now, endpoint, load);
            self.apply_owner_effects(effects);
        }
    }
}
