//! Home endpoints of prompts, by rendezvous hashing.
//!
//! Every host computes the same homes. Hosts that do not know of each other's requests still send
//! a prompt to the same first home, so it is prefilled once; a hot prompt spreads over the same few
//! endpoints whichever host sends it. Endpoints that take no request now keep their rank as copy
//! sources, so when the home of a prompt leaves or is held back by its limit, the next home copies the
//! prompt instead of prefilling it again.

use smallvec::SmallVec;

use crate::choice::{Caches, Candidate, held, prompt};
use crate::{entity, routing, time};

/// Number of homes of a prompt.
const HOMES: usize = 3;

/// Minimum tokens that are copied from another endpoint instead of prefilled.
pub const MIN_COPY_TOKENS: u32 = 256;

/// An endpoint that takes no request of this host now, since it leaves or since its limit leaves no
/// room, but still has its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedEndpoint {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Hash of its identity, the same on every host.
    pub hash: u64,
}

/// How an endpoint obtains the KV cache of a prompt: by prefill, copy, or both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillPlan {
    /// Tokens that it is predicted to prefill.
    pub read_tokens: u32,
    /// Tokens that it is predicted to copy from another endpoint's cache.
    pub copy_tokens: u32,
    /// Endpoint that it should copy from before it prefills the rest.
    pub copy_from: Option<entity::EndpointId>,
    /// Whether it is a home of the prompt.
    pub is_home: bool,
    /// Whether it holds the tokens that other prompts share.
    pub is_holder: bool,
}

impl PrefillPlan {
    /// Whether it is where hosts look for the prompt.
    #[must_use]
    pub const fn is_cached(&self) -> bool {
        self.is_home || self.is_holder
    }
}

type Ranked = SmallVec<[(u64, entity::EndpointId); HOMES + 1]>;

/// Endpoints that hold a prompt, as recorded on this host or assumed from the homes.
#[derive(Debug)]
pub struct PromptLocations<'a> {
    prompt: &'a prompt::Prompt,
    /// What endpoints are recorded to hold of it.
    held: held::Held,
    /// Tokens that other prompts may share.
    shared_tokens: u32,
    /// Endpoint that is recorded to hold all shared tokens and can be copied from.
    known_holder: Option<entity::EndpointId>,
    /// Homes among the candidates, highest score first.
    homes: Ranked,
    /// Homes among all endpoints that can be copied from, highest score first.
    sources: Ranked,
    /// Endpoints whose plan may be another one than `elsewhere`.
    special: IdFilter,
    /// Plan of an endpoint that is none of the above and holds nothing.
    elsewhere: PrefillPlan,
}

/// Set of ids that may contain more than was added, so that most ids are told apart from a few by one
/// comparison.
#[derive(Clone, Copy, Debug, Default)]
struct IdFilter(u64);

impl IdFilter {
    fn add(&mut self, id: entity::EndpointId) {
        self.0 |= Self::bit(id);
    }

    fn may_contain(self, id: entity::EndpointId) -> bool {
        self.0 & Self::bit(id) != 0
    }

    fn bit(id: entity::EndpointId) -> u64 {
        1 << (id.as_u32() % u64::BITS)
    }
}

impl<'a> PromptLocations<'a> {
    /// Looks up the recorded holders of a prompt and computes its homes.
    pub fn new(
        prompt: &'a prompt::Prompt,
        candidates: &[Candidate],
        caches: &Caches<'a>,
        now: time::Time,
    ) -> Self {
        let Caches {
            prefixes,
            closed,
            is_source,
            evacuated: _,
        } = *caches;
        let shared = prompt.shared_tokens();
        let held = held::Held::new(prefixes, prompt, now);
        let best = held.best(is_source);
        let known = best.filter(|(_, tokens)| *tokens >= shared);
        let mut homes = Ranked::new();
        let mut sources = Ranked::new();
        if let Some(key) = prompt.home_key() {
            // Lowest score that is in both lists; most candidates are below it.
            let mut lowest = 0;
            for candidate in candidates {
                let entry = (score(key, candidate.hash), candidate.endpoint);
                if entry.0 < lowest {
                    continue;
                }
                insert(&mut homes, entry, |_| true);
                insert(&mut sources, entry, is_source);
                lowest = full_from(&homes).min(full_from(&sources));
            }
            for closed in closed {
                let entry = (score(key, closed.hash), closed.endpoint);
                insert(&mut sources, entry, is_source);
            }
        }
        let mut special = IdFilter::default();
        let ranked = homes.iter().chain(&sources).map(|(_, endpoint)| *endpoint);
        for endpoint in ranked.chain(held.endpoints()) {
            special.add(endpoint);
        }
        let mut locations = Self {
            prompt,
            held,
            shared_tokens: shared,
            known_holder: known.map(|(endpoint, _)| endpoint),
            homes,
            sources,
            special,
            elsewhere: PrefillPlan::default(),
        };
        locations.elsewhere = locations.plan(None, 0);
        locations
    }

