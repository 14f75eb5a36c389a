//! Distribution of the two lists to every host.
//!
//! Each host holds a [`Replica`]. Two hosts of each domain, the watchers, hold a watch on the
//! store. A host that learns of a delta pushes it at once to a few peers of its domain, chosen so
//! that the domain is crossed in a logarithmic number of hops. Once a second each host announces
//! its version to one peer, and watchers also to a watcher of another domain; whichever of the
//! two is behind gets the deltas that it lacks, or the whole lists if it is too far behind.
//!
//! Versions are totally ordered and a replica only moves to a larger one, so that messages may be
//! lost, repeated, late or out of order. A store that was restored from an older copy is behind
//! the replicas; once this has lasted, a watcher writes the lists back under a new revision.
//!
//! A host that starts asks the store and several peers, takes the largest version, and is ready
//! only when it has one.

mod confirm;
mod exchange;
mod log;
mod start;
mod state;
mod view;

pub use confirm::{DomainReach, DomainStatus};
pub use state::{Effect, Effects, Replica, StoreAnswer};
pub use view::View;
