//! What the fleet needs of the platform's key-value service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use pistachiochute_core::revision::Revision;

/// Why a call failed, by what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was made, so the call had no effect.
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// The service answered that it did not carry the call out.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Message of the answer.
        message: String,
    },
    /// The call was sent and its answer is missing or cannot be used: it may have taken effect,
    /// and it may still take effect later.
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

impl Error {
    /// Makes the error of a call whose effect is unknown.
    #[must_use]
    pub fn unknown<R>(reason: R) -> Self
    where
        R: Into<String>,
    {
        Self::Unknown {
            reason: reason.into(),
        }
    }

    /// Whether the call certainly had no effect and will have none.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::Refused { .. } => true,
            Self::Unknown { .. } => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { reason } => write!(f, "key-value call not sent: {reason}"),
            Self::Refused { status, message } => {
                write!(f, "key-value call refused with status {status}: {message}")
            }
            Self::Unknown { reason } => write!(f, "effect of key-value call unknown: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Id of a lease.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "lease{}", self.0)
    }
}

impl FromStr for LeaseId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix("lease").unwrap_or(text).parse().map(Self)
    }
}

/// Keys that a call is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Keys {
    /// One key.
    One(Bytes),
    /// All keys that start with these bytes.
    Prefix(Bytes),
}

/// An entry at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key of the entry.
    pub key: Bytes,
    /// Value of the entry.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last write of the key.
    pub modified: Revision,
    /// Writes of the key since it was created.
    pub version: u64,
    /// Lease that removes the entry when it lapses.
    pub lease: Option<LeaseId>,
}

/// Entries that a read found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeResult {
    /// Revision of the store that the read saw.
    pub revision: Revision,
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
}

/// Condition of a transaction. A key that does not exist has revision [`Revision::NONE`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was created at this revision.
    Created(Bytes, Revision),
    /// The key was last written at this revision.
    Modified(Bytes, Revision),
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads entries.
    Range(Keys),
    /// Writes an entry.
    Put {
        /// Key of the entry.
        key: Bytes,
        /// Value of the entry, up to a megabyte.
        value: Bytes,
        /// Lease that removes the entry when it lapses.
        lease: Option<LeaseId>,
    },
    /// Removes entries.
    Delete(Keys),
}

/// Transaction: if all compares hold, the first operations are carried out, else the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<Op>,
    /// Operations otherwise.
    pub failure: Vec<Op>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResult {
    /// Revision of the store after the transaction; that of its writes, if it wrote.
    pub revision: Revision,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Answers to the [`Op::Range`] operations that were carried out, in their order.
    pub ranges: Vec<RangeResult>,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry was written.
    Put(Entry),
    /// The key was removed.
    Deleted {
        /// The key.
        key: Bytes,
        /// Revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Revision of the change.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.modified,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// What a watch delivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Keys changed. All changes up to and with `revision` have been delivered.
    Changes {
        /// Revision of the last change.
        revision: Revision,
        /// The changes, in the order of their revisions.
        changes: Vec<Change>,
    },
    /// Nothing more changed up to and with this revision.
    Progress(Revision),
    /// Changes are missing, since the history is gone or the store went back to an older revision:
    /// the keys must be read again. The watch goes on after `revision`.
    Reset {
        /// Revision of the store at the time.
        revision: Revision,
    },
    /// The connection was lost. The watch connects again by itself and misses nothing.
    Lost(Error),
}

/// A watch that runs until it is closed.
#[derive(Debug)]
pub struct Watch {
    events: channel::Receiver<WatchEvent>,
    closed: Arc<AtomicBool>,
}

impl Watch {
    /// Makes the receiving side of a watch whose source stops when `closed` is set.
    #[must_use]
    pub const fn new(events: channel::Receiver<WatchEvent>, closed: Arc<AtomicBool>) -> Self {
        Self { events, closed }
    }

    /// Channel that the watch delivers to.
    #[must_use]
    pub const fn events(&self) -> &channel::Receiver<WatchEvent> {
        &self.events
    }

    /// Ends the watch. Its thread ends with the next message, or when the connection has been
    /// silent for the set time.
    pub fn close(self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// The key-value service of the platform.
///
/// Calls block for a bounded time. Implementations are shared between threads.
pub trait KeyValue: Send + Sync {
    /// Reads entries.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read has no effect in any case.
    fn range(&self, keys: &Keys) -> Result<RangeResult, Error>;

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the transaction may have taken effect or may yet; otherwise it had
    /// no effect.
    fn txn(&self, txn: &Txn) -> Result<TxnResult, Error>;

    /// Grants a lease that lapses after `ttl` (in whole seconds) without renewal.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a lease that was granted although its answer was lost lapses by itself.
    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease. Returns the time until it lapses, or `None` if it has lapsed.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the lease may have been renewed.
    fn keep_alive(&self, lease: LeaseId) -> Result<Option<Duration>, Error>;

    /// Revokes a lease and removes its entries.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a lease that does not exist is [`Error::Refused`].
    fn revoke(&self, lease: LeaseId) -> Result<(), Error>;

    /// Watches keys from revision `from` on, on a thread of its own.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    fn watch(&self, keys: Keys, from: Revision) -> eyre::Result<Watch>;
}
