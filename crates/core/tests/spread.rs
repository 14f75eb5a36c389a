//! Who talks to whom, and the sums of the hosts' work that travel over those links.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::load::{EndpointLoad, Work};
use pistachiochute_core::membership::digest::{Digests, HORIZON, Works};
use pistachiochute_core::membership::spread::{FULL_MESH, Place, RELAYS, Role, Spread};
use pistachiochute_core::time;

const NOW: time::Time = time::Time::from_secs(10);

/// A fleet of hosts in as many domains, in turn.
fn fleet(hosts: usize, domains: usize) -> Vec<Place> {
    (0..hosts)
        .map(|i| Place {
            name: format!("host-{i:03}").into(),
            domain: format!("dom-{}", i % domains).into(),
            serves: true,
        })
        .collect()
}

fn spreads(places: &[Place]) -> BTreeMap<Arc<str>, Spread> {
    let spread = |place: &Place| Spread::new(&place.name, &place.domain, places);
    places
        .iter()
        .map(|place| (place.name.clone(), spread(place)))
        .collect()
}

#[test]
fn a_small_fleet_talks_all_to_all() {
    let places = fleet(FULL_MESH + 1, 3);
    for spread in spreads(&places).values() {
        assert_eq!(spread.role, Role::Mesh);
        assert_eq!(spread.links.len(), FULL_MESH);
    }
}

/// News of any host reaches all others in three steps, over two links of most hosts.
#[test]
fn news_reaches_everyone_in_three_steps() {
    for (hosts, domains) in [(14, 2), (82, 3), (67, 4), (420, 8)] {
        let places = fleet(hosts, domains);
        let spreads = spreads(&places);
        for start in ["host-000", "host-013"] {
            let mut reached: BTreeSet<Arc<str>> = BTreeSet::from([start.into()]);
            for _ in 0..3 {
                let next: Vec<_> = reached
                    .iter()
                    .flat_map(|name| spreads[name].links.clone())
                    .collect();
                reached.extend(next);
            }
            assert_eq!(reached.len(), hosts);
        }
        let members = spreads.values().filter(|s| s.role == Role::Member);
        assert!(members.clone().count() >= hosts - domains * RELAYS);
        members.for_each(|spread| assert_eq!(spread.links.len(), RELAYS));
    }
}

#[test]
fn another_host_takes_the_place_of_a_lost_relay() {
    let mut places = fleet(82, 3);
    places[0].serves = false;
    let spread = Spread::new("host-030", "dom-0", &places);
    assert_eq!(spread.relays.len(), RELAYS);
    assert!(!spread.is_own_relay("host-000"));
}

fn load(endpoint: u64, requests: u32) -> EndpointLoad {
    EndpointLoad {
        endpoint,
        work: Work {
            requests,
            unread_tokens: 100 * requests,
        },
    }
}

/// Lets every host tell its work once, relays after their hosts.
fn exchange(
    places: &[Place],
    own: &dyn Fn(&str) -> Vec<EndpointLoad>,
) -> BTreeMap<Arc<str>, Works> {
    let spreads = spreads(places);
    let mut digests: BTreeMap<Arc<str>, Digests> = BTreeMap::new();
    let tell = |digests: &mut BTreeMap<Arc<str>, Digests>, from: &Arc<str>, to: &Arc<str>| {
        let heard = digests.entry(to.clone()).or_default();
        heard.hear(from, NOW);
        heard.own(from, own(from));
    };
    for (from, spread) in &spreads {
        spread
            .links
            .iter()
            .for_each(|to| tell(&mut digests, from, to));
    }
    let relays: Vec<_> = spreads
        .iter()
        .filter(|(_, spread)| spread.role == Role::Relay)
        .collect();
    for (from, spread) in &relays {
        let carried = digests[*from].domain(spread, &own(from));
        for to in spread.links.iter().filter(|to| spread.is_foreign_relay(to)) {
            let heard = digests.get_mut(to).expect("it was told before");
            heard.carried(from, carried.clone());
        }
    }
    for (from, spread) in &relays {
        let others = digests[*from].others(spread);
        let members = spread
            .links
            .iter()
            .filter(|to| !spread.is_foreign_relay(to));
        for to in members.filter(|to| !spread.is_own_relay(to)) {
            let carried = digests[*from].all_but(to, &others, &own(from));
            let heard = digests.get_mut(to).expect("it was told before");
            heard.carried(from, carried);
        }
    }
    spreads
        .iter()
        .map(|(name, spread)| (name.clone(), digests[name].others(spread)))
        .collect()
}

/// Every host learns the work of all others, counted once, whether the fleet is small or large.
#[test]
fn every_host_learns_the_work_of_all_others() {
    for (hosts, domains) in [(8, 3), (82, 3), (67, 4)] {
        let places = fleet(hosts, domains);
        let works = exchange(&places, &|name| {
            let number: u32 = name[5..].parse().expect("a number");
            vec![load(7, 1), load(100 + u64::from(number % 5), 2)]
        });
        for (name, work) in works {
            assert_eq!(work[&7].requests as usize, hosts - 1, "{name}");
            let total: u32 = work.values().map(|w| w.requests).sum();
            assert_eq!(total as usize, 3 * (hosts - 1), "{name}");
        }
    }
}

#[test]
fn what_a_silent_host_told_no_longer_counts() {
    let mut digests = Digests::default();
    let spread = Spread::default();
    let name: Arc<str> = "host-001".into();
    digests.hear(&name, NOW);
    digests.own(&name, vec![load(7, 1)]);
    digests.tick(NOW + HORIZON);
    assert_eq!(digests.others(&spread).len(), 1);
    digests.tick(NOW + HORIZON + Duration::from_millis(1));
    assert!(digests.others(&spread).is_empty());
}
