//! Interface of the platform's key-value service, as far as the fleet uses it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use pistachiochute_core::revision::Revision;

/// Why a call failed, by whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call was not sent, so it had no effect.
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// The service refused the call, so it had no effect.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Message of the answer.
        message: String,
    },
    /// The call was sent, but its answer is missing or unusable: it may have taken effect, or may
    /// still take effect later.
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

impl Error {
    /// Creates the error of a call whose effect is unknown.
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

/// Keys that a call reads, deletes or watches.
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
    /// Number of writes of the key since it was created.
    pub version: u64,
    /// Lease that removes the entry when it expires.
    pub lease: Option<LeaseId>,
}

/// Result of a range read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeResult {
    /// Revision of the store at which the entries were read.
    pub revision: Revision,
    /// Entries, ordered by key.
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
        /// Lease that removes the entry when it expires.
        lease: Option<LeaseId>,
    },
    /// Removes entries.
    Delete(Keys),
}

/// Transaction: executes the operations in `success` if all compares hold, otherwise those in
/// `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<Op>,
    /// Operations otherwise.
    pub failure: Vec<Op>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResult {
    /// Revision of the store after the transaction. If it wrote, this is the revision of its
    /// writes.
    pub revision: Revision,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Results of the [`Op::Range`] operations that were executed, in their order.
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
    /// The key that changed.
    #[must_use]
    pub const fn key(&self) -> &Bytes {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Deleted { key, .. } => key,
        }
    }

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
    /// Keys changed. All changes up to and including `revision` have been delivered.
    Changes {
        /// Revision of the last change.
        revision: Revision,
        /// The changes, ordered by revision.
        changes: Vec<Change>,
    },
    /// No further key changed up to and including this revision.
    Progress(Revision),
    /// Changes were missed, because the history was compacted or the store was restored to an older
    /// revision: the keys must be read again. The watch continues after `revision`.
    Reset {
        /// Revision of the store at the reset.
        revision: Revision,
    },
    /// The connection was lost. The watch reconnects by itself and misses no change, unless a
    /// [`WatchEvent::Reset`] follows.
    Lost(Error),
}

/// A watch that runs until it is closed.
#[derive(Debug)]
pub struct Watch {
    events: channel::Receiver<WatchEvent>,
    closed: Arc<AtomicBool>,
}

impl Watch {
    /// Creates the receiving side of a watch whose source stops when `closed` is set.
    #[must_use]
    pub const fn new(events: channel::Receiver<WatchEvent>, closed: Arc<AtomicBool>) -> Self {
        Self { events, closed }
    }

    /// Channel that the watch delivers to.
    #[must_use]
    pub const fn events(&self) -> &channel::Receiver<WatchEvent> {
        &self.events
    }

    /// Closes the watch. Its thread ends with the next message, or when the idle timeout of the
    /// connection has passed.
    pub fn close(self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// The key-value service of the platform.
///
/// Calls block for a bounded time. Implementations can be shared between threads.
pub trait KeyValue: Send + Sync {
    /// Reads entries.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read never has an effect.
    fn range(&self, keys: &Keys) -> Result<RangeResult, Error>;

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the transaction may have taken effect or still may. After any other
    /// error it had no effect.
    fn txn(&self, txn: &Txn) -> Result<TxnResult, Error>;

    /// Grants a lease that expires after `ttl` without renewal. The service counts in whole
    /// seconds.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a lease whose answer was lost expires by itself.
    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease. Returns the time until it expires, or `None` if it has expired.
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

    /// Watches keys from revision `from` on. The watch runs on its own thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    fn watch(&self, keys: Keys, from: Revision) -> eyre::Result<Watch>;
}
