//! Loads that the hosts of a failure domain tell each other.

use smallvec::SmallVec;

use crate::entity;

/// Most endpoints of one kind in a report. A report leaves out what does not fit, and the next
/// one may carry it.
pub const MAX_ENTRIES: usize = 64;

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Its load, in the unit of its pool.
    pub load: u64,
}

/// Loads that one host knows exactly, and what it asks of the receiver.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Host that sends it.
    pub from: entity::HostId,
    /// Whether the host reports every further change at once.
    pub pushes_changes: bool,
    /// Loads of the endpoints that the host owns.
    pub loads: SmallVec<[Load; 4]>,
    /// Endpoints that the host takes over. The answer tells what the receiver left there.
    pub claims: SmallVec<[entity::EndpointId; 4]>,
    /// What the host has in flight at endpoints that the receiver claims and that it does not
    /// own: it admits nothing more to them.
    pub residual: SmallVec<[Load; 4]>,
}
