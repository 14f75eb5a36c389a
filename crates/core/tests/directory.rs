//! Endpoints known from the store and from other hosts: late entries, unconfirmed removals and
//! leaving endpoints.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::directory::{
    Directory, Endpoint, Identity, Source, State, StoreObservation,
};
use pistachiochute_core::{directory, revision, time};
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use proptest::{collection, prop_assert};

const SEED: u64 = 0xd1_2ec7;

fn endpoint(id: &str, started_at_ms: u64, heartbeat: u64, state: State) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        identity: Identity {
            id: id.into(),
            started_at_ms,
        },
        service: "reader".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "dom-a".into(),
        slots: 4,
        state,
        version: Some("1".into()),
        heartbeat,
        cold_time: std::time::Duration::ZERO,
    })
}

fn at(revision: u64) -> revision::StoredRevision {
    revision::Epoch::default().revision(revision::Revision(revision))
}

/// A directory, the time, and the one key that the tests write.
struct World {
    directory: Directory,
    key: Arc<str>,
    now: time::Time,
}

impl World {
    fn new() -> Self {
        Self {
            directory: Directory::default(),
            key: "ep".into(),
            now: time::Time::from_secs(100),
        }
    }

    fn put(&mut self, revision: u64, heartbeat: u64, state: State) -> bool {
        let endpoint = endpoint("ep", 1, heartbeat, state);
        let source = Source::Store;
        self.directory
            .apply(&self.key, at(revision), Some(endpoint), source, self.now)
    }

    fn remove(&mut self, revision: u64, source: Source) -> bool {
        self.directory
            .apply(&self.key, at(revision), None, source, self.now)
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.directory.tick(self.now);
    }

    fn is_usable(&self) -> bool {
        self.directory.usable().next().is_some()
    }
}

#[test]
fn removal_without_an_outage_takes_effect_at_once() {
    let mut world = World::new();
    assert!(world.put(1, 1, State::Ready));
    assert!(world.remove(2, Source::Store));
    assert!(!world.is_usable());
}

#[test]
fn leaving_takes_effect_at_once_and_during_an_outage() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    world.directory.record_store_call(false, world.now);
    assert!(world.put(2, 2, State::Leaving));
    assert!(!world.is_usable());
}

#[test]
fn entries_that_expire_around_an_outage_stay_in_use_until_the_grace_ends() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    world.directory.record_store_call(false, world.now);
    world.pass(4_000);
    world.directory.record_store_call(true, world.now);
    assert!(!world.remove(2, Source::Store));
    world.pass(2_000);
    assert!(world.is_usable());
    world.pass(300);
    assert!(!world.is_usable());
}

#[test]
fn an_entry_that_returns_within_the_grace_stays() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    world.directory.record_store_call(false, world.now);
    world.pass(4_000);
    world.directory.record_store_call(true, world.now);
    world.remove(2, Source::Store);
    world.pass(1_500);
    world.put(3, 2, State::Ready);
    world.pass(10_000);
    assert!(world.is_usable());
}

/// Regression test: a host that was cut off from the store for 8 s used an endpoint that had left
/// 2.5 s before, since it took the removal for an expiry caused by an outage (scenario `trouble-1`
/// of the deployment Bocage).
#[test]
fn an_outage_of_one_host_is_no_reason_to_keep_a_removed_endpoint() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    let cut = world.now;
    world.directory.record_store_call(false, world.now);
    world.pass(8_000);
    world.directory.apply_store_observation(StoreObservation {
        answering_since: cut - Duration::from_secs(50),
        last_answered: world.now - Duration::from_millis(200),
    });
    world.directory.record_store_call(true, world.now);
    assert!(world.remove(2, Source::Store));
    assert!(!world.is_usable());
}

