//! Limits of plans, shared out over the fleet so that the shares never sum above the plan.

mod terms;

pub use terms::{BURST, request_burst, token_burst};
