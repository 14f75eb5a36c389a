//! Hosts whose entries are removed while they are still serving.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::membership::roster;
use pistachiochute_core::time;

fn name(text: &str) -> Arc<str> {
    text.into()
}

#[test]
fn a_host_without_an_entry_is_retained_for_a_while() {
    let mut roster = roster::Roster::default();
    let now = time::Time::from_secs(10);
    roster.put(name("a"), 1);
    roster.put(name("b"), 2);
    roster.remove("b", now);
    roster.tick(now + Duration::from_secs(30));
    assert_eq!(roster.hosts().count(), 2);
    roster.tick(now + roster::UNLISTED_RETENTION + Duration::from_secs(1));
    assert_eq!(roster.hosts().count(), 1);
}

#[test]
fn a_host_without_an_entry_is_live_while_its_messages_arrive() {
    let mut roster = roster::Roster::default();
    let now = time::Time::from_secs(10);
    roster.put(name("a"), 1);
    roster.put(name("b"), 2);
    roster.retain_listed(&BTreeSet::from([name("a")]), now);
    assert_eq!(roster.live_count(now), 1);
    roster.record_contact("b", now);
    assert_eq!(roster.live_count(now), 2);
    assert!(roster.is_live("b", now));
    let later = now + roster::UNLISTED_LIVENESS_TIMEOUT + Duration::from_secs(1);
    assert_eq!(roster.live_count(later), 1);
}

/// Regression test: hosts that restarted during an outage of the store knew no other host, and
/// refused requests for three seconds although other hosts were linked to them (seen in the
/// deployment Bocage).
#[test]
fn a_host_is_discovered_by_its_messages_without_an_entry() {
    let mut roster = roster::Roster::default();
    let now = time::Time::from_secs(10);
    assert!(roster.discover(name("a"), 1, now));
    assert!(!roster.discover(name("a"), 1, now));
    assert_eq!(roster.hosts().count(), 1);
    assert!(roster.is_live("a", now));
    assert!(roster.put(name("a"), 1));
    roster.tick(now + roster::UNLISTED_RETENTION + Duration::from_secs(1));
    assert_eq!(roster.hosts().count(), 1);
}

#[test]
fn an_entry_that_returns_counts_as_changed() {
    let mut roster = roster::Roster::default();
    assert!(roster.put(name("a"), 1));
    assert!(!roster.put(name("a"), 1));
    roster.remove("a", time::Time::from_secs(1));
    assert!(roster.put(name("a"), 1));
}
