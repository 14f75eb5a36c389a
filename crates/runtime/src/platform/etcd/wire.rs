//! JSON encoding of requests and answers of the etcd v3 API.
//!
//! Byte strings are encoded as base64 and 64-bit numbers as strings; fields with a zero value may
//! be missing.

use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use pistachiochute_core::revision::Revision;
use serde_json::{Value, json};

use crate::platform::key_value::{self, Error};

fn encode(raw: &Bytes) -> String {
    BASE64_STANDARD.encode(raw)
}

fn decode(text: &str) -> Result<Bytes, Error> {
    BASE64_STANDARD
        .decode(text)
        .map(Bytes::from)
        .map_err(|err| malformed(&err))
}

fn parse_u64(text: &str) -> Result<u64, Error> {
    if text.is_empty() {
        Ok(0)
    } else {
        text.parse().map_err(|err| malformed(&err))
    }
}

fn parse_revision(text: &str) -> Result<Revision, Error> {
    parse_u64(text).map(Revision)
}

/// Error of an answer that cannot be decoded. It says nothing about whether the call took effect.
fn malformed<E>(err: &E) -> Error
where
    E: std::fmt::Display,
{
    Error::Unknown {
        reason: format!("the answer is malformed: {err}"),
    }
}

/// Parses the body of a successful answer.
pub(super) fn parse<T>(body: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|err| malformed(&err))
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
struct ErrorBody {
    message: String,
}

/// Error of an answer with a status other than 200.
///
/// A status from 400 to 499 means that the call had no effect. A server error can be sent for a
/// proposal that still takes effect, for instance when the leader changes.
pub(super) fn status_error(status: u16, body: &[u8]) -> Error {
    let body: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    if (400..500).contains(&status) {
        return Error::Refused {
            status,
            message: body.message,
        };
    }
    Error::Unknown {
        reason: format!("status {status}: {}", body.message),
    }
}

/// Exclusive end of the key range that holds all keys with `prefix`.
fn prefix_end(prefix: &Bytes) -> Bytes {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end.into();
        }
    }
    // In the API, a single zero byte means the end of the key space.
    Bytes::from_static(&[0])
}

pub(super) fn key_range(keys: &key_value::Keys) -> Value {
    match keys {
        key_value::Keys::One(key) => json!({ "key": encode(key) }),
        key_value::Keys::Prefix(prefix) if prefix.is_empty() => {
            json!({ "key": encode(&Bytes::from_static(&[0])), "range_end": encode(&prefix_end(prefix)) })
        }
        key_value::Keys::Prefix(prefix) => {
            json!({ "key": encode(prefix), "range_end": encode(&prefix_end(prefix)) })
        }
    }
}

pub(super) fn lease_request(lease: key_value::LeaseId) -> Value {
    json!({ "ID": lease.0.to_string() })
}

pub(super) fn watch_request(range: &key_value::Keys, from: Revision) -> Value {
    let mut create = key_range(range);
    create["start_revision"] = json!(from.0.to_string());
    create["progress_notify"] = json!(true);
    json!({ "create_request": create })
}

fn compare_json(compare: &key_value::Compare) -> Value {
    let (target, field, key, at) = match compare {
        key_value::Compare::Created(key, at) => ("CREATE", "create_revision", key, at),
        key_value::Compare::Modified(key, at) => ("MOD", "mod_revision", key, at),
    };
    json!({ "result": "EQUAL", "target": target, "key": encode(key), field: at.0.to_string() })
}

fn op_json(op: &key_value::Op) -> Value {
    match op {
        key_value::Op::Range(range) => json!({ "request_range": key_range(range) }),
        key_value::Op::Delete(range) => json!({ "request_delete_range": key_range(range) }),
        key_value::Op::Put { key, value, lease } => {
            let lease = lease.map_or(0, |lease| lease.0).to_string();
            json!({ "request_put": { "key": encode(key), "value": encode(value), "lease": lease } })
        }
    }
}

