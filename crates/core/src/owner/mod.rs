//! Work at the endpoints that a host owns: admission, queueing and completion.
//!
//! The owner of an endpoint is the only host that sends requests to it. Work is admitted while the
//! endpoint has a free slot and its load stays within the [bound](crate::routing::bound) of its
//! pool. Other work waits in the endpoint's queue, which is dispatched under the same rule, or is
//! refused. Methods return the work to dispatch, or to report as queued or refused, as [`Effect`]s.
//!
//! Loads of engines and of services have different units, so each [`Class`] has its own pool.

mod endpoint;

use smallvec::SmallVec;

use crate::routing::bound;
use crate::routing::bound::pool;
use crate::{entity, map, name, queue, reason, request, time, topology, units};

/// An attempt of a request that an entry host offers to the owner of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The attempt, by which effects refer to the work.
    pub id: AttemptId,
    /// Account that the work is charged to.
    pub account: name::AccountName,
    /// Weight of the account.
    pub weight: u32,
    /// Priority within the account.
    pub priority: u8,
    /// Estimated tokens, the cost in the fair queue.
    pub cost: units::Tokens,
    /// Estimated load, in the unit of the endpoint's class.
    pub load: u64,
    /// Endpoints that serve the same target. The bound is relative to their mean load.
    pub pool: SmallVec<[entity::EndpointId; 8]>,
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

/// What the caller has to do with offered work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the work to the endpoint now.
    Dispatch(AttemptId),
    /// Tell the entry host that the work is queued.
    Queued {
        /// The work.
        id: AttemptId,
        /// Number of entries that were queued before it.
        ahead: u32,
    },
    /// Refuse the work. It was not run and will not be.
    Refuse {
        /// The work.
        id: AttemptId,
        /// Reason of the refusal.
        reason: reason::Refusal,
        /// Delay after which it may be offered again, if known.
        retry_after: Option<std::time::Duration>,
    },
}

/// Effects of one call, usually one or two.
pub type Effects = SmallVec<[Effect; 2]>;

/// Settings of an owner.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Load bound of the pools.
    pub bound: bound::Settings,
    /// Bounds on the length of each queue.
    pub queue: queue::Bounds,
}

/// Class of an endpoint, which determines the unit of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A model engine, whose load is in generated tokens.
    Engine,
    /// A plain service, whose load is in calls.
    Service,
}

impl Class {
    /// Class of an endpoint by what it serves.
    #[must_use]
    pub const fn of(serves: &topology::Serves) -> Self {
        match serves {
            topology::Serves::Engine { .. } => Self::Engine,
            topology::Serves::Service { .. } => Self::Service,
        }
    }
}

/// The endpoints that one host owns, with the work at each, and the loads of its domain.
#[derive(Debug)]
pub struct Owner {
    cfg: Config,
    endpoints: map::EntityMap<entity::EndpointId, endpoint::EndpointState>,
    classes: map::EntityMap<entity::EndpointId, Class>,
    engines: pool::Pool,
    services: pool::Pool,
}

