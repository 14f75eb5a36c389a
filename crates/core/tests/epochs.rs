//! Revisions of a store that comes back from a copy some seconds old.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::directory::{
    Directory, Endpoint, Epochs, Identity, RENEWAL_GRACE, Source, State,
};
use pistachiochute_core::revision::{Epoch, Revision, StoredRevision};
use pistachiochute_core::time::Time;
use proptest::prelude::{any, proptest};
use proptest::prop_assert_eq;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 0x0e7a;

const NOW: Time = Time::from_secs(100);

fn at(epoch: u64, revision: u64) -> StoredRevision {
    Epoch::new(epoch).revision(Revision(revision))
}

fn endpoint(heartbeat: u64, state: State) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        identity: Identity {
            id: "i-1".into(),
            started_at_ms: 1,
        },
        service: "reader".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "dom-a".into(),
        slots: 4,
        state,
        version: Some("1".into()),
        heartbeat,
        cold_time: Duration::ZERO,
    })
}

/// Applies one entry that the store shows, or that it shows none.
fn apply(
    directory: &mut Directory,
    revision: StoredRevision,
    endpoint: Option<Arc<Endpoint>>,
) -> bool {
    directory.apply(&"ep".into(), revision, endpoint, Source::Store, NOW);
    directory.usable().next().is_some()
}

/// Applies a list with one entry, or none.
fn list(
    directory: &mut Directory,
    revision: StoredRevision,
    endpoint: Option<Arc<Endpoint>>,
) -> bool {
    let entries = endpoint.map(|endpoint| ("ep".into(), revision, Some(endpoint)));
    directory.replace(entries.into_iter().collect(), revision, NOW);
    directory.usable().next().is_some()
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })]

    #[test]
    fn later_epoch_is_newer_whatever_the_number(
        one in (1..9_u64, any::<u32>()),
        other in (1..9_u64, any::<u32>()),
    ) {
        let stored = |(epoch, number): (u64, u32)| at(epoch, u64::from(number) + 1);
        prop_assert_eq!(stored(one).cmp(&stored(other)), one.cmp(&other));
        prop_assert_eq!(stored(one) > StoredRevision::NONE, true);
        let within = stored(one).within(Epoch::new(other.0));
        prop_assert_eq!(within == Revision::NONE, one.0 != other.0);
    }
}

/// Guards against DRAIN: a removal at a lower revision, since the store had come back from a copy.
#[test]
fn removal_of_a_later_epoch_counts() {
    let mut directory = Directory::default();
    assert!(apply(
        &mut directory,
        at(1, 900),
        Some(endpoint(30, State::Ready))
    ));
    assert!(!apply(&mut directory, at(2, 40), None));
}

#[test]
fn endpoint_that_had_left_is_withheld_until_it_writes() {
    for gone in [None, Some(endpoint(30, State::Leaving))] {
        let mut directory = Directory::default();
        apply(&mut directory, at(1, 900), Some(endpoint(30, State::Ready)));
        assert!(!apply(&mut directory, at(1, 901), gone));
        // What the copy has, once in the list and once more as it was written again.
        assert!(!list(
            &mut directory,
            at(2, 40),
            Some(endpoint(29, State::Ready))
        ));
        assert!(!apply(
            &mut directory,
            at(2, 41),
            Some(endpoint(30, State::Ready))
        ));
        assert!(!list(
            &mut directory,
            at(3, 42),
            Some(endpoint(30, State::Ready))
        ));
        assert!(apply(
            &mut directory,
            at(3, 43),
            Some(endpoint(31, State::Ready))
        ));
    }
}

/// An endpoint that was in use stays so, whatever of its writes the copy has.
#[test]
fn endpoint_in_use_is_not_withheld() {
    for heartbeat in [1, 29, 30] {
        let mut directory = Directory::default();
        apply(&mut directory, at(1, 900), Some(endpoint(30, State::Ready)));
        assert!(list(
            &mut directory,
            at(2, 40),
            Some(endpoint(heartbeat, State::Ready))
        ));
        assert!(!apply(&mut directory, at(2, 41), None));
    }
}

