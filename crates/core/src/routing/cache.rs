//! What each endpoint's prefix cache probably holds, folded from its cache events.
//!
//! An engine numbers its events. They arrive late, in any order and with gaps. A view applies
//! them in order; an early event waits in a short buffer. When the buffer is full the missing
//! event counts as lost, and the view asks for a listing of the cache. Until the listing comes the
//! view goes on with what it has: a wrong entry costs one prefix read again, never a wrong answer.
//!
//! A view also notes what the owner itself sent to the endpoint, because a prefix is in the cache
//! before its event arrives.
//!
//! Memory is bounded: a view holds at most [`Settings::entries`] chats and forgets the ones that
//! were used longest ago.

use std::collections::BTreeMap;

use crate::routing::lru;
use crate::{request, units};

/// Most events that wait for an earlier one.
pub const MAX_BUFFERED_EVENTS: usize = 64;

/// Settings of the cache views.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Most chats that the view of one endpoint holds.
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
    /// The cache holds nothing of the chat any more.
    Evicted {
        /// Chat of the prefix.
        chat: request::ChatKey,
    },
    /// The cache is empty, as after a restart of the engine.
    Cleared,
}

/// A numbered change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Number of the event; an engine counts up by one.
    pub seq: u64,
    /// The change.
    pub change: Change,
}

/// What the view needs after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// Nothing.
    None,
    /// A listing of the cache, because an event was lost.
    FetchSnapshot,
}

/// What one endpoint's prefix cache probably holds.
#[derive(Clone, Debug)]
pub struct View {
    /// Number of the next event, or `None` before the first event or listing.
    next_seq: Option<u64>,
    /// Events that arrived before an earlier one. Invariant: at most [`MAX_BUFFERED_EVENTS`], all
    /// after `next`.
    buffered: BTreeMap<u64, Change>,
    /// Length of the prefix of each chat.
    prefixes: lru::LruMap<request::ChatKey, units::Tokens>,
    gaps: u64,
}

impl View {
    /// Makes a view that holds nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            next_seq: None,
            buffered: BTreeMap::new(),
            prefixes: lru::LruMap::new(settings.entries),
            gaps: 0,
        }
    }

    /// Folds an event in. An event that was already applied is ignored.
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

    /// Takes in a listing of the cache that shows every event before `next`.
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

    /// Notes that the owner sent a request of the chat to the endpoint.
    pub fn record_sent(&mut self, chat: request::ChatKey, tokens: units::Tokens) {
        let known = self.tokens(chat);
        self.prefixes.insert(chat, known.max(tokens));
    }

    /// Length of the chat's prefix that the endpoint probably holds.
    #[must_use]
    pub fn tokens(&self, chat: request::ChatKey) -> units::Tokens {
        self.prefixes.get(&chat).copied().unwrap_or_default()
    }

    /// Chats that the endpoint probably holds, with the length of each prefix.
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

    /// Gaps in the events that a listing had to fill.
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

    /// Goes on with the first event after the lost ones.
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
