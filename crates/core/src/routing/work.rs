//! Estimated work of a request, in the unit of an endpoint's load.
//!
//! A batching engine prefills several prompt tokens in the time in which it generates one, so a
//! prompt token counts as a fraction of a generated token. The prefix that an endpoint has cached
//! is not subtracted: the host that first admits the request does not know it, and the prefix
//! takes memory in any case.

use crate::units;

/// Prompt tokens that take an engine as long as one generated token.
pub const PROMPT_TOKENS_PER_GENERATED: u64 = 8;

/// Work of a call to a plain service.
pub const SERVICE_CALL: u64 = 1;

/// Returns the work of a request to an engine, in generated tokens; at least one.
#[must_use]
pub fn of_tokens(prompt: units::Tokens, answer: units::Tokens) -> u64 {
    (prompt.0 / PROMPT_TOKENS_PER_GENERATED)
        .saturating_add(answer.0)
        .max(1)
}
