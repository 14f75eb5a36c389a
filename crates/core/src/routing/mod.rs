//! Routing of requests through the hosts that own the endpoints.
//!
//! - [`candidates`] ranks the endpoints of a chat, and [`rendezvous`] is the hash behind that rank
//!   and behind the ownership of endpoints.
//! - [`bound`] keeps the load of each endpoint within a multiple of the mean. [`report`] and
//!   [`pacer`] are the load reports between hosts and their rate, and [`handover`] moves the
//!   ownership of an endpoint from one host to another.
//! - [`cache`] tracks the prefixes that an endpoint probably holds, and [`chat_locations`] the
//!   chats that are not at their first candidate.
//! - [`spill`] decides between waiting for the holder of a prefix and another endpoint, with or
//!   without an import of the prefix. [`work`] estimates the load of a request.
//! - [`router`] combines these for one host and target.

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
