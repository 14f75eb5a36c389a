//! Sockets, threads and timers round the decisions of pistachiochute-core.

pub mod log;
pub mod metrics;
pub mod settings;
