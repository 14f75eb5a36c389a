//! State machine of one edit of the lists in the store.
//!
//! An edit reads the lists, compares the entries that it changes with the revisions that its
//! author had seen, verifies the result, and commits one transaction that compares the head.
//! When the answer to the commit is lost, the machine reads back: the head or the history then
//! shows the id of the edit, or the head has moved on and the commit can no longer take effect,
//! or the head is unchanged and the same transaction is sent again. At most one of them can take
//! effect, since each compares the head.

use crate::lists::storage::{Author, EditId, Record, StoredLists};
use crate::lists::{Change, Delta, Finding, Version, storage, verify};
use crate::revision;

/// Times that an edit starts over because the head has moved.
const MAX_ROUNDS: u32 = 8;

/// Times that an edit reads back after a lost answer.
const MAX_READ_BACKS: u32 = 3;

/// What the author had seen of an entry when it was edited.
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

/// A change and what it was based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The change.
    pub change: Change,
    /// What its author had seen.
    pub base: Base,
}

/// Changes that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposals {
    /// Changes of single entries.
    Entries(Vec<Proposal>),
    /// Whole lists, based on the lists at a revision.
    Whole(crate::lists::Lists, revision::Revision),
}

/// An entry that was changed by someone else since the author saw it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Conflict {
    /// What the author asked for.
    pub yours: Change,
    /// The entry as it is now.
    pub theirs: Change,
    /// Revision of the entry as it is now, or `None` if it does not exist.
    pub revision: Option<revision::Revision>,
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store has recorded the edit.
    Recorded(Delta),
    /// The lists already were as asked.
    Unchanged(Version),
    /// Entries were changed since the author saw them. Nothing was recorded.
    Conflict(Vec<Conflict>),
    /// The lists would hold new findings. Nothing was recorded.
    Invalid(Vec<Finding>),
    /// The operator may not make these changes. Nothing was recorded.
    Forbidden(Vec<Change>),
    /// The edit was not recorded and will not be.
    NotRecorded(Cause),
    /// The edit may have been recorded: its id must be looked up when the store answers again.
    Unresolved(EditId),
}

/// Why an edit was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The store cannot be reached.
    StoreUnavailable,
    /// The store is behind the fleet and is being brought up to date.
    StoreBehind,
    /// Other edits came first each time.
    Busy,
    /// A value in the store cannot be read.
    StoreCorrupt,
}

/// What the machine asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the lists and the head's guard, and pass them to [`Edit::read`].
    Read,
    /// Read the lists, the guard and the history, and pass them to [`Edit::read_back`].
    ReadBack,
    /// Write in one transaction if the head still has the guard, and pass the answer to
    /// [`Edit::committed`].
    Commit(CasVersion, Record),
    /// The edit has ended.
    Done(Outcome),
}

/// Number by which the store tells writes of the head apart; zero if there is no head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CasVersion(pub u64);

/// Result of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The transaction took effect.
    Committed,
    /// The head had moved: the transaction had no effect.
    HeadChanged,
    /// The transaction was not carried out and will not be.
    NotSent,
    /// The transaction may have taken effect or may yet.
    Unknown,
}

/// An edit in progress.
#[derive(Debug)]
pub struct Edit<F> {
    record: EditId,
    author: Author,
    at_ms: u64,
    proposals: Proposals,
    /// Which changes the author may make.
    allowed: F,
    served: Option<verify::ServedTargets>,
    /// Largest version that the host knows of.
    highest_version: Version,
    /// Transaction whose answer is outstanding or lost.
    sent: Option<(CasVersion, Record)>,
    rounds: u32,
    read_backs: u32,
}

