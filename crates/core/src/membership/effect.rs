//! Settings of the membership, and the effects that its caller must carry out.

use std::time::Duration;

use smallvec::SmallVec;

use crate::entity;
use crate::membership::Probe;

/// Settings of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval between two probes of a neighbour.
    pub probe_period: Duration,
    /// Number of neighbours that are probed.
    pub probed_neighbours: usize,
    /// Consecutive missed probes after which a neighbour is suspected.
    pub max_missed_probes: u32,
    /// Time within which a suspected host can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Minimum interval between two pushes of new updates.
    pub min_push_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probed_neighbours: 3,
            max_missed_probes: 2,
            suspicion_timeout: Duration::from_secs(2),
            min_push_interval: Duration::from_millis(100),
        }
    }
}

/// An action that the caller must take after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a probe, and pass the result to
    /// [`Membership::handle_answer`](super::Membership::handle_answer) or
    /// [`Membership::handle_probe_failure`](super::Membership::handle_probe_failure).
    SendProbe {
        /// Host to probe.
        to: entity::HostId,
        /// The probe.
        probe: Probe,
    },
    /// A host started or stopped taking new work.
    HostChanged {
        /// The host.
        host: entity::HostId,
        /// Whether it takes new work.
        usable: bool,
    },
    /// An endpoint started or stopped leaving.
    EndpointChanged {
        /// The endpoint.
        endpoint: entity::EndpointId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A failure domain became reachable or unreachable from this host.
    DomainChanged {
        /// The domain.
        domain: entity::DomainId,
        /// Whether it can be reached.
        reachable: bool,
    },
}

/// Effects of one event.
pub type Effects = SmallVec<[Effect; 4]>;
