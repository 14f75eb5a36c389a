//! Wait for a service in each failure domain, and what a domain has above the level of all.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::choice::{cost, load};

/// Load of the usable endpoints of a service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainLoad {
    /// The domain.
    pub domain: Arc<str>,
    /// Whether it is that of this host.
    pub is_own: bool,
    /// Usable endpoints.
    pub endpoints: u32,
    /// Requests that they run concurrently.
    pub slots: u32,
    /// Requests in progress there, of all hosts.
    pub requests: u32,
    /// Prompt tokens of the requests that have not produced output yet.
    pub unread_tokens: u32,
}

impl DomainLoad {
    /// Adds a usable endpoint with its load.
    pub fn add(&mut self, slots: u32, load: &load::Load) {
        self.endpoints += 1;
        self.slots += slots;
        self.requests += load.in_flight();
        self.unread_tokens = self.unread_tokens.saturating_add(load.unread_tokens());
    }

    /// Work that a request finds at the mean endpoint.
    fn queue(&self) -> cost::Queue {
        let endpoints = f64::from(self.endpoints.max(1));
        cost::Queue {
            requests: f64::from(self.requests) / endpoints,
            slots: (f64::from(self.slots) / endpoints).max(1.0),
            unread_tokens: f64::from(self.unread_tokens) / endpoints,
        }
    }
}

/// Wait in one domain.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DomainWait {
    pub domain: Arc<str>,
    is_own: bool,
    endpoints: f64,
    /// Predicted wait, in milliseconds.
    pub wait_ms: f64,
}

/// Waits of a service in all domains that have usable endpoints of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Balance {
    domains: SmallVec<[DomainWait; 4]>,
}

impl Balance {
    /// Predicts the wait in each domain.
    #[must_use]
    pub fn new(loads: &[DomainLoad], demand: cost::Demand, params: &cost::Parameters) -> Self {
        let usable = loads.iter().filter(|load| load.endpoints > 0);
        let wait = |load: &DomainLoad| DomainWait {
            domain: load.domain.clone(),
            is_own: load.is_own,
            endpoints: f64::from(load.endpoints),
            wait_ms: cost::queue_ms(demand, &load.queue(), params),
        };
        Self {
            domains: usable.map(wait).collect(),
        }
    }

    /// Whether the own domain has a usable endpoint.
    #[must_use]
    pub fn has_own(&self) -> bool {
        self.domains.iter().any(|domain| domain.is_own)
    }

    /// Whether another domain has a usable endpoint.
    #[must_use]
    pub fn has_others(&self) -> bool {
        self.others().next().is_some()
    }

    /// Whether both the own domain and another one have usable endpoints.
    #[must_use]
    pub fn is_comparable(&self) -> bool {
        self.has_own() && self.has_others()
    }

    /// Predicted wait in the own domain, in milliseconds, or 0 without endpoints there.
    #[must_use]
    pub fn own_ms(&self) -> f64 {
        let own = self.domains.iter().find(|domain| domain.is_own);
        own.map_or(0.0, |domain| domain.wait_ms)
    }

    /// Predicted wait in the emptiest other domain, in milliseconds, if there is one.
    #[must_use]
    pub fn emptiest_ms(&self) -> Option<f64> {
        self.others().map(|d| d.wait_ms).min_by(f64::total_cmp)
    }

    /// What the own domain is fuller by than another one, in milliseconds; 0 for an unknown one.
    pub(super) fn gain_ms(&self, domain: &str) -> f64 {
        let other = self.others().find(|other| *other.domain == *domain);
        other.map_or(0.0, |other| self.own_ms() - other.wait_ms)
    }

    /// Part of the own wait that is above the level of all domains: positive if the own domain is to
    /// give, negative if it has room. `price_ms` counts on top of the wait in other domains. The
    /// excesses of all domains that give are no more than the others lack.
    #[must_use]
    pub(super) fn excess(&self, price_ms: f64) -> f64 {
        let priced = |domain: &DomainWait| match domain.is_own {
            true => domain.wait_ms,
            false => domain.wait_ms + price_ms,
        };
        let endpoints: f64 = self.domains.iter().map(|domain| domain.endpoints).sum();
        let total: f64 = self.domains.iter().map(|d| d.endpoints * priced(d)).sum();
        let own = self.own_ms();
        ((own - total / endpoints.max(1.0)) / own.max(price_ms)).clamp(-1.0, 1.0)
    }

    /// Domain that a request goes to if it leaves, drawn by the room of the domains. `draw` is from 0
    /// to 1. `None` without other domains.
    pub(super) fn destination(&self, price_ms: f64, draw: f64) -> Option<&Arc<str>> {
        let waits = self.domains.iter().map(|domain| domain.wait_ms);
        let fullest_ms = waits.fold(0.0, f64::max);
        let room =
            |domain: &DomainWait| (fullest_ms + price_ms - domain.wait_ms) * domain.endpoints;
        let total: f64 = self.others().map(room).sum();
        let mut left = draw * total;
        let drawn = self.others().find(|domain| {
            left -= room(domain);
            left <= 0.0
        });
        drawn.map(|domain| &domain.domain)
    }

    fn others(&self) -> impl Iterator<Item = &DomainWait> {
        self.domains.iter().filter(|domain| !domain.is_own)
    }
}
