//! Loads of the endpoints of a pool, exact or viewed, and their mean.

use std::time::Duration;

use crate::time;

/// Maximum age of the views from which the minimum load of a pool is taken.
const MIN_LOAD_HORIZON: Duration = Duration::from_secs(1);

/// Maximum age of an endpoint's own load report on arrival.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);

/// Mean load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mean {
    /// Sum of the known loads.
    pub sum: u64,
    /// `sum` less the margin for completions that are not known yet.
    pub sum_lower_bound: u64,
    /// Minimum of the known loads, or zero if a view is older than [`MIN_LOAD_HORIZON`].
    pub min_load: u64,
    /// Number of endpoints whose load is known.
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

/// Load of an endpoint that this host owns.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Owned {
    /// Work in flight that this host admitted.
    pub(super) own: u64,
    /// Work of other owners by the endpoint's report, an upper bound while contested.
    pub(super) foreign: u64,
    /// Lower bound of the work of other owners, which is used in the mean.
    pub(super) foreign_lower_bound: u64,
    /// Largest `own` since the last report, and between the two reports before. A report is at most
    /// one interval old, so it includes no more of this host's work than these.
    pub(super) peaks: [u64; 2],
    /// Smallest `own` over the same intervals. A report less this is an upper bound of the work of
    /// other owners.
    pub(super) troughs: [u64; 2],
    /// Time of the observation behind `foreign`.
    pub(super) foreign_updated_at: time::Time,
    /// End of the contested time, in which another host may admit work and `foreign` is an upper
    /// bound.
    pub(super) contested_until: time::Time,
    /// End of the grace period of the former owner, or `None` after the handover.
    pub(super) former_owner_expires_at: Option<time::Time>,
}

impl Owned {
    pub(super) fn load(&self) -> u64 {
        self.own.saturating_add(self.foreign)
    }

    /// Lower bound of the endpoint's load.
    pub(super) fn load_lower_bound(&self) -> u64 {
        self.own.saturating_add(self.foreign_lower_bound)
    }

    /// Time for which completions of other owners' work may not be known.
    pub(super) fn foreign_staleness(&self, now: time::Time) -> Duration {
        if self.foreign_lower_bound == 0 {
            Duration::ZERO
        } else {
            now.since(self.foreign_updated_at) + MAX_REPORT_LAG
        }
    }

    /// Updates the peak and the trough after a change of `own`.
    pub(super) fn update_extremes(&mut self) {
        self.peaks[0] = self.peaks[0].max(self.own);
        self.troughs[0] = self.troughs[0].min(self.own);
    }

    /// Applies a load report of the endpoint.
    ///
    /// Load beyond the largest recent `own` must be work of another owner. Its presence makes the
    /// endpoint contested, and then all load beyond the smallest recent `own` counts as theirs.
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

/// View of the load of an endpoint that another host owns.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    pub(super) load: u64,
    pub(super) observed_at: time::Time,
    /// Whether the other host reports every change immediately, so that a missing report means no
    /// change.
    pub(super) pushes_changes: bool,
}

impl View {
    /// Time for which changes may not be known, by the age of the view.
    pub(super) fn staleness(&self, age: Duration) -> Duration {
        if self.pushes_changes && age <= PUSH_HORIZON {
            age.min(PUSH_DELAY)
        } else {
            age
        }
    }
}

/// Maximum delivery time of a report within a domain.
const PUSH_DELAY: Duration = Duration::from_millis(5);

/// Age of a view up to which the absence of reports from a host that pushes changes means that the
/// load is unchanged. Twice the interval at which such a host repeats unchanged loads.
const PUSH_HORIZON: Duration = Duration::from_millis(500);

/// Sum over the loads of a mean.
#[derive(Debug, Default)]
pub(super) struct LoadSum {
    /// Work of this host, which is known exactly.
    pub(super) own: u64,
    /// Work of other hosts, known from views and reports.
    remote: u64,
    members: u64,
    min_load: Option<u64>,
    oldest_view_age: Duration,
    /// Sum of the staleness of the loads, in seconds.
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
