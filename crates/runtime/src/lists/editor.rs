//! Operators' edits of the lists.

use pistachiochute_core::lists::edit::{Edit, Outcome, Proposals, Resolve, ResolveStep, Resolved};
use pistachiochute_core::lists::{self, edit, storage};
use pistachiochute_core::name;

use crate::lists::store;
use crate::{control, wall_clock};

/// Maximum number of rounds to resolve an edit whose answer was lost.
const MAX_RESOLVE_ROUNDS: u32 = 4;

/// Commits edits to the store.
#[derive(Clone, Debug)]
pub struct Editor {
    store: store::Store,
    control: control::Handle,
}

impl Editor {
    /// Creates an editor that passes recorded edits to the control thread.
    #[must_use]
    pub fn new(store: store::Store, control: control::Handle) -> Self {
        Self { store, control }
    }

    /// Returns the store of the lists.
    #[must_use]
    pub fn store(&self) -> &store::Store {
        &self.store
    }

    /// Runs an edit until it is recorded or rejected.
    pub fn edit<F>(
        &self,
        id: storage::EditId,
        operator: name::OperatorName,
        proposals: Proposals,
        allowed: F,
    ) -> Outcome
    where
        F: Fn(&lists::Change) -> bool,
    {
        let author = storage::Author::Operator(operator);
        let mut edit = Edit::new(id, author, wall_clock::now_ms(), proposals, allowed)
            .with_highest_version(self.control.highest_version());
        if let Some(catalog) = self.control.served_targets() {
            edit = edit.with_served_targets(catalog);
        }
        let outcome = self.run(&mut edit);
        if let Outcome::Recorded(delta) = &outcome {
            self.control.handle_recorded_delta(delta.clone());
        }
        outcome
    }

    fn run<F>(&self, edit: &mut Edit<F>) -> Outcome
    where
        F: Fn(&lists::Change) -> bool,
    {
        let mut step = edit::Step::Read;
        loop {
            step = match step {
                edit::Step::Read => match self.store.read() {
                    Ok(read) => edit.read(Some((read.cas_version, &read.stored))),
                    Err(store::Error::Unavailable(_)) => edit.read(None),
                    Err(store::Error::Corrupt(_)) => return corrupt(),
                },
                edit::Step::ReadBack => match self.store.read_with_history() {
                    Ok((read, history)) => {
                        edit.read_back(Some((read.cas_version, &read.stored, &history)))
                    }
                    Err(store::Error::Unavailable(_)) => edit.read_back(None),
                    Err(store::Error::Corrupt(_)) => return corrupt(),
                },
                edit::Step::Commit(cas_version, record) => {
                    edit.committed(self.store.commit(cas_version, &record))
                }
                edit::Step::Done(outcome) => return outcome,
            };
        }
    }

    /// Determines whether an edit whose answer was lost has been recorded.
    #[must_use]
    pub fn resolve(&self, id: storage::EditId) -> Resolved {
        let fence = storage::EditId(uuid::Uuid::now_v7());
        let resolve = Resolve::new(id, fence, wall_clock::now_ms());
        for _ in 0..MAX_RESOLVE_ROUNDS {
            let read = self.store.read_with_history().ok();
            let read = read
                .as_ref()
                .map(|(read, history)| (read.cas_version, read.stored.version(), &history[..]));
            match resolve.read(read) {
                ResolveStep::Done(resolved) => return resolved,
                ResolveStep::Read => {}
                ResolveStep::Commit(cas_version, record) => {
                    let answer = self.store.commit(cas_version, &record);
                    if let ResolveStep::Done(resolved) = resolve.committed(answer) {
                        return resolved;
                    }
                }
            }
        }
        Resolved::Unavailable
    }
}

fn corrupt() -> Outcome {
    Outcome::NotRecorded(edit::Cause::StoreCorrupt)
}
