//! Loads of the endpoints of a pool, exact or as others see them, and their mean.

use std::time::Duration;

use crate::time;

/// Age of a view up to which an endpoint counts as the least loaded by it.
const MIN_LOAD_HORIZON: Duration = Duration::from_secs(1);

/// Age of an endpoint's own load report when it arrives, at most.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);

/// Mean load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mean {
    /// Load of the endpoints that are known.
    pub sum: u64,
    /// What is left of `sum` after the margin for completions not yet seen.
    pub sum_lower_bound: u64,
    /// Smallest load of the endpoints that are known, or zero if a view is older than
    /// [`MIN_LOAD_HORIZON`].
    pub min_load: u64,
    /// Endpoints whose load is known.
    pub members: u64,
    /// Age of the oldest view in the sum.
    pub oldest_view_age: Duration,
}

impl Mean {
    /// The mean as a ratio, or zero without members.
    #[must_use]
    pub fn as_ratio(&self) -> f64 {
        self.sum as f64 / self.members.max(1) as f64
    }
}

/// Load of an endpoint of this host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Owned {
    /// Work that this host admitted and that has not ended.
    pub(super) own: u64,
    /// Work of other owners, as the endpoint reported it; an upper bound while contested.
    pub(super) foreign: u64,
    /// Lower bound of the work of other owners, which counts in the mean.
    pub(super) foreign_lower_bound: u64,
    /// Largest `own` since the last report and between the two before it. A report is at most
    /// one interval late, so it shows no more of this host's work than these.
    pub(super) peaks: [u64; 2],
    /// Smallest `own` over the same time, which bounds the work of others from above.
    pub(super) troughs: [u64; 2],
    /// When `foreign` was last set, at the earliest.
    pub(super) foreign_updated_at: time::Time,
    /// Until when the work of others is bounded from above, because another host may still admit.
    pub(super) contested_until: time::Time,
    /// When the former owner counts as gone, while it has not handed over.
    pub(super) former_owner_expires_at: Option<time::Time>,
}

impl Owned {
    pub(super) fn load(&self) -> u64 {
        self.own.saturating_add(self.foreign)
    }

    /// Load that the endpoint has at least.
    pub(super) fn load_lower_bound(&self) -> u64 {
        self.own.saturating_add(self.foreign_lower_bound)
    }

    /// Time for which the end of work of others may not be known.
    pub(super) fn foreign_staleness(&self, now: time::Time) -> Duration {
        if self.foreign_lower_bound == 0 {
            Duration::ZERO
        } else {
            now.since(self.foreign_updated_at) + MAX_REPORT_LAG
        }
    }

    /// Notes a change of `own`.
    pub(super) fn update_extremes(&mut self) {
        self.peaks[0] = self.peaks[0].max(self.own);
        self.troughs[0] = self.troughs[0].min(self.own);
    }

    /// Takes in the endpoint's own report.
    ///
    /// What it shows beyond the largest `own` is surely the work of others. Once there is such
    /// work, all that it shows beyond the smallest `own` is taken for theirs.
    pub(super) fn apply_report(&mut self, load: u64, contested: Duration, now: time::Time) {
        let peak = self.peaks[0].max(self.peaks[1]);
        let trough = self.troughs[0].min(self.troughs[1]);
        if load > peak {
            self.contested_until = self.contested_until.max(now + contested);
        }
        let own = if now < self.contested_until {
            trough
        } else {
            peak
        };
        self.foreign = load.saturating_sub(own);
        self.foreign_lower_bound = load.saturating_sub(peak);
        self.foreign_updated_at = now;
        self.peaks = [self.own, self.peaks[0]];
        self.troughs = [self.own, self.troughs[0]];
    }
}

/// Load of an endpoint of another host.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    pub(super) load: u64,
    pub(super) observed_at: time::Time,
    /// Whether the other host reports every change at once, so that silence means no change.
    pub(super) pushes_changes: bool,
}

impl View {
    /// Time for which changes may not be known.
    pub(super) fn staleness(&self, age: Duration) -> Duration {
        if self.pushes_changes && age <= PUSH_HORIZON {
            age.min(PUSH_DELAY)
        } else {
            age
        }
    }
}

/// Longest time on the way of a report that is sent at once inside a domain.
const PUSH_DELAY: Duration = Duration::from_millis(5);

/// Age up to which silence of a prompt host means that nothing changed. Twice the interval at
/// which such a host reports loads that did not change.
const PUSH_HORIZON: Duration = Duration::from_millis(500);

/// Loads that a mean is taken over.
#[derive(Debug, Default)]
pub(super) struct LoadSum {
    /// Work that is known exactly.
    pub(super) own: u64,
    /// Work that is known from views and reports.
    remote: u64,
    members: u64,
    min_load: Option<u64>,
    oldest_view_age: Duration,
    /// Sum of the times for which completions may not be known, in seconds.
    pub(super) staleness_s: f64,
}

impl LoadSum {
    pub(super) fn add_owned(&mut self, owned: &Owned, now: time::Time) {
        self.own += owned.own;
        self.remote += owned.foreign_lower_bound;
        self.staleness_s += owned.foreign_staleness(now).as_secs_f64();
        self.add_member(owned.own);
    }

    pub(super) fn add_view(&mut self, view: &View, horizon: Duration, now: time::Time) {
        let age = now.since(view.observed_at);
        if age > horizon {
            return;
        }
        self.remote += view.load;
        self.staleness_s += view.staleness(age).as_secs_f64();
        self.oldest_view_age = self.oldest_view_age.max(age);
        self.add_member(view.load);
    }

    pub(super) fn add_member(&mut self, load: u64) {
        self.members += 1;
        self.min_load = Some(self.min_load.map_or(load, |min| min.min(load)));
    }

    pub(super) fn mean(&self, margin: u64) -> Mean {
        let min_load = self
            .min_load
            .filter(|_| self.oldest_view_age <= MIN_LOAD_HORIZON);
        Mean {
            sum: self.own + self.remote,
            sum_lower_bound: self.own + self.remote.saturating_sub(margin),
            min_load: min_load.unwrap_or(0),
            members: self.members,
            oldest_view_age: self.oldest_view_age,
        }
    }
}
