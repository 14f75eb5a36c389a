//! Control traffic of the membership, and the time until a leaving endpoint gets no new work.

mod mesh;

use std::time::Duration;

use pistachiochute_core::{entity, entity::Entity as _, membership};

use crate::figure;

/// Time that is counted, after the start has settled.
const COUNTED: Duration = Duration::from_secs(60);

/// Time in which the start settles.
const SETTLE: Duration = Duration::from_secs(5);

/// Time between two hosts that leave while bytes are counted. One in 10 s is twenty times the
/// churn of the size to design for.
const CHURN: Duration = Duration::from_secs(10);

/// Seeds for which the spread of a leaving endpoint is timed.
const SEEDS: u64 = 40;

/// Messages that are lost while the spread is timed, as a fraction.
const LOSS: f64 = 0.05;

/// Longest time for which a spread is followed.
const FOLLOWED: Duration = Duration::from_secs(60);

/// Shape of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Regions.
    pub regions: usize,
    /// Failure domains of each region.
    pub domains: usize,
    /// Hosts of each domain.
    pub hosts: usize,
}

impl Fleet {
    /// Number of hosts.
    #[must_use]
    pub const fn len(self) -> usize {
        self.regions * self.domains * self.hosts
    }

    /// Whether the fleet has no host.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.len() == 0
    }
}

/// Today's deployments: eight hosts over three domains, rounded up.
const TODAY: Fleet = Fleet {
    regions: 1,
    domains: 3,
    hosts: 3,
};

/// One domain of the size to design for.
const DOMAIN: Fleet = Fleet {
    regions: 1,
    domains: 1,
    hosts: 52,
};

/// The size to design for: 424 hosts in two regions of four domains.
const DESIGN: Fleet = Fleet {
    regions: 2,
    domains: 4,
    hosts: 53,
};

/// Counts the control traffic and times the spread of a leaving endpoint.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    Ok(vec![
        bytes("control_bytes_per_host_s_8", TODAY)?,
        bytes("control_bytes_per_host_s_52", DOMAIN)?,
        bytes("control_bytes_per_host_s_420", DESIGN)?,
        leaving()?,
    ])
}

/// Bytes a second of the busiest host in its busier direction, in a fleet with churn.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn bytes_per_host_s(fleet: Fleet) -> eyre::Result<f64> {
    let mut mesh = mesh::Mesh::new(fleet, membership::Config::default(), 1, 0.0);
    mesh.run(SETTLE)?;
    mesh.reset_traffic();
    let mut left = COUNTED;
    let mut leaver = 0;
    while !left.is_zero() {
        mesh.leave(leaver);
        leaver += 1;
        mesh.run(CHURN)?;
        left = left.saturating_sub(CHURN);
    }
    Ok(mesh.busiest_bytes() as f64 / COUNTED.as_secs_f64())
}

/// The baseline is a probe of every host of the fleet by every other each second.
fn bytes(name: &'static str, fleet: Fleet) -> eyre::Result<figure::Reading> {
    let others = (fleet.len() - 1) as f64;
    Ok(figure::Reading {
        name,
        value: bytes_per_host_s(fleet)?,
        unit: "B/s",
        baseline: Some(others * mesh::empty_exchange_bytes()? as f64),
    })
}

/// The baseline is the spread by the periodic probes alone.
fn leaving() -> eyre::Result<figure::Reading> {
    let pushed = membership::Config::default();
    let periodic = membership::Config {
        min_push_interval: FOLLOWED,
        ..pushed
    };
    Ok(figure::Reading {
        name: "leaving_new_work_s_max",
        value: slowest_spread(pushed)?,
        unit: "s",
        baseline: Some(slowest_spread(periodic)?),
    })
}

/// Longest time over the seeds until every host of a domain knows that an endpoint leaves.
fn slowest_spread(cfg: membership::Config) -> eyre::Result<f64> {
    let endpoint = entity::EndpointId::from_index(0);
    let mut slowest = Duration::ZERO;
    for seed in 0..SEEDS {
        let mut mesh = mesh::Mesh::new(DOMAIN, cfg, seed, LOSS);
        mesh.run(SETTLE)?;
        mesh.endpoint_leaves(seed as usize % DOMAIN.len(), endpoint);
        let mut spread = Duration::ZERO;
        while !mesh.all_know_leaving(endpoint) && spread < FOLLOWED {
            mesh.run(mesh::STEP)?;
            spread += mesh::STEP;
        }
        slowest = slowest.max(spread);
    }
    Ok(slowest.as_secs_f64())
}
