//! Which endpoints are out, and until when.

use std::time::Duration;

use smallvec::SmallVec;

use crate::health::{Settings, chart};
use crate::{entity, map, time};

/// What the work at an endpoint shows of its health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sign {
    /// A connection could not be made.
    ConnectFailed,
    /// An answer stalled for longer than its deadline.
    Stalled,
    /// Another endpoint answers at its address.
    Replaced,
    /// An answer was whole.
    Served,
    /// An answer was whole, with this time for each token or call.
    Answered {
        /// Time for each token of the answer, or of the call.
        latency: Duration,
    },
}

/// An endpoint that is taken out or returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Whether it may get new work.
    pub usable: bool,
}

/// Changes of one call, mostly none.
pub type Changes = SmallVec<[Change; 2]>;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Failures in a row.
    failures: u32,
    out: Option<Out>,
    /// Holds in a row, without an answer for as long as the last one after it.
    holds: u32,
    returned: Option<time::Time>,
}

#[derive(Clone, Copy, Debug)]
struct Out {
    until: time::Time,
    slow: bool,
}

/// Health of the endpoints that a host owns.
#[derive(Clone, Debug)]
pub struct Health {
    settings: Settings,
    states: map::EntityMap<entity::EndpointId, State>,
    chart: chart::Chart,
    interval_ends: time::Time,
}

impl Health {
    /// Makes the health of a host that owns nothing yet.
    #[must_use]
    pub fn new(settings: Settings, now: time::Time) -> Self {
        Self {
            settings,
            states: map::EntityMap::new(),
            chart: chart::Chart::new(),
            interval_ends: now + settings.interval,
        }
    }

    /// Forgets an endpoint that the host no longer owns. It counts as usable.
    pub fn forget(&mut self, endpoint: entity::EndpointId) {
        self.states.remove(endpoint);
        self.chart.remove(endpoint);
    }

    /// Takes in a sign from an endpoint.
    pub fn sign(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        sign: Sign,
    ) -> Option<Change> {
        let failures = self.settings.failures;
        let state = self.states.get_or_insert_with(endpoint, State::default);
        match sign {
            Sign::Served => {
                state.failures = 0;
                None
            }
            Sign::Answered { latency } => {
                state.failures = 0;
                self.chart.add(endpoint, latency.as_secs_f64());
                None
            }
            Sign::ConnectFailed | Sign::Stalled => {
                state.failures += 1;
                let on_probation = state.holds > 0;
                (state.failures >= failures || on_probation)
                    .then(|| self.take_out(now, endpoint, false))
                    .flatten()
            }
            Sign::Replaced => {
                // Proof, not a symptom: it stays out as long as any endpoint does.
                state.holds = MAX_DOUBLINGS;
                self.take_out(now, endpoint, false)
            }
        }
    }

    /// Does the timed work: ends holds, and closes the chart's interval.
    pub fn tick(&mut self, now: time::Time) -> Changes {
        let mut changes = self.end_holds(now);
        if now >= self.interval_ends {
            self.interval_ends = now + self.settings.interval;
            for endpoint in self.chart.close_interval() {
                if self.may_take_out_slow() {
                    changes.extend(self.take_out(now, endpoint, true));
                }
            }
        }
        changes
    }

    /// Whether an endpoint may get new work.
    #[must_use]
    pub fn is_usable(&self, endpoint: entity::EndpointId) -> bool {
        self.states
            .get(endpoint)
            .is_none_or(|state| state.out.is_none())
    }

    fn may_take_out_slow(&self) -> bool {
        let slow = |state: &&State| state.out.is_some_and(|out| out.slow);
        let out = self.states.values().filter(slow).count();
        (out + 1) as f64 <= self.settings.slow_share * self.states.len() as f64
    }

    fn take_out(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        slow: bool,
    ) -> Option<Change> {
        let settings = self.settings;
        let state = self.states.get_mut(endpoint)?;
        if state.out.is_some() {
            return None;
        }
        let hold = settings.hold * 2_u32.saturating_pow(state.holds.min(MAX_DOUBLINGS));
        let until = now + hold.min(settings.longest_hold);
        state.out = Some(Out { until, slow });
        state.holds += 1;
        state.failures = 0;
        Some(Change {
            endpoint,
            usable: false,
        })
    }

    fn end_holds(&mut self, now: time::Time) -> Changes {
        let longest = self.settings.longest_hold;
        let mut changes = Changes::new();
        for (endpoint, state) in self.states.iter_mut() {
            if state.out.is_some_and(|out| out.until <= now) {
                state.out = None;
                state.returned = Some(now);
                changes.push(Change {
                    endpoint,
                    usable: true,
                });
            }
            let steady = state.returned.is_some_and(|at| now.since(at) >= longest);
            if state.out.is_none() && steady {
                state.holds = 0;
                state.returned = None;
            }
        }
        changes
    }
}

/// Most doublings of a hold, so that the factor stays in range.
const MAX_DOUBLINGS: u32 = 16;
