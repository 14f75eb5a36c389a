//! A store that comes back from a copy some seconds old.

use super::{Item, State, Store};

/// What a store held at some point in time.
#[derive(Clone, Debug)]
pub struct Copy(State);

/// What the operator, endpoints and others had written since a copy was made, and write again.
#[derive(Debug)]
pub struct Lost {
    /// Keys with their items, or `None` if they were removed.
    items: Vec<(String, Option<Item>)>,
    /// Revision of the copy.
    revision: u64,
}

impl Store {
    /// Copies what the store holds.
    #[must_use]
    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Brings the store back from a copy, in a new epoch: what was written since is gone, leases too, and
    /// revisions are given out again. Returns what is to be written again.
    pub fn restore(&self, copy: &Copy) -> Lost {
        let mut lost = Lost {
            items: Vec::new(),
            revision: copy.0.revision,
        };
        self.update(|state| {
            let before = std::mem::replace(state, copy.0.clone());
            lost.items = lost_items(&before, state);
            state.epoch = before.epoch + 1;
            state.shown_epoch = before.shown_epoch;
            state.calls = before.calls;
            state.page_items = before.page_items;
            state.shown_fields = before.shown_fields;
        });
        lost
    }

    /// Writes again what was lost, unless its writer has written something since.
    pub fn write_again(&self, lost: Lost) {
        self.update(|state| {
            for (key, item) in lost.items {
                let is_of_copy = |item: &Item| item.revision <= lost.revision;
                if state.items.get(&key).is_none_or(is_of_copy) {
                    state.write(&key, item.map(|item| item.value));
                }
            }
        });
    }

    /// Names this in all answers in place of the epoch, or the epoch again.
    pub fn show_epoch(&self, epoch: Option<&str>) {
        self.lock().shown_epoch = epoch.map(str::to_owned);
    }

    /// What answers name as the epoch.
    pub(super) fn shown_epoch(&self) -> String {
        let state = self.lock();
        let shown = state.shown_epoch.clone();
        shown.unwrap_or_else(|| state.epoch.to_string())
    }
}

/// What others than hosts had written before that the copy does not have.
fn lost_items(before: &State, copy: &State) -> Vec<(String, Option<Item>)> {
    let is_lost = |key: &str| {
        let value = |state: &State| state.items.get(key).map(|item| item.value.clone());
        value(before) != value(copy)
    };
    let of_others = |state: &State| {
        let items = state.items.iter().filter(|(_, item)| !item.is_of_host);
        items.map(|(key, _)| key.clone()).collect::<Vec<_>>()
    };
    let mut keys = of_others(before);
    keys.extend(of_others(copy));
    keys.sort_unstable();
    keys.dedup();
    let lost = keys.into_iter().filter(|key| is_lost(key));
    lost.map(|key| {
        let item = before.items.get(&key).cloned();
        (key, item)
    })
    .collect()
}
