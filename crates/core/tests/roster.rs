//! Hosts whose entries vanish while they serve on.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::membership::{fingers, roster};
use pistachiochute_core::time;

fn name(text: &str) -> Arc<str> {
    text.into()
}

#[test]
fn a_host_whose_entry_is_gone_is_still_talked_to() {
    let mut roster = roster::Roster::default();
    let now = time::Time::from_secs(10);
    roster.put(name("a"), 1);
    roster.put(name("b"), 2);
    roster.remove("b", now);
    roster.tick(now + Duration::from_secs(30));
    assert_eq!(roster.hosts().count(), 2);
    roster.tick(now + roster::UNLISTED_KEPT + Duration::from_secs(1));
    assert_eq!(roster.hosts().count(), 1);
}

#[test]
fn a_host_without_an_entry_counts_while_it_speaks() {
    let mut roster = roster::Roster::default();
    let now = time::Time::from_secs(10);
    roster.put(name("a"), 1);
    roster.put(name("b"), 2);
    roster.retain_listed(&BTreeSet::from([name("a")]), now);
    assert_eq!(roster.serving(now), 1);
    roster.hear("b", now);
    assert_eq!(roster.serving(now), 2);
    let later = now + roster::UNLISTED_SILENCE + Duration::from_secs(1);
    assert_eq!(roster.serving(later), 1);
}

#[test]
fn an_entry_that_returns_is_news() {
    let mut roster = roster::Roster::default();
    assert!(roster.put(name("a"), 1));
    assert!(!roster.put(name("a"), 1));
    roster.remove("a", time::Time::from_secs(1));
    assert!(roster.put(name("a"), 1));
}

/// News reaches every host of a large fleet in as many steps as its size has binary digits.
#[test]
fn fingers_reach_everyone_in_few_steps() {
    for hosts in [2_usize, 8, 13, 14, 82, 420] {
        let mut reached = BTreeSet::from([0]);
        let mut steps = 0;
        while reached.len() < hosts {
            let next: Vec<_> = reached
                .iter()
                .flat_map(|me| fingers::of(*me, hosts))
                .collect();
            reached.extend(next);
            steps += 1;
        }
        assert!(
            steps <= hosts.ilog2() + 1,
            "{hosts} hosts took {steps} steps"
        );
        let links = fingers::of(0, hosts).count();
        assert!(links <= fingers::FULL_MESH.max(hosts.ilog2() as usize + 1));
    }
}
