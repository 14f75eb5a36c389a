//! State machine that decides which endpoints are ejected, and until when.

use std::time::Duration;

use smallvec::SmallVec;

use crate::health::{Settings, control_chart};
use crate::{entity, map, time};

/// What a request to an endpoint shows about its health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A connection could not be made.
    ConnectFailed,
    /// An answer stalled for longer than its deadline.
    Stalled,
    /// Another endpoint answers at its address.
    Replaced,
    /// An answer was complete.
    Completed,
    /// An answer was complete, and its latency is known.
    CompletedWithLatency {
        /// Time per token of the answer, or of the whole call.
        latency: Duration,
    },
}

/// An endpoint that was ejected or readmitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Whether it may get new work.
    pub usable: bool,
}

/// Changes caused by one event, usually none.
pub type Changes = SmallVec<[Change; 2]>;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Consecutive failures.
    failures: u32,
    ejection: Option<Ejection>,
    /// Ejections since the endpoint was last healthy for [`Settings::max_ejection`].
    ejections: u32,
    readmitted_at: Option<time::Time>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: time::Time,
    slow: bool,
}

/// Health of the endpoints that a host owns.
#[derive(Clone, Debug)]
pub struct Health {
    settings: Settings,
    states: map::EntityMap<entity::EndpointId, State>,
    chart: control_chart::ControlChart,
    interval_ends: time::Time,
}

impl Health {
    /// Creates the state of a host that owns no endpoints yet.
    #[must_use]
    pub fn new(settings: Settings, now: time::Time) -> Self {
        Self {
            settings,
            states: map::EntityMap::new(),
            chart: control_chart::ControlChart::new(),
            interval_ends: now + settings.interval,
        }
    }

    /// Removes an endpoint that the host no longer owns. It counts as usable from then on.
    pub fn remove(&mut self, endpoint: entity::EndpointId) {
        self.states.remove(endpoint);
        self.chart.remove(endpoint);
    }

    /// Handles an observation of an endpoint. Returns the change if the endpoint is ejected.
    pub fn observe(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        observation: Observation,
    ) -> Option<Change> {
        let failures = self.settings.consecutive_failures;
        let state = self.states.get_or_insert_with(endpoint, State::default);
        match observation {
            Observation::Completed => {
                state.failures = 0;
                None
            }
            Observation::CompletedWithLatency { latency } => {
                state.failures = 0;
                self.chart.add(endpoint, latency.as_secs_f64());
                None
            }
            Observation::ConnectFailed | Observation::Stalled => {
                state.failures += 1;
                let on_probation = state.ejections > 0;
                (state.failures >= failures || on_probation)
                    .then(|| self.eject(now, endpoint, false))
                    .flatten()
            }
            Observation::Replaced => {
                // The endpoint is certainly gone from its address, so the ejection lasts for the
                // maximum time.
                state.ejections = MAX_DOUBLINGS;
                self.eject(now, endpoint, false)
            }
        }
    }

    /// Does the periodic work: readmits endpoints, and closes the chart's interval.
    pub fn tick(&mut self, now: time::Time) -> Changes {
        let mut changes = self.readmit_expired(now);
        if now >= self.interval_ends {
            self.interval_ends = now + self.settings.interval;
            for endpoint in self.chart.close_interval() {
                if self.may_eject_slow() {
                    changes.extend(self.eject(now, endpoint, true));
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
            .is_none_or(|state| state.ejection.is_none())
    }

    fn may_eject_slow(&self) -> bool {
        let slow = |state: &&State| state.ejection.is_some_and(|ejection| ejection.slow);
        let ejected = self.states.values().filter(slow).count();
        (ejected + 1) as f64 <= self.settings.max_slow_share * self.states.len() as f64
    }

    fn eject(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        slow: bool,
    ) -> Option<Change> {
        let settings = self.settings;
        let state = self.states.get_mut(endpoint)?;
        if state.ejection.is_some() {
            return None;
        }
        let duration =
            settings.base_ejection * 2_u32.saturating_pow(state.ejections.min(MAX_DOUBLINGS));
        let until = now + duration.min(settings.max_ejection);
        state.ejection = Some(Ejection { until, slow });
        state.ejections += 1;
        state.failures = 0;
        Some(Change {
            endpoint,
            usable: false,
        })
    }

    fn readmit_expired(&mut self, now: time::Time) -> Changes {
        let longest = self.settings.max_ejection;
        let mut changes = Changes::new();
        for (endpoint, state) in self.states.iter_mut() {
            if state.ejection.is_some_and(|ejection| ejection.until <= now) {
                state.ejection = None;
                state.readmitted_at = Some(now);
                changes.push(Change {
                    endpoint,
                    usable: true,
                });
            }
            let recovered = state
                .readmitted_at
                .is_some_and(|at| now.since(at) >= longest);
            if state.ejection.is_none() && recovered {
                state.ejections = 0;
                state.readmitted_at = None;
            }
        }
        changes
    }
}

/// Maximum number of doublings of the ejection time, so that the factor stays in range.
const MAX_DOUBLINGS: u32 = 16;