#[test]
fn a_report_of_a_host_that_saw_the_outage_too_does_not_end_it() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    let cut = world.now;
    world.directory.record_store_call(false, world.now);
    world.pass(4_000);
    world.directory.record_store_call(true, world.now);
    world.directory.apply_store_observation(StoreObservation {
        answering_since: cut + Duration::from_millis(4_000),
        last_answered: world.now,
    });
    world.directory.apply_store_observation(StoreObservation {
        answering_since: cut - Duration::from_secs(50),
        last_answered: cut - Duration::from_millis(100),
    });
    world.remove(2, Source::Store);
    assert!(world.is_usable());
}

/// Regression test: a host lost the store and received changes from a relay from then on, so it
/// made no further call to the store, except for one watch that reported the removal. It used the
/// endpoint 3.4 s after it had left, and would have continued to (scenario `trouble-1` of the
/// grown deployment Bocage).
#[test]
fn a_removal_reported_by_the_store_shows_that_the_store_is_available() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    world.directory.record_store_call(false, world.now);
    world.pass(4_000);
    world.remove(2, Source::Store);
    assert!(world.is_usable());
    world.pass(2_300);
    assert!(!world.is_usable());
}

/// Found with the failure above: the relay had lost the store as well, but had been getting answers
/// for longer than the entry of a live endpoint can be missing.
#[test]
fn an_outage_is_over_once_the_store_has_answered_another_host_for_the_grace() {
    let is_final_after = |answering: Duration| {
        let mut world = World::new();
        world.put(1, 1, State::Ready);
        world.directory.record_store_call(false, world.now);
        world.pass(5_500);
        world.directory.apply_store_observation(StoreObservation {
            answering_since: world.now,
            last_answered: world.now + answering,
        });
        world.now += answering;
        world.remove(2, Source::Store)
    };
    assert!(!is_final_after(Duration::from_millis(2_100)));
    assert!(is_final_after(Duration::from_millis(2_200)));
}

#[test]
fn a_removal_reported_by_another_host_is_final() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    world.directory.record_store_call(false, world.now);
    assert!(world.remove(2, Source::Host));
    assert!(!world.is_usable());
}

#[test]
fn a_delayed_write_does_not_bring_an_endpoint_back() {
    let mut world = World::new();
    world.put(1, 5, State::Ready);
    world.put(2, 6, State::Leaving);
    assert!(!world.put(3, 4, State::Ready));
    assert!(!world.is_usable());
    world.remove(4, Source::Store);
    assert!(!world.put(5, 4, State::Ready));
    assert!(!world.is_usable());
}

#[test]
fn a_new_incarnation_under_the_same_id_is_used() {
    let mut world = World::new();
    world.put(1, 50, State::Leaving);
    let restarted = endpoint("ep", 2, 1, State::Ready);
    let source = Source::Store;
    let key = world.key.clone();
    world
        .directory
        .apply(&key, at(2), Some(restarted), source, world.now);
    assert!(world.is_usable());
}

#[test]
fn writes_that_change_nothing_do_not_count_as_changes() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    assert!(!world.put(9, 2, State::Ready));
    assert_eq!(world.directory.last_change(), at(1));
}

#[test]
fn a_host_that_is_behind_gets_the_changes_that_it_lacks() {
    let mut ahead = World::new();
    ahead.put(1, 1, State::Ready);
    ahead.put(2, 2, State::Leaving);
    let mut behind = World::new();
    behind.put(1, 1, State::Ready);
    for (key, record) in ahead.directory.newer_than(at(1)) {
        let endpoint = record.endpoint.clone();
        behind.directory.apply(
            key,
            record.revision,
            endpoint,
            directory::Source::Host,
            behind.now,
        );
    }
    assert!(!behind.is_usable());
}

/// Lets a host fetch the changes that it lacks from another one. Returns whether it lacked any.
fn fetch_changes(asker: &mut World, source_host: &World) -> bool {
    if source_host.directory.last_change() <= asker.directory.complete_revision() {
        return false;
    }
    let complete = source_host.directory.complete_revision_for_peers();
    let records: Vec<_> = source_host
        .directory
        .newer_than(asker.directory.complete_revision())
        .map(|(key, record)| (key.clone(), record.revision, record.endpoint.clone()))
        .collect();
    for (key, revision, endpoint) in records {
        let source = directory::Source::Host;
        let now = asker.now;
        asker.directory.apply(&key, revision, endpoint, source, now);
    }
    asker.directory.mark_complete(complete);
    true
}

