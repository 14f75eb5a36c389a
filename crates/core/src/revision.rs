//! Revisions of the configuration, and of the platform's store with its eras.

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

/// Era of the platform's store. It rises when the store comes back from a copy that is some seconds old, since
/// it then gives revisions out again. A store that names none has the first one.
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
pub struct Era(u64);

impl Era {
    /// The era with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Number of the era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// A revision of this era. That before the first write is the same in all.
    #[must_use]
    pub fn revision(self, number: Revision) -> StoredRevision {
        match number {
            Revision::NONE => StoredRevision::NONE,
            number => StoredRevision { era: self, number },
        }
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('e').unwrap_or(text).parse().map(Self)
    }
}

/// Revision of an entry of the platform's store, in the era that gave it out.
///
/// Ordered by era first: whatever a later era says is newer. Invariant: made by [`Era::revision`] alone, where
/// an answer of the store or a message of another host is decoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoredRevision {
    era: Era,
    number: Revision,
}

impl StoredRevision {
    /// Revision before the first write of any era.
    pub const NONE: Self = Self {
        era: Era::new(0),
        number: Revision::NONE,
    };

    /// Era that gave it out.
    #[must_use]
    pub const fn era(self) -> Era {
        self.era
    }

    /// The number within an era, or [`Revision::NONE`] if another era gave it out.
    #[must_use]
    pub fn within(self, era: Era) -> Revision {
        match self.era == era {
            true => self.number,
            false => Revision::NONE,
        }
    }
}

impl fmt::Display for StoredRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era.number() {
            0 => write!(f, "{}", self.number),
            _ => write!(f, "{}{}", self.era, self.number),
        }
    }
}
