//! Loads of the endpoints of one pool, and admission to the endpoints that the host owns.

use std::time::Duration;

use crate::routing::bound::{self, completions, member};
use crate::{entity, map, time};

pub use member::Mean;

/// Scale of [`bound::Multiple::as_hundredths`].
const HUNDREDTHS: u128 = 100;

/// Maximum load of an endpoint; larger values are clamped, so that sums over a pool cannot
/// overflow.
const MAX_LOAD: u64 = 1 << 40;

/// Why a pool refused a request. Nothing was sent to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The host does not own the endpoint.
    NotOwned,
    /// The host is taking over the endpoint and does not know the former owner's load yet.
    TakingOver,
    /// The endpoint is at its load bound.
    AtBound,
}

/// Load of an endpoint that another host owns, as reported by that host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteLoad {
    /// Load of the endpoint.
    pub load: u64,
    /// Age of the observation.
    pub age: Duration,
    /// Whether the other host reports every change immediately from now on, or `None` if the
    /// message does not say.
    pub pushes_changes: Option<bool>,
}

#[derive(Clone, Copy, Debug)]
enum Member {
    Owned(member::Owned),
    Other(member::View),
}

/// Endpoints of one pool in one failure domain, with the load of each.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: bound::Settings,
    members: map::EntityMap<entity::EndpointId, Member>,
    completions: completions::CompletionStats,
}

impl Pool {
    /// Makes a pool without endpoints.
    #[must_use]
    pub fn new(settings: bound::Settings) -> Self {
        Self {
            settings,
            members: map::EntityMap::new(),
            completions: completions::CompletionStats::default(),
        }
    }

    /// Adds an endpoint of another host, which counts as idle until its first view. An endpoint
    /// that is already in the pool is not changed.
    pub fn join(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        let idle = member::View {
            load: 0,
            observed_at: now,
            pushes_changes: false,
        };
        self.members
            .get_or_insert_with(endpoint, || Member::Other(idle));
    }

    /// Removes an endpoint.
    pub fn leave(&mut self, endpoint: entity::EndpointId) {
        self.members.remove(endpoint);
    }

    /// Takes ownership of an endpoint. `report` is the load that the endpoint last reported itself.
    ///
    /// Nothing is admitted until [`Pool::record_handover`], or until the grace period has passed
    /// without a view from the former owner.
    pub fn take_over(&mut self, endpoint: entity::EndpointId, report: u64, now: time::Time) {
        if let Some(Member::Owned(_)) = self.members.get(endpoint) {
            return;
        }
        let owned = member::Owned {
            foreign: report.min(MAX_LOAD),
            foreign_lower_bound: report.min(MAX_LOAD),
            foreign_updated_at: now,
            former_owner_expires_at: Some(now + self.settings.grace),
            contested_until: now + self.settings.grace + self.settings.contested,
            ..member::Owned::default()
        };
        self.members.insert(endpoint, Member::Owned(owned));
    }

    /// Completes the handover: the former owner admits no more work and has a residual load of
    /// `load` in flight.
    pub fn record_handover(&mut self, endpoint: entity::EndpointId, load: u64) {
        if let Some(Member::Owned(owned)) = self.members.get_mut(endpoint) {
            owned.former_owner_expires_at = None;
            owned.contested_until = time::Time::ZERO;
            owned.foreign = load.min(MAX_LOAD);
            owned.foreign_lower_bound = owned.foreign;
        }
    }

    /// Gives up ownership of an endpoint and returns its load, which becomes the first view of it.
    pub fn give_up(&mut self, endpoint: entity::EndpointId, now: time::Time) -> u64 {
        let Some(Member::Owned(owned)) = self.members.get(endpoint).copied() else {
            return 0;
        };
        let view = member::View {
            load: owned.load(),
            observed_at: now,
            pushes_changes: false,
        };
        self.members.insert(endpoint, Member::Other(view));
        owned.load()
    }

