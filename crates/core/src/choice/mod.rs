//! Which endpoint a request goes to.
//!
//! Each endpoint has a [load](load::Load): what this host sends it, what the other hosts say that
//! they send it, and what it says of itself. [`cost`] predicts from it the time that a request
//! loses there, in milliseconds: the prompt tokens to read, the prompts that are read before it,
//! the wait for a slot, the slower steps of a fuller batch, and the way to another failure domain.
//! The cheapest endpoint takes the request. Endpoints above the bound on load come after all
//! others, and endpoints that [fail](crate::health) after those.

pub mod cost;
pub mod homes;
pub mod load;
pub mod prefix;
pub mod prompt;

use crate::{entity, routing, time};

/// Endpoints beside those that may hold the prompt that a request is compared over.
const SAMPLE_SIZE: u64 = 8;

/// An endpoint that may take a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Hash of its identity, the same on every host.
    pub hash: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in the failure domain of this host.
    pub is_local: bool,
    /// Whether it answered well when it was last asked.
    pub is_healthy: bool,
    /// Whether the last attempt to connect to it, if any, succeeded.
    pub is_reachable: bool,
    /// Its load.
    pub load: load::Load,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its prompt, or `None` for a call to a plain service.
    pub prompt: Option<prompt::Prompt>,
    /// A number that differs from request to request.
    pub seed: u64,
}

/// What is known of the caches of endpoints.
pub struct Caches<'a> {
    /// Which endpoints hold which parts.
    pub prefixes: &'a prefix::PrefixIndex,
    /// Endpoints that take no more requests but still have their caches.
    pub leaving: &'a [homes::LeavingEndpoint],
    /// Whether cached parts can be copied from an endpoint. It need not be a candidate.
    pub is_source: &'a dyn Fn(entity::EndpointId) -> bool,
}

impl std::fmt::Debug for Caches<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caches").finish_non_exhaustive()
    }
}

/// The endpoint chosen, with the figures that decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Time that the request is predicted to lose there, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that it is predicted to read.
    pub read_tokens: u32,
    /// Endpoint that it should copy cached prompt tokens from, before it reads the rest.
    pub copy_from: Option<entity::EndpointId>,
    /// Prompt tokens that it is predicted to copy.
    pub copy_tokens: u32,
    /// Candidates that were compared.
    pub candidates: u32,
}

/// Whether every endpoint is known to be unreachable and a request is finding out whether it still
/// is. Another request would only wait for the same answer.
fn all_unreachable_and_probed(candidates: &[Candidate]) -> bool {
    let is_being_probed = |c: &Candidate| !c.is_reachable && c.load.own.requests > 0;
    candidates.iter().all(is_being_probed)
}

/// Chooses the endpoint of a request, or `None` if no candidate can serve it.
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
        bound: cost::bound(candidates),
        params,
        candidate_count: candidates.len() as u32,
    };
    let sampled = candidates.iter().filter(|c| comparison.is_sampled(c));
    let (rank, choice) = comparison.best(sampled)?;
    if !rank.is_failing && !rank.is_over_bound {
        return Some(choice);
    }
    comparison.best(candidates.iter()).map(|(_, choice)| choice)
}

/// What the candidates of one request are compared by.
struct Comparison<'a> {
    request: &'a Request,
    locations: Option<homes::PromptLocations<'a>>,
    /// Load from which on an endpoint is above the bound.
    bound: u32,
    params: &'a cost::Parameters,
    /// Candidates in all.
    candidate_count: u32,
}

impl Comparison<'_> {
    /// Whether a candidate is looked at first: where the prompt may be, and a few others that
    /// differ from request to request. If all hosts compared all endpoints by the same digests,
    /// they would all send to the least loaded one until the next digest.
    fn is_sampled(&self, candidate: &Candidate) -> bool {
        let locations = self.locations.as_ref();
        if locations.is_some_and(|locations| locations.may_hold(candidate.endpoint)) {
            return true;
        }
        let point = routing::rendezvous::score(self.request.seed, candidate.endpoint.as_u32());
        point % u64::from(self.candidate_count.max(1)) < SAMPLE_SIZE
    }

    /// The best of some candidates.
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
        let cost_ms = cost::predict_ms(self.request, candidate, &prefill, self.params);
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
            candidates: self.candidate_count,
        };
        (rank, choice)
    }
}

/// Order of candidates; the least is chosen.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_failing: bool,
    is_over_bound: bool,
    cost_micros: u64,
    tie_break: u64,
}
