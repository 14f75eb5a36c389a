//! Prompts, split into the parts that requests share.

use smallvec::SmallVec;

/// A part of a prompt, the unit in which cached prefixes are tracked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of the model and the id of the part.
    pub key: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// Returns the key of a prompt part for a model.
#[must_use]
pub fn part_key(model: &[u8], id: &[u8]) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model);
    xxhash_rust::xxh3::xxh3_64_with_seed(id, seed)
}

/// Prompt of a request for an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in prompt order. The last one belongs to the request or its chat and is not shared.
    pub parts: SmallVec<[Part; 4]>,
    /// Tokens of the whole prompt. Invariant: at least the sum over the parts.
    pub tokens: u32,
    /// Maximum tokens that the model generates.
    pub output_tokens: u32,
}

impl Prompt {
    /// Makes a prompt from the ids and token counts of its parts. If `tokens` is lower than their
    /// sum, the sum is used.
    #[must_use]
    pub fn new<'a, I>(model: &[u8], parts: I, tokens: u32, output_tokens: u32) -> Self
    where
        I: IntoIterator<Item = (&'a [u8], u32)>,
    {
        let mut prompt = Self {
            output_tokens,
            ..Self::default()
        };
        let mut sum = 0_u32;
        for (id, tokens) in parts {
            let key = part_key(model, id);
            prompt.parts.push(Part { key, tokens });
            sum = sum.saturating_add(tokens);
        }
        prompt.tokens = tokens.max(sum);
        prompt
    }

    /// Whether an engine whose KV cache holds so many tokens can read the prompt at all.
    #[must_use]
    pub fn fits(&self, memory_tokens: u64) -> bool {
        u64::from(self.tokens) <= memory_tokens
    }

    /// Parts that other prompts may share: all but the last one.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// Tokens of the parts that other prompts may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|p| p.tokens).sum()
    }

    /// Key of the last shared part, from which the homes of the prompt are computed, or `None` if
    /// no part is shared.
    #[must_use]
    pub fn home_key(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.key)
    }
}
