//! Versions of the two lists, and deltas between versions.

use std::fmt;

use sha2::Digest as _;

use crate::{lists, revision};

const CHAIN_LEN: usize = 16;

/// Hash chain over the whole history of the lists, truncated to 128 bits.
///
/// It distinguishes histories that have the same revision but different edits, as after the store
/// was restored from an older backup.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct Chain([u8; CHAIN_LEN]);

impl From<Chain> for String {
    fn from(chain: Chain) -> Self {
        hex::encode(chain.0)
    }
}

impl TryFrom<String> for Chain {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut chain = [0; CHAIN_LEN];
        hex::decode_to_slice(text, &mut chain)?;
        Ok(Self(chain))
    }
}

impl fmt::Debug for Chain {
    /// The first 4 bytes in hexadecimal. Part of the text of a [`Version`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..4]))
    }
}

/// Version of the two lists.
///
/// Versions are totally ordered, first by revision. A replica only changes to a larger version.
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
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Number of edits since the empty lists.
    pub revision: revision::Revision,
    /// Hash chain over these edits.
    pub chain: Chain,
}

impl Version {
    /// Version before the first edit.
    pub const NONE: Self = Self {
        revision: revision::Revision::NONE,
        chain: Chain([0; CHAIN_LEN]),
    };

    /// Version after the changes are made at `revision`.
    #[must_use]
    pub fn next(self, revision: revision::Revision, changes: &[lists::Change]) -> Self {
        let mut hasher = sha2::Sha256::new();
        hasher.update(self.chain.0);
        hasher.update(revision.0.to_le_bytes());
        hasher.update(serde_json::to_vec(changes).unwrap_or_default());
        let digest: [u8; 32] = hasher.finalize().into();
        let mut chain = [0; CHAIN_LEN];
        chain.copy_from_slice(&digest[..CHAIN_LEN]);
        Self {
            revision,
            chain: Chain(chain),
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:?}", self.revision, self.chain)
    }
}

/// The changes from one version to the next.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Version before the changes.
    pub from: Version,
    /// Version after the changes. Invariant: larger than `from`.
    pub to: Version,
    /// The changes, in order.
    pub changes: Vec<lists::Change>,
}

impl Delta {
    /// Creates the delta that follows a version, at the next revision.
    #[must_use]
    pub fn after(from: Version, changes: Vec<lists::Change>) -> Self {
        let revision = revision::Revision(from.revision.0 + 1);
        let to = from.next(revision, &changes);
        Self { from, to, changes }
    }
}

/// Both lists at a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version of the lists.
    pub version: Version,
    /// The lists.
    pub lists: lists::Lists,
}
