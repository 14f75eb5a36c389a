//! What a host keeps of the lists that it reads.

use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::memory::Limits;

use super::linked_host::{ENDPOINTS_PREFIX, Store, WAIT_TIMEOUT, entry, start};
use crate::{shared, sockets};

/// Guards against Fault: a host that starts kept every value of the list until the last page had arrived, so
/// that what another writer had left took it over its memory.
#[test]
fn value_of_another_writer_is_not_kept_longer_than_its_page() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let prefixes = [
            ENDPOINTS_PREFIX,
            "hosts/",
            "quarantine/",
            "beginnings/",
            "streams/",
            "other/",
        ];
        let value = || vec![b'x'; 1_000_000];
        let foreign = prefixes.map(|prefix| entry(format!("{prefix}odd"), value()));
        let store = Store {
            foreign: Rc::new(foreign.into()),
            ..Store::new(Vec::new())
        };
        let any: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let links = sockets::listen(any).expect("a listener");
        let shared = Arc::new(shared::Shared::with_limits(Limits::NONE));
        let host = start(store.clone(), links, shared.clone());
        let is_listed = async {
            while shared.view().endpoints.len() != 1 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let listed = tokio::time::timeout(WAIT_TIMEOUT, is_listed).await;
        assert!(listed.is_ok(), "the only endpoint is not in use");
        assert_eq!(store.held.get(), 0, "values are held while pages are read");
        shared.enter_phase(shared::Phase::Stopped);
        host.await.expect("the host stops");
    });
}
