//! Settings of the membership, and what it asks its surroundings to do.

use std::time::Duration;

use smallvec::SmallVec;

use crate::entity;
use crate::membership::Probe;

/// Settings of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two probes of a neighbour.
    pub probe_period: Duration,
    /// Neighbours that are probed.
    pub probed_neighbours: usize,
    /// Probes in a row that a neighbour misses before it is suspected.
    pub max_missed_probes: u32,
    /// Time in which a suspicion can be refuted.
    pub suspicion_timeout: Duration,
    /// Shortest time between two pushes of new updates.
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

/// What has to be done after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a probe. Its end is told by [`Membership::handle_answer`] or [`Membership::handle_probe_failure`].
    SendProbe {
        /// Host to probe.
        to: entity::HostId,
        /// The probe.
        probe: Probe,
    },
    /// A host starts or stops taking new work.
    HostChanged {
        /// The host.
        host: entity::HostId,
        /// Whether it takes new work.
        usable: bool,
    },
    /// An endpoint starts or stops leaving.
    EndpointChanged {
        /// The endpoint.
        endpoint: entity::EndpointId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A failure domain becomes or stops being reachable from this host.
    DomainChanged {
        /// The domain.
        domain: entity::DomainId,
        /// Whether it can be reached.
        reachable: bool,
    },
}

/// Effects of one event.
pub type Effects = SmallVec<[Effect; 4]>;