/// Entries that the copy does not have are written again within some time. One that is not is gone.
#[test]
fn endpoint_that_a_copy_lacks_is_in_doubt_for_some_time() {
    let mut directory = Directory::default();
    apply(&mut directory, at(1, 900), Some(endpoint(30, State::Ready)));
    directory.record_restoration(NOW);
    assert!(list(&mut directory, at(2, 40), None));
    directory.tick(NOW + RENEWAL_GRACE / 2);
    assert!(directory.usable().next().is_some());
    directory.tick(NOW + RENEWAL_GRACE);
    assert!(directory.usable().next().is_none());
}

/// Guards against DRAIN: a host without the store is told that an entry of the earlier epoch is still gone.
#[test]
fn removal_of_the_earlier_epoch_is_told_in_the_later_one() {
    let mut directory = Directory::default();
    apply(&mut directory, at(1, 900), Some(endpoint(30, State::Ready)));
    apply(&mut directory, at(1, 901), None);
    list(&mut directory, at(2, 40), None);
    let told = directory.newer_than(StoredRevision::NONE);
    let told: Vec<_> = told
        .map(|(_, record)| record.revision.within(Epoch::new(2)))
        .collect();
    assert_eq!(told, [Revision(40)]);
}

#[test]
fn what_an_earlier_epoch_had_does_not_come_back_from_a_host() {
    let mut directory = Directory::default();
    list(&mut directory, at(2, 40), None);
    let entry = Some(endpoint(30, State::Ready));
    directory.apply(&"ep".into(), at(1, 900), entry.clone(), Source::Host, NOW);
    assert!(directory.usable().next().is_none());
    directory.apply(&"ep".into(), at(2, 41), entry, Source::Host, NOW);
    assert!(directory.usable().next().is_some());
}

#[test]
fn only_a_later_epoch_is_a_restoration() {
    let mut epochs = Epochs::default();
    assert_eq!(epochs.named(), None);
    assert!(
        !epochs.learn(Epoch::new(3), NOW),
        "the first one that is heard of"
    );
    assert!(!epochs.learn(Epoch::new(3), NOW));
    assert!(!epochs.learn(Epoch::new(2), NOW), "a late one");
    assert!(!epochs.is_restoring(NOW));
    assert!(epochs.learn(Epoch::new(4), NOW));
    assert_eq!(
        (epochs.current(), epochs.unnamed()),
        (Epoch::new(4), Epoch::new(3))
    );
    assert!(epochs.is_restoring(NOW + RENEWAL_GRACE / 2));
    assert!(!epochs.is_restoring(NOW + RENEWAL_GRACE));
}

/// Guards against ORDER: an entry of a process that had ended was written again after the store had come back from
/// a copy, and passed for a sign of life, so that a stream went on at the version of that entry.
#[test]
fn entry_that_is_written_again_is_no_sign_of_life() {
    let mut directory = Directory::default();
    let is_sign = |directory: &Directory, heartbeat, may_be_rewritten| {
        let endpoint = endpoint(heartbeat, State::Ready);
        directory.is_sign_of_life("ep", &endpoint, may_be_rewritten)
    };
    assert!(
        is_sign(&directory, 30, false),
        "the first one of an incarnation"
    );
    assert!(
        !is_sign(&directory, 30, true),
        "which somebody may have written again"
    );
    apply(&mut directory, at(1, 900), Some(endpoint(30, State::Ready)));
    list(&mut directory, at(2, 40), Some(endpoint(20, State::Ready)));
    for may_be_rewritten in [false, true] {
        assert!(!is_sign(&directory, 29, may_be_rewritten));
        assert!(!is_sign(&directory, 30, may_be_rewritten));
    }
    assert!(is_sign(&directory, 31, false));
    // Its process may have written it before the store went away, and have ended since.
    assert!(!is_sign(&directory, 31, true));
    let mut epochs = Epochs::default();
    epochs.learn(Epoch::new(1), NOW);
    assert!(!epochs.may_be_rewritten(NOW));
    epochs.learn(Epoch::new(2), NOW);
    assert!(epochs.may_be_rewritten(NOW + RENEWAL_GRACE));
    assert!(!epochs.may_be_rewritten(NOW + RENEWAL_GRACE * 2));
}
