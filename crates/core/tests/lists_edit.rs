//! Edits against a store that loses answers, delays writes and has concurrent edits.

use std::collections::BTreeMap;

use bytes::Bytes;
use pistachiochute_core::lists::edit::{
    self, Base, CasVersion, Cause, CommitResult, Edit, Outcome, Proposal, Proposals, Resolve,
    ResolveStep, Resolved, Step,
};
use pistachiochute_core::lists::storage::{self, Author, EditId, Record, StoredLists, Write};
use pistachiochute_core::lists::{self, Change, Version};
use pistachiochute_core::revision::Revision;
use pistachiochute_core::units;
use proptest::prelude::*;

/// A store with one head whose transactions may be delayed.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    /// Transactions that are still in flight.
    delayed: Vec<(CasVersion, Record)>,
}

impl Store {
    fn cas_version(&self) -> CasVersion {
        CasVersion(
            self.keys
                .get(storage::HEAD)
                .map_or(0, |(modified, _)| *modified),
        )
    }

    fn read(&self) -> StoredLists {
        let entries = self.keys.iter();
        StoredLists::read(entries.map(|(key, (_, value))| (key.as_bytes(), &value[..]))).unwrap()
    }

    fn history(&self) -> Vec<Record> {
        let history = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(storage::HISTORY));
        history
            .map(|(key, (_, value))| storage::read_record(key.as_bytes(), value).unwrap())
            .collect()
    }

    fn commit(&mut self, cas_version: CasVersion, record: &Record) -> CommitResult {
        if cas_version != self.cas_version() {
            return CommitResult::HeadChanged;
        }
        self.revision += 1;
        for write in storage::writes(record) {
            match write {
                Write::Put(key, value) => self.keys.insert(key, (self.revision, value)),
                Write::Delete(key) => self.keys.remove(&key),
            };
        }
        CommitResult::Committed
    }

    fn deliver_delayed(&mut self) {
        for (cas_version, record) in std::mem::take(&mut self.delayed) {
            self.commit(cas_version, &record);
        }
    }

    fn count(&self, edit: EditId) -> usize {
        self.history()
            .iter()
            .filter(|record| record.edit == edit)
            .count()
    }
}

/// Outcome of a call to the store.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered,
    NotSent,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call takes effect later, if at all, and its answer is lost.
    Delayed,
    /// Another operator's edit is committed first.
    Raced,
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::NotSent),
        2 => Just(CallOutcome::AnswerLost),
        2 => Just(CallOutcome::Delayed),
        2 => Just(CallOutcome::Raced),
    ]
}

type ChangeFilter = fn(&Change) -> bool;

fn allow_all(_: &Change) -> bool {
    true
}

fn allow_none(_: &Change) -> bool {
    false
}

fn id(n: u128) -> EditId {
    EditId(uuid::Uuid::from_u128(n))
}

fn author(name: &str) -> Author {
    Author::Operator(name.parse().unwrap())
}

fn plan(weight: u32) -> lists::Plan {
    lists::Plan {
        models: vec!["m".parse().unwrap()],
        services: Vec::new(),
        requests_per_minute: units::PerMinute(60),
        tokens_per_minute: units::PerMinute(6_000),
        in_flight: units::Requests(4),
        priority: 0,
        weight,
        longest_answer: units::Tokens(100),
    }
}

fn put(name: &str, weight: u32, base: Base) -> Proposals {
    let change = Change::PutPlan(name.parse().unwrap(), plan(weight));
    Proposals::Entries(vec![Proposal { change, base }])
}

