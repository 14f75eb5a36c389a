//! Rate limit of the load reports that a host sends to the others of its domain.
//!
//! Each report goes to all these hosts, within a budget of bytes per second. With few hosts, a
//! change is reported immediately. With many hosts, reports are sent at intervals and the means
//! are older, but a mean over many endpoints also changes less.

use std::time::Duration;

use crate::time;

/// Settings of the load reports between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Budget of one host's reports, in bytes per second.
    pub bytes_per_s: u64,
    /// Size of a report to one host in bytes, including the headers of all network layers.
    pub report_bytes: u64,
    /// Bytes that may be sent in a burst when the budget is unused.
    pub burst_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bytes_per_s: 3_000,
            report_bytes: 200,
            burst_bytes: 12_000,
        }
    }
}

/// Interval at which a host reports loads that did not change.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Reports that must remain in the budget for a host to announce that it pushes changes.
const PUSH_RESERVE_REPORTS: u64 = 8;

/// Schedules the load reports of one host, as a token bucket in units of time.
#[derive(Clone, Debug)]
pub struct ReportPacer {
    settings: Settings,
    /// Time at which the budget is full again. The used bytes correspond to the time until then.
    budget_full_at: time::Time,
    /// Whether a report is scheduled and not yet sent.
    pending: bool,
    sent_at: time::Time,
}

impl ReportPacer {
    /// Makes a pacer with a full budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            budget_full_at: time::Time::ZERO,
            pending: false,
            sent_at: time::Time::ZERO,
        }
    }

    /// Schedules a report of a changed load to `peers` hosts and returns its time, or `None` if a
    /// report is already scheduled or there are no peers.
    pub fn schedule(&mut self, peers: usize, now: time::Time) -> Option<time::Time> {
        if self.pending || peers == 0 {
            return None;
        }
        self.pending = true;
        let bytes = self.settings.report_bytes.saturating_mul(peers as u64);
        let used_until = self.budget_full_at.max(now) + self.send_time(bytes);
        self.budget_full_at = used_until;
        let burst = self.send_time(self.settings.burst_bytes.max(bytes));
        Some((used_until - burst).max(now))
    }

    /// Records that the scheduled report was sent. Returns whether the host reports every further
    /// change immediately. That takes budget for [`PUSH_RESERVE_REPORTS`] more reports, so that a
    /// later report can withdraw the announcement before the budget runs out.
    pub fn record_sent(&mut self, peers: usize, now: time::Time) -> bool {
        self.pending = false;
        self.sent_at = now;
        let bytes = self.settings.report_bytes.saturating_mul(peers as u64);
        let wanted = self.send_time(bytes.saturating_mul(PUSH_RESERVE_REPORTS));
        self.budget_full_at.since(now) + wanted <= self.send_time(self.settings.burst_bytes)
    }

    /// Schedules a report of unchanged loads to `peers` hosts and returns its time, or `None` if a
    /// report is already scheduled, the last one is recent, or half of the burst budget is used.
    pub fn schedule_refresh(&mut self, peers: usize, now: time::Time) -> Option<time::Time> {
        let recent = now.since(self.sent_at) < REFRESH_INTERVAL;
        if recent || self.budget_full_at.since(now) > self.send_time(self.settings.burst_bytes) / 2
        {
            return None;
        }
        self.schedule(peers, now)
    }

    /// Time in which the budget refills by a number of bytes.
    fn send_time(&self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.settings.bytes_per_s.max(1))
    }
}
