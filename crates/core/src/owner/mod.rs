//! Work at the endpoints that a host owns: admission, queueing and completion.
//!
//! The owner is the one host that calls an endpoint. Work is admitted while the endpoint has a
//! free slot and its load stays within a set multiple of the mean of its pool; otherwise it is
//! refused before running or waits in the endpoint's queue. Each method gives the work that has
//! to be dispatched or refused now as [`Effect`]s.

mod load;
mod station;

use smallvec::SmallVec;

use crate::{entity, map, name, queue, reason, request, time, units};

pub use load::{Loads, Reading};

/// Work that an entry host offers for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Attempt of a request, which the effects name.
    pub id: AttemptId,
    /// Account that the work is charged to.
    pub account: name::AccountName,
    /// Weight of the account.
    pub weight: u32,
    /// Priority within the account.
    pub priority: u8,
    /// Estimated work.
    pub cost: units::Tokens,
    /// Latest time at which the work may start.
    pub deadline: time::Time,
    /// Whether the work may wait in the endpoint's queue.
    pub may_queue: bool,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: request::RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
}

/// What has to be done with offered work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The work is sent to the endpoint now.
    Dispatch(AttemptId),
    /// The work waits behind others.
    Queued {
        /// The work.
        id: AttemptId,
        /// Entries in the queue before it.
        ahead: u32,
    },
    /// The work was not run and will not be.
    Refuse {
        /// The work.
        id: AttemptId,
        /// Why.
        reason: reason::Refusal,
        /// Delay after which it may be offered again.
        retry_after: Option<std::time::Duration>,
    },
}

/// Effects of one call, mostly one or two.
pub type Effects = SmallVec<[Effect; 2]>;

/// Settings of an owner.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Largest load of an endpoint as a multiple of the mean of its pool. At least 1.
    pub load_multiple: f64,
    /// Lengths at which a queue refuses.
    pub queue: queue::Bounds,
}

/// The endpoints that one host owns, and the work at them.
#[derive(Debug)]
pub struct Owner {
    cfg: Config,
    stations: map::EntityMap<entity::EndpointId, station::Station>,
    loads: Loads,
}

impl Owner {
    /// Makes an owner without endpoints.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            stations: map::EntityMap::new(),
            loads: Loads::new(),
        }
    }

    /// Starts or updates the work at an endpoint that the host owns.
    pub fn open(&mut self, endpoint: entity::EndpointId, slots: u32) {
        let bounds = self.cfg.queue;
        let station = self
            .stations
            .get_or_insert_with(endpoint, || station::Station::new(bounds));
        station.set_slots(slots);
    }

    /// Stops taking new work for an endpoint and refuses what waits for it. Running work goes on.
    pub fn shut(&mut self, endpoint: entity::EndpointId, reason: reason::Refusal) -> Effects {
        let Some(station) = self.stations.get_mut(endpoint) else {
            return Effects::new();
        };
        let effects = station.shut(reason);
        if station.is_idle() {
            self.stations.remove(endpoint);
            self.loads.remove(endpoint);
        }
        effects
    }

    /// Whether the host takes new work for the endpoint.
    #[must_use]
    pub fn is_open(&self, endpoint: entity::EndpointId) -> bool {
        self.stations
            .get(endpoint)
            .is_some_and(station::Station::is_open)
    }

    /// Takes in the load of an endpoint of another owner, or an endpoint's own report.
    pub fn observe(&mut self, endpoint: entity::EndpointId, reading: Reading) {
        if !self.stations.contains(endpoint) {
            self.loads.observe(endpoint, reading);
        }
    }

    /// Offers work for an endpoint whose pool is `pool`.
    pub fn offer(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        pool: &[entity::EndpointId],
        work: Work,
    ) -> Effects {
        let bound = self.bound(now, endpoint, pool, work.cost);
        let Some(station) = self.stations.get_mut(endpoint).filter(|s| s.is_open()) else {
            return refuse(work.id, reason::Refusal::NotOwner);
        };
        let effects = station.offer(now, work, bound);
        self.loads.set_exact(endpoint, station.load());
        effects
    }

    /// Ends running work and starts what waits behind it.
    pub fn finish(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        id: AttemptId,
        used: Option<units::Tokens>,
    ) -> Effects {
        let Some(station) = self.stations.get_mut(endpoint) else {
            return Effects::new();
        };
        let effects = station.finish(now, id, used);
        self.loads.set_exact(endpoint, station.load());
        if !station.is_open() && station.is_idle() {
            self.stations.remove(endpoint);
            self.loads.remove(endpoint);
        }
        effects
    }

    /// Takes work out of the queue, because its caller went away.
    pub fn abandon(&mut self, endpoint: entity::EndpointId, id: AttemptId) -> bool {
        let Some(station) = self.stations.get_mut(endpoint) else {
            return false;
        };
        let was_queued = station.abandon(id);
        self.loads.set_exact(endpoint, station.load());
        was_queued
    }

    /// Refuses the queued work whose deadline can no longer be met.
    pub fn expire(&mut self, now: time::Time) -> Effects {
        self.stations
            .iter_mut()
            .flat_map(|(_, station)| station.expire(now))
            .collect()
    }

    /// Number of endpoints that the host takes new work for.
    #[must_use]
    pub fn open_endpoints(&self) -> usize {
        self.stations
            .values()
            .filter(|station| station.is_open())
            .count()
    }

    /// Loads of the owned endpoints.
    pub fn loads(&self) -> impl Iterator<Item = (entity::EndpointId, units::Tokens)> {
        self.stations
            .iter()
            .map(|(endpoint, station)| (endpoint, station.load()))
    }

    /// Work that runs and waits over all endpoints, in requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.stations.values().map(station::Station::len).sum()
    }

    /// Whether no work runs or waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Largest load that the endpoint may have with the new work, one request at least.
    fn bound(
        &self,
        now: time::Time,
        endpoint: entity::EndpointId,
        pool: &[entity::EndpointId],
        cost: units::Tokens,
    ) -> units::Tokens {
        let mean = self.loads.mean_with(now, endpoint, pool, cost);
        let bound = (mean * self.cfg.load_multiple).floor();
        units::Tokens(bound as u64).max(cost)
    }
}

fn refuse(id: AttemptId, reason: reason::Refusal) -> Effects {
    smallvec::smallvec![Effect::Refuse {
        id,
        reason,
        retry_after: None
    }]
}
