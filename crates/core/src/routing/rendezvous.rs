//! Weighted rendezvous hashing.
//!
//! Each pair of a key and an entity has a score, and a key is assigned to the entity with the
//! highest score. Adding or removing an entity moves only the keys assigned to it. With weights,
//! an entity gets a share of the keys in proportion to its weight, and a change of one weight
//! moves keys only to or from that entity.

/// Score of an entity for a key; the highest score wins.
///
/// All hosts must compute the same score, so the function must not change between releases that
/// run in the same fleet.
#[must_use]
pub fn score(key: u64, id: u32) -> u64 {
    mix(key ^ mix(u64::from(id).wrapping_add(GOLDEN_GAMMA)))
}

/// Score of an entity for a key that gives the entity a share of the keys in proportion to
/// `weight`.
///
/// The score is `weight / -ln(u)` with `u` uniform in (0, 1), as in the logarithmic method for
/// weighted rendezvous hashing. An entity of weight zero scores zero.
#[must_use]
pub fn weighted_score(key: u64, id: u32, weight: u32) -> f64 {
    let fraction = (score(key, id) >> 11) as f64 + 0.5;
    let uniform = fraction / (1_u64 << 53) as f64;
    f64::from(weight) / -uniform.ln()
}

/// Returns the entity with the highest score, or `None` without entities. On equal scores the
/// lower id wins.
pub fn winner<I>(key: u64, ids: I) -> Option<u32>
where
    I: IntoIterator<Item = u32>,
{
    ids.into_iter()
        .map(|id| (score(key, id), id))
        .max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)))
        .map(|(_, id)| id)
}

/// Increment of the SplitMix64 generator.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Finalizer of the SplitMix64 generator, a bijection on `u64`.
const fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