fn run(
    store: &mut Store,
    edit: &mut Edit<ChangeFilter>,
    outcomes: &mut dyn Iterator<Item = CallOutcome>,
) -> Outcome {
    let mut step = Step::Read;
    let mut races = 0;
    loop {
        let call_outcome = outcomes.next().unwrap_or(CallOutcome::Answered);
        let is_reachable = !matches!(call_outcome, CallOutcome::NotSent);
        step = match step {
            Step::Done(outcome) => return outcome,
            Step::Read => {
                let stored = store.read();
                edit.read(is_reachable.then_some((store.cas_version(), &stored)))
            }
            Step::ReadBack => {
                let (stored, history) = (store.read(), store.history());
                edit.read_back(is_reachable.then_some((store.cas_version(), &stored, &history[..])))
            }
            Step::Commit(cas_version, record) => match call_outcome {
                CallOutcome::Answered => edit.committed(store.commit(cas_version, &record)),
                CallOutcome::NotSent => edit.committed(CommitResult::NotSent),
                CallOutcome::AnswerLost => {
                    store.commit(cas_version, &record);
                    edit.committed(CommitResult::Unknown)
                }
                CallOutcome::Delayed => {
                    store.delayed.push((cas_version, record));
                    edit.committed(CommitResult::Unknown)
                }
                CallOutcome::Raced => {
                    races += 1;
                    let mut other = Edit::new(
                        id(1_000 + races),
                        author("other"),
                        0,
                        put("other", races as u32 + 100, Base::Lists(Revision(u64::MAX))),
                        allow_all as ChangeFilter,
                    );
                    run(store, &mut other, &mut std::iter::empty());
                    edit.committed(store.commit(cas_version, &record))
                }
            },
        };
    }
}

fn resolve(store: &mut Store, edit: EditId, fence: EditId) -> Resolved {
    let resolve = Resolve::new(edit, fence, 0);
    let mut step = ResolveStep::Read;
    loop {
        step = match step {
            ResolveStep::Done(resolved) => return resolved,
            ResolveStep::Read => {
                let history = store.history();
                resolve.read(Some((
                    store.cas_version(),
                    store.read().version(),
                    &history,
                )))
            }
            ResolveStep::Commit(cas_version, record) => {
                resolve.committed(store.commit(cas_version, &record))
            }
        };
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6564_6974),
        ..ProptestConfig::default()
    })]

    /// The reported outcome of an edit matches the store, also after delayed writes have arrived.
    #[test]
    fn reported_outcome_matches_the_store(
        outcomes in proptest::collection::vec(call_outcome(), 0..24),
    ) {
        let mut store = Store::default();
        let proposals = put("p", 3, Base::Absent);
        let mut edit = Edit::new(id(7), author("ada"), 0, proposals, allow_all as ChangeFilter);
        let outcome = run(&mut store, &mut edit, &mut outcomes.into_iter());
        let resolved = match &outcome {
            Outcome::Unresolved(edit) => Some(resolve(&mut store, *edit, id(8))),
            _ => None,
        };
        store.deliver_delayed();
        let recorded = match (&outcome, &resolved) {
            (Outcome::Recorded(_), _) | (_, Some(Resolved::Recorded(_))) => 1,
            (Outcome::NotRecorded(_), _) | (_, Some(Resolved::NotRecorded)) => 0,
            other => return Err(TestCaseError::fail(format!("{other:?}"))),
        };
        prop_assert_eq!(store.count(id(7)), recorded, "{:?} {:?}", outcome, resolved);
        let stored = store.read();
        prop_assert_eq!(stored.plans.contains_key(&"p".parse().unwrap()), recorded == 1);
    }
}

fn edit_once(store: &mut Store, n: u128, name: &str, proposals: Proposals) -> Outcome {
    let mut edit = Edit::new(id(n), author(name), 5, proposals, allow_all as ChangeFilter);
    run(store, &mut edit, &mut std::iter::empty())
}

