//! Views of the endpoints' prefix caches, maintained from their cache events.
//!
//! An engine numbers its events, which may arrive late, out of order or not at all. A view applies
//! them in order and buffers events that arrive before an earlier one. When the buffer is full, the
//! missing event counts as lost and the view requests a snapshot of the cache. Until the snapshot
//! arrives, the view stays in use: a wrong entry costs one prefill, never a wrong answer.
//!
//! A view also records the requests that the owner sends to the endpoint, because a prefix is
//! cached before its event arrives.
//!
//! Memory is bounded: a view holds at most [`Settings::entries`] chats and evicts the least
//! recently used ones.

use std::collections::BTreeMap;

use crate::routing::lru;
use crate::{request, units};

/// Maximum events that are buffered until an earlier one arrives.
pub const MAX_BUFFERED_EVENTS: usize = 64;

/// Settings of the cache views.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum chats in the view of one endpoint.
    pub entries: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { entries: 65_536 }
    }
}

/// A change in an endpoint's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The cache holds a prefix of the chat.
    Stored {
        /// Chat of the prefix.
        chat: request::ChatKey,
        /// Length of the prefix.
        tokens: units::Tokens,
    },
    /// The cache no longer holds a prefix of the chat.
    Evicted {
        /// Chat of the prefix.
        chat: request::ChatKey,
    },
    /// The cache is empty, for example after a restart of the engine.
    Cleared,
}

/// A change with its sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Sequence number, which an engine increments by one.
    pub seq: u64,
    /// The change.
    pub change: Change,
}

/// What the caller has to do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// Nothing.
    None,
    /// Fetch a snapshot of the cache, because an event was lost.
    FetchSnapshot,
}

/// View of one endpoint's prefix cache.
#[derive(Clone, Debug)]
pub struct View {
    /// Sequence number of the next event, or `None` before the first event or snapshot.
    next_seq: Option<u64>,
    /// Events that arrived before an earlier one. Invariant: at most [`MAX_BUFFERED_EVENTS`], all
    /// after `next_seq`.
    buffered: BTreeMap<u64, Change>,
    /// Length of the cached prefix of each chat.
    prefixes: lru::LruMap<request::ChatKey, units::Tokens>,
    gaps: u64,
}

impl View {
    /// Makes an empty view.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            next_seq: None,
            buffered: BTreeMap::new(),
            prefixes: lru::LruMap::new(settings.entries),
            gaps: 0,
        }
    }

    /// Applies an event, or buffers it until the events before it have arrived. An event that was
    /// already applied is ignored.
    pub fn apply_event(&mut self, event: Event) -> FollowUp {
        let next = *self.next_seq.get_or_insert(event.seq);
        if event.seq < next {
            return FollowUp::None;
        }
        self.buffered.insert(event.seq, event.change);
        self.apply_in_order(next);
        if self.buffered.len() <= MAX_BUFFERED_EVENTS {
            return FollowUp::None;
        }
        self.skip_gap();
        FollowUp::FetchSnapshot
    }

    /// Replaces the view by a snapshot that includes every event before `next`, then applies the
    /// buffered events after it. A snapshot older than the view is ignored.
    pub fn load_snapshot<I>(&mut self, next: u64, entries: I)
    where
        I: IntoIterator<Item = (request::ChatKey, units::Tokens)>,
    {
        if self.next_seq.is_some_and(|known| next < known) {
            return;
        }
        self.prefixes.clear();
        for (chat, tokens) in entries {
            self.prefixes.insert(chat, tokens);
        }
        self.buffered = self.buffered.split_off(&next);
        self.next_seq = Some(next);
        self.apply_in_order(next);
    }

    /// Records that the owner sent a request to the endpoint, after which the prefix of the chat
    /// has at least `tokens`.
    pub fn record_sent(&mut self, chat: request::ChatKey, tokens: units::Tokens) {
        let known = self.tokens(chat);
        self.prefixes.insert(chat, known.max(tokens));
    }

    /// Length of the prefix of a chat that the endpoint probably holds.
    #[must_use]
    pub fn tokens(&self, chat: request::ChatKey) -> units::Tokens {
        self.prefixes.get(&chat).copied().unwrap_or_default()
    }

    /// Chats in the view, with the length of each prefix.
    pub fn iter(&self) -> impl Iterator<Item = (request::ChatKey, units::Tokens)> {
        self.prefixes.iter().map(|(chat, tokens)| (*chat, *tokens))
    }

    /// Number of chats in the view.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether the view holds no chat.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Number of gaps in the events that were skipped.
    #[must_use]
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    fn apply_in_order(&mut self, mut next: u64) {
        while let Some(change) = self.buffered.remove(&next) {
            self.apply(change);
            next += 1;
        }
        self.next_seq = Some(next);
    }

    /// Skips the lost events and continues with the first buffered one.
    fn skip_gap(&mut self) {
        self.gaps += 1;
        if let Some((&seq, _)) = self.buffered.first_key_value() {
            self.apply_in_order(seq);
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Stored { chat, tokens } => {
                self.prefixes.insert(chat, tokens);
            }
            Change::Evicted { chat } => {
                self.prefixes.remove(&chat);
            }
            Change::Cleared => self.prefixes.clear(),
        }
    }
}
