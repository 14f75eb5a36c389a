//! Requests of callers that a host without endpoints passes to another host.
//!
//! A request passes one host at most: one that comes from another host is only sent to endpoints.
//! [`client`] passes requests on, [`server`] serves those of other hosts.

mod client;
mod server;

pub(super) use client::{Forwarder, HostStream, execute};
pub(super) use server::serve;

use bytes::Bytes;
use pistachiochute_core::catalog;
use pistachiochute_core::time;

/// A request that another host has passed on, as it arrives at the links of this one.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Head and frames of the request.
    pub body: h2::RecvStream,
    /// Takes the answer.
    pub respond: h2::server::SendResponse<Bytes>,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another host, on these terms.
    Host(Terms),
}

/// Terms on which another host passes a request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Terms {
    /// Deadline of the request.
    pub deadline: time::Time,
    /// Number of endpoints that it may be sent to.
    pub attempts: u32,
    /// Oldest catalog by which it may be routed.
    pub catalog: catalog::Version,
    /// Id of the last event that the caller has received, if the other host resumes a stream that the
    /// request began.
    pub after_event: Option<u64>,
}
