//! Latest known state of one host or endpoint.

use crate::membership::{Effect, Effects, FlapDamping, Status, Subject, Update};
use crate::{entity, time};

/// Latest known state of a host.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) domain: entity::DomainId,
    pub(super) known: Update,
    /// Whether the member announced in its current incarnation that it is leaving.
    leaving: bool,
    /// Consecutive probes of this host that the member did not answer.
    pub(super) missed: u32,
    /// When the suspicion is confirmed, while the member is suspected.
    pub(super) suspected_until: Option<time::Time>,
    damping: FlapDamping,
    /// Whether the member takes new work, as last reported to the caller.
    pub(super) usable: bool,
}

impl Member {
    /// Creates the state of a host without any updates.
    pub(super) fn new(host: entity::HostId, domain: entity::DomainId) -> Self {
        Self {
            domain,
            known: first(Subject::Host(host)),
            leaving: false,
            missed: 0,
            suspected_until: None,
            damping: FlapDamping::default(),
            usable: true,
        }
    }

    /// Applies an update that supersedes the latest one. A suspicion is confirmed at `until`.
    pub(super) fn apply_update(&mut self, update: Update, until: time::Time) {
        self.leaving = match update.status {
            Status::Alive => false,
            Status::Leaving => true,
            // A suspicion does not say whether the host is still leaving.
            Status::Suspect | Status::Down => {
                self.leaving && update.incarnation == self.known.incarnation
            }
        };
        self.known = update;
        self.suspected_until = Some(until).filter(|_| update.status == Status::Suspect);
        if update.status < Status::Suspect {
            self.missed = 0;
        }
    }

    /// Whether the member takes new work.
    pub(super) fn is_usable(&mut self, now: time::Time) -> bool {
        // A suspected host stays usable until the suspicion is confirmed, since it may only be
        // slow.
        let is_up = matches!(self.known.status, Status::Alive | Status::Suspect);
        is_up && !self.leaving && !self.damping.is_suppressed(now)
    }

    /// Reports whether the member takes new work, if that has changed.
    pub(super) fn refresh(&mut self, host: entity::HostId, now: time::Time, effects: &mut Effects) {
        let usable = self.is_usable(now);
        if usable == self.usable {
            return;
        }
        self.usable = usable;
        if !usable {
            self.damping.record_flap(now);
        }
        effects.push(Effect::HostChanged { host, usable });
    }
}

/// Latest known state of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) known: Update,
    damping: FlapDamping,
    /// Whether the endpoint is leaving, as last reported to the caller.
    pub(super) leaving: bool,
}

impl EndpointState {
    /// Creates the state of an endpoint without any updates.
    pub(super) fn new(endpoint: entity::EndpointId) -> Self {
        Self {
            known: first(Subject::Endpoint(endpoint)),
            damping: FlapDamping::default(),
            leaving: false,
        }
    }

    /// Reports whether the endpoint is leaving, if that has changed.
    pub(super) fn refresh(
        &mut self,
        endpoint: entity::EndpointId,
        now: time::Time,
        effects: &mut Effects,
    ) {
        let leaving = self.known.status != Status::Alive || self.damping.is_suppressed(now);
        if leaving == self.leaving {
            return;
        }
        self.leaving = leaving;
        if leaving {
            self.damping.record_flap(now);
        }
        effects.push(Effect::EndpointChanged { endpoint, leaving });
    }
}

/// State of a subject before the first update about it.
const fn first(subject: Subject) -> Update {
    Update {
        subject,
        incarnation: 0,
        status: Status::Alive,
    }
}
