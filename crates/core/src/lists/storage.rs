//! Keys and values of the lists in the key-value service.
//!
//! Each entry has its own key, whose value includes the revision of the last change. The head key
//! has the version of the lists. Every edit is one transaction that compares the head, so that the
//! stored lists are always consistent. The history has one key for each of the last
//! [`HISTORY_LEN`] edits.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::de;

use crate::lists::{self, Account, Change, Delta, Lists, Plan, Snapshot, Version};
use crate::{name, revision};

/// Prefix of the head and of every entry.
pub const PREFIX: &str = "/pistachiochute/lists/";

/// Key of the head.
pub const HEAD: &str = "/pistachiochute/lists/head";

/// Prefix of the history.
pub const HISTORY: &str = "/pistachiochute/history/";

const ACCOUNTS: &str = "/pistachiochute/lists/accounts/";

const PLANS: &str = "/pistachiochute/lists/plans/";

/// Number of edits that the history retains.
pub const HISTORY_LEN: u64 = 1_024;

/// Id of an edit: a UUIDv7 from the host that carries it out.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct EditId(pub uuid::Uuid);

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::str::FromStr for EditId {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Value of the head key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the lists.
    pub version: Version,
    /// The edit that created this version.
    pub edit: EditId,
}

/// An entry and the revision at which it was last changed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<E> {
    /// Revision of the last change.
    pub revision: revision::Revision,
    /// The entry.
    pub entry: E,
}

/// Who made an edit.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Author {
    /// An operator.
    Operator(name::OperatorName),
    /// The fleet itself, when it repairs the store or resolves an edit.
    Fleet,
}

/// An edit in the history.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Id of the edit.
    pub edit: EditId,
    /// Author of the edit.
    pub author: Author,
    /// Time of the edit in milliseconds since the Unix epoch, by the clock of the host that carried
    /// it out.
    pub at_ms: u64,
    /// Changes of the edit.
    pub delta: Delta,
}

/// The lists as they are in the store, with the revision of each entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLists {
    /// The head, or `None` before the first edit.
    pub head: Option<Head>,
    /// Accounts by name.
    pub accounts: BTreeMap<name::AccountName, Versioned<Account>>,
    /// Plans by name.
    pub plans: BTreeMap<name::PlanName, Versioned<Plan>>,
}

/// Error for a key or value in the store that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CorruptValue {
    /// Key of the value.
    pub key: String,
    /// Error of the decoder.
    pub cause: String,
}

impl fmt::Display for CorruptValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key {} cannot be read: {}", self.key, self.cause)
    }
}

impl std::error::Error for CorruptValue {}

impl StoredLists {
    /// Decodes the keys and values under [`PREFIX`]. Unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error for the first key or value that cannot be decoded.
    pub fn read<'a, I>(entries: I) -> Result<Self, CorruptValue>
    where
        I: IntoIterator<Item = (&'a [u8], &'a [u8])>,
    {
        let mut stored = Self::default();
        for (key, value) in entries {
            let key = String::from_utf8_lossy(key);
            if key == HEAD {
                stored.head = Some(parse(&key, value)?);
            } else if let Some(name) = key.strip_prefix(ACCOUNTS) {
                let name = parse_name(&key, name)?;
                stored.accounts.insert(name, parse(&key, value)?);
            } else if let Some(name) = key.strip_prefix(PLANS) {
                let name = parse_name(&key, name)?;
                stored.plans.insert(name, parse(&key, value)?);
            }
        }
        Ok(stored)
    }

    /// Version of the lists, [`Version::NONE`] before the first edit.
    #[must_use]
    pub fn version(&self) -> Version {
        self.head.map_or(Version::NONE, |head| head.version)
    }

