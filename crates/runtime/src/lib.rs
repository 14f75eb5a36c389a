//! Sockets, threads and timers round the decisions of pistachiochute-core.

pub mod admin;
pub mod clock;
pub mod control;
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
