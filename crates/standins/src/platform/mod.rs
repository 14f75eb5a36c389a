//! Stand-ins of the users' platform: its store, and endpoints that speak its dialect.
//!
//! Each runs on a thread with an executor of its own. They know no more of the platform than the
//! tests need.

pub mod caller;
pub mod endpoint;
mod http;
pub mod records;
pub mod store;
