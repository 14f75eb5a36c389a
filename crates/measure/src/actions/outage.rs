//! Attempts per request during a total outage, and the time to detect a silent link.

use std::time::Duration;

use pistachiochute_core::{liveness, outcome, reason, request, retry, time};

/// Request rate at one host at the design size: 4,200 requests a second at 420 hosts.
const REQUESTS_PER_S: u64 = 10;

/// Length of the outage, in seconds.
const OUTAGE_S: u64 = 60;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between the tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(26);

/// Returns the mean number of attempts per request at one host while every connection to an
/// endpoint fails, for the given retry budget.
#[must_use]
pub fn attempts_per_request(budget: retry::BudgetConfig) -> f64 {
    let mut budget = retry::Budget::new(budget);
    let requests = REQUESTS_PER_S * OUTAGE_S;
    let attempts: u64 = (0..requests)
        .map(|n| attempts_for_request(n, &mut budget))
        .sum();
    attempts as f64 / requests as f64
}

fn attempts_for_request(n: u64, budget: &mut retry::Budget) -> u64 {
    let mut now = time::Time::from_millis(n * 1_000 / REQUESTS_PER_S);
    let cfg = retry::Config::default();
    let idempotency = request::Idempotency::Idempotent;
    let mut req = retry::RetryState::new(cfg, idempotency, now + REQUEST_TIMEOUT, n, budget);
    while req.start_attempt(now).is_ok() {
        let failure = retry::Failure {
            reason: reason::Refusal::ConnectFailed,
            outcome: outcome::Outcome::NotRun,
            recovery: retry::Recovery::Restart,
            retry_after: None,
        };
        match req.record_failure(now, failure, budget) {
            retry::Decision::Retry { at, .. } => now = at,
            retry::Decision::GiveUp(_) => break,
        }
    }
    u64::from(req.attempts())
}

/// Returns the longest time from the last byte received on a link to the detection of its silence.
/// The link falls silent at each millisecond of one second in turn.
#[must_use]
pub fn max_silence_detection_time() -> Duration {
    let starts = (0..1_000).map(time::Time::from_millis);
    starts.map(silence_detection_time).max().unwrap_or_default()
}

fn silence_detection_time(silent_from: time::Time) -> Duration {
    let mut link = liveness::Link::new(liveness::LinkConfig::default(), time::Time::ZERO);
    link.stream_opened(time::Time::ZERO);
    let mut last_received = time::Time::ZERO;
    let mut now = time::Time::ZERO;
    loop {
        match link.check(now) {
            liveness::Check::Silent => return now.since(last_received),
            liveness::Check::Ping(_) => {}
            liveness::Check::Wait(due) => now = due.unwrap_or(now).min(now + TOKEN_INTERVAL),
        }
        if now <= silent_from {
            link.record_received(now);
            last_received = now;
        }
    }
}