#[test]
fn conflicting_edits_return_both_versions() {
    let mut store = Store::default();
    let first = edit_once(&mut store, 1, "ada", put("p", 1, Base::Absent));
    assert!(matches!(first, Outcome::Recorded(_)), "{first:?}");
    let base = Base::Entry(Revision(1));
    let ada = edit_once(&mut store, 2, "ada", put("p", 2, base));
    assert!(matches!(ada, Outcome::Recorded(_)), "{ada:?}");
    let bob = edit_once(&mut store, 3, "bob", put("p", 3, base));
    let expected = edit::Conflict {
        yours: Change::PutPlan("p".parse().unwrap(), plan(3)),
        theirs: Change::PutPlan("p".parse().unwrap(), plan(2)),
        revision: Some(Revision(2)),
    };
    assert_eq!(bob, Outcome::Conflict(vec![expected]));
    let other = edit_once(&mut store, 4, "bob", put("q", 3, Base::Absent));
    assert!(
        matches!(other, Outcome::Recorded(_)),
        "an unrelated entry does not conflict"
    );
    let authors: Vec<_> = store
        .history()
        .into_iter()
        .map(|record| record.author)
        .collect();
    assert_eq!(authors, [author("ada"), author("ada"), author("bob")]);
}

#[test]
fn replacing_all_lists_does_not_restore_removed_entries() {
    let mut store = Store::default();
    edit_once(&mut store, 1, "ada", put("p", 1, Base::Absent));
    let mine = store.read().snapshot().lists;
    let remove = Proposal {
        change: Change::RemovePlan("p".parse().unwrap()),
        base: Base::Entry(Revision(1)),
    };
    edit_once(&mut store, 2, "bob", Proposals::Entries(vec![remove]));
    let outcome = edit_once(
        &mut store,
        3,
        "ada",
        Proposals::Replacement(mine.clone(), Revision(1)),
    );
    assert!(
        matches!(&outcome, Outcome::Conflict(c) if c.len() == 1),
        "{outcome:?}"
    );
    let outcome = edit_once(
        &mut store,
        4,
        "ada",
        Proposals::Replacement(mine, Revision(2)),
    );
    assert!(matches!(outcome, Outcome::Recorded(_)), "{outcome:?}");
}

#[test]
fn rejects_forbidden_invalid_and_outdated_edits() {
    let mut store = Store::default();
    edit_once(&mut store, 1, "ada", put("p", 1, Base::Absent));
    let mut edit = Edit::new(
        id(2),
        author("bob"),
        0,
        put("q", 1, Base::Absent),
        allow_none as ChangeFilter,
    );
    let outcome = run(&mut store, &mut edit, &mut std::iter::empty());
    assert!(matches!(outcome, Outcome::Forbidden(_)), "{outcome:?}");
    let account = lists::Account {
        plan: "none".parse().unwrap(),
        key_digests: Vec::new(),
    };
    let change = Change::PutAccount("a".parse().unwrap(), account);
    let proposal = Proposal {
        change,
        base: Base::Absent,
    };
    let outcome = edit_once(&mut store, 3, "ada", Proposals::Entries(vec![proposal]));
    assert!(
        matches!(&outcome, Outcome::Invalid(f) if f.len() == 1),
        "{outcome:?}"
    );
    let ahead = Version::NONE.next(Revision(9), &[]);
    let mut edit = Edit::new(
        id(4),
        author("ada"),
        0,
        put("q", 1, Base::Absent),
        allow_all as ChangeFilter,
    )
    .with_highest_version(ahead);
    let outcome = run(&mut store, &mut edit, &mut std::iter::empty());
    assert_eq!(outcome, Outcome::NotRecorded(Cause::StoreBehind));
    assert_eq!(store.history().len(), 1);
}

#[test]
fn repair_writes_replace_the_entries_of_any_store() {
    let mut store = Store::default();
    edit_once(&mut store, 1, "ada", put("p", 1, Base::Absent));
    let lists = store.read().snapshot().lists;
    let mut restored = Store::default();
    edit_once(&mut restored, 2, "bob", put("q", 1, Base::Absent));
    let record = Record {
        edit: id(3),
        author: Author::Fleet,
        at_ms: 0,
        delta: lists::Delta::after(store.read().version(), Vec::new()),
    };
    let writes = storage::repair_writes(&restored.read(), &lists, &record);
    for write in writes {
        match write {
            Write::Put(key, value) => restored.keys.insert(key, (9, value)),
            Write::Delete(key) => restored.keys.remove(&key),
        };
    }
    assert_eq!(restored.read().snapshot().lists, lists);
    assert_eq!(restored.read().version(), record.delta.to);
}
