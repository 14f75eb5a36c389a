//! Messages between the hosts of the fleet, and their codec.
//!
//! Hosts speak h2. A forwarded request is one stream: the request body is a [`forward::Forward`]
//! frame followed by the caller's body, and the response body is a sequence of
//! [`answer::Frame`](pistachiochute_core::answer::Frame)s. A [`control::Message`] is one stream, a frame in each direction.

pub mod codec;
pub mod control;
pub mod forward;
pub mod peer;
