//! Control traffic of the membership, and the time until a leaving endpoint gets no new work.

mod simulation;

use std::time::Duration;

use pistachiochute_core::{entity, entity::Entity as _, membership};

use crate::figure;

/// Time that is counted, after the start has settled.
const COUNTING_PERIOD: Duration = Duration::from_secs(60);

/// Time in which the start settles.
const WARM_UP: Duration = Duration::from_secs(5);

/// Time between two hosts that leave while bytes are counted. One in 10 s is twenty times the
/// churn of the size to design for.
const LEAVE_INTERVAL: Duration = Duration::from_secs(10);

/// Seeds for which the spread of a leaving endpoint is timed.
const SEED_COUNT: u64 = 40;

/// Messages that are lost while the spread is timed, as a fraction.
const LOSS_PROBABILITY: f64 = 0.05;

/// Longest time for which a spread is followed.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);

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
const CURRENT_SIZE: Fleet = Fleet {
    regions: 1,
    domains: 3,
    hosts: 3,
};

/// One domain of the size to design for.
const ONE_DOMAIN: Fleet = Fleet {
    regions: 1,
    domains: 1,
    hosts: 52,
};

/// The size to design for: 424 hosts in two regions of four domains.
const DESIGN_SIZE: Fleet = Fleet {
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
        control_bytes_reading("control_bytes_per_host_s_8", CURRENT_SIZE)?,
        control_bytes_reading("control_bytes_per_host_s_52", ONE_DOMAIN)?,
        control_bytes_reading("control_bytes_per_host_s_420", DESIGN_SIZE)?,
        leaving_reading()?,
    ])
}

/// Bytes a second of the busiest host in its busier direction, in a fleet with churn.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn bytes_per_host_s(fleet: Fleet) -> eyre::Result<f64> {
    let mut simulation = simulation::Simulation::new(fleet, membership::Config::default(), 1, 0.0);
    simulation.run(WARM_UP)?;
    simulation.reset_traffic();
    let mut remaining = COUNTING_PERIOD;
    let mut leaving_host = 0;
    while !remaining.is_zero() {
        simulation.start_host_leave(leaving_host);
        leaving_host += 1;
        simulation.run(LEAVE_INTERVAL)?;
        remaining = remaining.saturating_sub(LEAVE_INTERVAL);
    }
    Ok(simulation.busiest_bytes() as f64 / COUNTING_PERIOD.as_secs_f64())
}

/// The baseline is a probe of every host of the fleet by every other each second.
fn control_bytes_reading(name: &'static str, fleet: Fleet) -> eyre::Result<figure::Reading> {
    let others = (fleet.len() - 1) as f64;
    Ok(figure::Reading {
        name,
        value: bytes_per_host_s(fleet)?,
        unit: "B/s",
        baseline: Some(others * simulation::empty_exchange_bytes()? as f64),
    })
}

/// The baseline is the spread by the periodic probes alone.
fn leaving_reading() -> eyre::Result<figure::Reading> {
    let push_config = membership::Config::default();
    let periodic_config = membership::Config {
        min_push_interval: PROPAGATION_TIMEOUT,
        ..push_config
    };
    Ok(figure::Reading {
        name: "leaving_new_work_s_max",
        value: max_propagation_time_s(push_config)?,
        unit: "s",
        baseline: Some(max_propagation_time_s(periodic_config)?),
    })
}

/// Longest time over the seeds until every host of a domain knows that an endpoint leaves.
fn max_propagation_time_s(cfg: membership::Config) -> eyre::Result<f64> {
    let endpoint = entity::EndpointId::from_index(0);
    let mut slowest = Duration::ZERO;
    for seed in 0..SEED_COUNT {
        let mut simulation = simulation::Simulation::new(ONE_DOMAIN, cfg, seed, LOSS_PROBABILITY);
        simulation.run(WARM_UP)?;
        simulation.start_endpoint_leave(seed as usize % ONE_DOMAIN.len(), endpoint);
        let mut elapsed = Duration::ZERO;
        while !simulation.all_hosts_see_leaving(endpoint) && elapsed < PROPAGATION_TIMEOUT {
            simulation.run(simulation::STEP)?;
            elapsed += simulation::STEP;
        }
        slowest = slowest.max(elapsed);
    }
    Ok(slowest.as_secs_f64())
}
