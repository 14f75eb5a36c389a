//! Delays before another attempt and before the caller may come back.

use std::time::Duration;

/// Largest exponent of the backoff; keeps the delay from overflowing.
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
    /// Delay before retry `n`, from 0, spread evenly over the upper half of the exponential.
    #[must_use]
    pub fn delay(self, n: u32, seed: u64) -> Duration {
        let factor = 1_u64 << n.min(MAX_DOUBLINGS);
        let longest_ms = self.base_ms.saturating_mul(factor).min(self.max_ms);
        jitter(Duration::from_millis(longest_ms), hash_seed(seed, n))
    }
}

/// Spreads a delay evenly over `[longest / 2, longest]`, so that callers which were refused
/// together do not come back together.
pub(super) fn jitter(longest: Duration, random: u64) -> Duration {
    let half_micros = longest.as_micros() as u64 / 2;
    Duration::from_micros(half_micros + random % (half_micros + 1))
}

/// Hashes the seed of a request and a number into an even 64-bit value.
pub(super) fn hash_seed(seed: u64, n: u32) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&n.to_le_bytes(), seed)
}

/// Whole seconds of the `Retry-After` header, rounded up.
#[must_use]
pub const fn ceil_secs(delay: Duration) -> u64 {
    delay.as_secs() + (delay.subsec_nanos() > 0) as u64
}
