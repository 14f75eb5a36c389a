//! Times at which some hosts wrongly hold a live host for down, so that two hosts own its
//! endpoints.

use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::{entity, time};

/// A live host that some hosts hold for down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The host.
    pub host: entity::HostId,
    /// Start.
    pub from: time::Time,
    /// End.
    pub until: time::Time,
    /// Whether messages between the host and those that suspect it are lost as well.
    pub cut: bool,
}

impl Suspicion {
    /// Whether a host holds the suspicion: every other host by number, but never the host itself.
    #[must_use]
    pub fn is_held_by(&self, host: entity::HostId) -> bool {
        host != self.host && host.index() / 3 % 2 != self.host.index() / 3 % 2
    }
}

/// Suspicions of a run.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    suspicions: Vec<Suspicion>,
}

/// Time between two suspicions.
const INTERVAL: Duration = Duration::from_secs(20);

/// Length of a suspicion; longer than the grace period of a new owner.
const LENGTH: Duration = Duration::from_secs(8);

impl Faults {
    /// Suspicions of each host in turn over a run of `hosts` hosts; every other one with messages
    /// cut.
    #[must_use]
    pub fn two_owners(hosts: usize, length: Duration) -> Self {
        let count = (length.as_secs_f64() / INTERVAL.as_secs_f64()) as u32;
        let suspicions = (1..count).map(|number| {
            let from = time::Time::ZERO + INTERVAL * number;
            Suspicion {
                host: entity::HostId::from_index(number as usize % hosts),
                from,
                until: from + LENGTH,
                cut: number / hosts as u32 % 2 == 1,
            }
        });
        Self {
            suspicions: suspicions.collect(),
        }
    }

    /// Every suspicion.
    #[must_use]
    pub fn suspicions(&self) -> Vec<Suspicion> {
        self.suspicions.clone()
    }

    /// Whether messages between two hosts are lost.
    #[must_use]
    pub fn cut(&self, a: entity::HostId, b: entity::HostId, now: time::Time) -> bool {
        self.suspicions.iter().any(|s| {
            let between = (s.host == a && s.is_held_by(b)) || (s.host == b && s.is_held_by(a));
            s.cut && between && s.from <= now && now < s.until
        })
    }
}
