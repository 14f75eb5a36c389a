//! What an owner knows of the loads of a pool.

use std::time::Duration;

use crate::{entity, map, time, units};

/// Age at which the load of an endpoint of another owner counts as unknown.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Load of an endpoint at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Work that runs and waits at the endpoint.
    pub load: units::Tokens,
    /// When it was so.
    pub at: time::Time,
}

#[derive(Clone, Copy, Debug)]
enum Known {
    /// Exact load of an endpoint that the host owns.
    Exact(units::Tokens),
    /// Load as another host or the endpoint reported it.
    Reported(Reading),
}

/// Loads of endpoints, exact or reported.
#[derive(Debug, Default)]
pub struct Loads {
    known: map::EntityMap<entity::EndpointId, Known>,
}

impl Loads {
    /// Makes an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the load of an endpoint that the host owns.
    pub fn set_exact(&mut self, endpoint: entity::EndpointId, load: units::Tokens) {
        self.known.insert(endpoint, Known::Exact(load));
    }

    /// Takes in a reading of an endpoint of another owner, unless a later one is known.
    pub fn observe(&mut self, endpoint: entity::EndpointId, reading: Reading) {
        let known = self.known.get(endpoint);
        let is_newer = match known {
            Some(Known::Reported(former)) => former.at < reading.at,
            Some(Known::Exact(_)) => false,
            None => true,
        };
        if is_newer {
            self.known.insert(endpoint, Known::Reported(reading));
        }
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, endpoint: entity::EndpointId) {
        self.known.remove(endpoint);
    }

    /// Mean load of a pool once `cost` is added to one endpoint of it, in tokens. Endpoints whose
    /// load is unknown or too old are left out.
    #[must_use]
    pub fn mean_with(
        &self,
        now: time::Time,
        endpoint: entity::EndpointId,
        pool: &[entity::EndpointId],
        cost: units::Tokens,
    ) -> f64 {
        let mut sum = cost;
        let mut count = 0_u32;
        for &member in pool {
            let load = self.load(now, member);
            if load.is_none() && member != endpoint {
                continue;
            }
            sum += load.unwrap_or_default();
            count += 1;
        }
        sum.0 as f64 / f64::from(count.max(1))
    }

    fn load(&self, now: time::Time, endpoint: entity::EndpointId) -> Option<units::Tokens> {
        match self.known.get(endpoint)? {
            Known::Exact(load) => Some(*load),
            Known::Reported(reading) if now.since(reading.at) <= MAX_AGE => Some(reading.load),
            Known::Reported(_) => None,
        }
    }
}
