//! A caller's request, checked and ready to be routed.

use bytes::Bytes;
use pistachiochute_core::{lists, request, time, units};
use pistachiochute_messages::forward;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Digest of the caller's API key.
    pub key_digest: lists::KeyDigest,
    /// Model or service.
    pub target: request::Target,
    /// Method at the endpoint.
    pub method: forward::Method,
    /// Path and query at the endpoint.
    pub path: Bytes,
    /// Content type of the body.
    pub content_type: Bytes,
    /// The body.
    pub body: Bytes,
    /// The caller's name of the chat, or a stand-in for it made from the start of the chat.
    pub chat: Option<Bytes>,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    /// Whether the request may be sent again after it may have run.
    pub idempotency: request::Idempotency,
    /// Idempotency key.
    pub idempotency_key: Option<uuid::Uuid>,
    /// Estimated tokens of the prompt.
    pub prompt: units::Tokens,
    /// Longest answer that the caller asked for, in tokens.
    pub longest_answer: Option<units::Tokens>,
    /// Time at which the request arrived.
    pub arrived: time::Time,
}
