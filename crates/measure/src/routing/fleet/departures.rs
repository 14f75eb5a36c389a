//! Endpoints that leave, fail and come back, and owners that disagree.

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::{entity, time};

use super::{Event, Fleet, LINK_DELAY, LISTING_DELAY, MAX_NOTICES};
use crate::routing::{churn, faults};

impl Fleet<'_> {
    pub(super) fn depart(&mut self, departure: &churn::Departure, now: time::Time) {
        let endpoint = entity::EndpointId::from_index(departure.endpoint);
        if departure.planned {
            self.at(now + churn::DRAIN, Event::Lost(endpoint));
        } else {
            self.tally.set_live(departure.endpoint, false, now);
            self.stores[departure.endpoint].clear();
            self.at(now + LINK_DELAY, Event::Failed(endpoint));
            self.fail_running(endpoint, now);
        }
        self.at(now + churn::NOTICE, Event::Gone(endpoint));
        self.at(departure.back, Event::Return(endpoint));
    }

    /// Requests at an endpoint that failed are sent again.
    pub(super) fn fail_running(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        for number in 0..self.progress.len() {
            let Some((owner, at, _)) = self.progress[number].runs else {
                continue;
            };
            if at != endpoint {
                continue;
            }
            let cost = self.trace[number].cost();
            self.progress[number].runs = None;
            self.progress[number].refused = vec![endpoint];
            self.tally.complete(endpoint.index(), cost, now);
            self.owners[owner.index()].complete(endpoint, cost, now);
            self.at(now + 2 * LINK_DELAY, Event::Retry(number));
        }
    }

    pub(super) fn gone(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        self.tally.set_live(endpoint.index(), false, now);
        let former = self.world.owner(endpoint);
        self.world.set_leaving(endpoint, true);
        if let Some(owner) = former {
            self.send_notices(owner, endpoint);
        }
        self.leave_pools(endpoint);
        self.requeue(endpoint, now);
    }

    pub(super) fn leave_pools(&mut self, endpoint: entity::EndpointId) {
        self.owners
            .iter_mut()
            .for_each(|owner| owner.leave(endpoint));
    }

    /// Requests that wait at an endpoint that is gone are decided again.
    pub(super) fn requeue(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        let keys: Vec<_> = self
            .waiting
            .keys()
            .filter(|(_, at)| *at == endpoint)
            .copied()
            .collect();
        for key in keys {
            for number in self.waiting.remove(&key).unwrap_or_default() {
                self.at(now, Event::Retry(number));
            }
        }
    }

    pub(super) fn comes_back(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        self.stores[endpoint.index()].clear();
        self.world.set_leaving(endpoint, false);
        self.tally.set_live(endpoint.index(), true, now);
        for (host, member) in self.world.memberships() {
            if member == endpoint {
                self.owners[host.index()].pool_mut().join(endpoint, now);
            }
        }
        if let Some(owner) = self.world.owner(endpoint) {
            let state = &mut self.owners[owner.index()];
            state.take_over(endpoint, 0, now);
            state.pool_mut().record_handover(endpoint, 0);
            self.loads_changed(owner, now);
        }
        for other in self.world.endpoints() {
            if let Some(owner) = self.world.owner(other) {
                self.send_notices(owner, other);
            }
        }
    }

    /// Tells the owners of first candidates of the chats that an endpoint holds for them.
    pub(super) fn send_notices(&mut self, owner: entity::HostId, endpoint: entity::EndpointId) {
        let world = &self.world;
        let first_owner = |chat| {
            let first = world.candidates(owner, chat).first().copied()?;
            Some((first, world.owner(first)?))
        };
        let notices = self.owners[owner.index()].moved_chats(endpoint, MAX_NOTICES, first_owner);
        for (host, list) in notices {
            for notice in list {
                self.owners[host.index()].record_location(notice);
            }
        }
    }

    /// Some hosts start or stop to suspect a host, which goes on serving.
    pub(super) fn suspect(
        &mut self,
        suspicion: &faults::Suspicion,
        suspected: bool,
        now: time::Time,
    ) {
        for host in self
            .world
            .hosts()
            .filter(|host| suspicion.is_held_by(*host))
        {
            let former = self.world.owned_in_view_of(host);
            self.world.set_suspected(host, suspicion.host, suspected);
            let owned = self.world.owned_in_view_of(host);
            for endpoint in owned.iter().filter(|endpoint| !former.contains(endpoint)) {
                let report = self.reports[endpoint.index()];
                self.owners[host.index()].take_over(*endpoint, report, now);
                self.at(now + LISTING_DELAY, Event::Listing(*endpoint));
            }
            for endpoint in former.iter().filter(|endpoint| !owned.contains(endpoint)) {
                self.owners[host.index()].give_up(*endpoint, now);
            }
        }
    }
}
