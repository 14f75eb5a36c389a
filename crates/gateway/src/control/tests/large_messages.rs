//! What a new link carries if a host knows very much.

use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::directory;
use pistachiochute_core::memory::Limits;
use pistachiochute_messages::peer;

use super::linked_host::{Store, WAIT_TIMEOUT, connect, host_entry, receive, start};
use crate::{shared, sockets};

/// Parts in one message of the peer, below what a frame holds.
const PARTS_PER_MESSAGE: u64 = 40_000;

/// Parts that prompts have named: twice as many as a frame holds.
const PARTS: u64 = 3 * PARTS_PER_MESSAGE;

/// Most parts that a host may keep for others.
const MAX_KEPT: usize = 50_000;

fn parts(number: u64) -> peer::Message {
    let ids = number * PARTS_PER_MESSAGE..(number + 1) * PARTS_PER_MESSAGE;
    let part = |id| peer::CachedPart {
        part: u64::MAX - id,
        endpoint: u64::MAX,
    };
    peer::Message::Holdings(ids.map(part).collect())
}

/// Guards against LOST and Fault: prompts of very many parts made the first message of a new link too large, so
/// that the link ended, was opened again and carried nothing; and hosts kept as many parts as callers named.
#[test]
fn new_link_carries_everything_beside_very_many_parts() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let any: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let links = sockets::listen(any).expect("a listener");
        let address = links.local_addr().expect("an address");
        let listen = async || {
            let listener = tokio::net::TcpListener::bind(any).await;
            let listener = listener.expect("a listener");
            let address = listener.local_addr().expect("an address");
            (listener, address)
        };
        let ((early, early_links), (late, late_links)) = (listen().await, listen().await);
        let features = Some("endpoint-departures");
        let received = Rc::default();
        tokio::task::spawn_local(receive(early, features, Rc::clone(&received)));
        let store = Store::new(vec![
            ("early".to_owned(), host_entry(early_links)),
            ("late".to_owned(), host_entry(late_links)),
        ]);
        let shared = Arc::new(shared::Shared::with_limits(Limits::NONE));
        let host = start(store, links, shared.clone());
        let mut early = connect("early", address, early_links, received).await;
        for number in 0..PARTS / PARTS_PER_MESSAGE {
            early.send(&parts(number));
        }
        let departure = peer::DepartureRecord {
            endpoint: directory::IncarnationKey::new(7),
            age_ms: 0,
        };
        early.send(&peer::Message::EndpointDepartures(vec![departure]));
        let is_known = async {
            while shared.remote_cached_parts.len() < PARTS as usize {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let known = tokio::time::timeout(WAIT_TIMEOUT, is_known).await;
        assert!(known.is_ok(), "the host does not know the parts");
        tokio::time::sleep(Duration::from_millis(100)).await;

        // Only now the other host takes the link.
        let received = Rc::default();
        tokio::task::spawn_local(receive(late, features, Rc::clone(&received)));
        let late = connect("late", address, late_links, received).await;
        let is_departure = |m: &peer::Message| matches!(m, peer::Message::EndpointDepartures(_));
        let departure = late.wait_for("departure", is_departure).await;
        let is_status = |m: &peer::Message| matches!(m, peer::Message::Status { .. });
        late.wait_for("status", is_status).await;
        let is_part = |m: &peer::Message| matches!(m, peer::Message::Holdings(_));
        let first_part = late.wait_for("part", is_part).await;
        assert!(
            departure < first_part,
            "parts come before what keeps hosts safe"
        );
        let count = || {
            let received = late.received.borrow();
            let parts = received.iter().map(|message| match message {
                peer::Message::Holdings(parts) => parts.len(),
                _ => 0,
            });
            parts.sum::<usize>()
        };
        let mut before = 0;
        while count() > before {
            before = count();
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        assert!(before > MAX_KEPT / 4, "{before} parts");
        assert!(before <= MAX_KEPT, "{before} parts");
        shared.enter_phase(shared::Phase::Stopped);
        host.await.expect("the host stops");
    });
}
