//! Endpoints that a host takes over, and what the other hosts of its domain say of them.
//!
//! A host that becomes the owner of an endpoint asks every other host of the domain. A host that
//! does not own the endpoint answers with the load that it still has in flight there, and from
//! then on sends nothing more to it. When all have answered, the new owner may admit. A host that
//! cannot answer is covered by the grace period of the [bound](crate::routing::bound). A host that
//! believes that it owns the endpoint gives no answer on it, and its load reports keep the grace
//! period from ending.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::{entity, time};

/// Time between two questions to the same host.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Endpoints that one host is asked about.
pub type Question = (entity::HostId, SmallVec<[entity::EndpointId; 4]>);

/// An endpoint that was taken over.
#[derive(Clone, Debug)]
struct Claim {
    /// Hosts that have not answered.
    silent: BTreeSet<entity::HostId>,
    /// Load that other hosts left in flight, above zero.
    left: BTreeMap<entity::HostId, u64>,
}

impl Claim {
    /// Hosts that have to be asked again.
    fn asked(&self) -> impl Iterator<Item = entity::HostId> {
        self.silent.iter().chain(self.left.keys()).copied()
    }
}

/// Endpoints that a host takes over.
#[derive(Clone, Debug, Default)]
pub struct Handovers {
    /// Claims that are not settled. Invariant: each has a silent host or load that was left.
    claims: BTreeMap<entity::EndpointId, Claim>,
    asked_at: Option<time::Time>,
}

impl Handovers {
    /// Notes that the host takes an endpoint over while `peers` are the other hosts of the
    /// domain. Returns whether there is nobody to ask.
    pub fn claim<I>(&mut self, endpoint: entity::EndpointId, peers: I) -> bool
    where
        I: IntoIterator<Item = entity::HostId>,
    {
        let silent: BTreeSet<_> = peers.into_iter().collect();
        if silent.is_empty() {
            return true;
        }
        let left = BTreeMap::new();
        self.claims.insert(endpoint, Claim { silent, left });
        self.asked_at = None;
        false
    }

    /// Forgets an endpoint that the host no longer owns.
    pub fn forget(&mut self, endpoint: entity::EndpointId) {
        self.claims.remove(&endpoint);
    }

    /// Takes in that a host does not own an endpoint and has `load` in flight there. Returns the
    /// load of all other hosts once all have answered.
    pub fn answered(
        &mut self,
        from: entity::HostId,
        endpoint: entity::EndpointId,
        load: u64,
    ) -> Option<u64> {
        let claim = self.claims.get_mut(&endpoint)?;
        claim.silent.remove(&from);
        claim.left.remove(&from);
        if load > 0 {
            claim.left.insert(from, load);
        }
        self.settle(endpoint)
    }

    /// Takes in that a host has gone: what it had in flight ended with its connections. It still
    /// counts as silent, because it may only seem to be gone. Returns the endpoints whose load of
    /// other hosts changed.
    pub fn gone(&mut self, host: entity::HostId) -> SmallVec<[(entity::EndpointId, u64); 4]> {
        let with_load: SmallVec<[entity::EndpointId; 4]> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.left.contains_key(&host))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        with_load
            .into_iter()
            .filter_map(|endpoint| {
                self.claims.get_mut(&endpoint)?.left.remove(&host);
                Some((endpoint, self.settle(endpoint)?))
            })
            .collect()
    }

    /// Questions that are due now, by host.
    pub fn due(&mut self, now: time::Time) -> SmallVec<[Question; 4]> {
        let recent = self.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        if recent || self.claims.is_empty() {
            return SmallVec::new();
        }
        self.asked_at = Some(now);
        let mut questions: BTreeMap<_, SmallVec<_>> = BTreeMap::new();
        for (endpoint, claim) in &self.claims {
            for host in claim.asked() {
                questions.entry(host).or_default().push(*endpoint);
            }
        }
        questions.into_iter().collect()
    }

    /// Load that was left, once no host is silent. Forgets a claim without any.
    fn settle(&mut self, endpoint: entity::EndpointId) -> Option<u64> {
        let claim = self.claims.get(&endpoint)?;
        if !claim.silent.is_empty() {
            return None;
        }
        let load = claim
            .left
            .values()
            .fold(0_u64, |sum, load| sum.saturating_add(*load));
        if load == 0 {
            self.claims.remove(&endpoint);
        }
        Some(load)
    }
}
