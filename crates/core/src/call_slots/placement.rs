//! Which host schedules the slots of which endpoints. Every host computes the same from the same
//! directory and members.

use std::time::Duration;

use crate::routing::rendezvous;

/// Slots for each group of a service's endpoints.
const SLOTS_PER_GROUP: u32 = 32;

/// Target latency from which on calls ask for slots. A slot is also taken while the call and its release
/// travel, which is longer than the work of shorter calls: their slots would mostly be idle.
const MIN_TARGET_LATENCY: Duration = Duration::from_millis(200);

/// Group of endpoints of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group(pub u64);

/// Whether slots are scheduled: where hosts outnumber them. Otherwise each host sees enough calls to
/// know the load itself.
#[must_use]
pub const fn is_scheduled(hosts: u32, slots: u32) -> bool {
    slots > 0 && hosts > slots
}

/// Whether a call with this target latency asks for a slot.
#[must_use]
pub fn is_worth_asking(target_latency: Option<Duration>) -> bool {
    target_latency.is_none_or(|target| target >= MIN_TARGET_LATENCY)
}

/// Group of an endpoint of a service that has `slots` slots in all.
#[must_use]
pub fn group(service: u64, endpoint: u64, slots: u32) -> Group {
    let groups = slots.div_ceil(SLOTS_PER_GROUP).max(1);
    let number = rendezvous::winner(endpoint, 0..groups).unwrap_or_default();
    Group(rendezvous::score(service, number))
}

/// Endpoint whose group a request asks first, drawn from pairs of hash and slots.
pub fn draw<I>(seed: u64, endpoints: I) -> Option<u64>
where
    I: IntoIterator<Item = (u64, u32)>,
{
    let mut first: Option<Drawn> = None;
    for (hash, slots) in endpoints {
        let key = seed ^ hash;
        let raw = rendezvous::score(key, 0);
        if first.is_some_and(|first| first.exceeds(raw, slots)) {
            continue;
        }
        let drawn = Drawn {
            weighted: rendezvous::weighted_score(key, 0, slots),
            hash,
            raw,
            slots,
        };
        if first.is_none_or(|first| drawn.is_after(&first)) {
            first = Some(drawn);
        }
    }
    first.map(|first| first.hash)
}

/// An endpoint that may be drawn.
#[derive(Clone, Copy)]
struct Drawn {
    weighted: f64,
    hash: u64,
    /// Score before it is weighted by slots.
    raw: u64,
    slots: u32,
}

impl Drawn {
    /// Whether it comes before an endpoint with this score and slots, as far as is known without the
    /// logarithm that weighing takes.
    const fn exceeds(&self, raw: u64, slots: u32) -> bool {
        self.slots > 0 && self.raw > raw && self.slots >= slots
    }

    fn is_after(&self, other: &Self) -> bool {
        let order = self.weighted.total_cmp(&other.weighted);
        order.then(self.hash.cmp(&other.hash)).is_gt()
    }
}

/// Host that schedules a group.
#[must_use]
pub fn scheduler(group: Group, hosts: &[u64]) -> Option<u64> {
    let score = |host: &u64| (rendezvous::score(group.0 ^ *host, 0), *host);
    hosts.iter().copied().max_by_key(score)
}
