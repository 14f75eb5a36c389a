//! Locations of chats that were spilled from their first candidate to another endpoint.
//!
//! The owner of a chat's first candidate decides where its requests go, so only that host has to
//! know where the prefix is. An owner that admits a chat whose first candidate belongs to another
//! host sends that host a [`ChatLocation`]. Memory is bounded: the least recently recorded chats
//! are evicted, and their prefixes are prefilled again.

use crate::routing::lru;
use crate::{entity, request, units};

/// Maximum locations that one host keeps, about 100 bytes each.
pub const MAX_CHATS: usize = 65_536;

/// Location of a chat that is not at its first candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChatLocation {
    /// The chat.
    pub chat: request::ChatKey,
    /// Endpoint that holds its prefix.
    pub endpoint: entity::EndpointId,
    /// Length of the prefix that it holds.
    pub tokens: units::Tokens,
}

/// Locations of the chats whose prefix is not at their first candidate.
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
    /// Makes an empty table of at most `capacity` chats.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            chats: lru::LruMap::new(capacity),
        }
    }

    /// Records the location of a chat.
    pub fn record(&mut self, location: ChatLocation) {
        self.chats.insert(location.chat, location);
    }

    /// Removes a chat that is back at its first candidate, or whose prefix was evicted.
    pub fn remove(&mut self, chat: request::ChatKey) {
        self.chats.remove(&chat);
    }

    /// Location of a chat, or `None` if it is at its first candidate or not known.
    #[must_use]
    pub fn get(&self, chat: request::ChatKey) -> Option<&ChatLocation> {
        self.chats.get(&chat)
    }

    /// Number of recorded chats.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether no location is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }
}
