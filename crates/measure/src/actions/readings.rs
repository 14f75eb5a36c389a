//! Readings of the `actions` group.

use std::thread;

use pistachiochute_core::{journal, retry};

use crate::actions::model::{Scope, Variant};
use crate::actions::{answers, load, outage, schedules, scopes, search};
use crate::figure;

/// Number of random fault schedules of the journal model.
const SCHEDULE_COUNT: u64 = 120_000;

/// Number of requests whose answers are sent over a faulty network.
const ANSWER_COUNT: u64 = 100_000;

const ANSWERS_SEED: u64 = 0xa115;

/// Limit on the states of one search.
const MAX_STATES: u64 = 2_000_000;

/// Request rate at the design size.
const REQUESTS_PER_S: f64 = 4_200.0;

/// Service endpoints at the design size, each owned by another host. Current deployments have 3
/// service endpoints among 23; the same share of 930 endpoints is 121.
const SERVICE_OWNERS: usize = 121;

/// Renewals a second of one lease in the alternative design that is measured for comparison: 3 in
/// a time to live of 10 s.
const LEASE_RENEWALS_PER_S: f64 = 3.0 / 10.0;

/// Writes per action if each key has a stored value of its own: reservation and outcome.
const WRITES_PER_RECORD: f64 = 2.0;

/// Runs the measurements of the group.
///
/// # Errors
///
/// Returns an error if a search finds a violation, reaches its limit on states or panics.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let (explored, tally) = thread::scope(|scope| {
        let large = scope.spawn(|| explore(scopes::LARGE));
        let small = scope.spawn(|| explore(scopes::SMALL));
        let tally = schedules::run(0..SCHEDULE_COUNT, Variant::Sound);
        (
            join(large).and_then(|large| Ok(large + join(small)?)),
            tally,
        )
    });
    let states = explored?;
    let answers = answers::run(ANSWER_COUNT, ANSWERS_SEED);
    let unlimited = retry::BudgetConfig {
        per_request_thousandths: 10_000,
        reserve: 1_000_000,
    };
    let attempts = outage::attempts_per_request(retry::BudgetConfig::default());
    let unlimited = outage::attempts_per_request(unlimited);
    let wrong = answers.invalid + tally.wrong_answers;
    let silent = outage::max_silence_detection_time().as_secs_f64();
    let mut readings = vec![
        reading(
            "runs_per_key_max",
            tally.runs_per_key_max as f64,
            "runs",
            None,
        ),
        reading("fault_schedules", tally.schedules as f64, "schedules", None),
        reading("fault_schedule_runs", tally.runs as f64, "runs", None),
        reading("false_not_run", tally.false_not_run as f64, "answers", None),
        reading("mixed_or_partial_answers", wrong as f64, "answers", None),
        reading("answers_resumed", answers.resumed as f64, "answers", None),
        reading("journal_states_explored", states as f64, "states", None),
        reading(
            "attempts_per_request_outage",
            attempts,
            "attempts",
            Some(unlimited),
        ),
        reading("silent_detection_s", silent, "s", None),
    ];
    readings.extend(journal_load_readings());
    Ok(readings)
}

fn join(handle: thread::ScopedJoinHandle<'_, eyre::Result<u64>>) -> eyre::Result<u64> {
    handle
        .join()
        .map_err(|_| eyre::eyre!("a search panicked"))?
}

/// Searches the scopes and returns the number of states explored.
///
/// # Errors
///
/// Returns an error if a search finds a violation or reaches its limit on states.
fn explore(scopes: &[(&str, Scope)]) -> eyre::Result<u64> {
    let mut states = 0;
    for (name, scope) in scopes {
        let explored = search::search(*scope, Variant::Sound, MAX_STATES);
        if let Some(found) = explored.counterexample {
            eyre::bail!("{name}: {:?} by {:?}", found.violation, found.steps);
        }
        eyre::ensure!(!explored.truncated, "{name}: more than {MAX_STATES} states");
        states += explored.states;
    }
    Ok(states)
}

/// Load of the journal with 1, 5 and 20% of the requests being actions and one writer per slot.
/// The baseline stores one value per key.
fn journal_load_readings() -> Vec<figure::Reading> {
    let cfg = journal::Config::default();
    let at = |share: f64| load::run(cfg, load::Writers::PerSlot, REQUESTS_PER_S * share);
    let record = |share: f64| Some(REQUESTS_PER_S * share * WRITES_PER_RECORD);
    let [one, five, twenty] = [at(0.01), at(0.05), at(0.2)];
    let owners = load::Writers::Owners(SERVICE_OWNERS);
    let owners = load::run(cfg, owners, REQUESTS_PER_S * 0.01);
    let leased_writes_per_s = leased_writes_per_s(0.2);
    let record_ms = Some(load::ROUND_TRIP.as_secs_f64() * 1_000.0);
    vec![
        reading(
            "journal_writes_per_s_1pct",
            one.swaps_per_s,
            "writes/s",
            record(0.01),
        ),
        reading(
            "journal_writes_per_s_5pct",
            five.swaps_per_s,
            "writes/s",
            record(0.05),
        ),
        reading(
            "journal_writes_per_s_20pct",
            twenty.swaps_per_s,
            "writes/s",
            record(0.2),
        ),
        reading(
            "journal_writes_per_s_20pct_leases",
            leased_writes_per_s,
            "writes/s",
            record(0.2),
        ),
        reading(
            "journal_writes_per_s_1pct_every_owner",
            owners.swaps_per_s,
            "writes/s",
            record(0.01),
        ),
        reading(
            "journal_reads_per_s_20pct",
            twenty.reads_per_s,
            "reads/s",
            None,
        ),
        reading(
            "journal_bytes_per_s_20pct",
            twenty.bytes_per_s,
            "bytes/s",
            None,
        ),
        reading(
            "journal_added_latency_ms",
            one.mean_latency_ms,
            "ms",
            record_ms,
        ),
        reading(
            "journal_added_latency_ms_20pct",
            twenty.mean_latency_ms,
            "ms",
            record_ms,
        ),
        reading(
            "journal_added_latency_p99_ms_20pct",
            twenty.p99_latency_ms,
            "ms",
            record_ms,
        ),
        reading(
            "journal_refused",
            (one.refused + five.refused + twenty.refused) as f64,
            "actions",
            None,
        ),
    ]
}

/// Writes a second of a design in which each owner holds a lease on its own shards and commits in
/// groups: the swaps plus the lease renewals.
fn leased_writes_per_s(share: f64) -> f64 {
    let cfg = journal::Config {
        slots: SERVICE_OWNERS as u16,
        ..journal::Config::default()
    };
    let load = load::run(cfg, load::Writers::PerSlot, REQUESTS_PER_S * share);
    load.swaps_per_s + SERVICE_OWNERS as f64 * LEASE_RENEWALS_PER_S
}

const fn reading(
    name: &'static str,
    value: f64,
    unit: &'static str,
    baseline: Option<f64>,
) -> figure::Reading {
    figure::Reading {
        name,
        value,
        unit,
        baseline,
    }
}
