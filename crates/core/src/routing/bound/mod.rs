//! Bounded load: owners admit work such that no endpoint exceeds a multiple of the mean load.
//!
//! # Rule
//!
//! A request of cost `q` is admitted to an endpoint with load `l` if
//!
//! - `l + q <= c * m`, where `c` is [`Settings::multiple`] and `m` is the mean load of the pool
//!   after the admission, or
//! - `l` is at or below the mean before the admission. This is the floor of one request: a request
//!   cannot be divided, and the least loaded endpoint may always take one, so that a pool with
//!   little work never refuses at every endpoint.
//!
//! # Staleness of the mean
//!
//! The owner knows the load of its own endpoints exactly. The loads of the others are
//! [views](pool::Pool::update_view), sent with forwarded requests, probes and load reports. A view
//! expires when it is older than [`Settings::view_horizon`], and its endpoint is left out of the
//! mean until a newer view arrives. Work at other endpoints may have ended since a view was taken,
//! so the mean is lowered by a [margin](completions::CompletionStats::staleness_margin) that covers
//! the completions of that time.
//!
//! # Concurrent owners
//!
//! A host that takes ownership of an endpoint admits nothing to it until the former owner hands it
//! over, or until no view of the endpoint has arrived from the former owner for
//! [`Settings::grace`]. Load that the endpoint reports beyond the owner's work counts as load of
//! another owner, so two owners that cannot communicate still see each other's work one report
//! later. While this is the case, the endpoint is contested: each owner admits only up to the mean
//! instead of the multiple.

pub mod completions;
mod member;
pub mod pool;

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::de::Error as _;

/// Minimum multiple, in hundredths.
const MIN_MULTIPLE: u32 = 100;

/// Maximum multiple, in hundredths.
const MAX_MULTIPLE: u32 = 1_600;

/// Multiple of the mean load that an endpoint may have, from 1 to 16, stored in hundredths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Multiple(
    /// Invariant: from [`MIN_MULTIPLE`] to [`MAX_MULTIPLE`].
    u32,
);

impl Multiple {
    /// Makes a multiple from hundredths, or `None` if it is out of range.
    #[must_use]
    pub const fn from_hundredths(hundredths: u32) -> Option<Self> {
        if MIN_MULTIPLE <= hundredths && hundredths <= MAX_MULTIPLE {
            Some(Self(hundredths))
        } else {
            None
        }
    }

    /// The multiple in hundredths.
    #[must_use]
    pub const fn as_hundredths(self) -> u32 {
        self.0
    }

    /// The multiple as a ratio.
    #[must_use]
    pub fn as_ratio(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Default for Multiple {
    /// The multiple 1.25.
    fn default() -> Self {
        Self(125)
    }
}

impl fmt::Display for Multiple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}", self.0 / 100, self.0 % 100)
    }
}

/// Error for a text or number that is not a valid [`Multiple`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseMultipleError;

impl fmt::Display for ParseMultipleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a multiple of the mean load is a number from 1 to 16")
    }
}

impl std::error::Error for ParseMultipleError {}

impl FromStr for Multiple {
    type Err = ParseMultipleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let ratio: f64 = text.parse().map_err(|_| ParseMultipleError)?;
        Self::from_ratio(ratio)
    }
}

impl Multiple {
    /// Makes a multiple from a ratio, rounded to hundredths.
    ///
    /// # Errors
    ///
    /// Returns an error if the ratio is not a number from 1 to 16.
    pub fn from_ratio(ratio: f64) -> Result<Self, ParseMultipleError> {
        let hundredths = (ratio * 100.0).round();
        if !(f64::from(MIN_MULTIPLE)..=f64::from(MAX_MULTIPLE)).contains(&hundredths) {
            return Err(ParseMultipleError);
        }
        Ok(Self(hundredths as u32))
    }
}

impl serde::Serialize for Multiple {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_f64(self.as_ratio())
    }
}

impl<'de> serde::Deserialize<'de> for Multiple {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let ratio = f64::deserialize(deserializer)?;
        Self::from_ratio(ratio).map_err(D::Error::custom)
    }
}

/// Settings of the load bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Multiple of the mean load that an endpoint may have.
    pub multiple: Multiple,
    /// Age at which the view of another owner's endpoint expires.
    pub view_horizon: Duration,
    /// Time without a view from the former owner after which a new owner admits work.
    pub grace: Duration,
    /// Time for which an endpoint is contested after its report shows work of another owner.
    pub contested: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            multiple: Multiple::default(),
            view_horizon: Duration::from_secs(10),
            grace: Duration::from_secs(3),
            contested: Duration::from_secs(3),
        }
    }
}
