//! Small stand-ins for the platform, the engines and the services, for tests and the demo.
//!
//! Each stand-in is an HTTP server on a loopback address with its own threads, so that many run in
//! one process. Its faults are switched on through its settings, through its struct, or through
//! `POST /faults`. `close` ends its threads.

pub mod engine;
pub mod host_list_server;
pub mod keyvalue;
pub mod platform;
pub mod relay;
mod server;
pub mod service;
mod sync;
pub mod weight_store;
