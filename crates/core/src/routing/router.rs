//! Routing state of one host for the endpoints of one target in its failure domain.
//!
//! A request first goes to the owner of the chat's first candidate. That owner knows the location
//! of the chat's prefix, so it [decides](TargetRouter::decide) which endpoint serves the request.
//! The owner of that endpoint [admits](TargetRouter::admit) the request, or refuses it before
//! anything is sent to the endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::routing::{bound, cache, candidates, chat_locations, spill};
use crate::{entity, map, request, time, units};

/// Settings of routing.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Load bound.
    pub bound: bound::Settings,
    /// Views of the prefix caches.
    pub cache: cache::Settings,
    /// Decision between the holder of a prefix and other endpoints.
    pub spill: spill::Settings,
}

/// The properties of a request that the decision depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteRequest<'a> {
    /// Chat of the request, if it has one.
    pub chat: Option<request::ChatKey>,
    /// Tokens of the prompt.
    pub prompt: units::Tokens,
    /// Estimated work, in the unit of the pool's loads.
    pub cost: u64,
    /// Candidates, best first.
    pub candidates: &'a [entity::EndpointId],
    /// Endpoints that have already refused the request.
    pub refused: &'a [entity::EndpointId],
    /// Whether the request may wait for the holder of its prefix.
    pub may_wait: bool,
}

/// Routing state of one host for the endpoints of one target in its domain.
#[derive(Clone, Debug)]
pub struct TargetRouter {
    settings: Settings,
    pool: bound::pool::Pool,
    /// Views of the caches of the owned endpoints.
    caches: map::EntityMap<entity::EndpointId, cache::View>,
    chat_locations: chat_locations::ChatLocations,
    chooser: spill::Chooser,
}

impl TargetRouter {
    /// Makes the state of a host that owns no endpoints.
    #[must_use]
    pub fn new(settings: Settings, now: time::Time) -> Self {
        Self {
            settings,
            pool: bound::pool::Pool::new(settings.bound),
            caches: map::EntityMap::new(),
            chat_locations: chat_locations::ChatLocations::default(),
            chooser: spill::Chooser::new(settings.spill, now),
        }
    }

    /// Loads of the pool.
    #[must_use]
    pub fn pool(&self) -> &bound::pool::Pool {
        &self.pool
    }

    /// Loads of the pool, to update with views and reports.
    pub fn pool_mut(&mut self) -> &mut bound::pool::Pool {
        &mut self.pool
    }

    /// Takes ownership of an endpoint that last reported a load of `report`. The caller fetches a
    /// snapshot of the endpoint's cache.
    pub fn take_over(&mut self, endpoint: entity::EndpointId, report: u64, now: time::Time) {
        self.pool.take_over(endpoint, report, now);
        let settings = self.settings.cache;
        self.caches
            .get_or_insert_with(endpoint, || cache::View::new(settings));
    }

    /// Gives up ownership of an endpoint and returns its load.
    pub fn give_up(&mut self, endpoint: entity::EndpointId, now: time::Time) -> u64 {
        self.caches.remove(endpoint);
        self.pool.give_up(endpoint, now)
    }

    /// Removes an endpoint that is leaving or no longer in the host list.
    pub fn leave(&mut self, endpoint: entity::EndpointId) {
        self.caches.remove(endpoint);
        self.pool.leave(endpoint);
    }

    /// View of an owned endpoint's cache.
    #[must_use]
    pub fn cache(&self, endpoint: entity::EndpointId) -> Option<&cache::View> {
        self.caches.get(endpoint)
    }

    /// Applies a cache event of an owned endpoint.
    pub fn apply_cache_event(
        &mut self,
        endpoint: entity::EndpointId,
        event: cache::Event,
    ) -> cache::FollowUp {
        match self.caches.get_mut(endpoint) {
            Some(view) => view.apply_event(event),
            None => cache::FollowUp::None,
        }
    }

    /// Loads a snapshot of an owned endpoint's cache that includes every event before `next`.
    pub fn load_cache_snapshot<I>(&mut self, endpoint: entity::EndpointId, next: u64, entries: I)
    where
        I: IntoIterator<Item = (request::ChatKey, units::Tokens)>,
    {
        if let Some(view) = self.caches.get_mut(endpoint) {
            view.load_snapshot(next, entries);
        }
    }

    /// Records the location of a chat whose first candidate this host owns.
    pub fn record_location(&mut self, location: chat_locations::ChatLocation) {
        self.chat_locations.record(location);
    }

    /// Removes the location of a chat that is back at its first candidate, or no longer cached.
    pub fn remove_location(&mut self, chat: request::ChatKey) {
        self.chat_locations.remove(chat);
    }

