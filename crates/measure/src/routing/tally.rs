//! What a run is judged by: true loads, reuse and waits, counted outside the policy.

use std::time::Duration;

use pistachiochute_core::{time, units};

/// Length of a window of work.
const WINDOW: Duration = Duration::from_secs(10);

/// Prefix tokens that were not read again, and what that took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reuse {
    /// Prefix tokens that the endpoint held.
    pub held: u64,
    /// Prefix tokens that the endpoint imported.
    pub imported: u64,
    /// Bytes imported inside a domain.
    pub domain_bytes: u64,
    /// Bytes imported between domains.
    pub cross_bytes: u64,
    /// Requests.
    pub requests: u64,
    /// Requests that waited.
    pub waits: u64,
    /// Time waited, in seconds.
    pub waited_s: f64,
    /// Longest wait, in seconds.
    pub longest_wait_s: f64,
}

impl Reuse {
    /// Prefix tokens that were not read again.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.held + self.imported
    }
}

/// True loads of the endpoints, by domain.
#[derive(Clone, Debug)]
pub struct Tally {
    domains: Vec<usize>,
    loads: Vec<u64>,
    live: Vec<bool>,
    /// Load and number of the live endpoints of each domain.
    sums: Vec<(u64, u64)>,
    /// Load integrated over the current window, in cost-seconds.
    work: Vec<f64>,
    changed: Vec<time::Time>,
    window: time::Time,
    counted_from: time::Time,
    windows: u64,
    window_skews: f64,
    worst_admission: f64,
    worst_raw: f64,
    multiple: f64,
    above_s: f64,
    live_s: f64,
    /// Prefix tokens that were not read again.
    pub reuse: Reuse,
}

impl Tally {
    /// Makes a tally of endpoints in the given domains, which counts from `counted_from` on.
    #[must_use]
    pub fn new(domains: Vec<usize>, multiple: f64, counted_from: time::Time) -> Self {
        let count = domains.len();
        let mut sums = vec![(0, 0); domains.iter().max().map_or(0, |last| last + 1)];
        domains.iter().for_each(|domain| sums[*domain].1 += 1);
        Self {
            domains,
            loads: vec![0; count],
            live: vec![true; count],
            sums,
            work: vec![0.0; count],
            changed: vec![time::Time::ZERO; count],
            window: time::Time::ZERO,
            counted_from,
            windows: 0,
            window_skews: 0.0,
            worst_admission: 0.0,
            worst_raw: 0.0,
            multiple,
            above_s: 0.0,
            live_s: 0.0,
            reuse: Reuse::default(),
        }
    }

    /// True load of an endpoint.
    #[must_use]
    pub fn load(&self, endpoint: usize) -> u64 {
        self.loads[endpoint]
    }

    /// Whether the time is past the warm-up.
    #[must_use]
    pub fn counts(&self, now: time::Time) -> bool {
        now >= self.counted_from
    }

    /// Sum of the loads and number of the live endpoints of a domain.
    fn domain(&self, domain: usize) -> (u64, u64) {
        self.sums[domain]
    }

    /// Counts an admission.
    pub fn admit(&mut self, endpoint: usize, cost: u64, now: time::Time) {
        self.settle(endpoint, now);
        let (sum, count) = self.domain(self.domains[endpoint]);
        let before = self.loads[endpoint];
        self.loads[endpoint] += cost;
        if self.live[endpoint] {
            self.sums[self.domains[endpoint]].0 += cost;
        }
        if !self.counts(now) || count == 0 {
            return;
        }
        let mean = (sum + cost) as f64 / count as f64;
        let raw = (before + cost) as f64 / mean;
        self.worst_raw = self.worst_raw.max(raw);
        // The floor of one request: an endpoint at or below the mean may take one.
        if before * count > sum {
            self.worst_admission = self.worst_admission.max(raw);
        }
    }

    /// Counts the end of a request.
    pub fn complete(&mut self, endpoint: usize, cost: u64, now: time::Time) {
        self.settle(endpoint, now);
        self.loads[endpoint] -= cost;
        if self.live[endpoint] {
            self.sums[self.domains[endpoint]].0 -= cost;
        }
    }

    /// Notes that an endpoint takes new work, or no longer does.
    pub fn set_live(&mut self, endpoint: usize, live: bool, now: time::Time) {
        self.settle(endpoint, now);
        if self.live[endpoint] == live {
            return;
        }
        self.live[endpoint] = live;
        let load = self.loads[endpoint];
        let (sum, count) = &mut self.sums[self.domains[endpoint]];
        if live {
            *sum += load;
            *count += 1;
        } else {
            *sum -= load;
            *count -= 1;
        }
    }

    /// Adds the load of an endpoint since its last change to its work.
    fn settle(&mut self, endpoint: usize, now: time::Time) {
        while now.since(self.window) >= WINDOW {
            self.close_window();
        }
        self.settle_until(endpoint, now);
    }

    fn settle_until(&mut self, endpoint: usize, now: time::Time) {
        let span_s = now.since(self.changed[endpoint]).as_secs_f64();
        let load = self.loads[endpoint];
        self.work[endpoint] += load as f64 * span_s;
        self.changed[endpoint] = now;
        if self.live[endpoint] && self.counts(now) {
            let (sum, count) = self.domain(self.domains[endpoint]);
            let mean = sum as f64 / count.max(1) as f64;
            self.live_s += span_s;
            if load as f64 > self.multiple * mean {
                self.above_s += span_s;
            }
        }
    }

    fn close_window(&mut self) {
        let end = self.window + WINDOW;
        for endpoint in 0..self.loads.len() {
            self.settle_until(endpoint, end);
        }
        if self.counts(self.window) {
            self.windows += 1;
            self.window_skews += self.window_skew();
        }
        self.work.fill(0.0);
        self.window = end;
    }

    /// Largest work over the mean work of the live endpoints.
    fn window_skew(&self) -> f64 {
        let live = |e: &usize| self.live[*e];
        let work: Vec<f64> = (0..self.work.len())
            .filter(live)
            .map(|e| self.work[e])
            .collect();
        let sum: f64 = work.iter().sum();
        let most = work.iter().copied().fold(0.0, f64::max);
        if sum > 0.0 {
            most * work.len() as f64 / sum
        } else {
            1.0
        }
    }

    /// Mean over the windows of the largest work over the mean work.
    #[must_use]
    pub fn mean_window_skew(&self) -> f64 {
        self.window_skews / self.windows.max(1) as f64
    }

    /// Largest load over the mean that an admission left, with the floor of one request.
    #[must_use]
    pub fn worst_admission(&self) -> f64 {
        self.worst_admission
    }

    /// Largest load over the mean that an admission left, without the floor.
    #[must_use]
    pub fn worst_raw_admission(&self) -> f64 {
        self.worst_raw
    }

    /// Share of the live endpoints' time with a load above the multiple of the mean.
    #[must_use]
    pub fn time_above(&self) -> f64 {
        self.above_s / self.live_s.max(f64::MIN_POSITIVE)
    }

    /// Counts a request's wait.
    pub fn wait(&mut self, waited: Duration) {
        let waited_s = waited.as_secs_f64();
        self.reuse.requests += 1;
        if waited_s > 0.0 {
            self.reuse.waits += 1;
            self.reuse.waited_s += waited_s;
            self.reuse.longest_wait_s = self.reuse.longest_wait_s.max(waited_s);
        }
    }

    /// Counts the prefix of a request that was held and the part that was imported.
    pub fn prefix(&mut self, held: units::Tokens, imported: units::Tokens) {
        self.reuse.held += held.0;
        self.reuse.imported += imported.0;
    }
}
