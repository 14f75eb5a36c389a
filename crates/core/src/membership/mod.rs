//! Which hosts and endpoints take new work, as one host sees it.
//!
//! The platform's host list is the base and lags. On top of it, each host probes a few neighbours
//! on a ring of the hosts of its failure domain, and one host of each other domain of its region
//! in turn. Probes and their answers carry [`Update`]s: what is known of a host or endpoint, with
//! an incarnation number that only its subject raises (for an endpoint, its owner). The update
//! that supersedes the other wins, so the order of arrival does not matter.
//!
//! A neighbour that misses probes is suspected, and is down if it does not refute the suspicion
//! in time. An update that is new to a host is pushed at once to hosts at doubling distances on
//! the ring, and repeated on its next probes, so that leaving is known in the whole domain long
//! before the host list shows it. A host or endpoint that comes and goes is held out until it has
//! been steady for a while.
//!
//! Hosts may disagree for seconds. Nothing that must hold depends on their agreement: an owner
//! refuses work before running it, and a second owner starts from the endpoint's own load.

mod damping;
mod effect;
mod gossip;
pub mod load_reports;
mod machine;
mod member;
mod message;
pub mod overlay;
mod reachability;
mod ring;
pub mod roster;

pub use damping::FlapDamping;
pub use effect::{Config, Effect, Effects};
pub use machine::Membership;
pub use message::{Probe, Status, Subject, Update};
