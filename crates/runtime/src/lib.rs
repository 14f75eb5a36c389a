//! Sockets, threads and timers round the decisions of pistachiochute-core.

pub mod settings;
