//! Failure domains that operators evacuate, and endpoints that are cold.

use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::admission::{Admissions, Closure, Opening, RETURN_SPAN, is_held_back};
use pistachiochute_core::directory::{
    ColdEndpoint, ColdEndpoints, Directory, Endpoint, Evacuation, Evacuations, Identity,
    MAX_COLD_TIME, Source, State, TOMBSTONE_RETENTION, UnratedEntry,
};
use pistachiochute_core::rate_limits::{Pacer, RequestRate, strict_share};
use pistachiochute_core::revision::{Epoch, Revision, StoredRevision};
use pistachiochute_core::time::Time;
use proptest::collection;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed};

fn at(revision: u64) -> StoredRevision {
    Epoch::default().revision(Revision(revision))
}

const NOW: Time = Time::from_secs(100);

const ENDPOINT: u64 = 0x7f3a_91c2_0000_0001;

fn host(number: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes())
}

fn hosts(count: u64) -> Vec<u64> {
    (0..count).map(host).collect()
}

fn evacuation(domain: &str, revision: u64, is_evacuated: bool) -> Evacuation {
    Evacuation {
        domain: domain.into(),
        revision: at(revision),
        is_evacuated,
    }
}

fn endpoint(domain: &str) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        identity: Identity {
            id: domain.into(),
            started_at_ms: 1,
        },
        service: "reader".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: domain.into(),
        slots: 4,
        state: State::Ready,
        version: None,
        heartbeat: 1,
        cold_time: Duration::ZERO,
    })
}

/// Directory with an endpoint in each of two domains.
fn directory() -> Directory {
    let mut directory = Directory::default();
    for domain in ["dom-a", "dom-b"] {
        let entry = Some(endpoint(domain));
        directory.apply(&domain.into(), at(1), entry, Source::Store, NOW);
    }
    directory
}

fn usable(directory: &Directory) -> Vec<&str> {
    let mut domains: Vec<&str> = directory.usable().map(|e| &*e.domain).collect();
    domains.sort_unstable();
    domains
}

/// An evacuated domain gets nothing new, whatever its endpoints write meanwhile, and is back later.
#[test]
fn endpoints_of_an_evacuated_domain_are_not_usable_until_it_is_taken_back() {
    let mut directory = directory();
    assert!(directory.record_evacuation(&evacuation("dom-a", 5, true), NOW));
    assert_eq!(usable(&directory), ["dom-b"]);
    assert_eq!(directory.leaving().count(), 1);
    let entry = Some(endpoint("dom-a"));
    directory.apply(&"new".into(), at(6), entry, Source::Store, NOW);
    assert_eq!(usable(&directory), ["dom-b"]);
    assert!(directory.record_evacuation(&evacuation("dom-a", 7, false), NOW));
    assert_eq!(usable(&directory), ["dom-a", "dom-a", "dom-b"]);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Late, doubled and reordered messages of relays and peers: the last revision counts.
    #[test]
    fn order_of_messages_does_not_matter(
        arrivals in collection::vec((1_u64..9, any::<bool>()), 1..30),
    ) {
        // The store says one thing at each revision.
        let said: Vec<bool> = (0..9).map(|revision| host(revision).is_multiple_of(2)).collect();
        let mut evacuations = Evacuations::default();
        let mut last = 0;
        for (revision, _) in &arrivals {
            let is_evacuated = said[*revision as usize];
            evacuations.record(&evacuation("dom-a", *revision, is_evacuated), NOW);
            last = last.max(*revision);
        }
        prop_assert_eq!(evacuations.contains("dom-a"), said[last as usize]);
    }

    /// A surge at a cold endpoint: every host sends as early as it may, and the rule counts each second.
    #[test]
    fn strict_shares_hold_in_every_second(
        rate in 1.0_f64..60.0, count in 1_u64..430, endpoint: u64, starts in any::<u64>(),
    ) {
        let rate = RequestRate::per_second(rate);
        let hosts = hosts(count);
        let mut sent = Vec::new();
        for own in &hosts {
            let Some(share) = strict_share(rate, endpoint, *own, &hosts) else { continue };
            let mut pacer = Pacer::new(share, *own, Time::ZERO);
            // Idle until then, so that it may send early.
            let mut now = Time::from_secs(20) + Duration::from_millis((starts ^ own) % 700);
            while now < Time::from_secs(24) {
                now = now.max(pacer.opens_at());
                pacer.record_sent(now);
                sent.push(now);
            }
        }
        sent.sort_unstable();
        let second = Duration::from_secs(1);
        let most = (0..sent.len()).map(|first| {
            sent[first..].iter().take_while(|at| at.since(sent[first]) < second).count()
        });
        let most = most.max().unwrap_or(0) as f64;
        prop_assert!(most <= rate.as_per_second() * 1.5 + 3.0, "{most} at {rate}");
    }
}