impl<F> Edit<F>
where
    F: Fn(&Change) -> bool,
{
    /// Makes an edit. The first step is [`Step::Read`].
    pub fn new(
        record: EditId,
        author: Author,
        at_ms: u64,
        proposals: Proposals,
        allowed: F,
    ) -> Self {
        Self {
            record,
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

    /// Sets the models and services that endpoints can serve.
    #[must_use]
    pub fn with_served_targets(self, served: verify::ServedTargets) -> Self {
        Self {
            served: Some(served),
            ..self
        }
    }

    /// Sets the largest version that the host knows of. A store that is behind takes no edits.
    #[must_use]
    pub fn with_highest_version(self, highest_version: Version) -> Self {
        Self {
            highest_version,
            ..self
        }
    }

    /// Takes the lists, or `None` if the store cannot be reached.
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
                    edit: self.record,
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

    /// Takes the answer to a commit.
    pub fn committed(&mut self, answer: CommitResult) -> Step {
        match (answer, &self.sent) {
            (CommitResult::Committed, Some((_, record))) => {
                Step::Done(Outcome::Recorded(record.delta.clone()))
            }
            // An earlier copy of the transaction may be the one that moved the head.
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

    /// Takes the lists and the history after a lost answer, or `None` if the store cannot be
    /// reached.
    pub fn read_back(&mut self, read: Option<(CasVersion, &StoredLists, &[Record])>) -> Step {
        let Some((cas_version, stored, history)) = read else {
            return self.retry_read_back();
        };
        if let Some(record) = history.iter().find(|record| record.edit == self.record) {
            return Step::Done(Outcome::Recorded(record.delta.clone()));
        }
        match &self.sent {
            Some((sent, record)) if *sent == cas_version => {
                Step::Commit(cas_version, record.clone())
            }
            // The head has changed without this edit, so it can never be recorded.
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
            return Step::Done(Outcome::Unresolved(self.record));
        }
        Step::ReadBack
    }

    /// The changes that remain to be made, if they are allowed, up to date and valid.
    fn changes(&self, stored: &StoredLists) -> Result<Vec<Change>, Outcome> {
        let before = stored.snapshot().lists;
        let proposals = match &self.proposals {
            Proposals::Entries(proposals) => proposals.clone(),
            Proposals::Whole(lists, base) => before
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
    // Whole lists also conflict with an entry that was removed since, which they would bring back.
    let moved = match all {
        Proposals::Whole(_, base) => stored.version().revision != *base,
        Proposals::Entries(_) => false,
    };
    let conflict = |proposal: &Proposal| {
        let revision = stored.entry_revision(&proposal.change);
        let current = match proposal.base {
            Base::Absent => revision.is_none(),
            Base::Entry(seen) => revision == Some(seen),
            Base::Lists(seen) => match revision {
                Some(revision) => revision <= seen,
                None => !moved,
            },
        };
        (!current).then(|| Conflict {
            yours: proposal.change.clone(),
            theirs: stored.entry_as_change(&proposal.change),
            revision,
        })
    };
    proposals.iter().filter_map(conflict).collect()
}

/// Finds out whether an edit was recorded whose answer was lost.
#[derive(Debug)]
pub struct Resolve {
    edit: EditId,
    fence: EditId,
    at_ms: u64,
}

/// What is known of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolved {
    /// The edit is in the history.
    Recorded(Record),
    /// The edit was not recorded and can no longer be.
    NotRecorded,
    /// The edit is older than the history.
    Forgotten,
    /// The store cannot be reached.
    Unavailable,
}

/// What the resolution asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolveStep {
    /// Read the lists, the guard and the history, and pass them to [`Resolve::read`].
    Read,
    /// Write in one transaction if the head still has the guard, and pass the answer to
    /// [`Resolve::committed`].
    Commit(CasVersion, Record),
    /// The edit is resolved.
    Done(Resolved),
}

impl Resolve {
    /// Starts to resolve an edit. `fence` is the id of an empty edit that moves the head, so that
    /// a transaction which is still on its way can no longer take effect.
    #[must_use]
    pub const fn new(edit: EditId, fence: EditId, at_ms: u64) -> Self {
        Self { edit, fence, at_ms }
    }

    /// Takes the lists and the history, or `None` if the store cannot be reached.
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
            return ResolveStep::Done(Resolved::Forgotten);
        }
        let record = Record {
            edit: self.fence,
            author: Author::Fleet,
            at_ms: self.at_ms,
            delta: Delta::after(version, Vec::new()),
        };
        ResolveStep::Commit(cas_version, record)
    }

    /// Takes the answer to a commit.
    #[must_use]
    pub fn committed(&self, answer: CommitResult) -> ResolveStep {
        match answer {
            CommitResult::Committed => ResolveStep::Done(Resolved::NotRecorded),
            CommitResult::HeadChanged => ResolveStep::Read,
            CommitResult::NotSent | CommitResult::Unknown => {
                ResolveStep::Done(Resolved::Unavailable)
            }
        }
    }
}