/// Two hosts that know one endpoint. The first one, a relay, has since seen the endpoint's entry
/// removed right after an outage of the store.
fn relay_with_unconfirmed_removal() -> (World, World) {
    let mut relay = World::new();
    let mut member = World::new();
    for world in [&mut relay, &mut member] {
        world.put(1, 1, State::Ready);
        world.directory.mark_complete(at(1));
    }
    relay.directory.record_store_call(false, relay.now);
    relay.directory.record_store_call(true, relay.now);
    relay.remove(2, Source::Store);
    (relay, member)
}

/// Regression test: a relay that had lost the store treated a removal as unconfirmed and forwarded
/// all changes except that one. The other hosts never learned of it, and one sent a request to the
/// endpoint 3.5 s after it had left (scenario `reuse-and-resets` of the grown deployment Lombardy,
/// seed 479728404167).
#[test]
fn a_removal_that_was_unconfirmed_at_first_reaches_other_hosts() {
    let (mut relay, mut member) = relay_with_unconfirmed_removal();
    let other: Arc<str> = "other".into();
    let source = Source::Store;
    let ready = endpoint("other", 1, 1, State::Ready);
    relay
        .directory
        .apply(&other, at(3), Some(ready), source, relay.now);
    relay.directory.mark_complete(at(3));
    assert!(fetch_changes(&mut member, &relay));
    assert_eq!(member.directory.usable().count(), 2);
    relay.pass(3_000);
    assert_eq!(relay.directory.usable().count(), 1);
    assert!(fetch_changes(&mut member, &relay));
    assert_eq!(member.directory.usable().count(), 1);
    assert!(!fetch_changes(&mut member, &relay));
}

#[test]
fn a_confirmed_removal_is_a_change_that_others_fetch() {
    let (mut relay, mut member) = relay_with_unconfirmed_removal();
    relay.directory.mark_complete(at(2));
    assert!(!fetch_changes(&mut member, &relay));
    relay.pass(3_000);
    assert!(fetch_changes(&mut member, &relay));
    assert!(!member.is_usable());
}

/// Regression test: a relay that reached the store again found an entry missing from the list, and
/// recorded an unconfirmed removal at the revision of the list. It reported to others that they
/// knew all changes before that revision, so they did not ask another relay for the removal, which
/// had happened earlier, and sent requests to the endpoint 3.4 s after it had left (run
/// `hunt-bb55-3` of the grown deployment Lombardy).
#[test]
fn an_unconfirmed_removal_found_by_a_list_hides_no_earlier_confirmed_one() {
    let [mut returned, mut steady, mut member] = [World::new(), World::new(), World::new()];
    for world in [&mut returned, &mut steady, &mut member] {
        world.put(1, 1, State::Ready);
        world.directory.mark_complete(at(1));
    }
    steady.remove(2, Source::Store);
    steady.directory.mark_complete(at(5));
    let new: Arc<str> = "new".into();
    let ready = endpoint("new", 1, 1, State::Ready);
    let listed = vec![(new, at(4), Some(ready))];
    returned.directory.record_store_call(false, returned.now);
    returned.directory.replace(listed, at(5), returned.now);
    assert!(fetch_changes(&mut member, &returned));
    assert_eq!(member.directory.usable().count(), 2);
    assert!(fetch_changes(&mut member, &steady));
    assert_eq!(member.directory.usable().count(), 1);
}

/// Version of the endpoint in use after an entry that another host forwarded without a version.
fn version_after_a_forwarded_entry(
    known_start: u64,
    start: u64,
) -> Option<directory::SoftwareVersion> {
    let mut world = World::new();
    let key = world.key.clone();
    let known = endpoint("ep", known_start, 1, State::Ready);
    world
        .directory
        .apply(&key, at(1), Some(known), Source::Store, world.now);
    let mut forwarded = (*endpoint("ep", start, 2, State::Ready)).clone();
    forwarded.version = None;
    let forwarded = Some(Arc::new(forwarded));
    world
        .directory
        .apply(&key, at(2), forwarded, Source::Host, world.now);
    let used = world.directory.usable().next().expect("an endpoint");
    assert_eq!(used.heartbeat, 2);
    used.version.clone()
}

