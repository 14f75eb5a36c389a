//! Revisions of the configuration.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Revision of the two lists, as the key-value service numbers its writes.
///
/// Revisions are totally ordered, and the revision in force on a host never decreases.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision before the first write.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('r').unwrap_or(text).parse().map(Self)
    }
}
