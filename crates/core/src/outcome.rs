//! What is known of whether a request ran at an endpoint.

use std::fmt;
use std::str::FromStr;

/// Knowledge of whether a request ran, ordered `NotRun < Unknown < Run`.
///
/// Each attempt adds evidence and the outcome of a request is the join of its attempts, so the
/// order in which evidence arrives does not matter. `NotRun` needs proof from every attempt:
/// the connection was never made, the owner refused before dispatch, or the endpoint itself
/// refused before running.
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
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was proved not to have run. This is the bottom of the lattice.
    #[default]
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Run,
}

impl Outcome {
    /// Combines the evidence of two attempts of one request.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }

    /// Name of the outcome in headers and error bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Run => "run",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that names no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseOutcomeError(pub String);

impl fmt::Display for ParseOutcomeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not one of not_run, unknown, run", self.0)
    }
}

impl std::error::Error for ParseOutcomeError {}

impl FromStr for Outcome {
    type Err = ParseOutcomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not_run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            "run" => Ok(Self::Run),
            _ => Err(ParseOutcomeError(text.to_owned())),
        }
    }
}
