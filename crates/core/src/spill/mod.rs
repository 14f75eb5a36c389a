//! Share of each service's requests that leave the failure domain of this host.
//!
//! The loads of all endpoints, as hosts report them to each other, give the [wait](balance) in each
//! domain. While the own domain is fuller than the others, a [share](share) of the requests may leave
//! without a price, and the others pay what the other domain is emptier by, up to a bound. All hosts decide
//! by the same reports, each for its own requests, so together they send the share and no more. Homes and
//! holders of a prompt keep the constant price, so that hosts go on to agree on them. The prices enter the
//! cost model of [`choice`](crate::choice), which still compares all endpoints: no price closes an endpoint.

pub mod balance;
mod quote;
mod share;

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::choice::cost;
use crate::time;

pub use balance::DomainLoad;
pub use quote::{Departure, Quote};

/// Age of the newest report from which on the loads of other hosts count as unknown. Hosts whose load
/// does not change are silent for up to 1 s.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Longest time between two updates that moves a share. A host that was paused has seen nothing
/// meanwhile.
const MAX_STEP: Duration = Duration::from_millis(200);

/// Least change of a share that is reported while the state stays the same.
const REPORTED_CHANGE: f64 = 0.25;

/// How requests of a service leave the domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// The loads of other hosts are too old or missing: leaving has the constant price.
    #[default]
    Unknown,
    /// Leaving has the constant price.
    Calm,
    /// The own domain is fuller than others: a share of the requests leaves.
    Spilling,
    /// The own domain has no usable endpoint: leaving has no price.
    NoLocal,
}

impl State {
    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Calm => "calm",
            Self::Spilling => "spilling",
            Self::NoLocal => "no_local",
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Change of how requests of a service leave the domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The service.
    pub service: Arc<str>,
    /// The new state.
    pub state: State,
    /// Share of the requests that may leave, from 0 to 1.
    pub share: f64,
    /// Predicted wait in the own domain, in milliseconds.
    pub own_ms: f64,
    /// Predicted wait in the emptiest other domain, in milliseconds, if there is one.
    pub other_ms: Option<f64>,
}

/// State of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    demand: cost::Demand,
    state: State,
    share: share::Share,
    balance: balance::Balance,
    updated_at: Option<time::Time>,
    /// State and share of the last [`Change`].
    reported: (State, f64),
}

/// How requests leave the failure domain of one host, for each service that is asked for there.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    params: cost::Parameters,
    services: HashMap<Arc<str>, Service>,
}

impl Spill {
    /// Creates the state of a host whose choice has these parameters.
    #[must_use]
    pub fn new(params: cost::Parameters) -> Self {
        Self {
            params,
            services: HashMap::new(),
        }
    }

    /// Records that a service is asked for. Services that are not have no share.
    pub fn record_request(&mut self, service: &Arc<str>, demand: cost::Demand) {
        match self.services.get_mut(service) {
            Some(entry) => entry.demand = demand,
            None => {
                let entry = Service {
                    demand,
                    ..Service::default()
                };
                self.services.insert(service.clone(), entry);
            }
        }
    }

    /// Services that are asked for.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Forgets services that `is_present` denies.
    pub fn retain<F>(&mut self, is_present: F)
    where
        F: Fn(&str) -> bool,
    {
        self.services.retain(|service, _| is_present(service));
    }

    /// Updates the share of a service from the loads of its usable endpoints. `heard_at` is when a message
    /// of another host last arrived, or `None` if none ever did. Returns a change worth a log line.
    pub fn update(
        &mut self,
        service: &Arc<str>,
        loads: &[DomainLoad],
        heard_at: Option<time::Time>,
        now: time::Time,
    ) -> Option<Change> {
        let entry = self.services.get_mut(service)?;
        let updated_at = entry.updated_at.replace(now).unwrap_or(now);
        let step = now.since(updated_at).min(MAX_STEP);
        entry.balance = balance::Balance::new(loads, entry.demand, &self.params);
        let is_fresh = heard_at.is_some_and(|at| now.since(at) <= MAX_REPORT_AGE);
        entry.state = match () {
            () if !entry.balance.has_own() && entry.balance.has_others() => State::NoLocal,
            () if !is_fresh => State::Unknown,
            () if !entry.balance.has_others() || !entry.balance.has_own() => State::Calm,
            () if entry
                .share
                .update(&entry.balance, entry.demand, &self.params, step) =>
            {
                State::Spilling
            }
            () => State::Calm,
        };
        if entry.state != State::Spilling && !(is_fresh && entry.balance.is_comparable()) {
            entry.share = share::Share::default();
        }
        entry.take_change(service)
    }

    /// Terms on which a request may leave, by the loads of the usable endpoints at its time. `seed`
    /// differs between requests.
    #[must_use]
    pub fn quote(&self, service: &str, loads: &[DomainLoad], seed: u64) -> Quote {
        let unknown = Service::default();
        let entry = self.services.get(service).unwrap_or(&unknown);
        let balance = balance::Balance::new(loads, entry.demand, &self.params);
        let terms = (entry.state, entry.share.value());
        Quote::new(terms, balance, self.params, seed)
    }

    /// Share of the requests of a service that may leave, from 0 to 1.
    #[must_use]
    pub fn share(&self, service: &str) -> f64 {
        let entry = self.services.get(service);
        entry.map_or(0.0, Service::effective_share)
    }

    /// State of a service.
    #[must_use]
    pub fn state(&self, service: &str) -> State {
        let entry = self.services.get(service);
        entry.map_or(State::Unknown, |entry| entry.state)
    }
}

impl Service {
    fn effective_share(&self) -> f64 {
        match self.state {
            State::Spilling => self.share.value(),
            State::NoLocal => 1.0,
            State::Unknown | State::Calm => 0.0,
        }
    }

    /// Returns the change since the last one that was returned, if it is worth a log line. The first
    /// state of a service is no change if nothing leaves for another reason than its cost.
    fn take_change(&mut self, service: &Arc<str>) -> Option<Change> {
        let share = self.effective_share();
        let (state, reported) = self.reported;
        let is_quiet = |state| matches!(state, State::Unknown | State::Calm);
        let is_same = state == self.state || (is_quiet(state) && is_quiet(self.state));
        if is_same && (share - reported).abs() < REPORTED_CHANGE {
            return None;
        }
        self.reported = (self.state, share);
        Some(Change {
            service: service.clone(),
            state: self.state,
            share,
            own_ms: self.balance.own_ms(),
            other_ms: self.balance.emptiest_ms(),
        })
    }
}
