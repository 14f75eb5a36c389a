//! Head of a request that one host forwards to another. The response is a sequence of
//! [`answer::Frame`](pistachiochute_core::answer::Frame)s.

use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::{entity, name, request, revision, units};

/// Head of a request that an entry host forwards to the host that owns an endpoint. Encoded by
/// position: the order of fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Forward {
    /// Id of the request, the same on every hop.
    pub request: request::RequestId,
    /// Number of the attempt, starting at 0.
    pub attempt: u8,
    /// Number of hosts that have forwarded the request.
    pub hops: u8,
    /// Entry host that sends the request.
    pub from: entity::HostId,
    /// Endpoint that is to run the request.
    pub endpoint: entity::EndpointId,
    /// Account that the request is charged to.
    pub account: name::AccountName,
    /// Weight of the account in fair queueing, from its plan.
    pub weight: u32,
    /// Priority for the engine, from the plan of the account. Larger is more urgent.
    pub priority: u8,
    /// Model or service that is requested.
    pub target: request::Target,
    /// Chat that the request belongs to, if any.
    pub chat: Option<request::ChatKey>,
    /// Whether the request may be sent again although an earlier attempt may have run.
    #[serde(rename = "repeat")]
    pub idempotency: request::Idempotency,
    /// Idempotency key that the caller sent.
    #[serde(rename = "key")]
    pub idempotency_key: Option<uuid::Uuid>,
    /// Estimated cost of prompt and answer together, in tokens.
    pub cost: units::Tokens,
    /// Estimated length of the prompt, in tokens.
    pub prompt: units::Tokens,
    /// Time until the deadline of the request when it is sent.
    pub remaining: Duration,
    /// Whether the request may wait in the queue of the endpoint.
    pub may_queue: bool,
    /// Id of the last event that the caller has received, if an interrupted stream is resumed.
    pub resume_after: Option<u32>,
    /// Whether the caller requested a stream of events.
    pub stream: bool,
    /// Method of the request to the endpoint.
    pub method: Method,
    /// Path and query of the request to the endpoint.
    pub path: Bytes,
    /// Content type of the body.
    pub content_type: Bytes,
    /// Length of the body that follows the frame, in bytes.
    pub body_len: u64,
    /// Revision of the lists that admitted the request.
    pub revision: revision::Revision,
    /// Loads of the endpoints that the sender owns. They keep the receiver's mean load of the pool
    /// up to date.
    pub loads: smallvec::SmallVec<[LoadView; 4]>,
}

/// HTTP methods that are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Method {
    /// GET, without a body.
    Get,
    /// POST, for every other call.
    Post,
}

/// Load of an endpoint, as its owner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadView {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Work in flight and queued at the endpoint: estimated tokens of an engine, or calls of a
    /// service.
    pub load: u64,
    /// Age of the value at the sender, in milliseconds.
    pub age_ms: u32,
}
