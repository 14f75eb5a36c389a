//! Loads of the endpoints of a pool, exact or as others see them, and their mean.

use std::time::Duration;

use crate::time;

/// Age of a view up to which an endpoint counts as the least loaded by it.
const FLOOR_HORIZON: Duration = Duration::from_secs(1);

/// Age of an endpoint's own load report when it arrives, at most.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Mean load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mean {
    /// Load of the endpoints that are known.
    pub sum: u64,
    /// What is left of `sum` after the margin for completions not yet seen.
    pub lowered_sum: u64,
    /// Smallest load of the endpoints that are known, or zero if a view is older than
    /// [`FLOOR_HORIZON`].
    pub least: u64,
    /// Endpoints whose load is known.
    pub members: u64,
    /// Age of the oldest view in the sum.
    pub oldest: Duration,
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
    pub(super) surely_foreign: u64,
    /// Largest `own` since the last report and between the two before it. A report is at most
    /// one interval late, so it shows no more of this host's work than these.
    pub(super) peaks: [u64; 2],
    /// Smallest `own` over the same time, which bounds the work of others from above.
    pub(super) troughs: [u64; 2],
    /// When `foreign` was last set, at the earliest.
    pub(super) foreign_at: time::Time,
    /// Until when the work of others is bounded from above, because another host may still admit.
    pub(super) contested_until: time::Time,
    /// When the former owner counts as gone, while it has not handed over.
    pub(super) former_until: Option<time::Time>,
}

impl Owned {
    pub(super) fn load(&self) -> u64 {
        self.own.saturating_add(self.foreign)
    }

    /// Load that the endpoint has at least.
    pub(super) fn least_load(&self) -> u64 {
        self.own.saturating_add(self.surely_foreign)
    }

    /// Time for which the end of work of others may not be known.
    pub(super) fn foreign_age(&self, now: time::Time) -> Duration {
        if self.surely_foreign == 0 {
            Duration::ZERO
        } else {
            now.since(self.foreign_at) + REPORT_LAG
        }
    }

    /// Notes a change of `own`.
    pub(super) fn track(&mut self) {
        self.peaks[0] = self.peaks[0].max(self.own);
        self.troughs[0] = self.troughs[0].min(self.own);
    }

    /// Takes in the endpoint's own report.
    ///
    /// What it shows beyond the largest `own` is surely the work of others. Once there is such
    /// work, all that it shows beyond the smallest `own` is taken for theirs.
    pub(super) fn report(&mut self, load: u64, contested: Duration, now: time::Time) {
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
        self.surely_foreign = load.saturating_sub(peak);
        self.foreign_at = now;
        self.peaks = [self.own, self.peaks[0]];
        self.troughs = [self.own, self.troughs[0]];
    }
}

/// Load of an endpoint of another host.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    pub(super) load: u64,
    pub(super) taken: time::Time,
    /// Whether the other host reports every change at once, so that silence means no change.
    pub(super) prompt: bool,
}

impl View {
    /// Time for which changes may not be known.
    pub(super) fn blind_time(&self, age: Duration) -> Duration {
        if self.prompt && age <= PROMPT_HORIZON {
            age.min(PROMPT_DELAY)
        } else {
            age
        }
    }
}

/// Longest time on the way of a report that is sent at once inside a domain.
const PROMPT_DELAY: Duration = Duration::from_millis(5);

/// Age up to which silence of a prompt host means that nothing changed. Twice the interval at
/// which such a host reports loads that did not change.
const PROMPT_HORIZON: Duration = Duration::from_millis(500);

/// Loads that a mean is taken over.
#[derive(Debug, Default)]
pub(super) struct Sum {
    /// Work that is known exactly.
    pub(super) own: u64,
    /// Work that is known from views and reports.
    viewed: u64,
    members: u64,
    least: Option<u64>,
    oldest: Duration,
    /// Sum of the times for which completions may not be known, in seconds.
    pub(super) ages_s: f64,
}

impl Sum {
    pub(super) fn add_owned(&mut self, owned: &Owned, now: time::Time) {
        self.own += owned.own;
        self.viewed += owned.surely_foreign;
        self.ages_s += owned.foreign_age(now).as_secs_f64();
        self.add_member(owned.own);
    }

    pub(super) fn add_view(&mut self, view: &View, horizon: Duration, now: time::Time) {
        let age = now.since(view.taken);
        if age > horizon {
            return;
        }
        self.viewed += view.load;
        self.ages_s += view.blind_time(age).as_secs_f64();
        self.oldest = self.oldest.max(age);
        self.add_member(view.load);
    }

    pub(super) fn add_member(&mut self, load: u64) {
        self.members += 1;
        self.least = Some(self.least.map_or(load, |least| least.min(load)));
    }

    pub(super) fn mean(&self, margin: u64) -> Mean {
        let least = self.least.filter(|_| self.oldest <= FLOOR_HORIZON);
        Mean {
            sum: self.own + self.viewed,
            lowered_sum: self.own + self.viewed.saturating_sub(margin),
            least: least.unwrap_or(0),
            members: self.members,
            oldest: self.oldest,
        }
    }
}
