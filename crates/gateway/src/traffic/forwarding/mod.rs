//! Requests of callers that a host without endpoints passes to another host.
//!
//! A request passes one host at most: one that comes from another host is only sent to endpoints.
//! [`client`] passes requests on, [`server`] serves those of other hosts.

mod client;
mod server;

pub(super) use client::{Forwarder, HostStream, execute};
pub(super) use server::serve;

use bytes::Bytes;
use pistachiochute_core::{catalog, streams, time};
use pistachiochute_messages::forwarded;

/// Form of the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A [`forwarded::Head`].
    Head,
    /// A [`forwarded::Resumption`].
    Resumption,
}

impl Form {
    /// Form of the requests that come on a path, or `None` if the path is that of a link.
    #[must_use]
    pub fn of_path(path: &str) -> Option<Self> {
        match path {
            forwarded::PATH => Some(Self::Head),
            forwarded::RESUMPTION_PATH => Some(Self::Resumption),
            _ => None,
        }
    }
}

/// A request that another host has passed on, as it arrives at the links of this one.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Form of the head.
    pub form: Form,
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

impl Origin {
    /// Software version at which the stream goes on, if the host that passes the request on has determined it.
    pub(super) const fn version(self) -> Option<streams::VersionTag> {
        match self {
            Self::Caller => None,
            Self::Host(terms) => terms.version,
        }
    }
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
    /// Software version at which the stream goes on, if the other host has determined it.
    pub version: Option<streams::VersionTag>,
}