pub(super) fn txn_request(txn: &key_value::Txn) -> Value {
    let ops = |ops: &[key_value::Op]| ops.iter().map(op_json).collect::<Vec<_>>();
    json!({
        "compare": txn.compares.iter().map(compare_json).collect::<Vec<_>>(),
        "success": ops(&txn.success),
        "failure": ops(&txn.failure),
    })
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
pub(super) struct Header {
    revision: String,
}

impl Header {
    pub(super) fn revision(&self) -> Result<Revision, Error> {
        parse_revision(&self.revision)
    }
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
struct Entry {
    key: String,
    value: String,
    create_revision: String,
    mod_revision: String,
    version: String,
    lease: String,
}

impl TryFrom<Entry> for key_value::Entry {
    type Error = Error;

    fn try_from(entry: Entry) -> Result<Self, Error> {
        let lease = match entry.lease.as_str() {
            "" | "0" => None,
            text => Some(text.parse().map_err(|err| malformed(&err))?),
        };
        Ok(Self {
            key: decode(&entry.key)?,
            value: decode(&entry.value)?,
            created: parse_revision(&entry.create_revision)?,
            modified: parse_revision(&entry.mod_revision)?,
            version: parse_u64(&entry.version)?,
            lease,
        })
    }
}

#[derive(Debug, serde::Deserialize)]
pub(super) struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<Entry>,
}

impl TryFrom<RangeAnswer> for key_value::RangeResult {
    type Error = Error;

    fn try_from(answer: RangeAnswer) -> Result<Self, Error> {
        let entries: Result<_, _> = answer
            .kvs
            .into_iter()
            .map(key_value::Entry::try_from)
            .collect();
        Ok(Self {
            revision: answer.header.revision()?,
            entries: entries?,
        })
    }
}

#[derive(Debug, serde::Deserialize)]
struct OpAnswer {
    response_range: Option<RangeAnswer>,
}

#[derive(Debug, serde::Deserialize)]
pub(super) struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OpAnswer>,
}

impl TryFrom<TxnAnswer> for key_value::TxnResult {
    type Error = Error;

    fn try_from(answer: TxnAnswer) -> Result<Self, Error> {
        let revision = answer.header.revision()?;
        let answers = answer
            .responses
            .into_iter()
            .filter_map(|op| op.response_range);
        let ranges: Result<Vec<key_value::RangeResult>, _> =
            answers.map(TryInto::try_into).collect();
        // The answers inside a transaction may lack a header.
        let mut ranges = ranges?;
        ranges
            .iter_mut()
            .for_each(|range| range.revision = revision);
        Ok(Self {
            revision,
            succeeded: answer.succeeded,
            ranges,
        })
    }
}

#[derive(Debug, serde::Deserialize)]
pub(super) struct LeaseAnswer {
    #[serde(rename = "ID", with = "text_number")]
    id: i64,
    #[serde(rename = "TTL", with = "text_number", default)]
    ttl: i64,
}

impl LeaseAnswer {
    pub(super) fn id(&self) -> key_value::LeaseId {
        key_value::LeaseId(self.id)
    }

    /// Time until the lease expires, or `None` if it has expired.
    pub(super) fn remaining(&self) -> Option<Duration> {
        let secs = u64::try_from(self.ttl).ok().filter(|secs| *secs > 0);
        secs.map(Duration::from_secs)
    }
}

#[derive(Debug, serde::Deserialize)]
pub(super) struct KeepAliveAnswer {
    pub(super) result: LeaseAnswer,
}

/// Deserializes a number that JSON encodes as a string.
mod text_number {
    use serde::de::Error as _;

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<i64, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text: String = serde::Deserialize::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, serde::Deserialize)]
struct Event {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: Entry,
}

impl TryFrom<Event> for key_value::Change {
    type Error = Error;

    fn try_from(event: Event) -> Result<Self, Error> {
        let entry = key_value::Entry::try_from(event.kv)?;
        Ok(match event.kind {
            EventKind::Put => Self::Put(entry),
            EventKind::Delete => Self::Deleted {
                key: entry.key,
                revision: entry.modified,
            },
        })
    }
}

/// One message of a watch stream.
#[derive(Debug, serde::Deserialize)]
pub(super) struct WatchMessage {
    pub(super) result: WatchResult,
}

#[derive(Debug, serde::Deserialize)]
pub(super) struct WatchResult {
    pub(super) header: Header,
    #[serde(default)]
    pub(super) created: bool,
    #[serde(default)]
    pub(super) canceled: bool,
    #[serde(default)]
    events: Vec<Event>,
}

impl WatchResult {
    pub(super) fn changes(self) -> Result<Vec<key_value::Change>, Error> {
        self.events
            .into_iter()
            .map(key_value::Change::try_from)
            .collect()
    }
}
