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

/// Time between two queries to the same host.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Endpoints that one host is asked about.
pub type Query = (entity::HostId, SmallVec<[entity::EndpointId; 4]>);

/// An endpoint that was taken over.
#[derive(Clone, Debug)]
struct Claim {
    /// Hosts that have not answered.
    unanswered: BTreeSet<entity::HostId>,
    /// Load that other hosts left in flight, above zero.
    residual: BTreeMap<entity::HostId, u64>,
}

impl Claim {
    /// Hosts that have to be asked again.
    fn hosts_to_query(&self) -> impl Iterator<Item = entity::HostId> {
        self.unanswered.iter().chain(self.residual.keys()).copied()
    }
}

/// Endpoints that a host takes over.
#[derive(Clone, Debug, Default)]
pub struct Handovers {
    /// Claims that are not settled. Invariant: each has a silent host or load that was left.
    claims: BTreeMap<entity::EndpointId, Claim>,
    queried_at: Option<time::Time>,
}

impl Handovers {
    /// Notes that the host takes an endpoint over while `peers` are the other hosts of the
    /// domain. Returns whether there is nobody to ask.
    pub fn claim<I>(&mut self, endpoint: entity::EndpointId, peers: I) -> bool
    where
        I: IntoIterator<Item = entity::HostId>,
    {
        let unanswered: BTreeSet<_> = peers.into_iter().collect();
        if unanswered.is_empty() {
            return true;
        }
        let residual = BTreeMap::new();
        self.claims.insert(
            endpoint,
            Claim {
                unanswered,
                residual,
            },
        );
        self.queried_at = None;
        false
    }

    /// Forgets an endpoint that the host no longer owns.
    pub fn cancel(&mut self, endpoint: entity::EndpointId) {
        self.claims.remove(&endpoint);
    }

    /// Takes in that a host does not own an endpoint and has `load` in flight there. Returns the
    /// load of all other hosts once all have answered.
    pub fn record_answer(
        &mut self,
        from: entity::HostId,
        endpoint: entity::EndpointId,
        load: u64,
    ) -> Option<u64> {
        let claim = self.claims.get_mut(&endpoint)?;
        claim.unanswered.remove(&from);
        claim.residual.remove(&from);
        if load > 0 {
            claim.residual.insert(from, load);
        }
        self.settle(endpoint)
    }

    /// Takes in that a host has gone: what it had in flight ended with its connections. It still
    /// counts as unanswered, because it may only seem to be gone. Returns the endpoints whose load of
    /// other hosts changed.
    pub fn host_down(&mut self, host: entity::HostId) -> SmallVec<[(entity::EndpointId, u64); 4]> {
        let with_load: SmallVec<[entity::EndpointId; 4]> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.residual.contains_key(&host))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        with_load
            .into_iter()
            .filter_map(|endpoint| {
                self.claims.get_mut(&endpoint)?.residual.remove(&host);
                Some((endpoint, self.settle(endpoint)?))
            })
            .collect()
    }

    /// Questions that are due now, by host.
    pub fn due_queries(&mut self, now: time::Time) -> SmallVec<[Query; 4]> {
        let recent = self
            .queried_at
            .is_some_and(|at| now.since(at) < QUERY_INTERVAL);
        if recent || self.claims.is_empty() {
            return SmallVec::new();
        }
        self.queried_at = Some(now);
        let mut queries: BTreeMap<_, SmallVec<_>> = BTreeMap::new();
        for (endpoint, claim) in &self.claims {
            for host in claim.hosts_to_query() {
                queries.entry(host).or_default().push(*endpoint);
            }
        }
        queries.into_iter().collect()
    }

    /// Load that was left, once no host is unanswered. Forgets a claim without any.
    fn settle(&mut self, endpoint: entity::EndpointId) -> Option<u64> {
        let claim = self.claims.get(&endpoint)?;
        if !claim.unanswered.is_empty() {
            return None;
        }
        let load = claim
            .residual
            .values()
            .fold(0_u64, |sum, load| sum.saturating_add(*load));
        if load == 0 {
            self.claims.remove(&endpoint);
        }
        Some(load)
    }
}
