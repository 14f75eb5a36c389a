//! Reads and writes of the lists in the key-value service.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use pistachiochute_core::lists::{self, edit, storage};

use crate::platform::key_value;

/// The key-value service, shared between threads.
pub type KeyValue = Arc<dyn key_value::KeyValue>;

/// Why the lists could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call to the service failed.
    Unavailable(key_value::Error),
    /// A stored value is invalid.
    Corrupt(storage::CorruptValue),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(e) => e.fmt(f),
            Self::Corrupt(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<key_value::Error> for Error {
    fn from(e: key_value::Error) -> Self {
        Self::Unavailable(e)
    }
}

impl From<storage::CorruptValue> for Error {
    fn from(e: storage::CorruptValue) -> Self {
        Self::Corrupt(e)
    }
}

/// The lists and the version of their head key, read at one revision of the store.
#[derive(Clone, Debug)]
pub struct ReadLists {
    /// Version of the head key, compared when an edit is committed.
    pub cas_version: edit::CasVersion,
    /// The lists.
    pub stored: storage::StoredLists,
    /// Revision of the store.
    pub revision: pistachiochute_core::revision::Revision,
}

/// Store of the lists in the key-value service.
#[derive(Clone)]
pub struct Store {
    kv: KeyValue,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}

impl Store {
    /// Creates a store on a key-value service.
    #[must_use]
    pub fn new(kv: KeyValue) -> Self {
        Self { kv }
    }

    /// Reads the lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the service fails or a stored value is invalid.
    pub fn read(&self) -> Result<ReadLists, Error> {
        read_lists(&self.kv.range(&prefix(storage::PREFIX))?)
    }

    /// Reads the lists and the last edits, oldest first, at one revision of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the service fails or a stored value is invalid.
    pub fn read_with_history(&self) -> Result<(ReadLists, Vec<storage::Record>), Error> {
        let keys = [storage::PREFIX, storage::HISTORY];
        let txn = key_value::Txn {
            success: keys
                .into_iter()
                .map(|key| key_value::Op::Range(prefix(key)))
                .collect(),
            ..key_value::Txn::default()
        };
        let committed = self.kv.txn(&txn)?;
        let [lists, history] = &committed.ranges[..] else {
            return Err(key_value::Error::unknown(
                "the transaction answer does not hold two range results",
            )
            .into());
        };
        Ok((read_lists(lists)?, read_history(history)?))
    }

    /// Reads the last edits, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the service fails or a stored value is invalid.
    pub fn history(&self) -> Result<Vec<storage::Record>, Error> {
        let found = self.kv.range(&prefix(storage::HISTORY))?;
        read_history(&found)
    }

    /// Commits an edit if the head key still has this version.
    #[must_use]
    pub fn commit(
        &self,
        cas_version: edit::CasVersion,
        record: &storage::Record,
    ) -> edit::CommitResult {
        self.write(cas_version, storage::writes(record))
    }

    /// Restores lists to a store that has fallen behind.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the service fails or a stored value is invalid.
    pub fn repair(
        &self,
        expected: lists::Version,
        lists: &lists::Lists,
        record: &storage::Record,
    ) -> Result<edit::CommitResult, Error> {
        let read = self.read()?;
        if read.stored.version() != expected {
            return Ok(edit::CommitResult::HeadChanged);
        }
        let writes = storage::repair_writes(&read.stored, lists, record);
        Ok(self.write(read.cas_version, writes))
    }

    /// Watches the history for edits after a revision of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the watch thread cannot be started.
    pub fn watch(
        &self,
        after: pistachiochute_core::revision::Revision,
    ) -> eyre::Result<key_value::Watch> {
        let from = pistachiochute_core::revision::Revision(after.0 + 1);
        self.kv.watch(prefix(storage::HISTORY), from)
    }

    fn write(
        &self,
        cas_version: edit::CasVersion,
        writes: Vec<storage::Write>,
    ) -> edit::CommitResult {
        let head = Bytes::from_static(storage::HEAD.as_bytes());
        let cas_version = pistachiochute_core::revision::Revision(cas_version.0);
        let txn = key_value::Txn {
            compares: vec![key_value::Compare::Modified(head, cas_version)],
            success: writes.into_iter().map(op).collect(),
            failure: Vec::new(),
        };
        match self.kv.txn(&txn) {
            Ok(committed) if committed.succeeded => edit::CommitResult::Committed,
            Ok(_) => edit::CommitResult::HeadChanged,
            Err(e) if e.had_no_effect() => edit::CommitResult::NotSent,
            Err(_) => edit::CommitResult::Unknown,
        }
    }
}

fn read_lists(found: &key_value::RangeResult) -> Result<ReadLists, Error> {
    let head = found
        .entries
        .iter()
        .find(|entry| entry.key == storage::HEAD);
    let cas_version = edit::CasVersion(head.map_or(0, |entry| entry.modified.0));
    let pairs = found
        .entries
        .iter()
        .map(|entry| (&entry.key[..], &entry.value[..]));
    let stored = storage::StoredLists::read(pairs)?;
    Ok(ReadLists {
        cas_version,
        stored,
        revision: found.revision,
    })
}

fn read_history(found: &key_value::RangeResult) -> Result<Vec<storage::Record>, Error> {
    let read = |entry: &key_value::Entry| storage::read_record(&entry.key, &entry.value);
    Ok(found.entries.iter().map(read).collect::<Result<_, _>>()?)
}

fn prefix(text: &'static str) -> key_value::Keys {
    key_value::Keys::Prefix(Bytes::from_static(text.as_bytes()))
}

fn op(write: storage::Write) -> key_value::Op {
    match write {
        storage::Write::Put(key, value) => key_value::Op::Put {
            key: key.into(),
            value,
            lease: None,
        },
        storage::Write::Delete(key) => key_value::Op::Delete(key_value::Keys::One(key.into())),
    }
}
