//! ReportPacer at which a host tells the others of its domain of changed loads.
//!
//! Each report goes to every host that needs it, and the bytes are held to a budget. With few
//! hosts a change is reported at once; with many the reports come at intervals, and the means are
//! older. A mean over many endpoints also moves less.

use std::time::Duration;

use crate::time;

/// Settings of the load reports between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Bytes a second that the reports of one host may use.
    pub bytes_per_s: u64,
    /// Size of one report to one host, with the headers of every layer.
    pub report_bytes: u64,
    /// Bytes that may be sent at once after a quiet time.
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

/// Reports that the budget must have room for before a host promises to report at once.
const PUSH_RESERVE_REPORTS: u64 = 8;

/// ReportPacer of one host's load reports.
#[derive(Clone, Debug)]
pub struct ReportPacer {
    settings: Settings,
    /// Time at which the budget is whole again. The bytes used are the time until then.
    budget_full_at: time::Time,
    /// Whether a report is due and not yet sent.
    pending: bool,
    sent_at: time::Time,
}

impl ReportPacer {
    /// Makes the pace of a host that has sent nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            budget_full_at: time::Time::ZERO,
            pending: false,
            sent_at: time::Time::ZERO,
        }
    }

    /// Time at which a changed load is reported to `peers` hosts, or `None` if a report is
    /// already due or nobody needs one.
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

    /// Notes that the report that was due has been sent. Returns whether every further change
    /// will be reported at once: the budget has room for [`PUSH_RESERVE_REPORTS`] more, so that a later
    /// report can withdraw this before the budget runs out.
    pub fn record_sent(&mut self, peers: usize, now: time::Time) -> bool {
        self.pending = false;
        self.sent_at = now;
        let bytes = self.settings.report_bytes.saturating_mul(peers as u64);
        let wanted = self.send_time(bytes.saturating_mul(PUSH_RESERVE_REPORTS));
        self.budget_full_at.since(now) + wanted <= self.send_time(self.settings.burst_bytes)
    }

    /// Time at which loads that did not change are reported again, or `None` if a report is
    /// already due, the last one is recent, or the budget is used.
    pub fn schedule_refresh(&mut self, peers: usize, now: time::Time) -> Option<time::Time> {
        let recent = now.since(self.sent_at) < REFRESH_INTERVAL;
        if recent || self.budget_full_at.since(now) > self.send_time(self.settings.burst_bytes) / 2
        {
            return None;
        }
        self.schedule(peers, now)
    }

    /// Time in which the budget allows a number of bytes.
    fn send_time(&self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.settings.bytes_per_s.max(1))
    }
}