#[test]
fn an_entry_without_a_version_keeps_the_known_one_of_the_same_incarnation_only() {
    assert_eq!(version_after_a_forwarded_entry(1, 1), Some("1".into()));
    assert_eq!(version_after_a_forwarded_entry(1, 2), None);
    assert_eq!(version_after_a_forwarded_entry(0, 0), None);
}

#[test]
fn another_version_is_a_change_of_the_endpoints_in_use() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    let mut other = (*endpoint("ep", 1, 2, State::Ready)).clone();
    other.version = Some("2".into());
    let key = world.key.clone();
    let source = Source::Store;
    assert!(
        world
            .directory
            .apply(&key, at(2), Some(Arc::new(other)), source, world.now)
    );
    assert_eq!(world.directory.last_change(), at(2));
}

/// Hosts of builds that know no versions read the encoded entry.
#[test]
fn the_encoded_entry_has_no_version() {
    let stated = endpoint("ep", 1, 1, State::Ready);
    let mut unstated = (*stated).clone();
    unstated.version = None;
    let encode = |e: &Endpoint| {
        bincode::serde::encode_to_vec(e, bincode::config::standard()).expect("an entry")
    };
    assert_eq!(encode(&stated), encode(&unstated));
}

/// A change of an entry.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write { heartbeat: u64, leaving: bool },
    Remove,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..6, any::<bool>())
            .prop_map(|(heartbeat, leaving)| Step::Write { heartbeat, leaving }),
        Just(Step::Remove),
    ]
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: 2_000,
        ..Config::default()
    })]

    /// The newest revision decides, in whatever order and however often the revisions arrive.
    #[test]
    fn the_newest_revision_decides(
        steps in collection::vec(step(), 1..8),
        order in collection::vec(any::<proptest::sample::Index>(), 1..20),
    ) {
        let now = time::Time::from_secs(1);
        let key: Arc<str> = "ep".into();
        let apply = |directory: &mut Directory, i: usize| {
            // Heartbeats grow with the revisions here: a delayed write has its own test.
            let endpoint = match steps[i] {
                Step::Write { heartbeat, leaving } => {
                    let state = if leaving { State::Leaving } else { State::Ready };
                    Some(endpoint("ep", 1, heartbeat + 10 * i as u64, state))
                }
                Step::Remove => None,
            };
            directory.apply(&key, at(i as u64 + 1), endpoint, Source::Host, now);
        };
        let mut in_order = Directory::default();
        (0..steps.len()).for_each(|i| apply(&mut in_order, i));
        let mut shuffled = Directory::default();
        for index in &order {
            apply(&mut shuffled, index.index(steps.len()));
        }
        apply(&mut shuffled, steps.len() - 1);
        let usable = |d: &Directory| d.usable().next().is_some();
        prop_assert!(usable(&in_order) == usable(&shuffled));
    }
}

/// Requests kept going to an endpoint whose removal another host had confirmed: a host that had inferred the
/// removal from a list, around a failed call of its own, took the confirmation for old news.
#[test]
fn removal_that_another_host_confirms_ends_the_doubt_that_a_later_list_has_left() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    world.directory.record_store_call(false, world.now);
    // The list shows no more than that the entry was removed by revision 9.
    world.directory.replace(Vec::new(), at(9), world.now);
    assert!(world.is_usable(), "the endpoint may be alive");
    assert!(world.remove(5, Source::Host));
    assert!(!world.is_usable());
}

/// What was known of the entry when it was removed does not end the doubt.
#[test]
fn removal_before_the_last_known_entry_does_not_end_the_doubt() {
    let mut world = World::new();
    world.put(6, 1, State::Ready);
    world.directory.record_store_call(false, world.now);
    world.directory.replace(Vec::new(), at(9), world.now);
    assert!(!world.remove(5, Source::Host));
    assert!(world.is_usable());
}

