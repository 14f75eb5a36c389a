//! Limits that endpoints name in their answers: the requests a second that an endpoint takes from all
//! hosts together, for as long as it says so.
//!
//! Hosts tell each other what endpoints name ([`Statements`]). Each host computes its [`share`] of a
//! limit from the live hosts alone, and sends at that pace ([`Pacer`]).

mod pacer;
mod rate;
mod share;
mod statements;

pub use pacer::Pacer;
pub use rate::{ParseRateError, RequestRate};
pub use share::{share, strict_share};
pub use statements::{Statement, Statements};
