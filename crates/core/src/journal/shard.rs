//! Content of one shard and its encoding as a value in the key-value service.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use bytes::Bytes;

use crate::journal::{KeyHash, Record, State};

/// Upper bound of the encoded size of a record without its body, in bytes.
pub const RECORD_OVERHEAD_BYTES: usize = 128;

/// Upper bound of the encoded size of a shard, in bytes. A quarter of the largest value that the
/// key-value service accepts.
pub const MAX_SHARD_BYTES: usize = 256 * 1024;

/// Id of a shard: the segment of key times and the slot of key hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId {
    /// Number of the segment of key times.
    pub segment: u64,
    /// Number of the slot of key hashes.
    pub slot: u16,
}

impl fmt::Display for ShardId {
    /// Writes segment and slot in fixed width, so that the texts sort in the order of the ids.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:04x}", self.segment, self.slot)
    }
}

/// Error for a text that is not the id of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseShardIdError(pub String);

impl fmt::Display for ParseShardIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a shard: segment-slot in hexadecimal",
            self.0
        )
    }
}

impl std::error::Error for ParseShardIdError {}

impl FromStr for ShardId {
    type Err = ParseShardIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (segment, slot) = text.split_once('-')?;
            Some(Self {
                segment: u64::from_str_radix(segment, 16).ok()?,
                slot: u16::from_str_radix(slot, 16).ok()?,
            })
        };
        parse().ok_or_else(|| ParseShardIdError(text.to_owned()))
    }
}

/// Revision of a shard's last change in the key-value service; 0 while the shard does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModRevision(pub u64);

impl ModRevision {
    /// Revision of a shard that does not exist.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for ModRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Content and revision of a shard in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoredShard {
    /// Revision of the last change.
    pub revision: ModRevision,
    /// The records. Empty if the shard does not exist.
    pub shard: Shard,
}

/// Error for a value that is not a shard, or for a shard that is too large to be encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardCodecError(pub String);

impl fmt::Display for ShardCodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot encode or decode journal shard: {}", self.0)
    }
}

impl std::error::Error for ShardCodecError {}

/// Records of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Shard {
    records: BTreeMap<KeyHash, Record>,
}

fn encoding() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_SHARD_BYTES>()
}

impl Shard {
    /// Record of an action.
    #[must_use]
    pub fn get(&self, key: &KeyHash) -> Option<&Record> {
        self.records.get(key)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Upper bound of the encoded size of the records, in bytes.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        self.records.values().map(max_record_len).sum()
    }

    /// Whether the shard has room for a reservation with the given key.
    #[must_use]
    pub fn has_room(&self, key: &KeyHash) -> bool {
        self.records.contains_key(key)
            || self.max_encoded_len() + RECORD_OVERHEAD_BYTES <= MAX_SHARD_BYTES
    }

    /// Sets a record.
    pub(super) fn insert(&mut self, key: KeyHash, record: Record) {
        self.records.insert(key, record);
    }

    /// Replaces a reservation by its outcome. Drops the body of the answer if it does not fit.
    pub(super) fn end(&mut self, key: &KeyHash, mut state: State) {
        if let State::Run(recorded) = &mut state
            && self.max_encoded_len() + recorded.body_len() > MAX_SHARD_BYTES
        {
            recorded.drop_body();
        }
        if let Some(record) = self.records.get_mut(key) {
            record.state = state;
        }
    }

    /// Encodes the records as a value for the key-value service.
    ///
    /// # Errors
    ///
    /// Returns an error if the records are larger than [`MAX_SHARD_BYTES`].
    pub fn encode(&self) -> Result<Bytes, ShardCodecError> {
        bincode::serde::encode_to_vec(self, encoding())
            .map(Bytes::from)
            .map_err(|e| ShardCodecError(e.to_string()))
    }

    /// Decodes the records from a value of the key-value service.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not exactly the encoding of one shard.
    pub fn decode(value: &[u8]) -> Result<Self, ShardCodecError> {
        let (shard, used) = bincode::serde::decode_from_slice(value, encoding())
            .map_err(|e| ShardCodecError(e.to_string()))?;
        if used != value.len() {
            return Err(ShardCodecError(format!(
                "{} trailing bytes",
                value.len() - used
            )));
        }
        Ok(shard)
    }
}

fn max_record_len(record: &Record) -> usize {
    match &record.state {
        State::Run(recorded) => RECORD_OVERHEAD_BYTES + recorded.body_len(),
        State::Reserved { .. } | State::NotRun | State::Unknown => RECORD_OVERHEAD_BYTES,
    }
}
