//! What endpoints hold in their caches, and what hosts learn of it.

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::{cache, chat_locations};
use pistachiochute_core::{entity, request, time, units};
use rand::Rng as _;

use super::{CACHE_LAG, CACHE_LOSS, Event, Fleet, LISTING_DELAY};

impl Fleet<'_> {
    pub(super) fn note_holder(
        &mut self,
        number: usize,
        decider: entity::HostId,
        home: entity::EndpointId,
        endpoint: entity::EndpointId,
    ) {
        let arrival = self.trace[number];
        let tokens = arrival.prompt + arrival.answer;
        let state = &mut self.owners[decider.index()];
        if endpoint == home {
            state.remove_location(arrival.chat);
        } else {
            state.record_location(chat_locations::ChatLocation {
                chat: arrival.chat,
                endpoint,
                tokens,
            });
        }
    }

    /// Holds a chat in an endpoint's store and publishes the changes.
    pub(super) fn hold(
        &mut self,
        endpoint: entity::EndpointId,
        chat: request::ChatKey,
        tokens: units::Tokens,
        now: time::Time,
    ) {
        let evicted = self.stores[endpoint.index()].insert(chat, tokens);
        self.publish(endpoint, cache::Change::Stored { chat, tokens }, now);
        for chat in evicted {
            self.publish(endpoint, cache::Change::Evicted { chat }, now);
        }
    }

    pub(super) fn publish(
        &mut self,
        endpoint: entity::EndpointId,
        change: cache::Change,
        now: time::Time,
    ) {
        let seq = self.cache_seqs[endpoint.index()];
        self.cache_seqs[endpoint.index()] += 1;
        if self.rng.random::<f64>() < CACHE_LOSS {
            return;
        }
        let lag = CACHE_LAG.mul_f64(self.rng.random());
        self.at(
            now + lag,
            Event::Cache(endpoint, cache::Event { seq, change }),
        );
    }

    pub(super) fn cache_event(
        &mut self,
        endpoint: entity::EndpointId,
        event: cache::Event,
        now: time::Time,
    ) {
        let Some(owner) = self.world.owner(endpoint) else {
            return;
        };
        let need = self.owners[owner.index()].apply_cache_event(endpoint, event);
        if need == cache::FollowUp::FetchSnapshot {
            self.at(now + LISTING_DELAY, Event::Listing(endpoint));
        }
    }

    pub(super) fn listing(&mut self, endpoint: entity::EndpointId) {
        let Some(owner) = self.world.owner(endpoint) else {
            return;
        };
        let next = self.cache_seqs[endpoint.index()];
        let entries: Vec<_> = self.stores[endpoint.index()].iter().collect();
        self.owners[owner.index()].load_cache_snapshot(endpoint, next, entries);
    }
}
