//! Answers, retries and actions under faults.

pub mod action;
mod apply;
pub mod scopes;
pub mod search;
pub mod world;
