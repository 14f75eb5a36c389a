//! State machine of one edit of the lists in the store.
//!
//! An edit reads the lists, checks that its author has seen the current revisions of the entries
//! that it changes, verifies the result, and commits it in one compare-and-swap transaction on the
//! head. If the answer to the commit is lost, the machine reads back the head and the history:
//!
//! - If the history has the id of the edit, the edit is recorded.
//! - If the head has changed otherwise, the transaction can no longer take effect, and the edit
//!   starts over.
//! - If the head is unchanged, the same transaction is sent again. At most one copy can take
//!   effect, since each compares the head.

use crate::lists::storage::{Author, EditId, Record, StoredLists};
use crate::lists::{Change, Delta, Finding, Version, storage, verify};
use crate::revision;

/// Maximum number of rounds, the first one included. An edit starts a new round when the head has
/// changed.
const MAX_ROUNDS: u32 = 8;

/// Maximum number of times that an edit reads back after a lost answer.
const MAX_READ_BACKS: u32 = 3;

/// State of an entry that its author had seen. The edit conflicts if the state has changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Base {
    /// The entry did not exist.
    Absent,
    /// The entry was last changed at this revision.
    Entry(revision::Revision),
    /// The lists were at this revision, and no entry that the edit changes has changed since.
    Lists(revision::Revision),
}

/// A change and the state that it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The change.
    pub change: Change,
    /// State that its author had seen.
    pub base: Base,
}

/// Changes that an operator proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposals {
    /// Changes of single entries.
    Entries(Vec<Proposal>),
    /// Replaces both lists, based on the lists at a revision.
    Replacement(crate::lists::Lists, revision::Revision),
}

/// An entry that was changed after the author had seen it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Conflict {
    /// The change that the author proposed.
    pub yours: Change,
    /// The current entry, as the change that would write it.
    pub theirs: Change,
    /// Revision of the current entry, or `None` if it does not exist.
    pub revision: Option<revision::Revision>,
}

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store has recorded the edit.
    Recorded(Delta),
    /// The lists already were as proposed.
    Unchanged(Version),
    /// Entries were changed after the author had seen them. Nothing was recorded.
    Conflict(Vec<Conflict>),
    /// The changed lists would have new findings. Nothing was recorded.
    Invalid(Vec<Finding>),
    /// The operator may not make these changes. Nothing was recorded.
    Forbidden(Vec<Change>),
    /// The edit was not recorded and will not be.
    NotRecorded(Cause),
    /// The edit may have been recorded. Its id must be resolved with [`Resolve`] when the store
    /// answers again.
    Unresolved(EditId),
}

/// Why an edit was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The store cannot be reached or did not answer.
    StoreUnavailable,
    /// The store has an older version than the fleet and has to be repaired first.
    StoreBehind,
    /// Other edits changed the head each time.
    Busy,
    /// A value in the store cannot be decoded.
    StoreCorrupt,
}

/// Action that the caller of the state machine has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the lists and the head's [`CasVersion`], and pass them to [`Edit::read`].
    Read,
    /// Read the lists, the head's [`CasVersion`] and the history, and pass them to
    /// [`Edit::read_back`].
    ReadBack,
    /// Write the record in one transaction if the head still has this version, and pass the result
    /// to [`Edit::committed`].
    Commit(CasVersion, Record),
    /// The edit has ended with this outcome.
    Done(Outcome),
}

/// Version of the head for compare-and-swap: the store's revision at its last write, or 0 if there
/// is no head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CasVersion(pub u64);

/// Result of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The transaction took effect.
    Committed,
    /// The head had changed, so the transaction had no effect.
    HeadChanged,
    /// The transaction has had no effect and will have none.
    NotSent,
    /// The transaction may have taken effect, or may still do so.
    Unknown,
}

/// An edit in progress.
#[derive(Debug)]
pub struct Edit<F> {
    id: EditId,
    author: Author,
    at_ms: u64,
    proposals: Proposals,
    /// Whether the author may make a change.
    allowed: F,
    served: Option<verify::ServedTargets>,
    /// Largest version that the host has seen.
    highest_version: Version,
    /// Transaction whose result is outstanding or unknown.
    sent: Option<(CasVersion, Record)>,
    rounds: u32,
    read_backs: u32,
}

