//! Ids of the entities that the platform numbers: hosts, endpoints, failure domains and regions.
//!
//! The platform's host list assigns the numbers. They are stable for the lifetime of the entity, so
//! that every host of the fleet uses the same id for it. An id prints as a short prefix and its
//! number (`host3`, `ep12`), and has the same form in JSON.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;

/// Largest number of an entity. Bounds the memory that an id in a message can make a dense map
/// allocate.
pub const MAX_INDEX: u32 = (1 << 20) - 1;

/// Error for a text that is not the id of an entity of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseEntityError {
    /// Prefix of the expected kind of entity.
    pub prefix: &'static str,
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for ParseEntityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not of the form {}N with N at most {MAX_INDEX}",
            self.text, self.prefix
        )
    }
}

impl std::error::Error for ParseEntityError {}

/// Id that can be the key of a dense map.
pub trait Entity: Copy + Eq {
    /// Creates the id with the given index.
    ///
    /// # Panics
    ///
    /// Panics if `index` is larger than [`MAX_INDEX`].
    fn from_index(index: usize) -> Self;

    /// Index of the id in a dense map.
    fn index(self) -> usize;
}

macro_rules! entity {
    ($(#[$attr:meta])* $name:ident, $prefix:literal) => {
        $(#[$attr])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// Invariant: at most [`MAX_INDEX`].
            u32,
        );

        impl $name {
            /// Creates the id with the given number. `None` if it is above [`MAX_INDEX`].
            #[must_use]
            pub const fn new(number: u32) -> Option<Self> {
                if number <= MAX_INDEX { Some(Self(number)) } else { None }
            }

            /// Number of the entity.
            #[must_use]
            pub const fn as_u32(self) -> u32 {
                self.0
            }
        }

        impl Entity for $name {
            fn from_index(index: usize) -> Self {
                assert!(index <= MAX_INDEX as usize, "entity index {index} out of range");
                Self(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseEntityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_prefix($prefix)
                    .filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()))
                    .and_then(|digits| digits.parse().ok())
                    .and_then(Self::new)
                    .ok_or_else(|| ParseEntityError { prefix: $prefix, text: text.to_owned() })
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: serde::Serializer,
            {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    serializer.serialize_u32(self.0)
                }
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    text.parse().map_err(D::Error::custom)
                } else {
                    let number = u32::deserialize(deserializer)?;
                    Self::new(number).ok_or_else(|| D::Error::custom("entity number out of range"))
                }
            }
        }
    };
}

entity! {
    /// An entry host of the fleet.
    HostId, "host"
}
entity! {
    /// A back end: a replica of a model engine or of a plain service.
    EndpointId, "ep"
}
entity! {
    /// A failure domain.
    DomainId, "dom"
}
entity! {
    /// A region, which holds several failure domains.
    RegionId, "reg"
}
