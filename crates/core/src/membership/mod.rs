//! Which hosts and endpoints take new work, as one host sees it.
//!
//! The platform's host list is the base, but it lags behind. On top of it, each host probes a few
//! neighbours on a ring of the hosts of its failure domain, and one host of each other domain of
//! its region in turn. Probes and their answers carry [`Update`]s: the status of a host or
//! endpoint with an incarnation number that only its subject raises (for an endpoint, its owner).
//! Of two updates about a subject, the one that supersedes the other wins, so the order of arrival
//! does not matter.
//!
//! A neighbour that misses probes is suspected, and is marked down if it does not refute the
//! suspicion in time. A new update is pushed at once to hosts at doubling distances on the ring,
//! and repeated in the next probes, so that the whole domain learns that a host or endpoint is
//! leaving long before the host list shows it. A host or endpoint that changes state repeatedly
//! is suppressed by [`FlapDamping`] until it has been stable for a while.
//!
//! Views of different hosts may disagree for seconds. No safety property depends on their
//! agreement: an owner refuses work before running it, and a second owner starts from the load
//! that the endpoint itself reports.

mod damping;
mod effect;
mod gossip;
pub mod load_reports;
mod machine;
mod member;
mod message;
pub mod overlay;
mod reachability;
pub mod registration;
mod ring;
pub mod roster;

pub use damping::FlapDamping;
pub use effect::{Config, Effect, Effects};
pub use machine::Membership;
pub use message::{Probe, Status, Subject, Update};