impl<F> Edit<F>
where
    F: Fn(&Change) -> bool,
{
    /// Creates an edit. The first step is [`Step::Read`].
    pub fn new(id: EditId, author: Author, at_ms: u64, proposals: Proposals, allowed: F) -> Self {
        Self {
            id,
            author,
            at_ms,
            proposals,
            allowed,
            served: None,
            highest_version: Version::NONE,
            sent: None,
            rounds: 0,
            read_backs: 0,
        }
    }

    /// Sets the models and services that endpoints serve, to check plans against.
    #[must_use]
    pub fn with_served_targets(self, served: verify::ServedTargets) -> Self {
        Self {
            served: Some(served),
            ..self
        }
    }

    /// Sets the largest version that the host has seen. A store with a smaller version is not
    /// edited.
    #[must_use]
    pub fn with_highest_version(self, highest_version: Version) -> Self {
        Self {
            highest_version,
            ..self
        }
    }

    /// Handles the result of [`Step::Read`], `None` if the store did not answer.
    pub fn read(&mut self, read: Option<(CasVersion, &StoredLists)>) -> Step {
        let Some((cas_version, stored)) = read else {
            return not_recorded(Cause::StoreUnavailable);
        };
        if stored.version() < self.highest_version {
            return not_recorded(Cause::StoreBehind);
        }
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return not_recorded(Cause::Busy);
        }
        match self.changes(stored) {
            Ok(changes) if changes.is_empty() => Step::Done(Outcome::Unchanged(stored.version())),
            Ok(changes) => {
                let record = Record {
                    edit: self.id,
                    author: self.author.clone(),
                    at_ms: self.at_ms,
                    delta: Delta::after(stored.version(), changes),
                };
                self.sent = Some((cas_version, record.clone()));
                Step::Commit(cas_version, record)
            }
            Err(outcome) => Step::Done(outcome),
        }
    }

    /// Handles the result of [`Step::Commit`].
    pub fn committed(&mut self, result: CommitResult) -> Step {
        match (result, &self.sent) {
            (CommitResult::Committed, Some((_, record))) => {
                Step::Done(Outcome::Recorded(record.delta.clone()))
            }
            // An earlier copy of the transaction may have taken effect and changed the head.
            (CommitResult::HeadChanged | CommitResult::NotSent, _) if self.read_backs > 0 => {
                self.retry_read_back()
            }
            (CommitResult::NotSent, _) => not_recorded(Cause::StoreUnavailable),
            (CommitResult::Unknown, Some(_)) => self.retry_read_back(),
            (CommitResult::HeadChanged, _) | (_, None) => {
                self.sent = None;
                Step::Read
            }
        }
    }

    /// Handles the result of [`Step::ReadBack`], `None` if the store did not answer.
    pub fn read_back(&mut self, read: Option<(CasVersion, &StoredLists, &[Record])>) -> Step {
        let Some((cas_version, stored, history)) = read else {
            return self.retry_read_back();
        };
        if let Some(record) = history.iter().find(|record| record.edit == self.id) {
            return Step::Done(Outcome::Recorded(record.delta.clone()));
        }
        match &self.sent {
            Some((sent, record)) if *sent == cas_version => {
                Step::Commit(cas_version, record.clone())
            }
            // The head has changed and the history lacks this edit, so the transaction that was
            // sent can never take effect.
            _ => {
                self.sent = None;
                self.read_backs = 0;
                self.read(Some((cas_version, stored)))
            }
        }
    }

    fn retry_read_back(&mut self) -> Step {
        self.read_backs += 1;
        if self.read_backs > MAX_READ_BACKS {
            return Step::Done(Outcome::Unresolved(self.id));
        }
        Step::ReadBack
    }

    /// Returns the proposed changes that are not in the lists yet. Fails if one is forbidden or
    /// conflicts, or if the result has new findings.
    fn changes(&self, stored: &StoredLists) -> Result<Vec<Change>, Outcome> {
        let before = stored.snapshot().lists;
        let proposals = match &self.proposals {
            Proposals::Entries(proposals) => proposals.clone(),
            Proposals::Replacement(lists, base) => before
                .changes_to(lists)
                .into_iter()
                .map(|change| Proposal {
                    change,
                    base: Base::Lists(*base),
                })
                .collect(),
        };
        let proposals: Vec<_> = proposals
            .into_iter()
            .filter(|proposal| !before.is_unchanged_by(&proposal.change))
            .collect();
        let changes: Vec<_> = proposals.iter().map(|p| p.change.clone()).collect();
        let mut forbidden = changes.clone();
        forbidden.retain(|change| !(self.allowed)(change));
        if !forbidden.is_empty() {
            return Err(Outcome::Forbidden(forbidden));
        }
        let conflicts = conflicts(stored, &self.proposals, &proposals);
        if !conflicts.is_empty() {
            return Err(Outcome::Conflict(conflicts));
        }
        let mut after = before.clone();
        changes.iter().for_each(|change| after.apply(change));
        let findings = storage::new_findings(&before, &after, self.served.as_ref());
        if !findings.is_empty() {
            return Err(Outcome::Invalid(findings));
        }
        Ok(changes)
    }
}

