//! Choice of an endpoint for each request.
//!
//! [`candidates`] gives the endpoints of a chat in order of preference. [`rendezvous`] is the
//! hash behind that order and behind the ownership of endpoints.

pub mod candidates;
pub mod rendezvous;