/// Requests kept going to an endpoint that had reported that it leaves, and had gone since: a host that had
/// only seen that the entry was missing, around a failed call of its own, took the report for old news.
#[test]
fn entry_that_says_that_the_endpoint_leaves_ends_its_use_while_its_removal_is_in_doubt() {
    for source in [Source::Host, Source::Store] {
        let mut world = World::new();
        world.put(1, 1, State::Ready);
        world.directory.record_store_call(false, world.now);
        world.directory.replace(Vec::new(), at(9), world.now);
        let leaving = endpoint("ep", 1, 2, State::Leaving);
        let key = world.key.clone();
        let changed = world
            .directory
            .apply(&key, at(5), Some(leaving), source, world.now);
        assert!(changed, "{source:?}");
        assert!(!world.is_usable(), "{source:?}");
        // Still gone when the doubt ends.
        world.directory.record_store_call(true, world.now);
        world.pass(2_300);
        assert!(!world.is_usable(), "{source:?}");
        assert_eq!(world.directory.leaving().count(), 0, "{source:?}");
    }
}

/// Requests kept going to an endpoint that had gone: a write of its entry that arrived late, while the removal
/// was in doubt, ended the doubt and left the endpoint in use until that entry expired.
#[test]
fn write_that_arrives_late_leaves_the_removal_in_doubt() {
    let mut world = World::new();
    world.put(1, 5, State::Ready);
    world.directory.record_store_call(false, world.now);
    world.directory.replace(Vec::new(), at(9), world.now);
    assert!(!world.put(10, 4, State::Ready));
    assert!(world.is_usable(), "the endpoint may be alive");
    world.directory.record_store_call(true, world.now);
    world.pass(2_300);
    assert!(!world.is_usable());
}

/// An entry that names no start after one of the same id that did is no new incarnation.
#[test]
fn entry_without_a_start_does_not_bring_back_an_endpoint_that_leaves() {
    let mut world = World::new();
    world.put(1, 1, State::Leaving);
    let unnamed = endpoint("ep", 0, 2, State::Ready);
    let key = world.key.clone();
    let source = Source::Store;
    world
        .directory
        .apply(&key, at(2), Some(unnamed), source, world.now);
    assert!(!world.is_usable());
}

/// Requests reached an endpoint that had left since a relay that had just started, from a list without its entry,
/// let others believe that they had all changes up to that list.
#[test]
fn host_that_has_started_since_a_removal_does_not_count_as_knowing_it() {
    let mut relay = World::new();
    // The entry was removed at revision 5, before the list that this host started from.
    relay.directory.replace(Vec::new(), at(9), relay.now);
    let mut member = World::new();
    member.put(1, 1, State::Ready);
    member.directory.mark_complete(at(4));
    let after = member.directory.complete_revision();
    assert_eq!(relay.directory.newer_than(after).count(), 0);
    assert!(!relay.directory.knows_removals_since(after));
    assert_eq!(relay.directory.complete_revision_for(after), after);
    // What a host lacks that has read the store since is known, and one without entries lacks no removal.
    assert_eq!(relay.directory.complete_revision_for(at(9)), at(9));
    assert_eq!(relay.directory.complete_revision_for(at(0)), at(9));
}

/// The record of a removal is dropped after a while.
#[test]
fn host_that_has_dropped_a_removal_does_not_count_as_knowing_it() {
    let mut world = World::new();
    world.put(1, 1, State::Ready);
    world.directory.mark_complete(at(1));
    world.remove(5, Source::Store);
    world.directory.mark_complete(at(6));
    assert_eq!(world.directory.complete_revision_for(at(2)), at(6));
    world.pass(61_000);
    assert_eq!(world.directory.complete_revision_for(at(2)), at(2));
    assert_eq!(world.directory.complete_revision_for(at(5)), at(6));
}
