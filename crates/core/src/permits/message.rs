//! What hosts say to each other about permits.

use std::fmt;
use std::time::Duration;

use crate::rate_limits;

/// Number that a sender gives a question or an answer, and that what follows it repeats.
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
pub struct Number(pub u32);

impl Number {
    /// The number after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}", self.0)
    }
}

/// Share of an endpoint's limit that a host leaves to the lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delegation {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// The share.
    pub rate: rate_limits::RequestRate,
    /// Time for which the host does not use it, from when the datagram is sent, in milliseconds.
    pub span_ms: u32,
}

/// Leaves shares to the receiver. Without shares it asks for a number.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delegate {
    /// Last number that the sender got from the receiver: what is said here was decided after the
    /// receiver sent it.
    pub after: Option<Number>,
    /// The shares.
    pub shares: Vec<Delegation>,
}

/// What a host that asked for a permit got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A permit.
    Granted,
    /// None, and a time after which the lender expects to have one.
    Denied {
        /// The time.
        retry: Duration,
    },
    /// Nothing within [`super::ANSWER_TIMEOUT`].
    None,
}