/// A host starts after a domain was taken back, hears so from one peer, and then from a peer that is behind
/// that the domain is evacuated. It goes on using the domain, as one that was in use all the time.
#[test]
fn late_evacuation_does_not_count_at_a_host_that_never_knew_of_it() {
    let mut evacuations = Evacuations::default();
    assert!(
        !evacuations.record(&evacuation("dom-a", 7, false), NOW),
        "no news"
    );
    assert_eq!(evacuations.returned().count(), 0);
    assert!(
        !evacuations.record(&evacuation("dom-a", 5, true), NOW),
        "it is late"
    );
    assert!(!evacuations.contains("dom-a"));
    // A host that starts after this one learns it, too.
    assert_eq!(
        evacuations.iter().collect::<Vec<_>>(),
        [evacuation("dom-a", 7, false)]
    );
    assert!(evacuations.record(&evacuation("dom-a", 9, true), NOW));
    assert!(evacuations.contains("dom-a"));
    assert!(evacuations.record(&evacuation("dom-a", 11, false), NOW));
    assert_eq!(evacuations.returned().count(), 1);
    evacuations.tick(NOW + TOMBSTONE_RETENTION);
    assert!(evacuations.is_empty());
}

/// A complete read of the store takes back what it no longer has, and nothing newer.
#[test]
fn complete_list_takes_back_what_it_lacks() {
    let mut evacuations = Evacuations::default();
    evacuations.record(&evacuation("dom-a", 3, true), NOW);
    evacuations.record(&evacuation("dom-b", 9, true), NOW);
    let changes = evacuations.changes_to(vec![("dom-c".into(), at(4))], at(6));
    for change in &changes {
        evacuations.record(change, NOW);
    }
    let contained = ["dom-a", "dom-b", "dom-c"].map(|domain| evacuations.contains(domain));
    assert_eq!(contained, [false, true, true]);
}

/// Entries of another writer, for domains that do not exist, take up a bounded place.
#[test]
fn odd_domains_cost_a_bounded_number_of_records() {
    let mut evacuations = Evacuations::default();
    for number in 0..1_000 {
        evacuations.record(&evacuation(&number.to_string(), 1, true), NOW);
    }
    assert!(evacuations.iter().count() <= 100);
    for taken_back in evacuations.iter().collect::<Vec<_>>() {
        evacuations.record(&evacuation(&taken_back.domain, 2, false), NOW);
    }
    evacuations.tick(NOW + TOMBSTONE_RETENTION);
    assert!(evacuations.is_empty());
}

/// A domain that is taken back: all hosts would choose its idle endpoints at once.
#[test]
fn returned_endpoint_gets_a_growing_part_of_the_requests() {
    let part = |at: Duration| {
        let held = (0..2_000).filter(|seed| is_held_back(host(*seed), ENDPOINT, NOW, NOW + at));
        1.0 - held.count() as f64 / 2_000.0
    };
    assert!(part(Duration::ZERO) < 0.01);
    assert!((part(RETURN_SPAN / 4) - 0.25).abs() < 0.05);
    assert!((part(RETURN_SPAN / 2) - 0.5).abs() < 0.05);
    assert!(part(RETURN_SPAN) > 0.99);
}

fn cold(revision: u64, rate: f64, millis: u64) -> ColdEndpoint {
    ColdEndpoint {
        endpoint: ENDPOINT,
        revision: at(revision),
        rate: RequestRate::per_second(rate),
        until: NOW + Duration::from_millis(millis),
    }
}

