//! Measurements of rate limits, fair queues and the distribution of lists. The baselines are a
//! static split of the limits over the hosts, FIFO queues and a broadcast of the full lists.

mod distribution;
mod event_queue;
mod fairness;
mod limits;
mod population;

use crate::figure;

/// Runs the measurements of the `lists` group.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let mut readings = limit_readings(&limits::run());
    readings.extend(fairness_readings(&fairness::run()));
    let small = distribution::run(&distribution::SMALL)?;
    let large = distribution::run(&distribution::LARGE)?;
    readings.extend(distribution_readings(&small, &large));
    Ok(readings)
}

fn reading(name: &'static str, value: f64, unit: &'static str) -> figure::Reading {
    figure::Reading {
        name,
        value,
        unit,
        baseline: None,
    }
}

fn with_baseline(reading: figure::Reading, baseline: f64) -> figure::Reading {
    figure::Reading {
        baseline: Some(baseline),
        ..reading
    }
}

fn limit_readings(limits: &limits::LimitUsage) -> Vec<figure::Reading> {
    vec![
        reading(
            "over_admission_requests",
            limits.over_admission[0],
            "requests",
        ),
        reading("over_admission_tokens", limits.over_admission[1], "tokens"),
        with_baseline(
            reading("limit_use_ratio", limits.use_ratio, "ratio"),
            limits.static_split_ratio,
        ),
        reading(
            "limit_use_ratio_mean_account",
            limits.mean_use_ratio,
            "ratio",
        ),
        reading(
            "limit_use_ratio_worst_account",
            limits.min_use_ratio,
            "ratio",
        ),
        reading("limit_bytes_per_host_s_420", limits.bytes_per_host_s, "B/s"),
        reading("limit_store_reads_per_s_420", limits.store_reads_s, "1/s"),
        reading("limit_store_writes_per_s_420", limits.store_writes_s, "1/s"),
    ]
}

fn fairness_readings(fairness: &fairness::Fairness) -> Vec<figure::Reading> {
    let unit = "largest requests";
    let gap = reading("service_gap_requests", fairness.gap, unit);
    let wait = reading("idle_account_wait_ratio", fairness.idle_wait_ratio, "ratio");
    vec![
        with_baseline(gap, fairness.gap_fifo),
        reading(
            "service_gap_corrected_requests",
            fairness.gap_corrected,
            unit,
        ),
        reading("service_gap_joining_requests", fairness.gap_joining, unit),
        with_baseline(wait, fairness.idle_wait_ratio_fifo),
    ]
}

fn distribution_readings(
    small: &distribution::Distribution,
    large: &distribution::Distribution,
) -> Vec<figure::Reading> {
    let bytes = reading("list_bytes_per_host_s_420", large.bytes_per_host_s, "B/s");
    vec![
        reading("in_force_s_8", small.in_force_s, "s"),
        reading("in_force_s_420", large.in_force_s, "s"),
        with_baseline(bytes, large.broadcast_bytes_per_host_s),
        reading(
            "list_bytes_busiest_host_s_420",
            large.busiest_bytes_s,
            "B/s",
        ),
        reading("store_reads_per_s_8", small.store_reads_s, "1/s"),
        reading("store_writes_per_s_8", small.store_writes_s, "1/s"),
        reading("store_reads_per_s_420", large.store_reads_s, "1/s"),
        reading("store_writes_per_s_420", large.store_writes_s, "1/s"),
    ]
}
