//! Small stand-ins for the platform, the engines and the services, for tests and the demo.
//!
//! Each stand-in is a server on a loopback address with its own threads, so that many can run in
//! one process. `close` ends the threads. The faults of the HTTP stand-ins outside [`platform`] are
//! set with `set_faults` and, where a stand-in supports it, in its settings or with `POST /faults`.
//! [`relay`] injects network faults.

pub mod engine;
pub mod host_list_server;
pub mod keyvalue;
pub mod platform;
pub mod port;
pub mod relay;
mod server;
pub mod service;
mod sync;
pub mod weight_store;