/// Heartbeats repeat what is known, by times that vary: only changes are told.
#[test]
fn only_changes_of_a_cold_endpoint_are_news() {
    let mut endpoints = ColdEndpoints::default();
    assert!(!endpoints.record(cold(1, 17.0, 0), NOW), "it is warm");
    assert!(endpoints.record(cold(2, 17.0, 3_000), NOW));
    assert!(!endpoints.record(cold(3, 17.0, 3_100), NOW));
    assert!(!endpoints.record(cold(2, 17.0, 9_000), NOW), "it is late");
    assert!(
        endpoints.record(cold(4, 9.0, 3_000), NOW),
        "the rate differs"
    );
    assert!(
        endpoints.record(cold(5, 9.0, 0), NOW),
        "it is warm before its time"
    );
    assert!(
        endpoints.record(cold(6, 9.0, 2_000), NOW),
        "it is cold again"
    );
    assert_eq!(endpoints.iter(NOW).count(), 1);
    endpoints.tick(NOW + Duration::from_secs(2) + TOMBSTONE_RETENTION);
    assert!(endpoints.is_empty());
}

/// An endpoint that states an absurd time is not out of use for long.
#[test]
fn cold_time_is_bounded() {
    let mut endpoints = ColdEndpoints::default();
    endpoints.record(cold(1, 17.0, 86_400_000), NOW);
    assert_eq!(endpoints.iter(NOW + MAX_COLD_TIME).count(), 0);
}

/// Entries that come before the rate of their service: the last one of each endpoint counts, until its time is
/// over or the endpoint is warm.
#[test]
fn entries_without_a_rate_are_kept() {
    let entry = |endpoint, revision, millis| UnratedEntry {
        endpoint,
        service: "reader".into(),
        revision: at(revision),
        until: NOW + Duration::from_millis(millis),
    };
    let mut endpoints = ColdEndpoints::default();
    endpoints.keep(entry(1, 2, 3_000), NOW);
    endpoints.keep(entry(1, 1, 9_000), NOW);
    endpoints.keep(entry(2, 3, 86_400_000), NOW);
    endpoints.keep(entry(3, 4, 3_000), NOW);
    endpoints.keep(entry(3, 5, 0), NOW);
    let mut kept = endpoints.take_kept();
    kept.sort_unstable_by_key(|entry| entry.endpoint);
    let kept: Vec<_> = kept
        .iter()
        .map(|e| (e.endpoint, e.until.since(NOW)))
        .collect();
    assert_eq!(kept, [(1, Duration::from_secs(3)), (2, MAX_COLD_TIME)]);
    assert!(endpoints.is_empty());
    endpoints.keep(entry(1, 2, 3_000), NOW);
    endpoints.tick(NOW + Duration::from_secs(3));
    assert!(endpoints.is_empty());
}

fn admissions(own: u64, known: u64) -> Admissions {
    let mut admissions = Admissions::new(host(own));
    admissions.set_hosts(&hosts(known), NOW);
    admissions.set_known_hosts(&hosts(known), NOW);
    admissions
}

/// A cold endpoint is closed to most hosts of a large fleet, for its cold time only, and to none when
/// its next entry says that it is warm.
#[test]
fn cold_endpoint_opens_when_it_is_warm() {
    let closed = |admissions: &Admissions, at| match admissions.opening(ENDPOINT, at) {
        Opening::Closed { by, .. } => by == Closure::Cold,
        Opening::Now => false,
    };
    let mut users = 0;
    for own in 0..64 {
        let mut admissions = admissions(own, 64);
        admissions.record_cold(&cold(1, 17.0, 3_000), NOW);
        let later = NOW + Duration::from_millis(1_500);
        users += u32::from(!closed(&admissions, later));
        assert!(admissions.is_cold(ENDPOINT, later));
        assert!(!closed(&admissions, NOW + Duration::from_secs(3)));
        admissions.record_cold(&cold(2, 17.0, 0), NOW);
        assert!(!closed(&admissions, NOW));
    }
    assert_eq!(users, 6);
}

/// Hosts that are cut off from each other see fewer live hosts; their shares do not grow for it.
#[test]
fn shares_in_a_cold_rate_do_not_grow_when_hosts_vanish() {
    let open = |own: u64, live: &[u64]| {
        let mut admissions = admissions(own, 64);
        admissions.record_cold(&cold(1, 17.0, 3_000), NOW);
        admissions.set_hosts(live, NOW);
        let at = NOW + Duration::from_secs(1);
        admissions.opening(ENDPOINT, at) == Opening::Now
    };
    let together = (0..64).filter(|own| open(*own, &hosts(64))).count();
    let apart = (0..64).filter(|own| open(*own, &hosts(20))).count();
    assert_eq!(together, apart);
}
