//! Assignment of accounts to slices.

use crate::limits::parameters;
use crate::{entity, lists, name};

/// Maximum number of slices into which the limits of a plan are divided.
pub const SLICES: u8 = 8;

/// Number of shards. The slices of all accounts of a shard move between hosts together.
pub const SHARDS: u8 = 32;

/// A slice of the limits of all accounts of a shard.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct SliceId {
    /// Shard of the accounts, below [`SHARDS`].
    pub shard: u8,
    /// Number of the slice, below [`SLICES`].
    pub slice: u8,
}

impl SliceId {
    /// Every slice.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).flat_map(|shard| (0..SLICES).map(move |slice| Self { shard, slice }))
    }

    /// The host that should hold the slice, by rendezvous hashing: a host of the slice's home
    /// domain if any is live. Hosts with the same view of the live hosts agree on it.
    #[must_use]
    pub fn preferred_holder(
        self,
        hosts: &[(entity::HostId, entity::DomainId)],
        domains: &[entity::DomainId],
    ) -> Option<entity::HostId> {
        let home = domains.get(usize::from(self.slice) % domains.len().max(1));
        let weigh = |host: entity::HostId| {
            let mut bytes = [0; 6];
            bytes[..4].copy_from_slice(&host.as_u32().to_le_bytes());
            bytes[4] = self.shard;
            bytes[5] = self.slice;
            (xxhash_rust::xxh3::xxh3_64(&bytes), host)
        };
        let local = hosts.iter().filter(|(_, domain)| Some(domain) == home);
        let best = local.map(|(host, _)| *host).max_by_key(|host| weigh(*host));
        best.or_else(|| {
            hosts
                .iter()
                .map(|(host, _)| *host)
                .max_by_key(|host| weigh(*host))
        })
    }
}

/// The slices into which the limits of one account are divided.
///
/// Each slice is large enough for `parameters::MIN_BURST_REQUESTS` of the largest requests at
/// once, so that its floor can start one. An account with small limits has fewer slices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Shard of the account.
    pub shard: u8,
    /// Number of slices, 1 to [`SLICES`].
    pub slices: u8,
    /// First slice. The others follow it, modulo [`SLICES`].
    first: u8,
}

impl Layout {
    /// The layout of an account with a plan.
    #[must_use]
    pub fn of(account: &name::AccountName, plan: &lists::Plan) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(account.as_str().as_bytes());
        let requests = parameters::request_burst(plan.requests_per_minute).0;
        let requests = requests / parameters::MIN_BURST_REQUESTS;
        let largest = parameters::largest_request(plan.longest_answer).0.max(1);
        let tokens = parameters::token_burst(plan.tokens_per_minute, plan.longest_answer).0;
        let tokens = tokens / (parameters::MIN_BURST_REQUESTS * largest);
        let slots = plan.in_flight.0 / parameters::QUARTERS;
        let slices = requests.min(tokens).min(slots).clamp(1, u64::from(SLICES));
        Self {
            shard: (hash % u64::from(SHARDS)) as u8,
            slices: slices as u8,
            first: (hash / u64::from(SHARDS) % u64::from(SLICES)) as u8,
        }
    }

    /// Index of a slice among those of the account.
    #[must_use]
    pub const fn index(&self, slice: u8) -> Option<u8> {
        if slice >= SLICES {
            return None;
        }
        let index = (slice + SLICES - self.first) % SLICES;
        if index < self.slices {
            Some(index)
        } else {
            None
        }
    }

    /// The slices of the account.
    pub fn ids(self) -> impl Iterator<Item = SliceId> {
        let shard = self.shard;
        (0..self.slices).map(move |index| SliceId {
            shard,
            slice: (self.first + index) % SLICES,
        })
    }
}
