//! Prompts, as the parts that requests share.

use smallvec::SmallVec;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of the model and of the part's id.
    pub key: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// Key of a part of prompts for a model.
#[must_use]
pub fn part_key(model: &[u8], id: &[u8]) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model);
    xxhash_rust::xxh3::xxh3_64_with_seed(id, seed)
}

/// Prompt of a request for an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in their order. The last one belongs to the request or its chat alone.
    pub parts: SmallVec<[Part; 4]>,
    /// Tokens of the whole prompt. Invariant: at least those of the parts.
    pub tokens: u32,
    /// Most tokens that are generated.
    pub output_tokens: u32,
}

impl Prompt {
    /// Makes a prompt from the ids and tokens of its parts.
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

    /// Tokens of the parts that other prompts may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|p| p.tokens).sum()
    }

    /// Key of the last part that other prompts may share.
    #[must_use]
    pub fn home_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].key)
    }
}
