//! Runtime of a host: sockets, threads, timers, settings, logs and metrics.
//!
//! `pistachiochute-core` makes the decisions without any I/O; this crate feeds it events and
//! carries out the effects that it returns.

pub mod admin;
pub mod clock;
pub mod control;
pub mod delimited;
pub mod endpoint;
pub mod entry;
pub mod host;
pub mod http_client;
pub mod journal;
pub mod link;
pub mod listener;
pub mod lists;
pub mod log;
pub mod metrics;
pub mod owner;
pub mod platform;
pub mod settings;
pub mod thread_pool;
pub mod wall_clock;
