//! Answers, retries and actions under faults.
//!
//! [`search`] tries every order of the steps of a small trial of the journal, [`schedules`] tries
//! long random orders of a larger one, and [`load`] runs the journal at the size to design for.
//! [`answers`] sends answers over a faulty network, and [`outage`] counts attempts at an outage.

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
