//! Messages between the hosts of the fleet, and their codec.
//!
//! Hosts exchange them over HTTP/2. A forwarded request is one stream: the request body is a
//! [`forward::Forward`] frame followed by the caller's body, and the response body is a sequence of
//! [`answer::Frame`](pistachiochute_core::answer::Frame)s. A [`control::Message`] is one stream
//! with one frame in each direction. [`peer::Message`]s are frames on one long-lived stream in each
//! direction. A request that a host without endpoints passes on is described in [`forwarded`].
//! [`datagram::Datagram`]s travel over UDP.

pub mod catalog_parts;
pub mod codec;
pub mod control;
pub mod datagram;
pub mod forward;
pub mod forwarded;
pub mod frames;
pub mod peer;
