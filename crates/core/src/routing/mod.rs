//! Choice of an endpoint for each request.
//!
//! [`candidates`] gives the endpoints of a chat in order of preference. [`rendezvous`] is the
//! hash behind that order and behind the ownership of endpoints. [`bound`] keeps the load of each
//! endpoint within a multiple of the mean. [`cache`] knows which prefixes an endpoint probably
//! holds, and [`spill`] weighs waiting for the holder against spilling with or without an import.
//! [`work`] estimates what a request costs, and [`router`] puts these together for one host.

pub mod bound;
pub mod cache;
pub mod candidates;
pub mod chat_locations;
pub mod handover;
pub mod lru;
pub mod pacer;
pub mod rendezvous;
pub mod report;
pub mod router;
pub mod spill;
pub mod work;
