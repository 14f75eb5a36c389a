//! Frames of an answer, as the hop that assembles the answer receives them.

use std::time::Duration;

use bytes::Bytes;

use crate::{outcome, reason, request, units};

/// Part of an answer, with the ids of its request and attempt.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Frame {
    /// Id of the request that the frame answers.
    pub request: request::RequestId,
    /// Number of the attempt that the frame answers.
    pub attempt: u8,
    /// The part of the answer.
    pub part: Part,
}

/// Status and content type of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// HTTP status of the endpoint.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Bytes,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Part {
    /// The owner added the request to the endpoint's queue.
    Queued,
    /// The owner is about to send the request to the endpoint.
    Dispatched,
    /// Head of the endpoint's answer.
    Head(Head),
    /// Chunk of the answer's body.
    Chunk {
        /// Number of the chunk in its attempt, from 0.
        seq: u32,
        /// Id of the event that the chunk ends with, or `None` if it ends inside an event.
        event: Option<u32>,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// The answer is complete.
    End {
        /// Number of chunks sent in this attempt.
        chunks: u32,
        /// Bytes sent in this attempt.
        bytes: u64,
        /// Tokens used, as the endpoint reports them.
        used: Option<units::Tokens>,
    },
    /// The attempt ended without a complete answer.
    Failed {
        /// Why the attempt failed.
        reason: reason::Refusal,
        /// Whether the request ran, as far as the sender knows.
        outcome: outcome::Outcome,
        /// Delay after which another attempt may be made.
        retry_after: Option<Duration>,
    },
}