impl Owner {
    /// Makes an owner without endpoints.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            endpoints: map::EntityMap::new(),
            classes: map::EntityMap::new(),
            engines: pool::Pool::new(cfg.bound),
            services: pool::Pool::new(cfg.bound),
        }
    }

    /// Adds an endpoint of the host's domain to the pool of its class.
    pub fn join(&mut self, now: time::Time, endpoint: entity::EndpointId, class: Class) {
        self.classes.insert(endpoint, class);
        self.pool_mut(class).join(endpoint, now);
    }

    /// Removes an endpoint from its pool, because it takes no new work.
    pub fn leave(&mut self, endpoint: entity::EndpointId) {
        if let Some(class) = self.classes.remove(endpoint) {
            self.pool_mut(class).leave(endpoint);
        }
    }

    /// Endpoints in the pools.
    pub fn members(&self) -> impl Iterator<Item = entity::EndpointId> {
        self.classes.keys()
    }

    /// Opens an endpoint that the host owns, or updates its slots. Returns whether the host took
    /// ownership with this call. In that case, no work is sent to the endpoint until
    /// [`Owner::record_handover`] or the end of the grace period.
    pub fn open(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        class: Class,
        slots: u32,
    ) -> bool {
        let bounds = self.cfg.queue;
        let state = self
            .endpoints
            .get_or_insert_with(endpoint, || endpoint::EndpointState::new(bounds));
        state.set_slots(slots);
        let running = state.running_load();
        self.classes.insert(endpoint, class);
        let pool = self.pool_mut(class);
        if pool.owns(endpoint) {
            return false;
        }
        pool.take_over(endpoint, 0, now);
        // Work that still runs from an earlier period of ownership.
        pool.add_in_flight(endpoint, running);
        true
    }

    /// Completes the handover of an endpoint: no other host admits work to it any more, and other
    /// hosts have a residual load of `load` in flight there. Called again when that load changes.
    pub fn record_handover(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        load: u64,
    ) -> Effects {
        if let Some(&class) = self.classes.get(endpoint) {
            self.pool_mut(class).record_handover(endpoint, load);
        }
        self.dispatch_queued_at(now, endpoint)
    }

    /// Gives up an endpoint: refuses its queued work and takes no new work. Running work goes on.
    pub fn close(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        reason: reason::Refusal,
    ) -> Effects {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return Effects::new();
        };
        let effects = state.close(reason);
        if state.is_idle() {
            self.endpoints.remove(endpoint);
        }
        if let Some(&class) = self.classes.get(endpoint) {
            self.pool_mut(class).give_up(endpoint, now);
        }
        effects
    }

    /// Whether the host takes new work for the endpoint.
    #[must_use]
    pub fn is_open(&self, endpoint: entity::EndpointId) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(endpoint::EndpointState::is_open)
    }

    /// Updates the view of the load of an endpoint that another host owns.
    pub fn update_view(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        remote: pool::RemoteLoad,
    ) {
        if let Some(&class) = self.classes.get(endpoint) {
            self.pool_mut(class).update_view(endpoint, remote, now);
        }
    }

    /// Offers work for an endpoint.
    pub fn offer(&mut self, now: time::Time, endpoint: entity::EndpointId, work: Work) -> Effects {
        let fits = self.fits(now, endpoint, work.load, &work.pool);
        let Some(state) = self.endpoints.get_mut(endpoint).filter(|s| s.is_open()) else {
            return refuse(work.id, reason::Refusal::NotOwner);
        };
        let load = work.load;
        let effects = state.offer(now, work, fits);
        let dispatched = effects.iter().any(|e| matches!(e, Effect::Dispatch(_)));
        if dispatched && let Some(&class) = self.classes.get(endpoint) {
            self.pool_mut(class).record_start(endpoint, load);
        }
        effects
    }

    /// Ends running work and dispatches queued work of the endpoint. `used` is the actual token
    /// count, if known.
    pub fn finish(
        &mut self,
        now: time::Time,
        endpoint: entity::EndpointId,
        id: AttemptId,
        used: Option<units::Tokens>,
    ) -> Effects {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return Effects::new();
        };
        let ended = state.finish(id, used);
        if !state.is_open() && state.is_idle() {
            self.endpoints.remove(endpoint);
        }
        if let (Some(load), Some(&class)) = (ended, self.classes.get(endpoint)) {
            self.pool_mut(class).complete(endpoint, load, now);
        }
        self.dispatch_queued_at(now, endpoint)
    }

    /// Removes work from the queue, because its caller is gone. Returns whether it was queued.
    pub fn cancel(&mut self, endpoint: entity::EndpointId, id: AttemptId) -> bool {
        self.endpoints
            .get_mut(endpoint)
            .is_some_and(|state| state.cancel(id))
    }

    /// Dispatches queued work that became admissible without a call for its endpoint, because the
    /// mean load rose or a grace period ended.
    pub fn dispatch_queued(&mut self, now: time::Time) -> Effects {
        let open: SmallVec<[entity::EndpointId; 8]> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.has_queued())
            .map(|(endpoint, _)| endpoint)
            .collect();
        open.into_iter()
            .flat_map(|endpoint| self.dispatch_queued_at(now, endpoint))
            .collect()
    }

    /// Dispatches queued work of an endpoint while it has a free slot and the bound allows it.
    fn dispatch_queued_at(&mut self, now: time::Time, endpoint: entity::EndpointId) -> Effects {
        // Expired work is refused first, so that the entry checked against the bound is the one
        // that `start_next` pops.
        let mut effects = match self.endpoints.get_mut(endpoint) {
            Some(state) => state.expire(now),
            None => return Effects::new(),
        };
        while let Some(next) = self
            .endpoints
            .get(endpoint)
            .and_then(endpoint::EndpointState::next_startable)
        {
            let load = next.load;
            let pool = next.pool.clone();
            if !self.fits(now, endpoint, load, &pool) {
                break;
            }
            let Some(state) = self.endpoints.get_mut(endpoint) else {
                break;
            };
            let Some(started) = state.start_next(now, &mut effects) else {
                continue;
            };
            if let Some(&class) = self.classes.get(endpoint) {
                self.pool_mut(class).record_start(endpoint, started);
            }
        }
        effects
    }

    /// Refuses queued work that can no longer start before its deadline.
    pub fn expire(&mut self, now: time::Time) -> Effects {
        self.endpoints
            .iter_mut()
            .flat_map(|(_, state)| state.expire(now))
            .collect()
    }

    /// Number of endpoints that the host takes new work for.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|state| state.is_open())
            .count()
    }

    /// Endpoints that the host takes new work for.
    pub fn open_ids(&self) -> impl Iterator<Item = entity::EndpointId> {
        self.endpoints
            .iter()
            .filter(|(_, state)| state.is_open())
            .map(|(endpoint, _)| endpoint)
    }

    /// Loads of the owned endpoints whose handover is complete or whose grace period is over.
    pub fn owned_loads(&self) -> impl Iterator<Item = (entity::EndpointId, u64)> {
        self.engines
            .owned_loads()
            .chain(self.services.owned_loads())
    }

    /// Load that this host still has in flight at an endpoint that it gave up.
    #[must_use]
    pub fn residual_load(&self, endpoint: entity::EndpointId) -> u64 {
        self.endpoints
            .get(endpoint)
            .filter(|state| !state.is_open())
            .map_or(0, endpoint::EndpointState::running_load)
    }

    /// Number of requests that run or wait, over all endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints
            .values()
            .map(endpoint::EndpointState::len)
            .sum()
    }

    /// Whether no request runs or waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the bound relative to the mean load of `members` allows `load` more at an endpoint.
    fn fits(
        &self,
        now: time::Time,
        endpoint: entity::EndpointId,
        load: u64,
        members: &[entity::EndpointId],
    ) -> bool {
        let Some(&class) = self.classes.get(endpoint) else {
            return false;
        };
        let pool = match class {
            Class::Engine => &self.engines,
            Class::Service => &self.services,
        };
        let mean = pool.mean_of(members.iter().copied(), now);
        pool.check_against(endpoint, load, &mean, now).is_ok()
    }

    fn pool_mut(&mut self, class: Class) -> &mut pool::Pool {
        match class {
            Class::Engine => &mut self.engines,
            Class::Service => &mut self.services,
        }
    }
}

fn refuse(id: AttemptId, reason: reason::Refusal) -> Effects {
    smallvec::smallvec![Effect::Refuse {
        id,
        reason,
        retry_after: None
    }]
}
