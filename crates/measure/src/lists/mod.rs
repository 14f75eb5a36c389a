//! Limits, fairness and distribution of the lists, against FIFO queues, a static split of limits
//! and the broadcast of whole lists.

mod clock;
mod distribution;
mod fairness;
mod limits;
mod population;

use crate::figure;

/// Measures the lists, the limits and the queues.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let mut readings = of_limits(&limits::run());
    readings.extend(of_fairness(&fairness::run()));
    let small = distribution::run(&distribution::SMALL)?;
    let large = distribution::run(&distribution::LARGE)?;
    readings.extend(of_distribution(&small, &large));
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

fn against(reading: figure::Reading, baseline: f64) -> figure::Reading {
    figure::Reading {
        baseline: Some(baseline),
        ..reading
    }
}

fn of_limits(limits: &limits::Limits) -> Vec<figure::Reading> {
    vec![
        reading("over_admission_requests", limits.over[0], "requests"),
        reading("over_admission_tokens", limits.over[1], "tokens"),
        against(
            reading("limit_use_ratio", limits.used, "ratio"),
            limits.used_static,
        ),
        reading("limit_use_ratio_mean_account", limits.used_mean, "ratio"),
        reading("limit_use_ratio_worst_account", limits.used_worst, "ratio"),
        reading("limit_bytes_per_host_s_420", limits.bytes_per_host_s, "B/s"),
        reading("limit_store_reads_per_s_420", limits.store_reads_s, "1/s"),
        reading("limit_store_writes_per_s_420", limits.store_writes_s, "1/s"),
    ]
}

fn of_fairness(fairness: &fairness::Fairness) -> Vec<figure::Reading> {
    let unit = "largest requests";
    let gap = reading("service_gap_requests", fairness.gap, unit);
    let wait = reading("idle_account_wait_ratio", fairness.idle_wait, "ratio");
    vec![
        against(gap, fairness.gap_fifo),
        reading(
            "service_gap_corrected_requests",
            fairness.gap_corrected,
            unit,
        ),
        reading("service_gap_joining_requests", fairness.gap_joining, unit),
        against(wait, fairness.idle_wait_fifo),
    ]
}

fn of_distribution(
    small: &distribution::Distribution,
    large: &distribution::Distribution,
) -> Vec<figure::Reading> {
    let bytes = reading("list_bytes_per_host_s_420", large.bytes_per_host_s, "B/s");
    vec![
        reading("in_force_s_8", small.in_force_s, "s"),
        reading("in_force_s_420", large.in_force_s, "s"),
        against(bytes, large.broadcast_bytes_per_host_s),
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