fn not_recorded(cause: Cause) -> Step {
    Step::Done(Outcome::NotRecorded(cause))
}

fn conflicts(stored: &StoredLists, all: &Proposals, proposals: &[Proposal]) -> Vec<Conflict> {
    // Replacing both lists would restore an entry that was removed after `base`, which is a
    // conflict, too.
    let lists_changed = match all {
        Proposals::Replacement(_, base) => stored.version().revision != *base,
        Proposals::Entries(_) => false,
    };
    let conflict = |proposal: &Proposal| {
        let revision = stored.entry_revision(&proposal.change);
        let is_current = match proposal.base {
            Base::Absent => revision.is_none(),
            Base::Entry(seen) => revision == Some(seen),
            Base::Lists(seen) => match revision {
                Some(revision) => revision <= seen,
                None => !lists_changed,
            },
        };
        (!is_current).then(|| Conflict {
            yours: proposal.change.clone(),
            theirs: stored.entry_as_change(&proposal.change),
            revision,
        })
    };
    proposals.iter().filter_map(conflict).collect()
}

/// State machine that finds out whether an edit with an unknown result was recorded.
#[derive(Debug)]
pub struct Resolve {
    edit: EditId,
    fence: EditId,
    at_ms: u64,
}

/// Result of resolving an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolved {
    /// The edit is in the history.
    Recorded(Record),
    /// The edit was not recorded and never will be.
    NotRecorded,
    /// The edit is older than the history, so its outcome can no longer be determined.
    Expired,
    /// The store did not answer, or the result of the commit is unknown.
    Unavailable,
}

/// Action that the caller of the resolution has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolveStep {
    /// Read the version of the lists, the head's [`CasVersion`] and the history, and pass them to
    /// [`Resolve::read`].
    Read,
    /// Write the record in one transaction if the head still has this version, and pass the result
    /// to [`Resolve::committed`].
    Commit(CasVersion, Record),
    /// The resolution has ended with this result.
    Done(Resolved),
}

impl Resolve {
    /// Creates the resolution of an edit. `fence` is the id of an empty edit that changes the head,
    /// so that a transaction which is still in flight can no longer take effect.
    #[must_use]
    pub const fn new(edit: EditId, fence: EditId, at_ms: u64) -> Self {
        Self { edit, fence, at_ms }
    }

    /// Handles the result of [`ResolveStep::Read`], `None` if the store did not answer.
    #[must_use]
    pub fn read(&self, read: Option<(CasVersion, Version, &[Record])>) -> ResolveStep {
        let Some((cas_version, version, history)) = read else {
            return ResolveStep::Done(Resolved::Unavailable);
        };
        if let Some(record) = history.iter().find(|record| record.edit == self.edit) {
            return ResolveStep::Done(Resolved::Recorded(record.clone()));
        }
        if history.iter().any(|record| record.edit == self.fence) {
            return ResolveStep::Done(Resolved::NotRecorded);
        }
        let full = history.len() as u64 >= storage::HISTORY_LEN;
        let oldest = history.iter().map(|record| record.edit).min();
        if full && oldest.is_some_and(|oldest| self.edit < oldest) {
            return ResolveStep::Done(Resolved::Expired);
        }
        let record = Record {
            edit: self.fence,
            author: Author::Fleet,
            at_ms: self.at_ms,
            delta: Delta::after(version, Vec::new()),
        };
        ResolveStep::Commit(cas_version, record)
    }

    /// Handles the result of [`ResolveStep::Commit`].
    #[must_use]
    pub fn committed(&self, result: CommitResult) -> ResolveStep {
        match result {
            CommitResult::Committed => ResolveStep::Done(Resolved::NotRecorded),
            CommitResult::HeadChanged => ResolveStep::Read,
            CommitResult::NotSent | CommitResult::Unknown => {
                ResolveStep::Done(Resolved::Unavailable)
            }
        }
    }
}
