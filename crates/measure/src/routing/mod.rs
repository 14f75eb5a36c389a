//! Measurement of routing: cache reuse, skew and remapped chats, on the traces of two deployments
//! and of the size to design for.
//!
//! The fleet is run at the level of decisions: every host has the routing state of
//! `pistachiochute-core`, messages have a delay, and an endpoint is a load and a prefix store. The
//! baselines get the same trace with exact and immediate loads.

mod churn;
mod faults;
mod fleet;
mod growth;
mod health;
mod plain;
mod readings;
mod remap;
mod store;
mod tally;
mod world;

use std::thread;
use std::time::Duration;

use crate::{figure, traces};

/// Runs over one deployment.
struct Runs {
    deployment: traces::Deployment,
    oracle: u64,
    oracle_churn: u64,
    calm: tally::Tally,
    churn: tally::Tally,
    /// Two hosts own some endpoints at times. Not run at the size to design for.
    two_owners: Option<tally::Tally>,
    baselines: Vec<(plain::Policy, tally::Tally)>,
    /// Runs with other weights of reuse against even load.
    curve: Vec<(f64, tally::Tally)>,
}

/// Weights of reuse at which the curve is measured.
const CURVE: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];

/// Runs the measurement of routing.
///
/// # Errors
///
/// Returns an error if a run panics.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let runs = thread::scope(|scope| {
        let deployments = [traces::DESIGN, traces::LOMBARDY, traces::BOCAGE];
        let handles = deployments.map(|deployment| scope.spawn(move || run_deployment(deployment)));
        handles
            .into_iter()
            .map(join)
            .collect::<eyre::Result<Vec<Runs>>>()
    })?;
    let mut readings: Vec<_> = runs.iter().flat_map(readings::of_deployment).collect();
    readings.extend(readings::over_all(&runs));
    readings.push(figure::Reading {
        name: "remap_factor",
        value: remap::factor(20),
        unit: "1/n of the chats",
        baseline: None,
    });
    readings.push(growth::reading());
    readings.extend(health::readings());
    Ok(readings)
}

fn join<T>(handle: thread::ScopedJoinHandle<'_, T>) -> eyre::Result<T> {
    handle.join().map_err(|_| eyre::eyre!("a run panicked"))
}

fn run_deployment(deployment: traces::Deployment) -> Runs {
    let trace = traces::generate(&deployment);
    let departures = churn::departures(&deployment);
    let length = Duration::from_secs_f64(deployment.length_s);
    let calm = faults::Faults::default();
    let small = deployment.domains > 1;
    let two_owners = small.then(|| {
        let faults = faults::Faults::two_owners(deployment.hosts, length);
        fleet::run(&deployment, &trace, &[], faults)
    });
    let at = |reuse| {
        let deployment = traces::Deployment {
            reuse,
            ..deployment
        };
        fleet::run(&deployment, &trace, &[], faults::Faults::default())
    };
    let weights = CURVE.into_iter().filter(|_| small);
    Runs {
        deployment,
        oracle: plain::oracle(&deployment, &trace, &[]),
        oracle_churn: plain::oracle(&deployment, &trace, &departures),
        calm: fleet::run(&deployment, &trace, &[], calm.clone()),
        churn: fleet::run(&deployment, &trace, &departures, calm),
        two_owners,
        baselines: plain::Policy::ALL
            .into_iter()
            .map(|policy| (policy, plain::run(policy, &deployment, &trace)))
            .collect(),
        curve: weights.map(|weight| (weight, at(weight))).collect(),
    }
}
