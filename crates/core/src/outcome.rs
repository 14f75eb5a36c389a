//! Evidence of whether a request ran at an endpoint.

use std::fmt;
use std::str::FromStr;

/// Whether a request ran, as a lattice ordered `NotRun < Unknown < Run`.
///
/// Each attempt adds evidence, and the outcome of a request is the join over its attempts, so the
/// order in which evidence arrives does not matter. `NotRun` requires proof from every attempt: the
/// connection was never made, the owner refused before dispatch, or the endpoint refused before
/// running the request.
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
    /// The request provably did not run. This is the bottom of the lattice.
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

/// Furthest step that one attempt is known to have reached, in the order of the steps.
///
/// A hop that loses its connection knows only the steps that it took itself and those that the next
/// hop reported.
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
pub enum Progress {
    /// No byte of the request was passed to a connection.
    #[default]
    NotSent,
    /// Some of the request may have reached the next hop.
    Sent,
    /// The next hop reported that it dispatched the request.
    Dispatched,
    /// The head of the endpoint's answer was received.
    Answering,
}

impl Progress {
    /// Outcome of the attempt if it is lost at this step and nothing more is received.
    #[must_use]
    pub const fn outcome_if_lost(self) -> Outcome {
        match self {
            Self::NotSent => Outcome::NotRun,
            Self::Sent | Self::Dispatched => Outcome::Unknown,
            Self::Answering => Outcome::Run,
        }
    }
}

/// Error for a text that is not the name of an outcome.
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

/// How far an answer was when its endpoint broke it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing of its body had arrived.
    NotBegun,
    /// A part of its body had arrived.
    Begun,
}

impl AnswerProgress {
    /// Every progress.
    pub const ALL: [Self; 2] = [Self::NotBegun, Self::Begun];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotBegun => "not_begun",
            Self::Begun => "begun",
        }
    }
}

/// What delimits the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length, its last chunk, or a head that allows no body.
    Explicit,
    /// The end of its connection.
    Connection,
}

impl Framing {
    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Explicit => "explicit",
            Self::Connection => "connection",
        }
    }
}

/// How the part of a stream that one endpoint sent has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartEnd {
    /// Where its framing says.
    Framed,
    /// With its connection, which the endpoint closed in order and which delimits it.
    Closed,
    /// Before its end.
    Broken,
    /// The caller left before its end, or the host cut it off.
    Abandoned,
}

impl PartEnd {
    /// Every end.
    pub const ALL: [Self; 4] = [Self::Framed, Self::Closed, Self::Broken, Self::Abandoned];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Framed => "framed",
            Self::Closed => "closed",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}
