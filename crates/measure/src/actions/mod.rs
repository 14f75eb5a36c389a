//! Checks and measurements of the action journal, answer delivery and retries under faults.
//!
//! An action is a request that is not idempotent; the journal runs it at most once per
//! idempotency key.
//!
//! [`search`] explores a small [`model`] of the journal exhaustively, [`schedules`] runs a larger
//! one through long random schedules, and [`load`] simulates the journal at the design size.
//! [`answers`] sends answers over a faulty network, and [`outage`] counts attempts per request
//! during a total outage.

pub mod answers;
mod apply;
pub mod load;
pub mod model;
pub mod outage;
mod readings;
pub mod schedules;
pub mod scopes;
pub mod search;
pub mod step;

pub use readings::run;