    /// Plan of all endpoints but a few.
    #[must_use]
    pub const fn plan_elsewhere(&self) -> &PrefillPlan {
        &self.elsewhere
    }

    /// Whether an endpoint certainly has the plan of all endpoints but a few.
    #[must_use]
    pub fn is_elsewhere(&self, endpoint: entity::EndpointId) -> bool {
        !self.special.may_contain(endpoint)
    }

    /// Whether an endpoint is a home of the prompt or recorded to hold its shared tokens.
    #[must_use]
    pub fn may_hold(&self, endpoint: entity::EndpointId) -> bool {
        let is_home = self.homes.iter().any(|(_, home)| *home == endpoint);
        is_home || self.known_holder == Some(endpoint)
    }

    /// Predicts how an endpoint would obtain the prompt.
    #[must_use]
    pub fn prefill_plan(&self, endpoint: entity::EndpointId) -> PrefillPlan {
        self.plan(Some(endpoint), self.held.tokens(endpoint))
    }

    /// Plan of an endpoint that holds so many tokens, or of one that is in no list.
    fn plan(&self, endpoint: Option<entity::EndpointId>, held: u32) -> PrefillPlan {
        let is_home = self.homes.iter().any(|(_, home)| Some(*home) == endpoint);
        let missing = self.shared_tokens.saturating_sub(held);
        let source = self.source_for(endpoint);
        if missing < MIN_COPY_TOKENS || source.is_none() {
            return PrefillPlan {
                read_tokens: self.prompt.tokens.saturating_sub(held),
                is_home,
                is_holder: self.shared_tokens > 0 && missing < MIN_COPY_TOKENS,
                ..PrefillPlan::default()
            };
        }
        // The first home is assumed to hold the prompt, unless another endpoint is recorded to. If
        // the first one is closed, the next home copies from it.
        let first = self.sources.first().or(self.homes.first());
        let is_first = first.is_some_and(|(_, home)| Some(*home) == endpoint);
        let is_assumed = self.known_holder.is_none() && is_first;
        PrefillPlan {
            read_tokens: self.prompt.tokens.saturating_sub(held + missing),
            copy_tokens: if is_assumed { 0 } else { missing },
            copy_from: source,
            is_home,
            is_holder: false,
        }
    }

    /// Returns the endpoint that `endpoint` copies from: the recorded holder, otherwise a home.
    /// A wrong guess is cheap, since copying from an endpoint that holds nothing costs little.
    fn source_for(&self, endpoint: Option<entity::EndpointId>) -> Option<entity::EndpointId> {
        let sources = self.sources.iter().map(|(_, source)| *source);
        self.known_holder
            .into_iter()
            .chain(sources)
            .find(|source| Some(*source) != endpoint)
    }
}

fn score(key: u64, hash: u64) -> u64 {
    routing::rendezvous::score(key, (hash >> 32) as u32 ^ hash as u32)
}

/// Lowest score of a list that has all its [`HOMES`], or 0.
fn full_from(ranked: &Ranked) -> u64 {
    ranked.get(HOMES - 1).map_or(0, |(score, _)| *score)
}

/// Inserts an entry into a list that keeps the [`HOMES`] highest entries, highest first. `is_kept` is
/// asked only for endpoints that have a place in it.
fn insert<F>(ranked: &mut Ranked, entry: (u64, entity::EndpointId), is_kept: F)
where
    F: Fn(entity::EndpointId) -> bool,
{
    if ranked.len() == HOMES && ranked[HOMES - 1] >= entry {
        return;
    }
    let place = ranked.partition_point(|other| *other >= entry);
    if is_kept(entry.1) {
        ranked.insert(place, entry);
        ranked.truncate(HOMES);
    }
}
