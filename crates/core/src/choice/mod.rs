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
const SAMPLE: u64 = 8;

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
pub struct Need {
    /// Its prompt, or `None` for a call to a plain service.
    pub prompt: Option<prompt::Prompt>,
    /// A number that differs from request to request.
    pub seed: u64,
}

/// What is known of the caches of endpoints.
pub struct Caches<'a> {
    /// Which endpoints hold which parts.
    pub prefixes: &'a prefix::Prefixes,
    /// Endpoints that take no more requests but still have their caches.
    pub leaving: &'a [homes::Leaving],
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
fn is_hopeless(candidates: &[Candidate]) -> bool {
    let is_being_tried = |c: &Candidate| !c.is_reachable && c.load.own.requests > 0;
    candidates.iter().all(is_being_tried)
}

/// Chooses the endpoint of a request, or `None` if no candidate can serve it.
#[must_use]
pub fn choose(
    need: &Need,
    candidates: &[Candidate],
    caches: &Caches<'_>,
    rates: &cost::Rates,
    now: time::Time,
) -> Option<Choice> {
    if is_hopeless(candidates) {
        return None;
    }
    let prompt = need.prompt.as_ref();
    let holders = prompt.map(|prompt| homes::Holders::new(prompt, candidates, caches, now));
    let comparison = Comparison {
        need,
        holders,
        bound: cost::bound(candidates),
        rates,
        count: candidates.len() as u32,
    };
    let sampled = candidates.iter().filter(|c| comparison.is_considered(c));
    let (rank, choice) = comparison.best(sampled)?;
    if !rank.is_failing && !rank.is_over_bound {
        return Some(choice);
    }
    comparison.best(candidates.iter()).map(|(_, choice)| choice)
}

/// What the candidates of one request are compared by.
struct Comparison<'a> {
    need: &'a Need,
    holders: Option<homes::Holders<'a>>,
    /// Load from which on an endpoint is above the bound.
    bound: u32,
    rates: &'a cost::Rates,
    /// Candidates in all.
    count: u32,
}

impl Comparison<'_> {
    /// Whether a candidate is looked at first: where the prompt may be, and a few others that
    /// differ from request to request. If all hosts compared all endpoints by the same digests,
    /// they would all send to the least loaded one until the next digest.
    fn is_considered(&self, candidate: &Candidate) -> bool {
        let holders = self.holders.as_ref();
        if holders.is_some_and(|holders| holders.may_hold(candidate.endpoint)) {
            return true;
        }
        let point = routing::rendezvous::score(self.need.seed, candidate.endpoint.as_u32());
        point % u64::from(self.count.max(1)) < SAMPLE
    }

    /// The best of some candidates.
    fn best<'c, I>(&self, candidates: I) -> Option<(Rank, Choice)>
    where
        I: Iterator<Item = &'c Candidate>,
    {
        candidates
            .map(|candidate| self.rate(candidate))
            .min_by(|(a, _), (b, _)| a.cmp(b))
    }

    fn rate(&self, candidate: &Candidate) -> (Rank, Choice) {
        let reading = match &self.holders {
            Some(holders) => holders.reading(candidate.endpoint),
            None => homes::Reading::default(),
        };
        let cost_ms = cost::of(self.need, candidate, &reading, self.rates);
        let rank = Rank {
            is_failing: !candidate.is_healthy,
            is_over_bound: candidate.load.in_flight() >= self.bound,
            cost_micros: (cost_ms * 1_000.0) as u64,
            tie: routing::rendezvous::score(self.need.seed, candidate.endpoint.as_u32()),
        };
        let choice = Choice {
            endpoint: candidate.endpoint,
            cost_ms,
            read_tokens: reading.read_tokens,
            copy_from: reading.copy_from,
            copy_tokens: reading.copy_tokens,
            candidates: self.count,
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
    tie: u64,
}
