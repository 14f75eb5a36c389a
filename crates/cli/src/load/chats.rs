//! Chats that requests begin or go on with.

use rand::Rng as _;
use serde_json::{Value, json};

use crate::load::args;

/// A chat of an account.
#[derive(Clone, Copy, Debug)]
struct Chat {
    id: u64,
    turns: u32,
}

/// Chats of all accounts.
#[derive(Debug)]
pub(super) struct Chats {
    rng: rand_chacha::ChaCha8Rng,
    returning: f64,
    /// Chats by account. Invariant: at most `bound` each.
    chats: Vec<Vec<Chat>>,
    bound: usize,
    begun: u64,
}

/// A turn of a chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Turn {
    /// Name of the chat.
    pub(super) chat: String,
    id: u64,
    /// Number of the turn, from 1.
    number: u32,
}

impl Chats {
    /// Makes the chats of all accounts, without any yet.
    pub(super) fn new(cfg: &args::Config, rng: rand_chacha::ChaCha8Rng) -> Self {
        Self {
            rng,
            returning: cfg.returning,
            chats: vec![Vec::new(); cfg.keys.len()],
            bound: cfg.chats,
            begun: 0,
        }
    }

    /// Chooses the next turn of an account: of a chat that it has, or the first of another.
    pub(super) fn turn(&mut self, account: usize) -> Turn {
        let chats = &mut self.chats[account];
        let returns = !chats.is_empty() && self.rng.random_bool(self.returning);
        let slot = if returns || chats.len() == self.bound {
            self.rng.random_range(0..chats.len())
        } else {
            chats.push(Chat { id: 0, turns: 0 });
            chats.len() - 1
        };
        if !returns {
            self.begun += 1;
            let id = self.begun;
            chats[slot] = Chat { id, turns: 0 };
        }
        let chat = &mut chats[slot];
        chat.turns += 1;
        Turn {
            chat: format!("load-{}", chat.id),
            id: chat.id,
            number: chat.turns,
        }
    }
}

impl Turn {
    /// Body of the request. It holds all earlier turns of the chat, which are the prefix that an
    /// engine may have cached.
    pub(super) fn body(&self, cfg: &args::Config) -> Value {
        let messages: Vec<_> = (1..=self.number)
            .map(|number| json!({ "role": "user", "content": self.text(number, cfg.turn_bytes) }))
            .collect();
        json!({
            "model": cfg.model,
            "messages": messages,
            "max_tokens": cfg.answer_tokens,
            "stream": cfg.stream,
            "stream_options": { "include_usage": true },
        })
    }

    fn text(&self, number: u32, len: usize) -> String {
        let words = format!("chat {} turn {number} ", self.id);
        words.chars().cycle().take(len).collect()
    }
}
