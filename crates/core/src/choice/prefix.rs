//! Which endpoints probably hold which parts of prompts in their cache.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::choice::prompt;
use crate::{entity, time};

/// Time after its last use for which a part is taken to be held. Engines drop the parts that were
/// used least recently.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Most parts that are remembered.
const MAX_PARTS: usize = 8_192;

/// Time after which other hosts are told again that an endpoint uses a part.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: entity::EndpointId,
    used_at: time::Time,
    /// When other hosts were last told of it, or told this one.
    announced_at: Option<time::Time>,
}

/// Parts and the endpoints that read them lately.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, SmallVec<[Holder; 3]>>,
}

impl PrefixIndex {
    /// Notes that an endpoint reads a prompt. Returns the keys of parts that other hosts should hear of.
    pub fn record_use(
        &mut self,
        prompt: &prompt::Prompt,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) -> SmallVec<[u64; 4]> {
        let shared = prompt.parts.len().saturating_sub(1);
        let mut to_announce = SmallVec::new();
        for (i, part) in prompt.parts.iter().enumerate() {
            let holder = self.holder_entry(part.key, endpoint, now);
            holder.used_at = now;
            let is_recent = |at| now.since(at) < ANNOUNCE_INTERVAL;
            if i < shared && !holder.announced_at.is_some_and(is_recent) {
                holder.announced_at = Some(now);
                to_announce.push(part.key);
            }
        }
        to_announce
    }

    /// Takes in that another host had an endpoint read a part.
    pub fn record_remote_use(&mut self, key: u64, endpoint: entity::EndpointId, now: time::Time) {
        let holder = self.holder_entry(key, endpoint, now);
        holder.used_at = now;
        holder.announced_at = Some(now);
    }

    /// The endpoint among those that are usable that holds most of the start of a prompt, and the
    /// tokens that it holds.
    pub fn best_holder<F>(
        &self,
        prompt: &prompt::Prompt,
        now: time::Time,
        is_usable: F,
    ) -> Option<(entity::EndpointId, u32)>
    where
        F: Fn(entity::EndpointId) -> bool,
    {
        let first = prompt.parts.first()?;
        let holders = self.holders.get(&first.key)?;
        let mut best: Option<(entity::EndpointId, u32)> = None;
        for holder in holders.iter().filter(|h| is_usable(h.endpoint)) {
            let tokens = self.held_tokens(prompt, holder.endpoint, now);
            if tokens > best.map_or(0, |(_, most)| most) {
                best = Some((holder.endpoint, tokens));
            }
        }
        best
    }

    /// The record of a holder, made if there is none.
    fn holder_entry(
        &mut self,
        key: u64,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) -> &mut Holder {
        if self.holders.len() > MAX_PARTS {
            self.evict_expired(now);
        }
        let holders = self.holders.entry(key).or_default();
        let known = holders.iter().position(|h| h.endpoint == endpoint);
        let i = known.unwrap_or_else(|| {
            holders.push(Holder {
                endpoint,
                used_at: now,
                announced_at: None,
            });
            holders.len() - 1
        });
        &mut holders[i]
    }

    /// Tokens at the start of a prompt that an endpoint probably holds.
    #[must_use]
    pub fn held_tokens(
        &self,
        prompt: &prompt::Prompt,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) -> u32 {
        prompt
            .parts
            .iter()
            .take_while(|part| self.holds(part.key, endpoint, now))
            .map(|part| part.tokens)
            .sum()
    }

    /// Forgets what an endpoint holds that is gone.
    pub fn remove_endpoint(&mut self, endpoint: entity::EndpointId) {
        self.holders.retain(|_, holders| {
            holders.retain(|h| h.endpoint != endpoint);
            !holders.is_empty()
        });
    }

    fn holds(&self, key: u64, endpoint: entity::EndpointId, now: time::Time) -> bool {
        let Some(holders) = self.holders.get(&key) else {
            return false;
        };
        holders
            .iter()
            .any(|h| h.endpoint == endpoint && now.since(h.used_at) < RETENTION)
    }

    /// Forgets parts that are no longer held, or all if none is that old.
    fn evict_expired(&mut self, now: time::Time) {
        self.holders.retain(|_, holders| {
            holders.retain(|h| now.since(h.used_at) < RETENTION);
            !holders.is_empty()
        });
        if self.holders.len() > MAX_PARTS {
            self.holders.clear();
        }
    }
}
