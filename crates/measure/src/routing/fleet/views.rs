//! Views of the loads of endpoints, as hosts send them to each other.

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::{bound, pacer};
use pistachiochute_core::{entity, time};

use super::{Event, Fleet, LINK_DELAY, REPORT_INTERVAL};

impl Fleet<'_> {
    /// Loads travel with each forwarded request.
    pub(super) fn forward_views(
        &mut self,
        from: entity::HostId,
        to: entity::HostId,
        now: time::Time,
    ) {
        let loads: Vec<_> = self.owners[from.index()].pool().owned_loads().collect();
        self.take_views(from, to, &loads, None, now);
    }

    pub(super) fn take_views(
        &mut self,
        from: entity::HostId,
        to: entity::HostId,
        loads: &[(entity::EndpointId, u64)],
        prompt: Option<bool>,
        now: time::Time,
    ) {
        if from == to || self.faults.cut(from, to, now) {
            return;
        }
        let pool = self.owners[to.index()].pool_mut();
        for (endpoint, load) in loads {
            let reading = bound::pool::RemoteLoad {
                load: *load,
                age: LINK_DELAY,
                pushes_changes: prompt,
            };
            pool.update_view(*endpoint, reading, now);
        }
    }

    /// Tells the hosts of the domain of a change in the loads, as often as the budget allows.
    pub(super) fn loads_changed(&mut self, host: entity::HostId, now: time::Time) {
        let peers = self.world.peers(host).len();
        if let Some(at) = self.paces[host.index()].schedule(peers, now) {
            self.at(at + LINK_DELAY, Event::Views(host));
        }
    }

    pub(super) fn keep_fresh(&mut self, now: time::Time) {
        for host in self.world.hosts() {
            let peers = self.world.peers(host).len();
            if let Some(at) = self.paces[host.index()].schedule_refresh(peers, now) {
                self.at(at + LINK_DELAY, Event::Views(host));
            }
        }
        self.at(now + pacer::REFRESH_INTERVAL, Event::KeepFresh);
    }

    pub(super) fn send_views(&mut self, host: entity::HostId, now: time::Time) {
        let peers = self.world.peers(host);
        let prompt = self.paces[host.index()].record_sent(peers.len(), now);
        let loads: Vec<_> = self.owners[host.index()].pool().owned_loads().collect();
        for peer in peers {
            self.take_views(host, peer, &loads, Some(prompt), now);
        }
    }

    /// The endpoints' own reports show the loads of one interval ago.
    pub(super) fn reports(&mut self, now: time::Time) {
        for endpoint in self.world.endpoints() {
            let reported = self.reports[endpoint.index()];
            for owner in &mut self.owners {
                if owner.pool().owns(endpoint) {
                    owner.pool_mut().apply_report(endpoint, reported, now);
                }
            }
            self.reports[endpoint.index()] = self.tally.load(endpoint.index());
        }
        self.at(now + REPORT_INTERVAL, Event::Reports);
    }
}
