//! Report of a load.

use crate::load::{args, tally};
use crate::table;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Debug, serde::Serialize)]
struct Percentiles {
    count: u64,
    p50: f64,
    p95: f64,
    p99: f64,
    max: f64,
}

impl Percentiles {
    fn new(latencies: &tally::Latencies) -> Self {
        let ms = |micros: u64| micros as f64 / MICROS_PER_MS;
        let quantile = |quantile| ms(latencies.value_at_quantile(quantile));
        Self {
            count: latencies.len(),
            p50: quantile(0.50),
            p95: quantile(0.95),
            p99: quantile(0.99),
            max: ms(latencies.max()),
        }
    }
}

/// Refusals for one reason.
#[derive(Clone, Debug, serde::Serialize)]
struct Refused {
    reason: String,
    outcome: String,
    count: u64,
}

/// Report of a load. Latencies count from the planned arrival, in milliseconds.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Report {
    rate: f64,
    seconds: f64,
    seed: u64,
    sent: u64,
    whole: u64,
    cut: u64,
    unreachable: u64,
    refused: Vec<Refused>,
    /// Share of the prompt tokens that the engines had cached.
    cached_share: f64,
    first_token_ms: Percentiles,
    token_gap_ms: Percentiles,
    whole_after_ms: Percentiles,
    refused_after_ms: Percentiles,
}

impl Report {
    /// Makes the report of a tally.
    pub(super) fn new(cfg: &args::Config, tally: &tally::Tally) -> Self {
        let refused = tally
            .refused
            .iter()
            .map(|((reason, outcome), count)| Refused {
                reason: reason.clone(),
                outcome: outcome.clone(),
                count: *count,
            });
        Self {
            rate: cfg.rate,
            seconds: cfg.duration.as_secs_f64(),
            seed: cfg.seed,
            sent: tally.sent,
            whole: tally.whole,
            cut: tally.cut,
            unreachable: tally.unreachable,
            refused: refused.collect(),
            cached_share: tally.cached_tokens as f64 / tally.prompt_tokens.max(1) as f64,
            first_token_ms: Percentiles::new(&tally.first_token),
            token_gap_ms: Percentiles::new(&tally.token_gap),
            whole_after_ms: Percentiles::new(&tally.whole_after),
            refused_after_ms: Percentiles::new(&tally.refused_after),
        }
    }

    /// Prints the report as tables.
    pub(super) fn print(&self) {
        let mut counts = table::Table::new(&["ENDED", "OUTCOME", "REQUESTS"]);
        let mut count = |ended: &str, outcome: &str, count: u64| {
            counts.push(vec![
                ended.to_owned(),
                outcome.to_owned(),
                count.to_string(),
            ]);
        };
        count("sent", "", self.sent);
        count("whole", "run", self.whole);
        for refused in &self.refused {
            count(&refused.reason, &refused.outcome, refused.count);
        }
        count("cut", "", self.cut);
        count("unreachable", "", self.unreachable);
        counts.print();
        println!("\ncached share of the prompts: {:.3}\n", self.cached_share);

        let mut latencies = table::Table::new(&["MS", "COUNT", "P50", "P95", "P99", "MAX"]);
        for (name, percentiles) in [
            ("first token", &self.first_token_ms),
            ("token gap", &self.token_gap_ms),
            ("whole after", &self.whole_after_ms),
            ("refused after", &self.refused_after_ms),
        ] {
            latencies.push(row(name, percentiles));
        }
        latencies.print();
    }
}

fn row(name: &str, percentiles: &Percentiles) -> Vec<String> {
    let ms = |value: f64| format!("{value:.1}");
    vec![
        name.to_owned(),
        percentiles.count.to_string(),
        ms(percentiles.p50),
        ms(percentiles.p95),
        ms(percentiles.p99),
        ms(percentiles.max),
    ]
}
