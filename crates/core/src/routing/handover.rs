//! Handover of the ownership of endpoints within a failure domain.
//!
//! A host that becomes the owner of an endpoint claims it from every other host of the domain. A
//! host that does not own the endpoint answers with its residual load, the load that it still has
//! in flight there, and sends no further requests to the endpoint. When all hosts have answered,
//! the new owner may admit. For a host that cannot answer, the new owner waits for the grace period
//! of the [bound](crate::routing::bound). A host that considers itself the owner does not answer
//! the claim, and its load reports extend the grace period.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::{entity, time};

/// Interval between queries to the same host.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// A host, and the endpoints that are claimed from it.
pub type Query = (entity::HostId, SmallVec<[entity::EndpointId; 4]>);

/// Claim of an endpoint that this host takes over.
#[derive(Clone, Debug)]
struct Claim {
    /// Hosts that have not answered.
    unanswered: BTreeSet<entity::HostId>,
    /// Residual load of other hosts, without those that have none.
    residual: BTreeMap<entity::HostId, u64>,
}

impl Claim {
    /// Hosts to query: those without an answer, and those whose residual load may have fallen.
    fn hosts_to_query(&self) -> impl Iterator<Item = entity::HostId> {
        self.unanswered.iter().chain(self.residual.keys()).copied()
    }
}

/// Open claims of the endpoints that a host takes over.
#[derive(Clone, Debug, Default)]
pub struct Handovers {
    /// Claims by endpoint. Invariant: each has an unanswered query or residual load.
    claims: BTreeMap<entity::EndpointId, Claim>,
    queried_at: Option<time::Time>,
}

impl Handovers {
    /// Claims an endpoint from `peers`, the other hosts of the domain. Returns whether there are
    /// none, so that the handover is complete.
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

    /// Drops the claim of an endpoint that the host no longer owns.
    pub fn cancel(&mut self, endpoint: entity::EndpointId) {
        self.claims.remove(&endpoint);
    }

    /// Records the answer of a host that does not own an endpoint and has a residual load of `load`
    /// there. Returns the residual load of all other hosts once all have answered.
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

    /// Removes the residual load of a host that is down, since its requests ended with its
    /// connections. If the host has not answered, its answer is still required, because the failure
    /// detection may be wrong. Returns the settled endpoints whose residual load changed, with that
    /// load.
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

    /// Returns the queries that are due now, by host.
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

    /// Returns the residual load of a claim once all hosts have answered. Removes the claim if that
    /// load is zero.
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
