//! Offers of work for the endpoints that this host owns.

use std::time::Duration;

use crossbeam::channel;
use pistachiochute_core::routing::bound::pool;
use pistachiochute_core::routing::work;
use pistachiochute_core::{owner, reason, request, time};
use pistachiochute_messages::forward;

use crate::control::OfferDecision;
use crate::control::state::{OfferedWork, State};

impl State {
    pub(super) fn offer(
        &mut self,
        now: time::Time,
        head: &forward::Forward,
        tx: channel::Sender<OfferDecision>,
    ) {
        self.update_load_views(now, head);
        if let Some(reason) = self.check_offer(head) {
            let _ = tx.send(OfferDecision::Refuse {
                reason,
                retry_after: None,
            });
            return;
        }
        let work = owner::Work {
            id: owner::AttemptId {
                request: head.request,
                attempt: head.attempt,
            },
            account: head.account.clone(),
            weight: head.weight,
            priority: head.priority,
            cost: head.cost,
            load: estimate_load(head),
            pool: self
                .directory
                .pool(&head.target, self.settings.host.domain)
                .collect(),
            deadline: now + head.remaining,
            may_queue: head.may_queue,
        };
        self.offers.insert(
            work.id,
            OfferedWork {
                endpoint: head.endpoint,
                queued: false,
                tx,
            },
        );
        let effects = self.owner.offer(now, head.endpoint, work);
        self.apply_owner_effects(effects);
        self.schedule_report(now);
    }

    fn update_load_views(&mut self, now: time::Time, head: &forward::Forward) {
        for view in &head.loads {
            let remote = pool::RemoteLoad {
                load: view.load,
                age: Duration::from_millis(view.age_ms.into()),
                pushes_changes: None,
            };
            self.owner.update_view(now, view.endpoint, remote);
        }
    }

    /// Returns the reason why this host cannot accept the work, if there is one.
    fn check_offer(&self, head: &forward::Forward) -> Option<reason::Refusal> {
        if self.draining {
            return Some(reason::Refusal::Draining);
        }
        if head.hops > self.settings.retry.max_hops {
            return Some(reason::Refusal::HopLimit);
        }
        if self.owner.is_open(head.endpoint) {
            return self.is_ejected(head).then_some(reason::Refusal::AtBound);
        }
        let is_owner = self.directory.owner(head.endpoint) == Some(self.settings.host.id);
        match is_owner {
            true => Some(reason::Refusal::EndpointLeaving),
            false => Some(reason::Refusal::NotOwner),
        }
    }

    /// Whether the endpoint is ejected after failed calls while another one can serve the request.
    fn is_ejected(&self, head: &forward::Forward) -> bool {
        let domain = self.settings.host.domain;
        let other = |id| id != head.endpoint && self.health.is_usable(id);
        !self.health.is_usable(head.endpoint)
            && self.directory.pool(&head.target, domain).any(other)
    }

    /// Sends the owner's decisions to the threads that wait for them.
    pub(super) fn apply_owner_effects(&mut self, effects: owner::Effects) {
        for effect in effects {
            match effect {
                owner::Effect::Dispatch(id) => self.dispatch(id),
                owner::Effect::Queued { id, ahead } => self.mark_queued(id, ahead),
                owner::Effect::Refuse {
                    id,
                    reason,
                    retry_after,
                } => {
                    if let Some(offered) = self.remove_offer(id) {
                        let _ = offered.tx.send(OfferDecision::Refuse {
                            reason,
                            retry_after,
                        });
                    }
                }
            }
        }
    }

    fn mark_queued(&mut self, id: owner::AttemptId, ahead: u32) {
        let Some(offered) = self.offers.get_mut(&id) else {
            return;
        };
        offered.queued = true;
        self.metrics.enqueued();
        let _ = offered.tx.send(OfferDecision::Queued { ahead });
    }

    fn dispatch(&mut self, id: owner::AttemptId) {
        let Some(offered) = self.offers.get_mut(&id) else {
            return;
        };
        if std::mem::take(&mut offered.queued) {
            self.metrics.dequeued();
        }
        let endpoint = self.directory.endpoint(offered.endpoint);
        let decision = match endpoint {
            Some(endpoint) => OfferDecision::Dispatch {
                addr: endpoint.addr,
            },
            None => OfferDecision::Refuse {
                reason: reason::Refusal::NoEndpoint,
                retry_after: None,
            },
        };
        let _ = offered.tx.send(decision);
    }

    /// Removes work that was refused, cancelled or finished.
    pub(super) fn remove_offer(&mut self, id: owner::AttemptId) -> Option<OfferedWork> {
        let offered = self.offers.remove(&id)?;
        if offered.queued {
            self.metrics.dequeued();
        }
        Some(offered)
    }
}

/// Estimates the work of a request in the load unit of its endpoint.
fn estimate_load(head: &forward::Forward) -> u64 {
    match head.target {
        request::Target::Model(_) => work::of_tokens(head.prompt, head.cost - head.prompt),
        request::Target::Service(_) => work::SERVICE_CALL,
    }
}
