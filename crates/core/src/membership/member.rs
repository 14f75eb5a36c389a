//! What is known of one host or endpoint.

use crate::membership::{Effect, Effects, FlapDamping, Status, Subject, Update};
use crate::{entity, time};

/// What is known of a host.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) domain: entity::DomainId,
    pub(super) known: Update,
    /// Whether the member told in its present incarnation that it leaves.
    leaving: bool,
    /// Probes in a row that this host sent and that were not answered.
    pub(super) missed: u32,
    /// When a suspicion becomes a loss, while the member is suspected.
    pub(super) suspected_until: Option<time::Time>,
    damping: FlapDamping,
    /// Whether the member was last told to take new work.
    pub(super) usable: bool,
}

impl Member {
    /// Makes a host of which nothing was told yet.
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

    /// Takes an update that supersedes what is known. A suspicion is confirmed at `until`.
    pub(super) fn apply_update(&mut self, update: Update, until: time::Time) {
        self.leaving = match update.status {
            Status::Alive => false,
            Status::Leaving => true,
            // A suspicion of one who leaves says nothing of whether it still leaves.
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
        // A suspected host keeps its work until the suspicion is confirmed, since it may be late
        // only.
        let stands = matches!(self.known.status, Status::Alive | Status::Suspect);
        stands && !self.leaving && !self.damping.is_suppressed(now)
    }

    /// Tells whether the member takes new work, if that has changed.
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

/// What is known of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) known: Update,
    damping: FlapDamping,
    /// Whether the endpoint was last told to be leaving.
    pub(super) leaving: bool,
}

impl EndpointState {
    /// Makes an endpoint of which nothing was told yet.
    pub(super) fn new(endpoint: entity::EndpointId) -> Self {
        Self {
            known: first(Subject::Endpoint(endpoint)),
            damping: FlapDamping::default(),
            leaving: false,
        }
    }

    /// Tells whether the endpoint is leaving, if that has changed.
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

/// What holds of a subject until something is told of it.
const fn first(subject: Subject) -> Update {
    Update {
        subject,
        incarnation: 0,
        status: Status::Alive,
    }
}
