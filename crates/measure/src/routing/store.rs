//! Prefix store of an endpoint: whole chats, least recently used first out.

use pistachiochute_core::routing::lru;
use pistachiochute_core::{request, units};

/// Prefixes that an endpoint holds, up to a number of tokens.
#[derive(Clone, Debug)]
pub struct Store {
    capacity: u64,
    used: u64,
    chats: lru::LruMap<request::ChatKey, units::Tokens>,
}

impl Store {
    /// Makes an empty store for `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            chats: lru::LruMap::new(usize::MAX),
        }
    }

    /// Length of the chat's prefix that the store holds.
    #[must_use]
    pub fn tokens(&self, chat: request::ChatKey) -> units::Tokens {
        self.chats.get(&chat).copied().unwrap_or_default()
    }

    /// Holds a prefix, as the one used last. Returns the chats that were evicted for it.
    pub fn insert(
        &mut self,
        chat: request::ChatKey,
        tokens: units::Tokens,
    ) -> Vec<request::ChatKey> {
        self.remove(chat);
        self.chats.insert(chat, tokens);
        self.used += tokens.0;
        let mut evicted = Vec::new();
        while self.used > self.capacity
            && let Some((chat, tokens)) = self.chats.pop_lru()
        {
            self.used -= tokens.0;
            evicted.push(chat);
        }
        evicted
    }

    /// Drops a chat.
    pub fn remove(&mut self, chat: request::ChatKey) {
        if let Some(tokens) = self.chats.remove(&chat) {
            self.used -= tokens.0;
        }
    }

    /// Drops every chat.
    pub fn clear(&mut self) {
        self.chats.clear();
        self.used = 0;
    }

    /// Changes the capacity. Chats over it are evicted at the next insertion.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Chats in the store, with the length of each prefix.
    pub fn iter(&self) -> impl Iterator<Item = (request::ChatKey, units::Tokens)> {
        self.chats.iter().map(|(chat, tokens)| (*chat, *tokens))
    }
}
