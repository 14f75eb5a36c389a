//! Exponential backoff of retries, and the jitter of the delays of retries and refused callers.

use std::time::Duration;

/// Largest exponent of the backoff, so that the delay cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Backoff {
    /// Longest delay before the first retry, in milliseconds.
    pub base_ms: u64,
    /// Longest delay before any retry, in milliseconds.
    pub max_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base_ms: 20,
            max_ms: 1_000,
        }
    }
}

impl Backoff {
    /// Delay before retry `n`, counted from 0. It is uniform over the upper half of the exponential
    /// delay; `seed` selects the value.
    #[must_use]
    pub fn delay(self, n: u32, seed: u64) -> Duration {
        let factor = 1_u64 << n.min(MAX_DOUBLINGS);
        let longest_ms = self.base_ms.saturating_mul(factor).min(self.max_ms);
        jitter(Duration::from_millis(longest_ms), hash_seed(seed, n))
    }
}

/// Maps a random value to a delay in `[longest / 2, longest]`, so that callers that were refused
/// together do not retry together.
pub(super) fn jitter(longest: Duration, random: u64) -> Duration {
    let half_micros = longest.as_micros() as u64 / 2;
    Duration::from_micros(half_micros + random % (half_micros + 1))
}

/// Hashes the seed of a request and the index of a delay into a uniform 64-bit value.
pub(super) fn hash_seed(seed: u64, n: u32) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&n.to_le_bytes(), seed)
}

/// Delay in whole seconds, rounded up, as the `Retry-After` header carries it.
#[must_use]
pub const fn ceil_secs(delay: Duration) -> u64 {
    delay.as_secs() + (delay.subsec_nanos() > 0) as u64
}
