//! Time for which an endpoint that refused a request wants no other one from the same host.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Longest time that an endpoint can ask for, so that a value in another unit does not put it out of
/// use for a day.
const MAX: Duration = Duration::from_secs(60);

/// Part of a pause over which hosts spread their return, so that its end is no signal for all.
const RETURN_SPREAD: f64 = 0.25;

/// Longest time over which hosts spread their return.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Time for which an endpoint wants no requests of a host that it has refused one.
///
/// Invariant: at most [`MAX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pushback(Duration);

/// A text that is not a number of seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParsePushbackError {
    /// It is not a decimal number; dates are not understood.
    NotANumber,
    /// It is below zero.
    Negative,
}

impl fmt::Display for ParsePushbackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "not a decimal number of seconds",
            Self::Negative => "negative",
        })
    }
}

impl std::error::Error for ParsePushbackError {}

impl Pushback {
    /// Pushback of a time, brought into range.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self(span.min(MAX))
    }

    /// The time.
    #[must_use]
    pub const fn span(self) -> Duration {
        self.0
    }

    /// Time over which hosts spread their return after the end of such a pause.
    #[must_use]
    pub fn return_spread(self) -> Duration {
        self.0.mul_f64(RETURN_SPREAD).min(MAX_RETURN_SPREAD)
    }
}

impl fmt::Display for Pushback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s", self.0.as_secs_f64())
    }
}

impl FromStr for Pushback {
    type Err = ParsePushbackError;

    fn from_str(text: &str) -> Result<Self, ParsePushbackError> {
        let seconds: f64 = text
            .trim()
            .parse()
            .map_err(|_| ParsePushbackError::NotANumber)?;
        match seconds {
            _ if seconds.is_nan() => Err(ParsePushbackError::NotANumber),
            _ if seconds < 0.0 => Err(ParsePushbackError::Negative),
            _ => Ok(Self::new(
                Duration::try_from_secs_f64(seconds).unwrap_or(MAX),
            )),
        }
    }
}