    /// Decides where a request is sent, or `None` if no candidate admits it and it should not wait
    /// for one.
    pub fn decide(
        &mut self,
        request: &RouteRequest<'_>,
        now: time::Time,
    ) -> Option<spill::Decision> {
        let mean = self.pool.mean(now);
        let location = request
            .chat
            .and_then(|chat| self.chat_locations.get(chat))
            .copied();
        let mut ids: SmallVec<[entity::EndpointId; spill::MAX_OPTIONS]> = request
            .candidates
            .iter()
            .copied()
            .take(candidates::MAX_CANDIDATES)
            .collect();
        if let Some(location) = location
            && !ids.contains(&location.endpoint)
        {
            ids.truncate(spill::MAX_OPTIONS - 1);
            ids.push(location.endpoint);
        }
        let options: SmallVec<[spill::EndpointOption; spill::MAX_OPTIONS]> = ids
            .iter()
            .map(|id| self.option(*id, request, location.as_ref(), &mean, now))
            .collect();
        self.chooser
            .choose(request.prompt, request.cost, &options, now)
    }

    fn option(
        &self,
        endpoint: entity::EndpointId,
        request: &RouteRequest<'_>,
        location: Option<&chat_locations::ChatLocation>,
        mean: &bound::pool::Mean,
        now: time::Time,
    ) -> spill::EndpointOption {
        let load = self.pool.load(endpoint, now);
        let listed = request.candidates.contains(&endpoint);
        let open = listed && !request.refused.contains(&endpoint);
        let wait = if open {
            self.expected_wait(endpoint, request, load, mean, now)
        } else {
            None
        };
        spill::EndpointOption {
            endpoint,
            held: self
                .held_tokens(endpoint, request.chat, location)
                .min(request.prompt),
            load,
            mean: mean.as_ratio(),
            remote: !self.pool.contains(endpoint),
            wait,
        }
    }

    fn expected_wait(
        &self,
        endpoint: entity::EndpointId,
        request: &RouteRequest<'_>,
        load: Option<u64>,
        mean: &bound::pool::Mean,
        now: time::Time,
    ) -> Option<Duration> {
        match self.pool.check(endpoint, request.cost, now) {
            Ok(()) => return Some(Duration::ZERO),
            Err(bound::pool::Refused::TakingOver) => return None,
            Err(bound::pool::Refused::NotOwned | bound::pool::Refused::AtBound) => {}
        }
        let owned = self.pool.owns(endpoint);
        if !owned && load.is_none_or(|load| self.pool.fits(load, request.cost, mean)) {
            return Some(Duration::ZERO);
        }
        if !request.may_wait {
            return None;
        }
        self.pool.expected_wait(endpoint, request.cost, mean, now)
    }

    fn held_tokens(
        &self,
        endpoint: entity::EndpointId,
        chat: Option<request::ChatKey>,
        location: Option<&chat_locations::ChatLocation>,
    ) -> units::Tokens {
        let Some(chat) = chat else {
            return units::Tokens::ZERO;
        };
        let recorded = location.filter(|location| location.endpoint == endpoint);
        let recorded = recorded.map_or(units::Tokens::ZERO, |location| location.tokens);
        let viewed = self.caches.get(endpoint).map(|view| view.tokens(chat));
        viewed.unwrap_or(recorded)
    }

    /// Admits a request to an owned endpoint and counts its cost until [`TargetRouter::complete`].
    /// `tokens` is the length of the chat including the request and its answer.
    ///
    /// # Errors
    ///
    /// Returns why the endpoint is not sent the request. The state is unchanged.
    pub fn admit(
        &mut self,
        endpoint: entity::EndpointId,
        chat: Option<request::ChatKey>,
        tokens: units::Tokens,
        cost: u64,
        now: time::Time,
    ) -> Result<(), bound::pool::Refused> {
        self.pool.admit(endpoint, cost, now)?;
        if let (Some(chat), Some(view)) = (chat, self.caches.get_mut(endpoint)) {
            view.record_sent(chat, tokens);
        }
        Ok(())
    }

    /// Records that an admitted request of this cost has ended.
    pub fn complete(&mut self, endpoint: entity::EndpointId, cost: u64, now: time::Time) {
        self.pool.complete(endpoint, cost, now);
    }

    /// Locations of the chats that an owned endpoint holds and whose first candidate is now another
    /// endpoint, by the owner of that first candidate, which has to be notified.
    ///
    /// Called after the candidates changed because an endpoint joined, left or is leaving. Returns
    /// at most `bound` locations, those of the lowest chat keys.
    #[must_use]
    pub fn moved_chats<F>(
        &self,
        endpoint: entity::EndpointId,
        bound: usize,
        first_owner: F,
    ) -> BTreeMap<entity::HostId, Vec<chat_locations::ChatLocation>>
    where
        F: Fn(request::ChatKey) -> Option<(entity::EndpointId, entity::HostId)>,
    {
        let mut locations: BTreeMap<entity::HostId, Vec<chat_locations::ChatLocation>> =
            BTreeMap::new();
        let Some(view) = self.caches.get(endpoint) else {
            return locations;
        };
        let moved = view.iter().filter_map(|(chat, tokens)| {
            let (first, owner) = first_owner(chat)?;
            let location = chat_locations::ChatLocation {
                chat,
                endpoint,
                tokens,
            };
            (first != endpoint).then_some((owner, location))
        });
        for (owner, location) in moved.take(bound) {
            locations.entry(owner).or_default().push(location);
        }
        locations
    }
}
