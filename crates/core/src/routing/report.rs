//! Load reports between the hosts of a failure domain.

use smallvec::SmallVec;

use crate::entity;

/// Maximum endpoints in each list of a report. Further endpoints are left out and may be in the
/// next report.
pub const MAX_ENTRIES: usize = 64;

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Its load, in the unit of the endpoint's class.
    pub load: u64,
}

/// Loads of one host's endpoints, and its part in handovers with the receiver.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Host that sends it.
    pub from: entity::HostId,
    /// Whether the host sends a report immediately on every change from now on.
    #[serde(rename = "prompt")]
    pub pushes_changes: bool,
    /// Loads of the endpoints that the host owns.
    pub loads: SmallVec<[Load; 4]>,
    /// Endpoints that the host takes over. The answer has the receiver's residual load at them.
    pub claims: SmallVec<[entity::EndpointId; 4]>,
    /// Residual load of the host at endpoints that the receiver claims and that the host does not
    /// own. The host admits no more work to them.
    #[serde(rename = "left")]
    pub residual: SmallVec<[Load; 4]>,
}
