//! The way of a large catalog: whom a host asks for it, and how many others it sends it to at a time.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::membership::overlay;
use pistachiochute_core::{catalog, lists, revision, streams, time};
use pistachiochute_messages::catalog_parts::{Assembly, EncodedCatalog};
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use super::linked_host::{self, Peer, run};
use crate::control::links::{Outbox, Queued, catalog_turns};
use crate::control::state::{KnownVersions, State};
use crate::settings;

const NOW: time::Time = time::Time::from_secs(100);

/// Routes of a large catalog.
const ROUTES: usize = 2_000;

fn large_catalog() -> catalog::Content {
    let route = |i: usize| catalog::Route {
        name: format!("route-{i}").into(),
        authority: format!("host-{i}.example").into(),
        prefix: format!("/a-long-prefix-of-route-{i}/").into(),
        kind: catalog::RequestKind::Idempotent,
        timeout: Some(Duration::from_secs(1)),
        target_latency: Some(Duration::from_millis(100)),
        priority: 1,
        targets: [catalog::Target {
            service: catalog::ServiceIndex(0),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        max_attempts: 1,
        is_public: false,
    };
    catalog::Content {
        routes: (0..ROUTES).map(route).collect(),
        services: vec![catalog::Service {
            name: linked_host::SERVICE.into(),
            max_connections: 1,
            memory_tokens: None,
            cold_rate: None,
        }],
        ..linked_host::empty_catalog(7)
    }
}

/// A catalog with more keys than a frame holds.
fn catalog_with_many_keys() -> catalog::Content {
    let keys = (0..40_000_u32).map(|n| lists::KeyDigest::of(&n.to_le_bytes()));
    let account = catalog::Account {
        name: "farm".into(),
        key_digests: keys.collect(),
        priority: None,
    };
    catalog::Content {
        routes: Vec::new(),
        accounts: catalog::Accounts::Keyed(vec![account]),
        ..large_catalog()
    }
}

/// Messages with the parts of a catalog.
fn parts(content: &catalog::Content) -> Vec<peer::Message> {
    let encoded = EncodedCatalog::new(content).expect("a catalog");
    let mut parts = Vec::new();
    let mut offset = 0;
    while let Some(part) = encoded.part_at(offset) {
        offset += part.bytes.len();
        parts.push(peer::Message::CatalogPart(part));
    }
    parts
}

/// A host that follows two relays, and its relays' links.
fn member() -> (State, Vec<tokio::sync::mpsc::Receiver<Queued>>) {
    let history = streams::VersionHistory::new(true, NOW);
    let mut state = State::new("m".into(), "dom-a".to_owned(), history);
    state.overlay.role = overlay::Role::Member;
    state.overlay.relays = ["a".into(), "b".into()].into_iter().collect();
    let mut links = Vec::new();
    for relay in ["b", "a"] {
        let (outbox, rx) = Outbox::new([].into_iter().collect(), Rc::default());
        state.outboxes.insert(relay.into(), outbox);
        links.push(rx);
    }
    (state, links)
}

/// Lets the relays state that they have the catalog of a version.
fn state_version(state: &mut State, relays: &[&str], version: u64, now: time::Time) {
    for relay in relays {
        let known = KnownVersions {
            catalog: Some(catalog::Version(version)),
            endpoints: revision::Epoch::default().revision(revision::Revision(1)),
        };
        state.record_status(&Arc::from(*relay), known, peer::StoreHealth::default(), now);
    }
}

/// Both relays sent each version to every host of their domain, and the slower one's link was full for seconds.
#[test]
fn host_asks_one_relay_for_the_catalog_and_the_next_if_it_does_not_come() {
    let (mut state, _links) = member();
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    state_version(&mut state, &["a", "b"], 7, NOW);
    assert!(!state.record_catalog_request(&b, NOW), "a comes first");
    assert!(state.record_catalog_request(&a, NOW));
    assert!(!state.record_catalog_request(&b, NOW));
    assert!(!state.record_catalog_request(&a, NOW), "not twice");
    let later = NOW + Duration::from_millis(700);
    state_version(&mut state, &["a", "b"], 7, later);
    assert!(!state.record_catalog_request(&a, later), "b is next");
    assert!(state.record_catalog_request(&b, later));
    let last = later + Duration::from_millis(700);
    state_version(&mut state, &["a", "b"], 7, last);
    assert!(state.record_catalog_request(&a, last));
}

/// A relay that has not the newest catalog, is silent, or has no link to this host keeps none from being asked.
#[test]
fn relay_that_cannot_send_the_catalog_keeps_no_other_from_being_asked() {
    let b: Arc<str> = "b".into();
    let (mut state, _links) = member();
    state_version(&mut state, &["b"], 7, NOW);
    assert!(state.record_catalog_request(&b, NOW), "a is silent");
    let (mut state, _links) = member();
    state_version(&mut state, &["a"], 6, NOW);
    state_version(&mut state, &["b"], 7, NOW);
    state.catalog.update(catalog::Content {
        version: catalog::Version(6),
        ..large_catalog()
    });
    assert!(state.record_catalog_request(&b, NOW), "a has no newer one");
    let (mut state, mut links) = member();
    state_version(&mut state, &["a", "b"], 7, NOW);
    drop(links.pop());
    assert!(state.record_catalog_request(&b, NOW), "no link to a");
}

#[test]
fn catalogs_under_way_follow_the_speed_of_the_link() {
    let machine = |link_mbps| settings::Machine {
        memory_mb: 112,
        max_fds: 2_870,
        link_mbps,
    };
    assert_eq!(catalog_turns(Some(&machine(Some(10)))), 2);
    assert_eq!(catalog_turns(Some(&machine(Some(200)))), 57);
    assert_eq!(catalog_turns(Some(&machine(None))), 16);
    assert_eq!(catalog_turns(None), 16);
}

fn is_catalog(message: &peer::Message) -> bool {
    matches!(message, peer::Message::Catalog(_))
}

/// Opens the link of another host that reads what it is sent.
async fn reader(name: &str, first: &Peer) -> Peer {
    let any: net::SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = tokio::net::TcpListener::bind(any).await;
    let listener = listener.expect("a listener");
    let links = listener.local_addr().expect("an address");
    let received = Rc::<RefCell<Vec<peer::Message>>>::default();
    let receiving = linked_host::receive(listener, Some(""), Rc::clone(&received));
    tokio::task::spawn_local(receiving);
    linked_host::connect(name, first.host_links, links, received).await
}

/// Opens the link of another host that reads nothing.
async fn slow_reader(name: &str, first: &Peer) -> Peer {
    let any: net::SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = tokio::net::TcpListener::bind(any).await;
    let listener = listener.expect("a listener");
    let links = listener.local_addr().expect("an address");
    tokio::task::spawn_local(linked_host::accept_without_reading(listener));
    linked_host::connect(name, first.host_links, links, Rc::default()).await
}

/// A relay sent the catalog to all hosts of its domain at once, and again for each time that they asked while it
/// was on its way; news of endpoints waited behind, and its own calls too.
#[test]
fn catalog_goes_to_a_few_hosts_at_a_time_and_to_each_once() {
    run(Some(""), async |_, mut first| {
        first.send(&peer::Message::Catalog(Box::new(large_catalog())));
        let mut slow = Vec::new();
        for i in 0..linked_host::CATALOG_TURNS {
            slow.push(slow_reader(&format!("s{i}"), &first).await);
        }
        let mut last = reader("t", &first).await;
        let is_status = |m: &peer::Message| matches!(m, peer::Message::Status { .. });
        last.wait_for("status", is_status).await;
        // The links to the slow hosts are open by now.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let want = peer::Message::Want(peer::StateVersion::default());
        for host in &mut slow {
            host.send(&want);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..5 {
            last.send(&want);
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        assert!(!last.received.borrow().iter().any(is_catalog), "not yet");
        let endpoints = last.wait_for("endpoints", linked_host::is_endpoints).await;
        let catalog = last.wait_for("catalog", is_catalog).await;
        assert!(endpoints < catalog);
        for _ in 0..5 {
            last.send(&want);
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let catalogs = last.received.borrow();
        assert_eq!(catalogs.iter().filter(|m| is_catalog(m)).count(), 1);
    });
}

/// The catalog that a peer has received in parts.
fn assembled(peer: &Peer) -> Option<catalog::Content> {
    let mut assembly = Assembly::new();
    let received = peer.received.borrow();
    let parts = received.iter().filter_map(|message| match message {
        peer::Message::CatalogPart(part) => Some(part),
        _ => None,
    });
    let mut whole = None;
    for part in parts {
        whole = assembly
            .add(part, clock::now())
            .expect("parts in order")
            .or(whole);
    }
    whole
}

/// Guards against CONFIG: a catalog that takes more than a frame was left out, and counted as sent.
#[test]
fn catalog_that_takes_more_than_a_frame_goes_in_parts() {
    run(Some("catalog-parts"), async |shared, mut first| {
        let content = catalog_with_many_keys();
        for part in parts(&content) {
            first.send(&part);
        }
        let has_catalog = async {
            while shared.view().catalog.is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let has_catalog = tokio::time::timeout(linked_host::WAIT_TIMEOUT, has_catalog).await;
        assert!(
            has_catalog.is_ok(),
            "the host has not put the parts together"
        );
        first.send(&peer::Message::Want(peer::StateVersion::default()));
        let is_part = |m: &peer::Message| matches!(m, peer::Message::CatalogPart(_));
        first.wait_for("part", is_part).await;
        let is_whole = async {
            while assembled(&first).is_none() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let is_whole = tokio::time::timeout(linked_host::WAIT_TIMEOUT, is_whole).await;
        assert!(is_whole.is_ok(), "the peer has not got all parts");
        assert_eq!(assembled(&first), Some(content));
    });
}

/// A host of the build before, which does not know parts, keeps its link and gets all else.
#[test]
fn catalog_in_parts_does_not_go_to_a_host_that_reads_none() {
    run(Some("endpoint-knowledge"), async |_, mut first| {
        for part in parts(&catalog_with_many_keys()) {
            first.send(&part);
        }
        first.send(&peer::Message::Want(peer::StateVersion::default()));
        first.wait_for("endpoints", linked_host::is_endpoints).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let is_catalog = |m: &peer::Message| {
            matches!(m, peer::Message::CatalogPart(_) | peer::Message::Catalog(_))
        };
        assert!(!first.received.borrow().iter().any(is_catalog));
        let is_status = |m: &&peer::Message| matches!(m, peer::Message::Status { .. });
        let statuses = || first.received.borrow().iter().filter(is_status).count();
        let before = statuses();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(before < statuses(), "the link goes on");
    });
}
