//! Measurements of the membership protocol: its control traffic, and the time until every host
//! knows that an endpoint is leaving and gives it no new work.

mod simulation;

use std::time::Duration;

use pistachiochute_core::{entity, entity::Entity as _, membership};

use crate::figure;

pub(crate) use simulation::{FRAME_HEADER_BYTES, PACKET_HEADER_BYTES};

/// Time in which bytes are counted, after the warm-up.
const COUNTING_PERIOD: Duration = Duration::from_secs(60);

/// Time before the measurement starts, in which the membership stabilizes.
const WARM_UP: Duration = Duration::from_secs(5);

/// Interval between departures of hosts while bytes are counted. One in 10 s is twenty times the
/// expected churn at the design size.
const LEAVE_INTERVAL: Duration = Duration::from_secs(10);

/// Number of seeds for which the propagation of an endpoint's departure is timed.
const SEED_COUNT: u64 = 40;

/// Probability that a message is lost while the propagation is timed.
const LOSS_PROBABILITY: f64 = 0.05;

/// Time after which the simulation stops waiting for the propagation to complete.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of regions.
    pub regions: usize,
    /// Number of failure domains in each region.
    pub domains: usize,
    /// Number of hosts in each failure domain.
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

/// Size of current deployments: eight hosts in three domains, rounded up to three per domain.
const CURRENT_SIZE: Fleet = Fleet {
    regions: 1,
    domains: 3,
    hosts: 3,
};

/// One domain at the design size.
const ONE_DOMAIN: Fleet = Fleet {
    regions: 1,
    domains: 1,
    hosts: 52,
};

/// The design size, rounded up to 424 hosts in two regions of four domains.
const DESIGN_SIZE: Fleet = Fleet {
    regions: 2,
    domains: 4,
    hosts: 53,
};

/// Runs the measurements of the `membership` group.
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

/// Returns the bytes a second of the busiest host in its busier direction, in a fleet with churn.
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

/// Returns the reading of control traffic. In the baseline, every host probes every other host of
/// the fleet each second.
fn control_bytes_reading(name: &'static str, fleet: Fleet) -> eyre::Result<figure::Reading> {
    let others = (fleet.len() - 1) as f64;
    Ok(figure::Reading {
        name,
        value: bytes_per_host_s(fleet)?,
        unit: "B/s",
        baseline: Some(others * simulation::empty_exchange_bytes()? as f64),
    })
}

/// Returns the reading of the time until every host of a domain knows that an endpoint is leaving.
/// In the baseline, only the periodic probes propagate the change.
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

/// Returns the longest time in seconds, over the seeds, until every host of a domain knows that an
/// endpoint is leaving.
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
