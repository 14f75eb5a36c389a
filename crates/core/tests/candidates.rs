//! Order of the candidates of a chat, and ownership of endpoints.

use std::net;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::candidates;
use pistachiochute_core::{entity, request, topology};

const CHATS: u64 = 20_000;

fn target() -> request::Target {
    request::Target::Model("reader".parse().expect("a name"))
}

fn endpoint(id: usize, domain: usize) -> topology::Endpoint {
    topology::Endpoint {
        id: entity::EndpointId::from_index(id),
        domain: entity::DomainId::from_index(domain),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        serves: topology::Serves::Engine {
            models: vec!["reader".parse().expect("a name")],
        },
        slots: 8,
        presence: topology::Presence::Live,
    }
}

fn host(id: usize, domain: usize) -> topology::Host {
    topology::Host {
        id: entity::HostId::from_index(id),
        domain: entity::DomainId::from_index(domain),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        presence: topology::Presence::Live,
    }
}

/// Three domains of one region, with hosts and endpoints assigned round-robin.
fn list(hosts: usize, endpoints: usize) -> topology::HostList {
    let domain = |d| topology::Domain {
        id: entity::DomainId::from_index(d),
        region: entity::RegionId::from_index(0),
    };
    topology::HostList {
        version: 1,
        domains: (0..3).map(domain).collect(),
        hosts: (0..hosts).map(|i| host(i, i % 3)).collect(),
        endpoints: (0..endpoints).map(|i| endpoint(i, i % 3)).collect(),
    }
}

fn candidates(directory: &candidates::Directory, chat: u64) -> candidates::Candidates {
    let mut out = candidates::Candidates::new();
    let local = entity::DomainId::from_index(0);
    directory.candidates(chat.wrapping_mul(0x9e37_79b9), &target(), local, &mut out);
    out
}

#[test]
fn a_removed_endpoint_moves_only_its_own_chats() {
    let full = list(8, 20);
    let mut reduced = full.clone();
    reduced.endpoints.remove(4);
    let before = candidates::Directory::new(&full, candidates::Spread::Region);
    let after = candidates::Directory::new(&reduced, candidates::Spread::Region);
    for chat in 0..CHATS {
        let first = candidates(&before, chat)[0];
        if first != entity::EndpointId::from_index(4) {
            assert_eq!(first, candidates(&after, chat)[0]);
        }
    }
}

#[test]
fn chats_spread_in_proportion_to_slots() {
    let mut list = list(8, 20);
    list.endpoints[0].slots = 16;
    let directory = candidates::Directory::new(&list, candidates::Spread::Region);
    let mut assigned = [0_u32; 20];
    for chat in 0..CHATS {
        assigned[candidates(&directory, chat)[0].index()] += 1;
    }
    let share = |n: u32| f64::from(n) / CHATS as f64 * 21.0;
    assert!((1.8..2.2).contains(&share(assigned[0])), "{assigned:?}");
    assert!(
        assigned[1..]
            .iter()
            .all(|n| (0.85..1.15).contains(&share(*n))),
        "{assigned:?}"
    );
}

#[test]
fn chats_of_an_unhealthy_endpoint_stay_in_its_domain() {
    let mut directory = candidates::Directory::new(&list(8, 20), candidates::Spread::Region);
    let unhealthy = entity::EndpointId::from_index(4);
    let chats: Vec<u64> = (0..CHATS)
        .filter(|c| candidates(&directory, *c)[0] == unhealthy)
        .collect();
    directory.set_endpoint_usable(unhealthy, false);
    assert!(!chats.is_empty());
    for chat in chats {
        let order = candidates(&directory, chat);
        assert!(!order.contains(&unhealthy));
        assert_eq!(order[0].index() % 3, 1);
    }
}

#[test]
fn leaving_endpoints_and_other_targets_are_not_candidates() {
    let mut list = list(8, 20);
    list.endpoints[2].presence = topology::Presence::Leaving;
    list.endpoints[3].serves = topology::Serves::Service {
        name: "reader".parse().expect("a name"),
    };
    let mut directory = candidates::Directory::new(&list, candidates::Spread::Region);
    directory.set_endpoint_leaving(entity::EndpointId::from_index(5), true);
    for chat in 0..1_000 {
        let order = candidates(&directory, chat);
        assert_eq!(order.len(), candidates::MAX_CANDIDATES);
        assert!(order.iter().all(|id| ![2, 3, 5].contains(&id.index())));
    }
}

#[test]
fn a_domain_without_hosts_is_left_out_until_one_returns() {
    let mut directory = candidates::Directory::new(&list(8, 20), candidates::Spread::Region);
    let down = [0, 3, 6].map(entity::HostId::from_index);
    down.iter()
        .for_each(|host| directory.set_host_usable(*host, false));
    for chat in 0..1_000 {
        assert!(
            candidates(&directory, chat)
                .iter()
                .all(|id| id.index() % 3 != 0)
        );
    }
    directory.set_host_usable(down[1], true);
    let owner = directory.owner(entity::EndpointId::from_index(0));
    assert_eq!(owner, Some(down[1]));
}

#[test]
fn local_spread_prefers_the_domain_of_the_entry_host() {
    let directory = candidates::Directory::new(&list(8, 20), candidates::Spread::Local);
    for chat in 0..1_000 {
        let order = candidates(&directory, chat);
        assert!(
            order[..candidates::MAX_HOME_CANDIDATES]
                .iter()
                .all(|id| id.index() % 3 == 0)
        );
    }
}

#[test]
fn owners_are_in_the_domain_and_only_those_of_a_lost_host_change() {
    let mut directory = candidates::Directory::new(&list(30, 300), candidates::Spread::Region);
    let ids = || (0..300).map(entity::EndpointId::from_index);
    let before: Vec<_> = ids()
        .map(|id| directory.owner(id).expect("an owner"))
        .collect();
    for (id, owner) in ids().zip(&before) {
        assert_eq!(id.index() % 3, owner.index() % 3);
    }
    let down = entity::HostId::from_index(0);
    directory.set_host_usable(down, false);
    for (id, former) in ids().zip(before) {
        let owner = directory.owner(id).expect("an owner");
        assert!(owner != down && (former == down || former == owner));
    }
}

#[test]
fn an_older_list_is_ignored_and_a_newer_one_keeps_the_health_state() {
    let mut directory = candidates::Directory::new(&list(8, 20), candidates::Spread::Region);
    let unhealthy = entity::EndpointId::from_index(1);
    directory.set_endpoint_usable(unhealthy, false);
    assert!(!directory.update(&list(8, 3)));
    let newer = topology::HostList {
        version: 2,
        ..list(8, 21)
    };
    assert!(directory.update(&newer));
    assert!(!directory.takes_new_work(unhealthy));
    assert!(directory.takes_new_work(entity::EndpointId::from_index(20)));
}
