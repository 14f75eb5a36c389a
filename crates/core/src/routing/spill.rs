//! Decision between the endpoint that holds a chat's prefix and other endpoints.
//!
//! When the holder is at its load bound, a request can wait for it, spill to another endpoint that
//! prefills the prompt again, or spill to one that imports the KV cache from the holder. Each
//! option has a cost in seconds, and the cheapest is taken. The cost is the sum of:
//!
//! - the expected wait;
//! - the prefill time of the part of the prompt that is neither held nor imported;
//! - the time of the import. Between domains it is multiplied by a price factor, and the bytes of
//!   imports have a budget;
//! - the memory that the prefix takes at an endpoint that does not hold it yet, as prefill time;
//! - the load of the endpoint relative to the mean, weighted by [`Settings::reuse`];
//! - the distance to another domain, and the rank among the candidates.
//!
//! [`Settings::reuse`] sets the balance between cache reuse and even load. At 1, load counts least
//! and the holder is used up to its bound. At 0, an endpoint with less load is used as soon as the
//! difference in load outweighs the time, and imports preserve the reuse.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{entity, time, units};

/// Maximum endpoints that one decision compares.
pub const MAX_OPTIONS: usize = 8;

/// Settings of the spill decision.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Weight of cache reuse against even load, from 0 to 1.
    pub reuse: f64,
    /// Maximum wait for the holder of a prefix.
    pub max_wait: Duration,
    /// Prompt tokens that an engine prefills per second.
    pub read_tokens_per_s: u64,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of an import within a domain, in bytes per second.
    pub domain_bytes_per_s: u64,
    /// Bandwidth of an import between domains, in bytes per second.
    pub cross_bytes_per_s: u64,
    /// Factor on the time of an import between domains, for the price of the link.
    pub cross_price: u32,
    /// Bytes per second that imports between domains may use, averaged over [`BUDGET_WINDOW`].
    pub cross_budget_bytes_per_s: u64,
    /// Minimum tokens of an import.
    pub min_import: units::Tokens,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reuse: 0.6,
            max_wait: Duration::from_millis(400),
            read_tokens_per_s: 8_000,
            kv_bytes_per_token: 131_072,
            domain_bytes_per_s: 2_500_000_000,
            cross_bytes_per_s: 1_000_000_000,
            cross_price: 4,
            cross_budget_bytes_per_s: 50_000_000,
            min_import: units::Tokens(256),
        }
    }
}

/// Time over which the budget of imports between domains is averaged.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// An endpoint that a request may be sent to, or that its prefix may be imported from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOption {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Length of the chat's prefix that the endpoint probably holds.
    pub held: units::Tokens,
    /// Load of the endpoint, or `None` if unknown, as for endpoints outside the domain.
    pub load: Option<u64>,
    /// Mean load of the pool.
    pub mean: f64,
    /// Whether the endpoint is in another failure domain.
    pub remote: bool,
    /// Expected time until the load bound admits the request, zero if it does now, or `None` if the
    /// endpoint cannot be used or the time is unknown.
    pub wait: Option<Duration>,
}

/// Where and when a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send immediately. The endpoint prefills what it does not hold.
    Send {
        /// The endpoint.
        endpoint: entity::EndpointId,
    },
    /// Wait until the endpoint admits the request, and send it elsewhere if that takes longer than
    /// `at_most`.
    Wait {
        /// The endpoint.
        endpoint: entity::EndpointId,
        /// Maximum wait.
        at_most: Duration,
    },
    /// Send immediately. The endpoint first imports the prefix from its holder.
    Import {
        /// The endpoint.
        endpoint: entity::EndpointId,
        /// Endpoint that holds the prefix.
        from: entity::EndpointId,
        /// Size of the import.
        bytes: units::ByteSize,
    },
}

impl Decision {
    /// Endpoint that the request goes to.
    #[must_use]
    pub const fn endpoint(&self) -> entity::EndpointId {
        match self {
            Self::Send { endpoint } | Self::Wait { endpoint, .. } => *endpoint,
            Self::Import { endpoint, .. } => *endpoint,
        }
    }
}

/// Makes spill decisions and keeps the budget of imports between domains.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: Settings,
    /// Bytes that imports between domains may use now. Invariant: at most the budget of one
    /// [`BUDGET_WINDOW`].
    cross_budget_left: f64,
    refilled_at: time::Time,
}

/// A decision and its cost in seconds.
type CostedDecision = (f64, Decision);

impl Chooser {
    /// Makes a chooser with a full budget.
    #[must_use]
    pub fn new(settings: Settings, now: time::Time) -> Self {
        let cross_budget_left = full_budget(&settings);
        Self {
            settings,
            cross_budget_left,
            refilled_at: now,
        }
    }

