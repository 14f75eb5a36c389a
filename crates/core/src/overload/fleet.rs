//! Load of a service over the whole fleet, and the shares of client accounts in it.

use std::collections::HashMap;
use std::time::Duration;

use super::AccountKey;

/// Part of the places below which a service is no longer overloaded.
const END_FRACTION: f64 = 0.85;

/// Part of the places above which hosts report accounts, so that shares are known when they matter.
const NEAR_FRACTION: f64 = 0.75;

/// Fraction of the slots that are places however long prompts wait to be read.
const MIN_PLACES: f64 = 0.5;

/// Load of a service, as a host knows it from load reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// Slots of the endpoints that take requests.
    pub slots: u32,
    /// Requests in flight at endpoints that take none now.
    pub elsewhere: u32,
    /// Requests in flight at all endpoints.
    pub in_flight: u32,
    /// Mean time for which an endpoint reads the prompts that it has.
    pub reading: Duration,
    /// Longest target latency of the routes to the service.
    pub longest_target: Option<Duration>,
    /// Number of live hosts.
    pub hosts: u32,
    /// Requests of the largest accounts at other hosts.
    pub others: HashMap<AccountKey, u32>,
    /// Whether other hosts' reports arrive.
    pub is_fresh: bool,
}

impl FleetLoad {
    /// Number of requests that the service can have in flight and read in time.
    #[must_use]
    pub fn places(&self) -> f64 {
        let slots = f64::from(self.slots);
        let elsewhere = f64::from(self.elsewhere);
        let in_time = match self.longest_target {
            Some(target) if self.reading > target => {
                let in_flight = f64::from(self.in_flight) - elsewhere;
                let readable = in_flight * target.as_secs_f64() / self.reading.as_secs_f64();
                readable.clamp(slots * MIN_PLACES, slots)
            }
            _ => slots,
        };
        in_time + elsewhere
    }

    /// Whether under half of the places are in use, whatever else is known.
    pub(super) fn has_much_room(&self) -> bool {
        let slots = f64::from(self.slots + self.elsewhere);
        f64::from(self.in_flight) < slots * MIN_PLACES
    }

    /// Whether so large a part of the places is in use that it matters.
    fn is_above(&self, part: f64) -> bool {
        self.is_fresh
            && self.slots > 0
            && !self.has_much_room()
            && f64::from(self.in_flight) >= self.places() * part
    }

    /// Whether the service may soon be overloaded.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.is_above(NEAR_FRACTION)
    }

    /// Whether the service is overloaded, given that it was or was not before, and whether requests were
    /// held back lately: what is held back would run at once if the level ended.
    pub(super) fn is_overloaded(&self, before: bool, holds_back: bool) -> bool {
        match (before, holds_back) {
            (true, true) => self.is_above(0.0),
            (true, false) => self.is_above(END_FRACTION),
            (false, _) => self.is_above(1.0),
        }
    }

    /// Requests in flight, but for what accounts have above a share.
    pub(super) fn within_share(&self, accounts: &HashMap<AccountKey, u32>, share: f64) -> f64 {
        let above = accounts.values().map(|n| (f64::from(*n) - share).max(0.0));
        (f64::from(self.in_flight) - above.sum::<f64>()).max(0.0)
    }

    /// Number of requests in flight that is the fair share of every account: those below it have what
    /// they use, the others have the same. `accounts` are the requests in flight of the largest accounts.
    pub(super) fn fair_share(&self, accounts: &HashMap<AccountKey, u32>) -> f64 {
        let sizes = accounts.values().filter(|size| **size > 0);
        let mut sizes: Vec<f64> = sizes.map(|size| f64::from(*size)).collect();
        sizes.sort_by(f64::total_cmp);
        let listed: f64 = sizes.iter().sum();
        let rest = (f64::from(self.in_flight) - listed).max(0.0);
        let places = self.places();
        let mut left = (places - rest).max(0.0);
        if left <= 0.0 {
            // Those that are not listed are no larger than the smallest one, which has its part then.
            let smallest = sizes.first().copied().unwrap_or(0.0);
            return smallest * places / f64::from(self.in_flight.max(1));
        }
        for (i, size) in sizes.iter().enumerate() {
            let share = left / (sizes.len() - i) as f64;
            if *size > share {
                return share;
            }
            left -= size;
        }
        // All have what they use, and may share what is left.
        sizes.last().copied().unwrap_or(0.0) + left / sizes.len().max(1) as f64
    }
}
