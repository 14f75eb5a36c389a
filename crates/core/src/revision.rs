//! Revisions of the configuration, and of the platform's store with its epochs.

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

/// Epoch of the platform's store. It rises when the store comes back from a copy that is some seconds old, since
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
pub struct Epoch(u64);

impl Epoch {
    /// The epoch with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Number of the epoch.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// A revision of this epoch. That before the first write is the same in all.
    #[must_use]
    pub fn revision(self, number: Revision) -> StoredRevision {
        match number {
            Revision::NONE => StoredRevision::NONE,
            number => StoredRevision {
                epoch: self,
                number,
            },
        }
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}", self.0)
    }
}

impl FromStr for Epoch {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('e').unwrap_or(text).parse().map(Self)
    }
}

/// Revision of an entry of the platform's store, in the epoch that gave it out.
///
/// Ordered by epoch first: whatever a later epoch says is newer. Invariant: made by [`Epoch::revision`] alone, where
/// an answer of the store or a message of another host is decoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoredRevision {
    epoch: Epoch,
    number: Revision,
}

impl StoredRevision {
    /// Revision before the first write of any epoch.
    pub const NONE: Self = Self {
        epoch: Epoch::new(0),
        number: Revision::NONE,
    };

    /// Epoch that gave it out.
    #[must_use]
    pub const fn epoch(self) -> Epoch {
        self.epoch
    }

    /// The number within an epoch, or [`Revision::NONE`] if another epoch gave it out.
    #[must_use]
    pub fn within(self, epoch: Epoch) -> Revision {
        match self.epoch == epoch {
            true => self.number,
            false => Revision::NONE,
        }
    }
}

impl fmt::Display for StoredRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch.number() {
            0 => write!(f, "{}", self.number),
            _ => write!(f, "{}{}", self.epoch, self.number),
        }
    }
}
