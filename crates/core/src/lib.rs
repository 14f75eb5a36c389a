//! Decision logic of the router fleet, as state machines that do no I/O.
//!
//! Each state machine takes a typed event and the current time, and returns typed effects.
//! `pistachiochute-runtime` and `pistachiochute-gateway` provide the sockets, threads and timers.
//! Replays, property tests and benchmarks run the same code as the daemon.

pub mod admission;
pub mod answer;
pub mod cached_parts;
pub mod call_slots;
pub mod catalog;
pub mod choice;
pub mod directory;
pub mod entity;
pub mod forwarding;
pub mod framing;
pub mod health;
pub mod journal;
pub mod limits;
pub mod lists;
pub mod liveness;
pub mod map;
pub mod membership;
pub mod memory;
pub mod name;
pub mod outcome;
pub mod overload;
pub mod owner;
pub mod pacing;
pub mod permits;
pub mod quarantine;
pub mod queue;
pub mod rate_limits;
pub mod reason;
pub mod request;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod spill;
pub mod sse;
pub mod streams;
pub mod time;
pub mod topology;
pub mod units;
pub mod unread;
