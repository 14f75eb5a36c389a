//! Idempotency keys, body fingerprints and attempt ids.

use std::fmt;

use sha2::Digest as _;

use crate::name;

const HASH_LEN: usize = 16;

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Used only for the age of keys, which come from callers, and for dispatch deadlines. The clocks
/// of the hosts agree up to the skew that [`super::Window`] allows for.
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
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// The time `ms` milliseconds later.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

macro_rules! hash {
    ($(#[$attr:meta])* $name:ident) => {
        $(#[$attr])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub [u8; HASH_LEN]);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

hash! {
    /// Hash of the account and its idempotency key. Two accounts never share a record.
    KeyHash
}
hash! {
    /// Hash of the content of the action's request: path and body.
    Fingerprint
}
hash! {
    /// Id of one attempt to run an action. Never reused.
    AttemptId
}

/// Hashes the parts with their lengths, so that moving a byte from one part to the next changes the
/// hash.
fn hash_parts(parts: [&[u8]; 2]) -> [u8; HASH_LEN] {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut hash = [0; HASH_LEN];
    hash.copy_from_slice(&digest[..HASH_LEN]);
    hash
}

impl Fingerprint {
    /// Hashes the body and the path with the query, as the endpoint receives them.
    #[must_use]
    pub fn of(path: &[u8], body: &[u8]) -> Self {
        Self(hash_parts([path, body]))
    }
}

impl AttemptId {
    /// Creates the id from a random UUID.
    #[must_use]
    pub const fn new(uuid: uuid::Uuid) -> Self {
        Self(uuid.into_bytes())
    }
}

/// Error for an idempotency key that is not a UUIDv7.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseKeyError;

impl fmt::Display for ParseKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an idempotency key is a UUID of version 7")
    }
}

impl std::error::Error for ParseKeyError {}

/// Idempotency key of an action in the form that the journal uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActionKey {
    /// Hash under which the action is recorded.
    pub hash: KeyHash,
    /// Time at which the key was issued, by the clock of the caller.
    pub issued_at: UnixMillis,
}

impl ActionKey {
    /// Converts the key that a caller sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is not a UUIDv7.
    pub fn new(account: &name::AccountName, key: uuid::Uuid) -> Result<Self, ParseKeyError> {
        if key.get_version() != Some(uuid::Version::SortRand) {
            return Err(ParseKeyError);
        }
        let (secs, nanos) = key.get_timestamp().ok_or(ParseKeyError)?.to_unix();
        let at = secs.saturating_mul(1_000) + u64::from(nanos) / 1_000_000;
        Ok(Self {
            hash: KeyHash(hash_parts([account.as_str().as_bytes(), key.as_bytes()])),
            issued_at: UnixMillis(at),
        })
    }
}