    /// Returns the cheapest decision for a request with a prompt of `prompt` tokens and an
    /// estimated work of `cost`, and charges an import to the budget. Returns `None` if no endpoint
    /// admits the request now and no endpoint that holds a part of its prefix is expected to within
    /// [`Settings::max_wait`].
    ///
    /// `options` are the candidates, best first, and any other endpoint that holds the prefix.
    pub fn choose(
        &mut self,
        prompt: units::Tokens,
        cost: u64,
        options: &[EndpointOption],
        now: time::Time,
    ) -> Option<Decision> {
        self.refill(now);
        let decision = self
            .decisions(prompt, cost, options)
            .into_iter()
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, decision)| decision)?;
        self.spend(&decision, options);
        Some(decision)
    }

    fn decisions(
        &self,
        prompt: units::Tokens,
        cost: u64,
        options: &[EndpointOption],
    ) -> SmallVec<[CostedDecision; 2 * MAX_OPTIONS]> {
        let mut decisions = SmallVec::new();
        let holder = options.iter().max_by_key(|option| option.held);
        let new_chat = holder.is_none_or(|holder| holder.held == units::Tokens::ZERO);
        for (rank, option) in options.iter().take(MAX_OPTIONS).enumerate() {
            let added = prompt.saturating_sub(option.held);
            let base = self.endpoint_cost(option, cost, new_chat)
                + RANK_COST_S * rank as f64
                + MEMORY_WEIGHT * self.read_seconds(added);
            let read = self.read_seconds(added);
            let endpoint = option.endpoint;
            match option.wait {
                Some(Duration::ZERO) => {
                    decisions.push((base + read, Decision::Send { endpoint }));
                    decisions.extend(holder.and_then(|h| self.import(prompt, option, h, base)));
                }
                Some(wait) if option.held.0 > 0 && wait <= self.settings.max_wait => {
                    let at_most = self.settings.max_wait;
                    let seconds = WAIT_WEIGHT * wait.as_secs_f64() + base + read;
                    decisions.push((seconds, Decision::Wait { endpoint, at_most }));
                }
                Some(_) | None => {}
            }
        }
        decisions
    }

    fn import(
        &self,
        prompt: units::Tokens,
        option: &EndpointOption,
        holder: &EndpointOption,
        base: f64,
    ) -> Option<CostedDecision> {
        let tokens = holder.held.min(prompt).saturating_sub(option.held);
        if tokens < self.settings.min_import {
            return None;
        }
        let bytes = units::ByteSize(tokens.0.saturating_mul(self.settings.kv_bytes_per_token));
        let seconds = self.link_seconds(bytes, option.remote == holder.remote)?;
        let rest = self.read_seconds(prompt.saturating_sub(option.held + tokens));
        let decision = Decision::Import {
            endpoint: option.endpoint,
            from: holder.endpoint,
            bytes,
        };
        Some((base + seconds + rest, decision))
    }

    /// Cost of an import in seconds, or `None` if it exceeds the budget between domains.
    fn link_seconds(&self, bytes: units::ByteSize, same_domain: bool) -> Option<f64> {
        let bytes = bytes.0 as f64;
        if same_domain {
            return Some(bytes / self.settings.domain_bytes_per_s as f64);
        }
        let seconds = bytes / self.settings.cross_bytes_per_s as f64;
        (bytes <= self.cross_budget_left).then(|| seconds * f64::from(self.settings.cross_price))
    }

    /// Cost of the endpoint's load after the admission and of its distance, in seconds.
    fn endpoint_cost(&self, option: &EndpointOption, cost: u64, new_chat: bool) -> f64 {
        let distance = if option.remote { REMOTE_COST_S } else { 0.0 };
        let after = option.load.map_or(option.mean, |load| load as f64) + cost as f64;
        let over_mean = after / (option.mean + cost as f64).max(1.0);
        distance + self.load_cost(new_chat) * over_mean
    }

    /// Cost of a load equal to the mean, in seconds. It has a minimum for a new chat, which has no
    /// reuse to lose.
    fn load_cost(&self, new_chat: bool) -> f64 {
        let even = (1.0 - self.settings.reuse).clamp(0.0, 1.0);
        let cost = LEAST_LOAD_COST_S + MOST_LOAD_COST_S * even.powi(3);
        if new_chat {
            cost.max(NEW_CHAT_LOAD_COST_S)
        } else {
            cost
        }
    }

    fn read_seconds(&self, tokens: units::Tokens) -> f64 {
        tokens.0 as f64 / self.settings.read_tokens_per_s.max(1) as f64
    }

    fn refill(&mut self, now: time::Time) {
        let span = now.since(self.refilled_at).as_secs_f64();
        let earned = span * self.settings.cross_budget_bytes_per_s as f64;
        self.cross_budget_left = (self.cross_budget_left + earned).min(full_budget(&self.settings));
        self.refilled_at = now;
    }

    fn spend(&mut self, decision: &Decision, options: &[EndpointOption]) {
        let Decision::Import {
            endpoint,
            from,
            bytes,
        } = decision
        else {
            return;
        };
        let remote = |id| options.iter().find(|o| o.endpoint == id).map(|o| o.remote);
        if remote(*endpoint) != remote(*from) {
            self.cross_budget_left -= bytes.0 as f64;
        }
    }
}

/// Cost of a load equal to the mean if [`Settings::reuse`] is 1, in seconds.
const LEAST_LOAD_COST_S: f64 = 0.2;

/// Additional cost of a load equal to the mean if [`Settings::reuse`] is 0, in seconds. It scales
/// with the cube of `1 - reuse`, because cache reuse falls little at first.
const MOST_LOAD_COST_S: f64 = 20.0;

/// Minimum cost of a load equal to the mean for a chat without a cached prefix, in seconds.
const NEW_CHAT_LOAD_COST_S: f64 = 2.0;

/// Cost of an endpoint in another failure domain, in seconds.
const REMOTE_COST_S: f64 = 0.25;

/// Cost of the memory of a prefix at one more endpoint, as a multiple of its prefill time. The
/// prefix evicts those of other chats, some of which will be prefilled again.
const MEMORY_WEIGHT: f64 = 1.0;

/// Cost per rank in the order of candidates, in seconds. Keeps a chat on the same endpoints when
/// the other costs are equal.
const RANK_COST_S: f64 = 0.002;

/// Cost of a second of waiting, in seconds. Above 1 because a wait also delays the requests queued
/// behind it.
const WAIT_WEIGHT: f64 = 1.5;

fn full_budget(settings: &Settings) -> f64 {
    settings.cross_budget_bytes_per_s as f64 * BUDGET_WINDOW.as_secs_f64()
}
