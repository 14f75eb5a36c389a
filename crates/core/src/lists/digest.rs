//! Digests of API keys. The keys themselves are never stored or logged.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

use serde::de::Error as _;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

const DIGEST_LEN: usize = 32;

/// SHA-256 digest of an API key or operator credential, compared in constant time.
#[derive(Clone, Copy, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_LEN]);

impl KeyDigest {
    /// Digests a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    fn hash<H>(&self, state: &mut H)
    where
        H: Hasher,
    {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest, so that it cannot reach a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Error for a text that is not a digest in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseDigestError;

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key digest is {} hexadecimal digits", 2 * DIGEST_LEN)
    }
}

impl std::error::Error for ParseDigestError {}

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut digest = [0; DIGEST_LEN];
        hex::decode_to_slice(text, &mut digest).map_err(|_| ParseDigestError)?;
        Ok(Self(digest))
    }
}

impl serde::Serialize for KeyDigest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> serde::Deserialize<'de> for KeyDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            <[u8; DIGEST_LEN]>::deserialize(deserializer).map(Self)
        }
    }
}
