//! Sizes, counts and rates as newtypes.

use std::fmt;
use std::iter::Sum;
use std::num::ParseIntError;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

macro_rules! quantity {
    ($(#[$attr:meta])* $name:ident) => {
        $(#[$attr])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The quantity zero.
            pub const ZERO: Self = Self(0);

            /// The difference, or zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl Sum for $name {
            fn sum<I>(values: I) -> Self
            where
                I: Iterator<Item = Self>,
            {
                values.fold(Self::ZERO, |sum, value| sum + value)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

quantity! {
    /// A number of tokens, prompt or generated. Arithmetic saturates.
    Tokens
}
quantity! {
    /// A number of requests. Arithmetic saturates.
    Requests
}
quantity! {
    /// Work of a thread: pieces of bodies or events of streams. Arithmetic saturates.
    WorkUnits
}
quantity! {
    /// A size in bytes. Arithmetic saturates.
    ByteSize
}
quantity! {
    /// A rate per minute. Arithmetic saturates.
    PerMinute
}
