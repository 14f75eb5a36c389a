//! How much of one prompt endpoints hold, looked up once for all candidates.

use smallvec::SmallVec;

use crate::choice::{prefix, prompt};
use crate::{entity, time};

/// An endpoint that holds the beginning of a prompt.
#[derive(Clone, Copy, Debug)]
struct Entry {
    endpoint: entity::EndpointId,
    /// Number of parts that it holds.
    parts: u32,
    /// Tokens of these parts.
    tokens: u32,
    /// Number of its record of the first part.
    recorded: u64,
}

/// Endpoints that probably hold the beginning of a prompt.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Invariant: in order of the endpoints.
    entries: SmallVec<[Entry; 8]>,
}

impl Held {
    /// Looks up the endpoints that hold the first part of a prompt, and how many of the next ones.
    #[must_use]
    pub fn new(prefixes: &prefix::PrefixIndex, prompt: &prompt::Prompt, now: time::Time) -> Self {
        let mut held = Self::default();
        let Some((first, rest)) = prompt.parts.split_first() else {
            return held;
        };
        let holders = prefixes.holders(first.key).iter();
        held.entries
            .extend(holders.filter(|h| h.is_fresh(now)).map(|h| Entry {
                endpoint: h.endpoint,
                parts: 1,
                tokens: first.tokens,
                recorded: h.recorded,
            }));
        for (before, part) in (1..).zip(rest) {
            let holders = prefixes.holders(part.key);
            if !held.add_part(before, part.tokens, holders, now) {
                break;
            }
        }
        held
    }

    /// Adds a part to the endpoints that hold it and the `before` parts before it. Returns whether there
    /// are any. `holders` are in order of the endpoints.
    fn add_part(
        &mut self,
        before: u32,
        tokens: u32,
        holders: &[prefix::Holder],
        now: time::Time,
    ) -> bool {
        let mut rest = holders;
        let mut is_held = false;
        for entry in self.entries.iter_mut().filter(|e| e.parts == before) {
            while rest.first().is_some_and(|h| h.endpoint < entry.endpoint) {
                rest = &rest[1..];
            }
            let Some(holder) = rest.first() else {
                break;
            };
            if holder.endpoint == entry.endpoint && holder.is_fresh(now) {
                entry.parts += 1;
                entry.tokens += tokens;
                is_held = true;
            }
        }
        is_held
    }

    /// Endpoints that hold something.
    pub fn endpoints(&self) -> impl Iterator<Item = entity::EndpointId> {
        self.entries.iter().map(|entry| entry.endpoint)
    }

    /// Length in tokens of the prefix of the prompt that an endpoint probably holds.
    #[must_use]
    pub fn tokens(&self, endpoint: entity::EndpointId) -> u32 {
        let Some(first) = self.entries.first() else {
            return 0;
        };
        // Ids are distinct, so an entry is no further from the first one than its id is. Where all hold the
        // first part it is just there.
        let distance = endpoint.as_u32().saturating_sub(first.endpoint.as_u32());
        let last = (distance as usize).min(self.entries.len() - 1);
        if self.entries[last].endpoint == endpoint {
            return self.entries[last].tokens;
        }
        let before = &self.entries[..last];
        let place = before.binary_search_by_key(&endpoint, |e| e.endpoint);
        place.map_or(0, |i| before[i].tokens)
    }

    /// Returns the usable endpoint that holds the longest prefix, the first that was recorded among equal
    /// ones, with the length of that prefix in tokens.
    pub fn best<F>(&self, is_usable: F) -> Option<(entity::EndpointId, u32)>
    where
        F: Fn(entity::EndpointId) -> bool,
    {
        let rank = |entry: &Entry| (entry.tokens, std::cmp::Reverse(entry.recorded));
        let mut best: Option<&Entry> = None;
        for entry in self.entries.iter().filter(|e| e.tokens > 0) {
            // Whether an endpoint is usable is the dearer question.
            let is_better = best.is_none_or(|best| rank(entry) > rank(best));
            if is_better && is_usable(entry.endpoint) {
                best = Some(entry);
            }
        }
        best.map(|entry| (entry.endpoint, entry.tokens))
    }
}
