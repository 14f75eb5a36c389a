//! Estimated work of a request, the unit of an engine's load.
//!
//! A batch engine reads several prompt tokens in the time in which it generates one, so a prompt
//! token counts as a fraction of a generated token. What the endpoint holds of the prompt is not
//! subtracted: it is not known where the request is first admitted, and memory is taken anyway.

use crate::units;

/// Prompt tokens that cost an engine as much time as one generated token.
pub const PROMPT_TOKENS_PER_GENERATED: u64 = 8;

/// Work of a call to a plain service.
pub const SERVICE_CALL: u64 = 1;

/// Work of a request to an engine, in generated tokens; at least one.
#[must_use]
pub fn of_tokens(prompt: units::Tokens, answer: units::Tokens) -> u64 {
    (prompt.0 / PROMPT_TOKENS_PER_GENERATED)
        .saturating_add(answer.0)
        .max(1)
}
