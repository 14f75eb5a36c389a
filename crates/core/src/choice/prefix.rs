//! Which endpoints probably hold which parts of prompts in their cache.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::choice::prompt;
use crate::{entity, time};

/// Time after its last use for which a part is taken to be held. Engines drop the parts that were
/// used least recently.
pub const HELD_FOR: Duration = Duration::from_secs(60);

/// Most parts that are remembered.
const MAX_PARTS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: entity::EndpointId,
    used: time::Time,
}

/// Parts and the endpoints that read them lately.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    holders: HashMap<u64, SmallVec<[Holder; 3]>>,
}

impl Prefixes {
    /// Notes that an endpoint reads a prompt.
    pub fn note(&mut self, prompt: &prompt::Prompt, endpoint: entity::EndpointId, now: time::Time) {
        if self.holders.len() > MAX_PARTS {
            self.forget_old(now);
        }
        for part in &prompt.parts {
            let holders = self.holders.entry(part.chain).or_default();
            match holders.iter_mut().find(|h| h.endpoint == endpoint) {
                Some(holder) => holder.used = now,
                None => holders.push(Holder {
                    endpoint,
                    used: now,
                }),
            }
        }
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
            .take_while(|part| self.holds(part.chain, endpoint, now))
            .map(|part| part.tokens)
            .sum()
    }

    /// Forgets what an endpoint holds that is gone.
    pub fn forget(&mut self, endpoint: entity::EndpointId) {
        self.holders.retain(|_, holders| {
            holders.retain(|h| h.endpoint != endpoint);
            !holders.is_empty()
        });
    }

    fn holds(&self, chain: u64, endpoint: entity::EndpointId, now: time::Time) -> bool {
        let Some(holders) = self.holders.get(&chain) else {
            return false;
        };
        holders
            .iter()
            .any(|h| h.endpoint == endpoint && now.since(h.used) < HELD_FOR)
    }

    /// Forgets parts that are no longer held, or all if none is that old.
    fn forget_old(&mut self, now: time::Time) {
        self.holders.retain(|_, holders| {
            holders.retain(|h| now.since(h.used) < HELD_FOR);
            !holders.is_empty()
        });
        if self.holders.len() > MAX_PARTS {
            self.holders.clear();
        }
    }
}
