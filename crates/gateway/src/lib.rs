//! An entry host on a platform: it takes callers' requests and calls endpoints directly.
//!
//! Two threads run it. The [`control`] thread keeps what the host believes: the catalog, the
//! endpoints and the other hosts, from the store and from the links between hosts. It publishes
//! them as an immutable [`shared::View`]. The [`traffic`] thread serves every connection and
//! decides on the view and on its own counts, so no request crosses a thread.
//!
//! The platform itself is met through [`adapter`], which an adapter implements.

pub mod adapter;
pub mod admin;
pub mod control;
pub mod events;
pub mod gateway;
pub mod http_client;
pub mod settings;
pub mod shared;
pub mod sockets;
pub mod traffic;
