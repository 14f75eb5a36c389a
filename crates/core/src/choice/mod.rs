//! Endpoint selection for requests that a host sends to endpoints itself.
//!
//! Each endpoint has a [load](load::Load): the work of this host, the work that the other hosts
//! report, and the load that the endpoint reports itself. From it, [`cost`] predicts the latency
//! that the endpoint adds to a request, in milliseconds: prefill of the prompt, prefill of the
//! prompts queued before it, the wait for a slot, slower decoding steps in a larger batch, and the
//! latency to another failure domain. The request goes to the cheapest endpoint. Endpoints above
//! the load bound rank after all others, and [unhealthy](crate::health) endpoints after those.

pub mod cost;
pub mod homes;
pub mod load;
pub mod prefix;
pub mod prompt;

use crate::{entity, routing, time};

/// Expected number of endpoints in the random sample that is compared first. Endpoints that may
/// hold the prompt are added to it.
const SAMPLE_SIZE: u64 = 8;

/// An endpoint that a request may be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Hash of its identity, the same on every host.
    pub hash: u64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Price of sending the request to its failure domain.
    pub price: cost::DomainPrice,
    /// Whether it passes its health checks.
    pub is_healthy: bool,
    /// Whether the last connection attempt, if any, succeeded.
    pub is_reachable: bool,
    /// Whether it names a limit on its requests, of which this host has a share.
    pub is_limited: bool,
    /// Its load.
    pub load: load::Load,
}

/// The properties of a request that the selection depends on.
#[derive(Clone, Debug)]
pub struct Request {
    /// Prompt, or `None` for a call to a plain service.
    pub prompt: Option<prompt::Prompt>,
    /// Number that differs between requests, for the sample and for ties.
    pub seed: u64,
}

/// Cache state of the endpoints, as far as this host knows it.
pub struct Caches<'a> {
    /// Endpoints that probably hold each prompt part.
    pub prefixes: &'a prefix::PrefixIndex,
    /// Endpoints that take no request of this host now but still have their caches.
    pub closed: &'a [homes::ClosedEndpoint],
    /// Number of endpoints of the service in evacuated failure domains.
    pub evacuated: u32,
    /// Whether cached parts can be copied from an endpoint, which need not be a candidate.
    pub is_source: &'a dyn Fn(entity::EndpointId) -> bool,
}

impl std::fmt::Debug for Caches<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caches").finish_non_exhaustive()
    }
}

/// The selected endpoint, with the figures behind the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Predicted cost of the request there, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that it is predicted to prefill.
    pub read_tokens: u32,
    /// Endpoint that it should copy cached prompt tokens from, before it prefills the rest.
    pub copy_from: Option<entity::EndpointId>,
    /// Prompt tokens that it is predicted to copy from there.
    pub copy_tokens: u32,
    /// Whether it is a home of the prompt or holds the tokens that other prompts share.
    pub is_cached: bool,
    /// Number of candidates.
    pub candidates: u32,
}

/// Whether every candidate is known to be unreachable and already has a request of this host that
/// tries to connect to it. A further request would only wait for the same result.
fn all_unreachable_and_probed(candidates: &[Candidate]) -> bool {
    let is_being_probed = |c: &Candidate| !c.is_reachable && c.load.own.requests > 0;
    candidates.iter().all(is_being_probed)
}

/// Selects the endpoint of a request. Returns `None` if no candidate can serve it.
#[must_use]
pub fn choose(
    request: &Request,
    candidates: &[Candidate],
    caches: &Caches<'_>,
    params: &cost::Parameters,
    now: time::Time,
) -> Option<Choice> {
    if all_unreachable_and_probed(candidates) {
        return None;
    }
    let prompt = request.prompt.as_ref();
    let locations =
        prompt.map(|prompt| homes::PromptLocations::new(prompt, candidates, caches, now));
    let comparison = Comparison {
        request,
        locations,
        bound: cost::bound(candidates, caches.evacuated),
        params: params.while_evacuated(caches.evacuated),
        candidate_count: candidates.len() as u32,
    };
    let sampled = candidates.iter().filter(|c| comparison.is_sampled(c));
    let (rank, choice) = comparison.best(sampled)?;
    if !rank.is_failing && !rank.is_over_bound {
        return Some(choice);
    }
    comparison.best(candidates.iter()).map(|(_, choice)| choice)
}

/// Comparison of the candidates of one request.
struct Comparison<'a> {
    request: &'a Request,
    locations: Option<homes::PromptLocations<'a>>,
    /// Requests in flight from which on an endpoint is above the load bound.
    bound: u32,
    params: cost::Parameters,
    /// Number of candidates, sampled or not.
    candidate_count: u32,
}

impl Comparison<'_> {
    /// Whether a candidate is compared first: it may hold the prompt, it has room for this host
    /// alone, or it is in the random sample of this request. If all hosts compared all endpoints by
    /// the same load reports, they would all send to the least loaded one until the next report
    /// (herding).
    fn is_sampled(&self, candidate: &Candidate) -> bool {
        if candidate.is_limited {
            return true;
        }
        let locations = self.locations.as_ref();
        if locations.is_some_and(|locations| locations.may_hold(candidate.endpoint)) {
            return true;
        }
        let point = routing::rendezvous::score(self.request.seed, candidate.endpoint.as_u32());
        point % u64::from(self.candidate_count.max(1)) < SAMPLE_SIZE
    }

    /// Returns the candidate with the lowest rank.
    fn best<'c, I>(&self, candidates: I) -> Option<(Rank, Choice)>
    where
        I: Iterator<Item = &'c Candidate>,
    {
        candidates
            .map(|candidate| self.evaluate(candidate))
            .min_by(|(a, _), (b, _)| a.cmp(b))
    }

    fn evaluate(&self, candidate: &Candidate) -> (Rank, Choice) {
        let prefill = match &self.locations {
            Some(locations) => locations.prefill_plan(candidate.endpoint),
            None => homes::PrefillPlan::default(),
        };
        let cost_ms = cost::predict_ms(self.request, candidate, &prefill, &self.params);
        let rank = Rank {
            is_failing: !candidate.is_healthy,
            is_over_bound: candidate.load.in_flight() >= self.bound,
            cost_micros: (cost_ms * 1_000.0) as u64,
            tie_break: routing::rendezvous::score(self.request.seed, candidate.endpoint.as_u32()),
        };
        let choice = Choice {
            endpoint: candidate.endpoint,
            cost_ms,
            read_tokens: prefill.read_tokens,
            copy_from: prefill.copy_from,
            copy_tokens: prefill.copy_tokens,
            is_cached: prefill.is_cached(),
            candidates: self.candidate_count,
        };
        (rank, choice)
    }
}

/// Sort key of the candidates, by its fields in order; the lowest is selected.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_failing: bool,
    is_over_bound: bool,
    cost_micros: u64,
    tie_break: u64,
}
