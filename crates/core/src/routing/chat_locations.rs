//! Where the chats of an endpoint went when it was at its bound.
//!
//! The owner of a chat's first candidate decides where the chat goes, so it is the one host that
//! has to know where the prefix is. An owner that admits a chat whose first candidate lies with
//! another host tells that host with a location. The memory is bounded: the chats used longest ago
//! are forgotten, and then read again.

use crate::routing::lru;
use crate::{entity, request, units};

/// Most chats that one host remembers elsewhere, about 100 bytes each.
pub const MAX_CHATS: usize = 65_536;

/// The endpoint of a chat that is not at its first candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChatLocation {
    /// The chat.
    pub chat: request::ChatKey,
    /// Endpoint that holds its prefix.
    pub endpoint: entity::EndpointId,
    /// Length of the prefix.
    pub tokens: units::Tokens,
}

/// Chats whose prefix is elsewhere than at their first candidate.
#[derive(Clone, Debug)]
pub struct ChatLocations {
    chats: lru::LruMap<request::ChatKey, ChatLocation>,
}

impl Default for ChatLocations {
    fn default() -> Self {
        Self::new(MAX_CHATS)
    }
}

impl ChatLocations {
    /// Makes a memory of at most `capacity` chats.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            chats: lru::LruMap::new(capacity),
        }
    }

    /// Takes in where a chat went.
    pub fn record(&mut self, location: ChatLocation) {
        self.chats.insert(location.chat, location);
    }

    /// Forgets a chat that is back at its first candidate, or whose prefix is gone.
    pub fn remove(&mut self, chat: request::ChatKey) {
        self.chats.remove(&chat);
    }

    /// Where the chat's prefix is, if it is elsewhere.
    #[must_use]
    pub fn get(&self, chat: request::ChatKey) -> Option<&ChatLocation> {
        self.chats.get(&chat)
    }

    /// Number of chats.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether no chat is elsewhere.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }
}
