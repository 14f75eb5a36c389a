//! A validated request of a caller.

use bytes::Bytes;
use pistachiochute_core::{lists, request, time, units};
use pistachiochute_messages::forward;

/// A caller's request after validation, with the fields that admission and routing need.
#[derive(Clone, Debug)]
pub struct Call {
    /// Digest of the caller's API key.
    pub key_digest: lists::KeyDigest,
    /// Model or service.
    pub target: request::Target,
    /// HTTP method of the call to the endpoint.
    pub method: forward::Method,
    /// Path and query of the call to the endpoint.
    pub path: Bytes,
    /// Content type of the body.
    pub content_type: Bytes,
    /// The body.
    pub body: Bytes,
    /// Chat id from the caller, or an id derived from the first messages of the chat.
    pub chat: Option<Bytes>,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    /// Whether the request may be repeated after it may already have run.
    pub idempotency: request::Idempotency,
    /// Idempotency key.
    pub idempotency_key: Option<uuid::Uuid>,
    /// Estimated tokens of the prompt.
    pub prompt: units::Tokens,
    /// Limit that the caller set on the answer, in tokens.
    pub longest_answer: Option<units::Tokens>,
    /// Arrival time of the request.
    pub arrived: time::Time,
}
