//! Who talks to whom, and the sums of the hosts' work that travel over those links.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::load::{EndpointLoad, Work};
use pistachiochute_core::membership::load_reports::{LoadReports, REPORT_TTL, WorkByEndpoint};
use pistachiochute_core::membership::overlay::{
    FULL_MESH_MAX_PEERS, Overlay, OverlayHost, RELAYS_PER_DOMAIN, Role,
};
use pistachiochute_core::time;

const NOW: time::Time = time::Time::from_secs(10);

/// A fleet of hosts in as many domains, in turn.
fn fleet(hosts: usize, domains: usize) -> Vec<OverlayHost> {
    (0..hosts)
        .map(|i| OverlayHost {
            name: format!("host-{i:03}").into(),
            domain: format!("dom-{}", i % domains).into(),
            is_live: true,
        })
        .collect()
}

fn overlays(places: &[OverlayHost]) -> BTreeMap<Arc<str>, Overlay> {
    let overlay = |place: &OverlayHost| Overlay::new(&place.name, &place.domain, places);
    places
        .iter()
        .map(|place| (place.name.clone(), overlay(place)))
        .collect()
}

#[test]
fn a_small_fleet_talks_all_to_all() {
    let places = fleet(FULL_MESH_MAX_PEERS + 1, 3);
    for overlay in overlays(&places).values() {
        assert_eq!(overlay.role, Role::Mesh);
        assert_eq!(overlay.links.len(), FULL_MESH_MAX_PEERS);
    }
}

/// News of any host reaches all others in three steps, over two links of most hosts.
#[test]
fn news_reaches_everyone_in_three_steps() {
    for (hosts, domains) in [(14, 2), (82, 3), (67, 4), (420, 8)] {
        let places = fleet(hosts, domains);
        let overlays = overlays(&places);
        for start in ["host-000", "host-013"] {
            let mut reached: BTreeSet<Arc<str>> = BTreeSet::from([start.into()]);
            for _ in 0..3 {
                let next: Vec<_> = reached
                    .iter()
                    .flat_map(|name| overlays[name].links.clone())
                    .collect();
                reached.extend(next);
            }
            assert_eq!(reached.len(), hosts);
        }
        let members = overlays.values().filter(|s| s.role == Role::Member);
        assert!(members.clone().count() >= hosts - domains * RELAYS_PER_DOMAIN);
        members.for_each(|overlay| assert_eq!(overlay.links.len(), RELAYS_PER_DOMAIN));
    }
}

#[test]
fn another_host_takes_the_place_of_a_lost_relay() {
    let mut places = fleet(82, 3);
    places[0].is_live = false;
    let overlay = Overlay::new("host-030", "dom-0", &places);
    assert_eq!(overlay.relays.len(), RELAYS_PER_DOMAIN);
    assert!(!overlay.is_own_relay("host-000"));
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
    places: &[OverlayHost],
    own: &dyn Fn(&str) -> Vec<EndpointLoad>,
) -> BTreeMap<Arc<str>, WorkByEndpoint> {
    let overlays = overlays(places);
    let mut reports: BTreeMap<Arc<str>, LoadReports> = BTreeMap::new();
    let tell = |reports: &mut BTreeMap<Arc<str>, LoadReports>, from: &Arc<str>, to: &Arc<str>| {
        let heard = reports.entry(to.clone()).or_default();
        heard.record_contact(from, NOW);
        heard.set_own_load(from, own(from));
    };
    for (from, overlay) in &overlays {
        overlay
            .links
            .iter()
            .for_each(|to| tell(&mut reports, from, to));
    }
    let relays: Vec<_> = overlays
        .iter()
        .filter(|(_, overlay)| overlay.role == Role::Relay)
        .collect();
    for (from, overlay) in &relays {
        let carried = reports[*from].domain_total(overlay, &own(from));
        for to in overlay
            .links
            .iter()
            .filter(|to| overlay.is_foreign_relay(to))
        {
            let heard = reports.get_mut(to).expect("it was told before");
            heard.set_relayed_load(from, carried.clone());
        }
    }
    for (from, overlay) in &relays {
        let others = reports[*from].total_of_others(overlay);
        let members = overlay
            .links
            .iter()
            .filter(|to| !overlay.is_foreign_relay(to));
        for to in members.filter(|to| !overlay.is_own_relay(to)) {
            let carried = reports[*from].total_except(to, &others, &own(from));
            let heard = reports.get_mut(to).expect("it was told before");
            heard.set_relayed_load(from, carried);
        }
    }
    overlays
        .iter()
        .map(|(name, overlay)| (name.clone(), reports[name].total_of_others(overlay)))
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
    let mut reports = LoadReports::default();
    let overlay = Overlay::default();
    let name: Arc<str> = "host-001".into();
    reports.record_contact(&name, NOW);
    reports.set_own_load(&name, vec![load(7, 1)]);
    reports.tick(NOW + REPORT_TTL);
    assert_eq!(reports.total_of_others(&overlay).len(), 1);
    reports.tick(NOW + REPORT_TTL + Duration::from_millis(1));
    assert!(reports.total_of_others(&overlay).is_empty());
}
