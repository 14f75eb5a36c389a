//! Requests a second.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Thousandths in one request a second.
const MILLIS: f64 = 1_000.0;

/// Lowest rate that an endpoint can name, in thousandths of a request a second. A lower one, or none
/// at all, counts as this one, so that the endpoint is still asked whether its need is over.
const MIN_MILLIS: u32 = 50;

/// Requests a second, as a fixed-point number of thousandths.
///
/// Invariant: not zero, and at most about 4 million requests a second.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

/// A text that is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseRateError {
    /// It is not a decimal number.
    NotANumber,
    /// It is below zero.
    Negative,
}

impl fmt::Display for ParseRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "not a decimal number",
            Self::Negative => "negative",
        })
    }
}

impl std::error::Error for ParseRateError {}

impl RequestRate {
    /// Rate of this many requests a second, brought into range.
    #[must_use]
    pub fn per_second(requests: f64) -> Self {
        // The conversion saturates.
        Self(((requests * MILLIS) as u32).max(MIN_MILLIS))
    }

    /// Requests a second.
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        f64::from(self.0) / MILLIS
    }

    /// Time between two requests at this rate.
    #[must_use]
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_per_second())
    }

    /// The rate divided by a number of hosts.
    #[must_use]
    pub fn divided_by(self, hosts: u32) -> Self {
        Self((self.0 / hosts.max(1)).max(1))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_per_second())
    }
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, ParseRateError> {
        let requests: f64 = text
            .trim()
            .parse()
            .map_err(|_| ParseRateError::NotANumber)?;
        match requests {
            _ if requests.is_nan() => Err(ParseRateError::NotANumber),
            _ if requests < 0.0 => Err(ParseRateError::Negative),
            _ => Ok(Self::per_second(requests)),
        }
    }
}
