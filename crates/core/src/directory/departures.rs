//! Endpoints that have said in an answer that they leave.

use std::collections::HashMap;
use std::time::Duration;

use crate::directory::{IncarnationKey, TOMBSTONE_RETENTION};
use crate::time;

/// Time for which a departure is kept after its incarnation was last in the directory, so that an
/// entry of it that arrives late does not bring it back.
pub const DEPARTURE_RETENTION: Duration = TOMBSTONE_RETENTION;

/// Departures that are kept. The one that was last in the directory longest ago makes room.
const MAX_DEPARTURES: usize = 4_096;

/// An incarnation that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The incarnation.
    pub endpoint: IncarnationKey,
    /// When it was last in the directory of a host, or said that it leaves.
    pub last_seen: time::Time,
}

/// Incarnations that leave, as far as this host knows. None of them comes back.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// When each was last seen. Invariant: at most [`MAX_DEPARTURES`].
    last_seen: HashMap<IncarnationKey, time::Time>,
}

impl Departures {
    /// Records a departure, unless it is too old. Returns whether it is new.
    pub fn record(&mut self, departure: Departure, now: time::Time) -> bool {
        let is_old = now.since(departure.last_seen) >= DEPARTURE_RETENTION;
        if is_old || self.contains(departure.endpoint) {
            return false;
        }
        if self.last_seen.len() >= MAX_DEPARTURES {
            self.remove_oldest();
        }
        self.last_seen
            .insert(departure.endpoint, departure.last_seen);
        true
    }

    /// Whether an incarnation leaves.
    #[must_use]
    pub fn contains(&self, endpoint: IncarnationKey) -> bool {
        self.last_seen.contains_key(&endpoint)
    }

    /// Whether none leaves.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_seen.is_empty()
    }

    /// All departures, for a host that may know none.
    pub fn iter(&self) -> impl Iterator<Item = Departure> {
        let pairs = self.last_seen.iter();
        pairs.map(|(endpoint, last_seen)| Departure {
            endpoint: *endpoint,
            last_seen: *last_seen,
        })
    }

    /// Records the incarnations in the directory, and drops those that left it long ago.
    pub fn tick<I>(&mut self, present: I, now: time::Time)
    where
        I: IntoIterator<Item = IncarnationKey>,
    {
        for endpoint in present {
            if let Some(last_seen) = self.last_seen.get_mut(&endpoint) {
                *last_seen = now;
            }
        }
        self.last_seen
            .retain(|_, last_seen| now.since(*last_seen) < DEPARTURE_RETENTION);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.last_seen.iter().min_by_key(|(_, at)| **at);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) {
            self.last_seen.remove(&endpoint);
        }
    }
}
