//! Choice between the endpoint that holds a chat's prefix and the others.
//!
//! There are three decisions when the holder is at its bound: wait for it, spill to another endpoint
//! and read the prefix again, or spill and import the KV cache from the holder. Each decision has a
//! cost in seconds, and the cheapest is taken:
//!
//! - the expected wait;
//! - the time to read the part of the prompt that is neither held nor imported;
//! - the time of the import, and for a link between domains its price, as time. Imports between
//!   domains also have a budget of bytes;
//! - the memory that the prefix takes at an endpoint that does not hold it yet;
//! - the load of the endpoint over the mean, weighted by [`Settings::reuse`].
//!
//! [`Settings::reuse`] is the one setting that moves between cache reuse and even load. At 1 only
//! time counts, and the holder is taken up to its bound. At 0 an endpoint with less load is taken
//! as soon as the difference in load outweighs the time, and imports keep the reuse up.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{entity, time, units};

/// Most endpoints that one choice weighs.
pub const MAX_OPTIONS: usize = 8;

/// Settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Weight of cache reuse against even load, from 0 to 1.
    pub reuse: f64,
    /// Longest wait for the holder of a prefix.
    pub max_wait: Duration,
    /// Prompt tokens that an engine reads a second.
    pub read_tokens_per_s: u64,
    /// Size of the KV cache of one token.
    pub kv_bytes_per_token: u64,
    /// Bytes a second of an import inside a domain.
    pub domain_bytes_per_s: u64,
    /// Bytes a second of an import between domains.
    pub cross_bytes_per_s: u64,
    /// Factor on the time of an import between domains, for the price of the link.
    pub cross_price: u32,
    /// Bytes a second that imports between domains may use, averaged over [`BUDGET_WINDOW`].
    pub cross_budget_bytes_per_s: u64,
    /// Shortest prefix that is worth an import.
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

/// An endpoint that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOption {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Prefix of the chat that the endpoint probably holds.
    pub held: units::Tokens,
    /// Load of the endpoint, or `None` if not known, as outside the domain.
    pub load: Option<u64>,
    /// Mean load of the pool.
    pub mean: f64,
    /// Whether the endpoint is in another failure domain.
    pub remote: bool,
    /// Expected time until the bound admits the request, zero if it does now, or `None` if not
    /// known.
    pub wait: Option<Duration>,
}

/// How a request goes to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// At once; a prefix that the endpoint does not hold is read again.
    Send {
        /// The endpoint.
        endpoint: entity::EndpointId,
    },
    /// When the endpoint has room, and elsewhere if it has none after `at_most`.
    Wait {
        /// The endpoint.
        endpoint: entity::EndpointId,
        /// Longest wait.
        at_most: Duration,
    },
    /// At once, after the endpoint has imported the prefix from its holder.
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

/// Weighs the decisions of a request.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: Settings,
    /// Bytes that imports between domains may use now. Invariant: at most one [`BUDGET_WINDOW`] of
    /// the budget.
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

    /// Takes the cheapest decision of a request with a prompt of `prompt` tokens and a work of `cost`,
    /// or `None` if no endpoint admits it and none is worth the wait.
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

    /// Time of an import, or `None` if it exceeds the budget between domains.
    fn link_seconds(&self, bytes: units::ByteSize, same_domain: bool) -> Option<f64> {
        let bytes = bytes.0 as f64;
        if same_domain {
            return Some(bytes / self.settings.domain_bytes_per_s as f64);
        }
        let seconds = bytes / self.settings.cross_bytes_per_s as f64;
        (bytes <= self.cross_budget_left).then(|| seconds * f64::from(self.settings.cross_price))
    }

    /// Cost of the endpoint's load after the admission, and of its distance.
    fn endpoint_cost(&self, option: &EndpointOption, cost: u64, new_chat: bool) -> f64 {
        let distance = if option.remote { REMOTE_COST_S } else { 0.0 };
        let after = option.load.map_or(option.mean, |load| load as f64) + cost as f64;
        let over_mean = after / (option.mean + cost as f64).max(1.0);
        distance + self.load_cost(new_chat) * over_mean
    }

    /// Cost of a load equal to the mean, in seconds. For a new chat there is no reuse to weigh
    /// against it.
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

/// Cost of a load equal to the mean when [`Settings::reuse`] is 1, in seconds.
const LEAST_LOAD_COST_S: f64 = 0.2;

/// Cost of a load equal to the mean that [`Settings::reuse`] adds at 0, in seconds. It falls with
/// the cube of the setting, because the reuse falls little at first.
const MOST_LOAD_COST_S: f64 = 20.0;

/// Least cost of a load equal to the mean for a chat that is held nowhere, in seconds.
const NEW_CHAT_LOAD_COST_S: f64 = 2.0;

/// Cost of an endpoint in another failure domain, in seconds.
const REMOTE_COST_S: f64 = 0.25;

/// Cost of prefix memory taken at one more endpoint, as a share of the time to read it. It evicts
/// prefixes of other chats, some of which will be read again.
const MEMORY_WEIGHT: f64 = 1.0;

/// Cost of one place down the order of candidates, in seconds. Keeps a chat on the same endpoints
/// when nothing else tells them apart.
const RANK_COST_S: f64 = 0.002;

/// Cost of a second of waiting, in seconds. A wait also holds up the queue behind it.
const WAIT_WEIGHT: f64 = 1.5;

fn full_budget(settings: &Settings) -> f64 {
    settings.cross_budget_bytes_per_s as f64 * BUDGET_WINDOW.as_secs_f64()
}
