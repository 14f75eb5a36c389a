//! Chat requests and answers in the format of the OpenAI API.

use std::io;

use serde_json::json;

use crate::server;

use super::{cache, run};

/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: usize = 4;

/// Tokens in one block of the prefix cache.
pub(super) const BLOCK_TOKENS: u64 = (cache::BLOCK_BYTES / TOKEN_BYTES) as u64;

/// Maximum number of tokens in an answer.
const MAX_ANSWER_TOKENS: u32 = 32_768;

#[derive(Debug, serde::Deserialize)]
struct Message {
    role: String,
    content: serde_json::Value,
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

/// Body of a chat request; other fields of the API are ignored.
#[derive(Debug, serde::Deserialize)]
// `expecting` keeps the text of the error answer to a scalar JSON body.
#[serde(expecting = "struct Body")]
pub(super) struct ChatRequest {
    pub(super) model: String,
    messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

impl ChatRequest {
    /// Number of tokens in the answer: the maximum of the request, or `default` if it states none.
    pub(super) fn answer_tokens(&self, default: u32) -> u32 {
        let wanted = self.max_completion_tokens.or(self.max_tokens);
        wanted.unwrap_or(default).clamp(1, MAX_ANSWER_TOKENS)
    }

    /// Whether the stream ends with a chunk that contains the usage.
    pub(super) fn include_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|opts| opts.include_usage)
    }

    /// Text of all messages, on which the prefix cache works.
    pub(super) fn prompt(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            let content = message
                .content
                .as_str()
                .map_or_else(|| message.content.to_string(), str::to_owned);
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&content);
            text.push('\n');
        }
        text
    }
}

/// A chat that is running or queued.
pub(super) struct Chat {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt: String,
    /// Number of tokens in the answer.
    pub(super) answer_tokens: u32,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
    /// Number of the last token that the caller received, if it resumes the stream.
    pub(super) resume_after: Option<u32>,
}

impl Chat {
    pub(super) fn prompt_tokens(&self) -> u64 {
        (self.prompt.len().div_ceil(TOKEN_BYTES) as u64).max(1)
    }

    pub(super) fn token(&self, run: run::Run, number: u32) -> String {
        format!(
            "{}.{}.{number} ",
            self.id.get(..8).unwrap_or(&self.id),
            run.number
        )
    }

    pub(super) fn text(&self, run: run::Run) -> String {
        (1..=self.answer_tokens)
            .map(|number| self.token(run, number))
            .collect()
    }

    pub(super) fn usage(&self, cached: u64) -> serde_json::Value {
        let prompt = self.prompt_tokens();
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.answer_tokens,
            "total_tokens": prompt + u64::from(self.answer_tokens),
            "prompt_tokens_details": { "cached_tokens": cached.min(prompt) },
        })
    }

    pub(super) fn chunk(
        &self,
        delta: &serde_json::Value,
        finish: Option<&str>,
    ) -> serde_json::Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        })
    }

    pub(super) fn usage_chunk(&self, cached: u64) -> serde_json::Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [],
            "usage": self.usage(cached),
        })
    }

    pub(super) fn completion(&self, run: run::Run, cached: u64) -> serde_json::Value {
        let message = json!({ "role": "assistant", "content": self.text(run) });
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
            "usage": self.usage(cached),
        })
    }
}

pub(super) fn sse_event(id: Option<u32>, data: &str) -> Vec<u8> {
    let id = id.map_or_else(String::new, |id| format!("id: {id}\n"));
    format!("{id}data: {data}\n\n").into_bytes()
}

/// Sends the end of a stream after its last token.
pub(super) fn finish_stream(body: &mut server::Body, chat: &Chat, cached: u64) -> io::Result<()> {
    let last = chat.chunk(&json!({}), Some("stop"));
    body.send(&sse_event(Some(chat.answer_tokens + 1), &last.to_string()))?;
    if chat.include_usage {
        body.send(&sse_event(
            Some(chat.answer_tokens + 2),
            &chat.usage_chunk(cached).to_string(),
        ))?;
    }
    body.send(&sse_event(None, "[DONE]"))
}