    /// Updates the view of an endpoint that another host owns. An older observation is ignored.
    ///
    /// If this host is taking over the endpoint, the former owner still admits work to it, so the
    /// grace period is extended.
    pub fn update_view(
        &mut self,
        endpoint: entity::EndpointId,
        remote: RemoteLoad,
        now: time::Time,
    ) {
        let observed_at = now - remote.age;
        let load = remote.load.min(MAX_LOAD);
        match self.members.get_mut(endpoint) {
            Some(Member::Owned(owned)) => {
                if let Some(until) = &mut owned.former_owner_expires_at {
                    *until = (*until).max(observed_at + self.settings.grace);
                    owned.foreign = load;
                    owned.foreign_lower_bound = load;
                }
            }
            Some(Member::Other(view)) if view.observed_at < observed_at => {
                let pushes_changes = remote.pushes_changes.unwrap_or(view.pushes_changes);
                *view = member::View {
                    load,
                    observed_at,
                    pushes_changes,
                };
            }
            Some(Member::Other(_)) | None => {}
        }
    }

    /// Applies the load that an owned endpoint reports itself, at most one report interval late.
    pub fn apply_report(&mut self, endpoint: entity::EndpointId, load: u64, now: time::Time) {
        if let Some(Member::Owned(owned)) = self.members.get_mut(endpoint) {
            owned.apply_report(load.min(MAX_LOAD), self.settings.contested, now);
        }
    }

    /// Mean load of the whole pool.
    #[must_use]
    pub fn mean(&self, now: time::Time) -> Mean {
        self.mean_of(self.members.keys(), now)
    }

    /// Mean load of the given endpoints. Endpoints that are not in the pool are left out.
    #[must_use]
    pub fn mean_of<I>(&self, endpoints: I, now: time::Time) -> Mean
    where
        I: IntoIterator<Item = entity::EndpointId>,
    {
        let mut sum = member::LoadSum::default();
        for endpoint in endpoints {
            match self.members.get(endpoint) {
                Some(Member::Owned(owned)) => sum.add_owned(owned, now),
                Some(Member::Other(view)) => {
                    sum.add_view(view, self.settings.view_horizon, now);
                }
                None => {}
            }
        }
        let margin = self
            .completions
            .staleness_margin(sum.staleness_s, self.owned(), now);
        sum.mean(margin.ceil() as u64)
    }

