//! Stand-ins for the users' platform: its store, endpoints that use its protocol, and callers.
//!
//! Each server runs on its own thread with its own executor. Only the parts of the platform that
//! the tests need are implemented.

pub mod caller;
pub mod endpoint;
mod http;
pub mod raw_endpoint;
pub mod records;
pub mod store;
pub mod stream_caller;
