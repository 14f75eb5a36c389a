//! Identity and properties of a caller's request.

use std::fmt;
use std::str::FromStr;

use crate::name;

/// Id of a request: a UUIDv7 that the entry host generates and every hop passes on.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub uuid::Uuid);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{}", self.0.simple())
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestId {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix("req-").unwrap_or(text).parse().map(Self)
    }
}

/// Key of a chat: a hash of the account and the caller's id of the chat.
///
/// The same id has different keys in different accounts.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// Hashes the account and the caller's id of the chat.
    #[must_use]
    pub fn new(account: &name::AccountName, chat: &[u8]) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(account.as_str().as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(chat, seed))
    }
}

impl fmt::Display for ChatKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "chat-{:016x}", self.0)
    }
}

impl fmt::Debug for ChatKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Target of a request: a model or a plain service.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A model that engines serve.
    Model(name::ModelName),
    /// A plain service.
    Service(name::ServiceName),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model {name}"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once. A retry requires proof that no earlier attempt ran.
    AtMostOnce,
}
