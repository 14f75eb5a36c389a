//! Decisions of the router fleet, as state machines without input or output.
//!
//! Each machine takes a typed event and the time, and gives back typed effects. Sockets, threads
//! and timers stand round them in `pistachiochute-runtime`. Replays, property tests and benches
//! drive the same code that the daemon runs.

pub mod answer;
pub mod catalog;
pub mod choice;
pub mod directory;
pub mod entity;
pub mod health;
pub mod journal;
pub mod limits;
pub mod lists;
pub mod liveness;
pub mod map;
pub mod membership;
pub mod name;
pub mod outcome;
pub mod owner;
pub mod queue;
pub mod reason;
pub mod request;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod sse;
pub mod time;
pub mod topology;
pub mod units;
