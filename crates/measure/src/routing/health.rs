//! Comparison of the tests for a slow endpoint: the chart of residuals, a plain threshold and
//! none, on cases with surges common to all endpoints and one slow endpoint.

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::health::control_chart;
use pistachiochute_core::{entity, health};
use rand::{Rng as _, SeedableRng as _};
use rand_distr::Distribution as _;

use crate::figure;

/// Runs of each case, with one seed each.
const SEEDS: u64 = 50;

/// Endpoints of a pool.
const ENDPOINTS: usize = 10;

/// Length of a run in intervals.
const INTERVALS: usize = 120;

/// Interval at which the slow endpoint becomes slow.
const SLOW_FROM: usize = 60;

/// Intervals of the common surge.
const SURGE: std::ops::Range<usize> = 40..90;

/// Factor on all latencies during the surge.
const SURGE_FACTOR: f64 = 3.0;

/// Factor on the latencies of the slow endpoint.
const SLOW_FACTOR: f64 = 2.0;

/// Spread of a latency: standard deviation of its logarithm.
const SPREAD: f64 = 0.35;

/// Answers of an endpoint in an interval.
const ANSWERS: std::ops::Range<usize> = 1..6;

/// Time between two tokens without a surge, in seconds.
const TIME_PER_TOKEN_S: f64 = 0.026;

/// Plain threshold: a mean above twice the target signals, after two intervals in a row as in
/// the chart.
const THRESHOLD_S: f64 = 2.0 * TIME_PER_TOKEN_S;

/// What a test found over all runs.
#[derive(Clone, Copy, Debug, Default)]
struct Found {
    detections: u64,
    /// Endpoints that were never slow and signalled.
    false_alarms: u64,
    delay_intervals: u64,
}

/// A test for slow endpoints.
enum Test {
    Chart(control_chart::ControlChart),
    /// Intervals in a row above the threshold, by endpoint.
    Threshold([u32; ENDPOINTS]),
}

impl Test {
    /// Takes in the latencies of an interval and returns the endpoints that signal.
    fn interval(&mut self, latencies: &[Vec<f64>]) -> Vec<usize> {
        match self {
            Self::Chart(chart) => {
                for (index, of_endpoint) in latencies.iter().enumerate() {
                    let id = entity::EndpointId::from_index(index);
                    of_endpoint
                        .iter()
                        .for_each(|latency| chart.add(id, *latency));
                }
                chart.close_interval().iter().map(|id| id.index()).collect()
            }
            Self::Threshold(above) => {
                for (index, of_endpoint) in latencies.iter().enumerate() {
                    let mean = of_endpoint.iter().sum::<f64>() / of_endpoint.len() as f64;
                    above[index] = if mean > THRESHOLD_S {
                        above[index] + 1
                    } else {
                        0
                    };
                }
                (0..ENDPOINTS).filter(|index| above[*index] >= 2).collect()
            }
        }
    }
}

/// Latencies of an interval by endpoint.
fn latencies(
    rng: &mut rand_chacha::ChaCha8Rng,
    interval: usize,
    surge: bool,
    slow: bool,
) -> Vec<Vec<f64>> {
    let common = if surge && SURGE.contains(&interval) {
        SURGE_FACTOR
    } else {
        1.0
    };
    let of_endpoint = |index: usize| {
        let is_slow = slow && index == 0 && interval >= SLOW_FROM;
        let own = if is_slow { SLOW_FACTOR } else { 1.0 };
        let answers = rng.random_range(ANSWERS);
        let sample = |_| {
            let normal: f64 = rand_distr::StandardNormal.sample(rng);
            TIME_PER_TOKEN_S * common * own * (SPREAD * normal).exp()
        };
        (0..answers).map(sample).collect()
    };
    (0..ENDPOINTS).map(of_endpoint).collect()
}

fn run<F>(make: F) -> Found
where
    F: Fn() -> Test,
{
    let mut found = Found::default();
    for seed in 0..SEEDS {
        for (surge, slow) in [(false, false), (true, false), (false, true), (true, true)] {
            let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
            let mut test = make();
            let mut detected = None;
            let mut wrong = [false; ENDPOINTS];
            for interval in 0..INTERVALS {
                for index in test.interval(&latencies(&mut rng, interval, surge, slow)) {
                    if slow && index == 0 && interval >= SLOW_FROM {
                        detected.get_or_insert(interval);
                    } else {
                        wrong[index] = true;
                    }
                }
            }
            found.false_alarms += wrong.iter().filter(|wrong| **wrong).count() as u64;
            if let Some(interval) = detected {
                found.detections += 1;
                found.delay_intervals += (interval - SLOW_FROM) as u64;
            }
        }
    }
    found
}

/// Figures of the comparison. Without a test nothing is detected and nothing alarms.
pub fn readings() -> Vec<figure::Reading> {
    let chart = run(|| Test::Chart(control_chart::ControlChart::new()));
    let threshold = run(|| Test::Threshold([0; ENDPOINTS]));
    let slow_runs = (2 * SEEDS) as f64;
    let interval_s = health::Settings::default().interval.as_secs_f64();
    let delay =
        |found: &Found| found.delay_intervals as f64 / found.detections.max(1) as f64 * interval_s;
    let reading = |name, unit, value, baseline| figure::Reading {
        name,
        value,
        unit,
        baseline: Some(baseline),
    };
    vec![
        reading(
            "slow_endpoint_detected_share",
            "of the runs with one",
            chart.detections as f64 / slow_runs,
            threshold.detections as f64 / slow_runs,
        ),
        reading(
            "slow_endpoint_false_alarms",
            "endpoints over 200 runs of 10 minutes",
            chart.false_alarms as f64,
            threshold.false_alarms as f64,
        ),
        reading(
            "slow_endpoint_delay_s",
            "s",
            delay(&chart),
            delay(&threshold),
        ),
    ]
}
