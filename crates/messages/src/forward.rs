//! Message of a forwarded request. Its answer is a sequence of
//! [`answer::Frame`](pistachiochute_core::answer::Frame)s.

use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::{entity, name, request, revision, units};

/// Head of a request that an entry host forwards to the owner of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Forward {
    /// Id of the request on every hop.
    pub request: request::RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// Number of hosts that the request has passed through.
    pub hops: u8,
    /// Entry host that sends the request.
    pub from: entity::HostId,
    /// Endpoint that the request is for.
    pub endpoint: entity::EndpointId,
    /// Account that the request is charged to.
    pub account: name::AccountName,
    /// Weight of the account in fair queueing, from its plan.
    pub weight: u32,
    /// Priority that is passed to the engine, from the plan; larger is more urgent.
    pub priority: u8,
    /// Model or service.
    pub target: request::Target,
    /// Chat of the request, if it has one.
    pub chat: Option<request::ChatKey>,
    /// Whether the request may be sent again after it may have run.
    pub idempotency: request::Idempotency,
    /// Idempotency key of the caller.
    pub idempotency_key: Option<uuid::Uuid>,
    /// Estimated work in tokens, prompt and answer.
    pub cost: units::Tokens,
    /// Estimated tokens of the prompt.
    pub prompt: units::Tokens,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Whether the request may wait in the queue of the endpoint.
    pub may_queue: bool,
    /// Event id after which a cut stream is resumed.
    pub resume_after: Option<u32>,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    /// Method at the endpoint.
    pub method: Method,
    /// Path and query at the endpoint.
    pub path: Bytes,
    /// Content type of the body.
    pub content_type: Bytes,
    /// Length of the body that follows the frame, in bytes.
    pub body_len: u64,
    /// Revision of the lists that admitted the request.
    pub revision: revision::Revision,
    /// Load of the endpoints that the sender owns, which keeps the owner's mean fresh.
    pub loads: smallvec::SmallVec<[LoadView; 4]>,
}

/// HTTP methods that are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Method {
    /// A read, which has no body.
    Get,
    /// Any other call.
    Post,
}

/// Load of the endpoints of one pool that one host owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadView {
    /// Endpoint that the load is of.
    pub endpoint: entity::EndpointId,
    /// Work in flight and queued at the endpoint, in estimated tokens or calls.
    pub load: u64,
    /// Age of the reading at the sender, in milliseconds.
    pub age_ms: u32,
}
