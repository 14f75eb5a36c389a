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
    let bound = cost::bound(candidates);
    let holders = need.prompt.as_ref().map(|prompt| {
        let leaving = caches.leaving;
        homes::Holders::new(
            prompt,
            caches.prefixes,
            candidates,
            leaving,
            caches.is_source,
            now,
        )
    });
    let mut best: Option<(Rank, Choice)> = None;
    for candidate in candidates {
        let reading = match &holders {
            Some(holders) => holders.reading(candidate.endpoint),
            None => homes::Reading::default(),
        };
        let cost_ms = cost::of(need, candidate, &reading, rates);
        let rank = Rank {
            is_failing: !candidate.is_healthy,
            is_over_bound: candidate.load.in_flight() >= bound,
            cost_micros: (cost_ms * 1_000.0) as u64,
            tie: routing::rendezvous::score(need.seed, candidate.endpoint.as_u32()),
        };
        if best.as_ref().is_some_and(|(best, _)| *best <= rank) {
            continue;
        }
        let choice = Choice {
            endpoint: candidate.endpoint,
            cost_ms,
            read_tokens: reading.read_tokens,
            copy_from: reading.copy_from,
            copy_tokens: reading.copy_tokens,
            candidates: candidates.len() as u32,
        };
        best = Some((rank, choice));
    }
    best.map(|(_, choice)| choice)
}

/// Order of candidates; the least is chosen.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_failing: bool,
    is_over_bound: bool,
    cost_micros: u64,
    tie: u64,
}