    /// The lists without the revisions of the entries.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let accounts = self.accounts.iter();
        let plans = self.plans.iter();
        Snapshot {
            version: self.version(),
            lists: Lists {
                accounts: accounts
                    .map(|(k, v)| (k.clone(), v.entry.clone()))
                    .collect(),
                plans: plans.map(|(k, v)| (k.clone(), v.entry.clone())).collect(),
            },
        }
    }

    /// Revision of the entry that a change refers to, or `None` if the entry does not exist.
    #[must_use]
    pub fn entry_revision(&self, change: &Change) -> Option<revision::Revision> {
        match change {
            Change::PutAccount(name, _) | Change::RemoveAccount(name) => {
                self.accounts.get(name).map(|versioned| versioned.revision)
            }
            Change::PutPlan(name, _) | Change::RemovePlan(name) => {
                self.plans.get(name).map(|versioned| versioned.revision)
            }
        }
    }

    /// The change that would write the current state of the entry that `change` refers to.
    #[must_use]
    pub fn entry_as_change(&self, change: &Change) -> Change {
        match change {
            Change::PutAccount(name, _) | Change::RemoveAccount(name) => {
                let entry = self
                    .accounts
                    .get(name)
                    .map(|versioned| versioned.entry.clone());
                entry.map_or_else(
                    || Change::RemoveAccount(name.clone()),
                    |entry| Change::PutAccount(name.clone(), entry),
                )
            }
            Change::PutPlan(name, _) | Change::RemovePlan(name) => {
                let entry = self
                    .plans
                    .get(name)
                    .map(|versioned| versioned.entry.clone());
                entry.map_or_else(
                    || Change::RemovePlan(name.clone()),
                    |entry| Change::PutPlan(name.clone(), entry),
                )
            }
        }
    }
}

/// Decodes a record of the history.
///
/// # Errors
///
/// Returns an error if the value is not a record.
pub fn read_record(key: &[u8], value: &[u8]) -> Result<Record, CorruptValue> {
    parse(&String::from_utf8_lossy(key), value)
}

/// A write to one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets the value.
    Put(String, Bytes),
    /// Removes the key.
    Delete(String),
}

/// The writes of an edit, to be committed in one transaction that compares the head.
#[must_use]
pub fn writes(record: &Record) -> Vec<Write> {
    let to = record.delta.to;
    let head = Head {
        version: to,
        edit: record.edit,
    };
    let changes = record.delta.changes.iter();
    let mut writes: Vec<_> = changes.map(|change| write(to.revision, change)).collect();
    writes.push(put(HEAD.to_owned(), &head));
    writes.push(put(history_key(to.revision), record));
    if let Some(old) = to.revision.0.checked_sub(HISTORY_LEN) {
        writes.push(Write::Delete(history_key(revision::Revision(old))));
    }
    writes
}

/// The writes that replace the entries in the store by `lists`, together with those of the record.
#[must_use]
pub fn repair_writes(stored: &StoredLists, lists: &Lists, record: &Record) -> Vec<Write> {
    let revision = record.delta.to.revision;
    let changes = stored.snapshot().lists.changes_to(lists);
    let changes = changes.iter().map(|change| write(revision, change));
    changes.chain(writes(record)).collect()
}

fn write(revision: revision::Revision, change: &Change) -> Write {
    match change {
        Change::PutAccount(name, entry) => put_entry(ACCOUNTS, name.as_str(), revision, entry),
        Change::PutPlan(name, entry) => put_entry(PLANS, name.as_str(), revision, entry),
        Change::RemoveAccount(name) => Write::Delete(format!("{ACCOUNTS}{name}")),
        Change::RemovePlan(name) => Write::Delete(format!("{PLANS}{name}")),
    }
}

fn put_entry<E>(prefix: &str, name: &str, revision: revision::Revision, entry: &E) -> Write
where
    E: serde::Serialize,
{
    put(format!("{prefix}{name}"), &Versioned { revision, entry })
}

fn put<V>(key: String, value: &V) -> Write
where
    V: serde::Serialize,
{
    // Serialization does not fail: every value has only names, numbers and strings.
    Write::Put(key, serde_json::to_vec(value).unwrap_or_default().into())
}

fn history_key(revision: revision::Revision) -> String {
    format!("{HISTORY}{:020}", revision.0)
}

fn parse<V>(key: &str, value: &[u8]) -> Result<V, CorruptValue>
where
    V: de::DeserializeOwned,
{
    serde_json::from_slice(value).map_err(|e| corrupt_value(key, &e))
}

fn parse_name<N>(key: &str, name: &str) -> Result<N, CorruptValue>
where
    N: std::str::FromStr<Err = name::ParseNameError>,
{
    name.parse().map_err(|e| corrupt_value(key, &e))
}

fn corrupt_value<E>(key: &str, cause: &E) -> CorruptValue
where
    E: fmt::Display,
{
    CorruptValue {
        key: key.to_owned(),
        cause: cause.to_string(),
    }
}

/// Findings of the lists after an edit that they did not have before.
#[must_use]
pub fn new_findings(
    before: &Lists,
    after: &Lists,
    served: Option<&lists::verify::ServedTargets>,
) -> Vec<lists::Finding> {
    let known = lists::verify::lists(before, served);
    let mut findings = lists::verify::lists(after, served);
    findings.retain(|finding| !known.contains(finding));
    findings
}
