//! Figures of the runs.

use crate::figure;
use crate::routing::{Runs, plain, tally};

/// Bytes in a gigabyte.
const GIGABYTE: f64 = 1e9;

fn reading(name: &'static str, value: f64, unit: &'static str) -> figure::Reading {
    figure::Reading {
        name,
        value,
        unit,
        baseline: None,
    }
}

fn ratio(reuse: &tally::Reuse, oracle: u64) -> f64 {
    reuse.tokens() as f64 / oracle.max(1) as f64
}

fn baseline(runs: &Runs, policy: plain::Policy) -> &tally::Tally {
    let mut found = runs.baselines.iter().filter(|(of, _)| *of == policy);
    &found.next().expect("every policy was run").1
}

/// Names of the figures of one deployment.
struct Names {
    reuse: &'static str,
    held: &'static str,
    imported: &'static str,
    import_gigabytes: &'static str,
    waiting_share: &'static str,
    mean_wait: &'static str,
    longest_wait: &'static str,
    churn: &'static str,
    admission: &'static str,
    raw_admission: &'static str,
    time_above: &'static str,
    window_skew: &'static str,
    plain_reuse: [&'static str; 4],
    plain_skew: [&'static str; 4],
}

macro_rules! names {
    ($name:literal) => {
        Names {
            reuse: concat!("reuse_ratio_", $name),
            held: concat!("held_ratio_", $name),
            imported: concat!("imported_ratio_", $name),
            import_gigabytes: concat!("import_gigabytes_", $name),
            waiting_share: concat!("waiting_share_", $name),
            mean_wait: concat!("mean_wait_s_", $name),
            longest_wait: concat!("longest_wait_s_", $name),
            churn: concat!("reuse_ratio_churn_", $name),
            admission: concat!("skew_at_admission_", $name),
            raw_admission: concat!("skew_at_admission_without_floor_", $name),
            time_above: concat!("time_above_bound_share_", $name),
            window_skew: concat!("window_skew_over_p2c_", $name),
            plain_reuse: [
                concat!("reuse_ratio_random_", $name),
                concat!("reuse_ratio_least_loaded_", $name),
                concat!("reuse_ratio_p2c_", $name),
                concat!("reuse_ratio_consistent_hash_", $name),
            ],
            plain_skew: [
                concat!("window_skew_random_", $name),
                concat!("window_skew_least_loaded_", $name),
                concat!("window_skew_p2c_", $name),
                concat!("window_skew_consistent_hash_", $name),
            ],
        }
    };
}

fn names(deployment: &str) -> Names {
    match deployment {
        "bocage" => names!("bocage"),
        "lombardy" => names!("lombardy"),
        _ => names!("design"),
    }
}

/// Figures of one deployment.
pub fn of_deployment(runs: &Runs) -> Vec<figure::Reading> {
    let names = names(runs.deployment.name);
    let reuse = &runs.calm.reuse;
    let of_oracle = |tokens: u64| tokens as f64 / runs.oracle.max(1) as f64;
    let random = &baseline(runs, plain::Policy::Random).reuse;
    let mut readings = vec![
        figure::Reading {
            baseline: Some(ratio(random, runs.oracle)),
            ..reading(names.reuse, ratio(reuse, runs.oracle), "of the oracle")
        },
        reading(names.held, of_oracle(reuse.held), "of the oracle"),
        reading(names.imported, of_oracle(reuse.imported), "of the oracle"),
        reading(
            names.import_gigabytes,
            reuse.domain_bytes as f64 / GIGABYTE,
            "GB",
        ),
        reading(
            names.waiting_share,
            reuse.waits as f64 / reuse.requests as f64,
            "of requests",
        ),
        reading(
            names.mean_wait,
            reuse.waited_s / reuse.waits.max(1) as f64,
            "s",
        ),
        reading(names.longest_wait, reuse.longest_wait_s, "s"),
        reading(
            names.churn,
            ratio(&runs.churn.reuse, runs.oracle_churn),
            "of the oracle",
        ),
        figure::Reading {
            baseline: Some(baseline(runs, plain::Policy::TwoChoices).worst_admission()),
            ..reading(names.admission, worst_admission(runs), "of the mean")
        },
        reading(
            names.raw_admission,
            runs.calm.worst_raw_admission(),
            "of the mean",
        ),
        reading(names.time_above, runs.calm.time_above(), "of the time"),
        reading(
            names.window_skew,
            window_skew_over_p2c(runs),
            "of two choices",
        ),
    ];
    for (number, (_, run)) in runs.baselines.iter().enumerate() {
        let reuse = ratio(&run.reuse, runs.oracle);
        readings.push(reading(names.plain_reuse[number], reuse, "of the oracle"));
        let skew = run.mean_window_skew();
        readings.push(reading(names.plain_skew[number], skew, "of the mean"));
    }
    readings
}

/// Largest skew at an admission over the calm run, the one with churn and the one with two
/// owners.
fn worst_admission(runs: &Runs) -> f64 {
    let runs = [
        Some(&runs.calm),
        Some(&runs.churn),
        runs.two_owners.as_ref(),
    ];
    let skews = runs
        .into_iter()
        .flatten()
        .map(tally::Tally::worst_admission);
    skews.fold(0.0, f64::max)
}

fn window_skew_over_p2c(runs: &Runs) -> f64 {
    let p2c = baseline(runs, plain::Policy::TwoChoices).mean_window_skew();
    runs.calm.mean_window_skew() / p2c
}

/// Figures over all deployments: the worst of them each.
pub fn over_all(runs: &[Runs]) -> Vec<figure::Reading> {
    let churn = runs.iter().map(|r| ratio(&r.churn.reuse, r.oracle_churn));
    let skew = runs.iter().map(window_skew_over_p2c);
    let above = runs.iter().map(|r| r.calm.time_above());
    let mut readings = vec![
        reading(
            "reuse_ratio_churn",
            churn.fold(1.0, f64::min),
            "of the oracle",
        ),
        reading(
            "window_skew_over_p2c",
            skew.fold(0.0, f64::max),
            "of two choices",
        ),
        reading(
            "time_above_bound_share",
            above.fold(0.0, f64::max),
            "of the time",
        ),
    ];
    readings.extend(runs.iter().flat_map(curve));
    readings
}

/// Names of the curve of reuse and of window skew, by deployment and weight.
const CURVE_NAMES: [(&str, [[&str; 2]; 5]); 2] = [
    (
        "bocage",
        [
            ["curve_reuse_bocage_000", "curve_skew_bocage_000"],
            ["curve_reuse_bocage_025", "curve_skew_bocage_025"],
            ["curve_reuse_bocage_050", "curve_skew_bocage_050"],
            ["curve_reuse_bocage_075", "curve_skew_bocage_075"],
            ["curve_reuse_bocage_100", "curve_skew_bocage_100"],
        ],
    ),
    (
        "lombardy",
        [
            ["curve_reuse_lombardy_000", "curve_skew_lombardy_000"],
            ["curve_reuse_lombardy_025", "curve_skew_lombardy_025"],
            ["curve_reuse_lombardy_050", "curve_skew_lombardy_050"],
            ["curve_reuse_lombardy_075", "curve_skew_lombardy_075"],
            ["curve_reuse_lombardy_100", "curve_skew_lombardy_100"],
        ],
    ),
];

fn curve(runs: &Runs) -> Vec<figure::Reading> {
    let named = CURVE_NAMES
        .iter()
        .find(|(name, _)| *name == runs.deployment.name);
    let names = named.map_or(&[][..], |(_, names)| &names[..]);
    let points = names.iter().zip(&runs.curve);
    points
        .flat_map(|([reuse, skew], (_, run))| {
            let value = ratio(&run.reuse, runs.oracle);
            [
                reading(reuse, value, "of the oracle"),
                reading(skew, run.mean_window_skew(), "of the mean"),
            ]
        })
        .collect()
}
