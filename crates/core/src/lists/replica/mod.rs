//! Replication of the two lists to every host.
//!
//! Each host has a [`Replica`]. The version in force on a host is the one that it applies to
//! requests. Two hosts of each domain, the watchers, watch the store. A host
//! that receives a new delta forwards it at once to a few peers of its domain, which are selected
//! such that a delta reaches the whole domain in a logarithmic number of hops. Once a second, each
//! host announces its version to one peer (anti-entropy), and watchers also to a watcher of another
//! domain. Whichever of the two is behind gets the deltas that it lacks, or a snapshot if the other
//! no longer has them.
//!
//! Versions are totally ordered and a replica only changes to a larger one, so that messages may be
//! lost, duplicated, delayed or reordered. A store that was restored from an older backup is behind
//! the replicas. If this lasts, a watcher repairs the store: it writes the lists back at a new
//! revision.
//!
//! A starting host queries the store and several peers, adopts the largest version, and is ready
//! only once it has one.

mod confirm;
mod exchange;
mod log;
mod start;
mod state;
mod view;

pub use confirm::{DomainReach, DomainStatus};
pub use state::{Effect, Effects, Replica, StoreAnswer};
pub use view::View;