    /// Checks whether a request of this cost may be sent to the endpoint now, under the bound
    /// relative to the mean of the whole pool.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check(
        &self,
        endpoint: entity::EndpointId,
        cost: u64,
        now: time::Time,
    ) -> Result<(), Refused> {
        self.check_against(endpoint, cost, &self.mean(now), now)
    }

    /// Checks whether a request of this cost may be sent to the endpoint now, under the bound
    /// relative to `mean`.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check_against(
        &self,
        endpoint: entity::EndpointId,
        cost: u64,
        mean: &Mean,
        now: time::Time,
    ) -> Result<(), Refused> {
        let Some(Member::Owned(owned)) = self.members.get(endpoint) else {
            return Err(Refused::NotOwned);
        };
        if owned
            .former_owner_expires_at
            .is_some_and(|until| now < until)
        {
            return Err(Refused::TakingOver);
        }
        let fits = if now < owned.contested_until {
            let reserve = self.completions.large_cost() as u64;
            fits_in_mean(owned.load(), cost.saturating_add(reserve), mean)
        } else {
            self.fits(owned.load(), cost, mean)
        };
        if fits { Ok(()) } else { Err(Refused::AtBound) }
    }

    /// Whether a load may grow by `cost` under the bound relative to `mean`.
    #[must_use]
    pub fn fits(&self, load: u64, cost: u64, mean: &Mean) -> bool {
        let members = u128::from(mean.members.max(1));
        if load <= mean.min_load || u128::from(load) * members <= u128::from(mean.sum_lower_bound) {
            return true;
        }
        let after = u128::from(load) + u128::from(cost);
        let sum = u128::from(mean.sum_lower_bound) + u128::from(cost);
        let limit = sum * u128::from(self.settings.multiple.as_hundredths());
        after * members * HUNDREDTHS <= limit
    }

    /// Admits a request to an endpoint and counts its cost until [`Pool::complete`].
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted. The pool is unchanged.
    pub fn admit(
        &mut self,
        endpoint: entity::EndpointId,
        cost: u64,
        now: time::Time,
    ) -> Result<(), Refused> {
        self.check(endpoint, cost, now)?;
        self.record_start(endpoint, cost);
        Ok(())
    }

    /// Adds work that this host still has in flight from an earlier period of ownership.
    pub fn add_in_flight(&mut self, endpoint: entity::EndpointId, load: u64) {
        if let Some(Member::Owned(owned)) = self.members.get_mut(endpoint) {
            owned.own = owned.own.saturating_add(load).min(MAX_LOAD);
            owned.update_extremes();
        }
    }

    /// Counts the cost of a request that [`Pool::check_against`] admitted, until
    /// [`Pool::complete`]. A takeover of the endpoint that was in progress is complete.
    pub fn record_start(&mut self, endpoint: entity::EndpointId, cost: u64) {
        if let Some(Member::Owned(owned)) = self.members.get_mut(endpoint) {
            owned.former_owner_expires_at = None;
            owned.own = owned.own.saturating_add(cost).min(MAX_LOAD);
            owned.update_extremes();
            self.completions.record_admission(cost);
        }
    }

    /// Records that an admitted request of this cost has ended. Has no effect for an endpoint that
    /// was given up, whose requests are no longer counted here.
    pub fn complete(&mut self, endpoint: entity::EndpointId, cost: u64, now: time::Time) {
        if let Some(Member::Owned(owned)) = self.members.get_mut(endpoint) {
            owned.own = owned.own.saturating_sub(cost);
            owned.update_extremes();
            self.completions.record_completion(now);
        }
    }

    /// Load of an endpoint, or `None` if it is not in the pool or its view has expired.
    #[must_use]
    pub fn load(&self, endpoint: entity::EndpointId, now: time::Time) -> Option<u64> {
        match self.members.get(endpoint)? {
            Member::Owned(owned) => Some(owned.load()),
            Member::Other(view) => {
                let fresh = now.since(view.observed_at) <= self.settings.view_horizon;
                fresh.then_some(view.load)
            }
        }
    }

    /// Whether the endpoint is in the pool.
    #[must_use]
    pub fn contains(&self, endpoint: entity::EndpointId) -> bool {
        self.members.contains(endpoint)
    }

    /// Whether this host owns the endpoint.
    #[must_use]
    pub fn owns(&self, endpoint: entity::EndpointId) -> bool {
        matches!(self.members.get(endpoint), Some(Member::Owned(_)))
    }

    /// Loads of the owned endpoints to report to other hosts, without endpoints that are being
    /// taken over.
    pub fn owned_loads(&self) -> impl Iterator<Item = (entity::EndpointId, u64)> {
        self.members.iter().filter_map(|(id, member)| match member {
            Member::Owned(owned) if owned.former_owner_expires_at.is_none() => {
                Some((id, owned.load_lower_bound()))
            }
            _ => None,
        })
    }

    /// Expected time until the bound admits a request of this cost, or `None` if the load or the
    /// completion rate is unknown.
    #[must_use]
    pub fn expected_wait(
        &self,
        endpoint: entity::EndpointId,
        cost: u64,
        mean: &Mean,
        now: time::Time,
    ) -> Option<Duration> {
        let load = self.load(endpoint, now)?;
        if self.fits(load, cost, mean) {
            return Some(Duration::ZERO);
        }
        let members = mean.members.max(1) as f64;
        let limit = (mean.sum_lower_bound as f64 + cost as f64) / members
            * self.settings.multiple.as_ratio();
        let excess = (load as f64 + cost as f64 - limit).min(load as f64 - mean.as_ratio());
        self.completions.time_to_complete(excess, self.owned(), now)
    }

    fn owned(&self) -> usize {
        let owned = |member: &&Member| matches!(member, Member::Owned(_));
        self.members.values().filter(owned).count()
    }
}

/// Whether a load may grow by `cost` at a contested endpoint, where only the mean is allowed. The
/// cost includes a large request that the other owner may admit at the same time.
fn fits_in_mean(load: u64, cost: u64, mean: &Mean) -> bool {
    let after = u128::from(load) + u128::from(cost);
    let idle = load == 0 && mean.sum == 0;
    idle || after * u128::from(mean.members.max(1)) <= u128::from(mean.sum_lower_bound)
}
