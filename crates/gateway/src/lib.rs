//! Gateway host on a platform: accepts callers' requests and sends them to endpoints directly.
//!
//! A host runs two threads. The [`control`] thread maintains the catalog, the endpoints and the
//! list of hosts from the store and from the links between hosts, and publishes them as an
//! immutable [`shared::View`]. The [`traffic`] thread serves all connections and routes by the
//! view and its own counters, so that no request crosses a thread.
//!
//! The headers and the key-value service of a platform are behind the traits of [`adapter`].

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
