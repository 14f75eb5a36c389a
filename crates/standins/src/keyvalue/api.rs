//! Messages of the implemented subset of the etcd v3 API in its JSON form.
//!
//! Bytes are encoded as base64 and 64-bit integers as strings. As in the JSON mapping of Protocol
//! Buffers, requests may use either spelling of field names, and numbers in place of strings.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde::de::Error as _;

/// Bytes that are base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Base64(pub(super) Bytes);

impl serde::Serialize for Base64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> serde::Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD
            .decode(text)
            .map(|raw| Self(raw.into()))
            .map_err(D::Error::custom)
    }
}

/// A 64-bit integer that is a string in JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Int64(pub(super) i64);

impl serde::Serialize for Int64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> serde::Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        #[derive(serde::Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct Header {
    pub(super) cluster_id: Int64,
    pub(super) member_id: Int64,
    pub(super) revision: Int64,
    pub(super) raft_term: Int64,
}

#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Entry {
    pub(super) key: Base64,
    pub(super) create_revision: Int64,
    pub(super) mod_revision: Int64,
    pub(super) version: Int64,
    pub(super) value: Base64,
    pub(super) lease: Int64,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct Range {
    #[serde(default)]
    pub(super) key: Base64,
    #[serde(default, alias = "rangeEnd")]
    pub(super) range_end: Base64,
    #[serde(default)]
    pub(super) limit: Int64,
    #[serde(default, alias = "keysOnly")]
    pub(super) keys_only: bool,
}

impl Range {
    /// Whether `key` is in the range. Without a range end, the range is a single key. A range end
    /// of one zero byte means all keys from the start of the range.
    pub(super) fn contains(&self, key: &Bytes) -> bool {
        let (from, end) = (&self.key.0, &self.range_end.0);
        if end.is_empty() {
            return key == from;
        }
        key >= from && (end.as_ref() == [0] || key < end)
    }
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct Put {
    pub(super) key: Base64,
    #[serde(default)]
    pub(super) value: Base64,
    #[serde(default)]
    pub(super) lease: Int64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct Compare {
    #[serde(default)]
    pub(super) result: CompareResult,
    #[serde(default)]
    pub(super) target: CompareTarget,
    pub(super) key: Base64,
    #[serde(default)]
    pub(super) version: Int64,
    #[serde(default, alias = "createRevision")]
    pub(super) create_revision: Int64,
    #[serde(default, alias = "modRevision")]
    pub(super) mod_revision: Int64,
    #[serde(default)]
    pub(super) value: Base64,
    #[serde(default)]
    pub(super) lease: Int64,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(super) enum Op {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(Range),
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(default)]
pub(super) struct Txn {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Op>,
    pub(super) failure: Vec<Op>,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct Lease {
    #[serde(default, rename = "ID", alias = "id")]
    pub(super) id: Int64,
    #[serde(default, rename = "TTL", alias = "ttl")]
    pub(super) ttl: Int64,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct Watch {
    #[serde(alias = "createRequest")]
    pub(super) create_request: WatchCreate,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct WatchCreate {
    #[serde(flatten)]
    pub(super) range: Range,
    #[serde(default, alias = "startRevision")]
    pub(super) start_revision: Int64,
    /// Whether the watch gets messages without events that report the current revision.
    #[serde(default, alias = "progressNotify")]
    pub(super) progress_notify: bool,
}

/// A change that a watch delivers.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Event {
    #[serde(rename = "type")]
    pub(super) kind: EventKind,
    pub(super) kv: Entry,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum EventKind {
    Put,
    Delete,
}
