//! A host that follows a relay, which gives it no news in one way or another. The store always answers.

use std::cell::{Cell, RefCell};
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::memory::Limits;
use pistachiochute_core::{catalog, directory, revision};
use pistachiochute_messages::peer;
use pistachiochute_runtime::clock;

use super::linked_host::{self, Peer, Store};
use crate::control::{TICK_INTERVAL, catalog_reads, links, sync};
use crate::{shared, sockets};

/// Name of the relay, before the name of the host in the order of names.
const RELAY: &str = "a";

/// Other hosts, so many that the fleet has relays.
const OTHER_HOSTS: usize = 14;

/// Interval at which the relay states what it knows.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which the host follows the relay.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// A store with the relay, another relay that nothing listens for, and so many hosts that there are relays.
fn store(relay_links: net::SocketAddr) -> Store {
    let nowhere = ([127, 0, 0, 1], 9).into();
    let relays = [(RELAY, relay_links), ("b", nowhere)];
    let relays = relays.map(|(name, links)| (name.to_owned(), linked_host::host_entry(links)));
    let others = (0..OTHER_HOSTS).map(|i| (format!("x{i}"), linked_host::host_entry(nowhere)));
    Store::new(relays.into_iter().chain(others).collect())
}

/// What a relay says of itself once the state in the store has changed.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Revision of the last change of the endpoints that it knows.
    endpoints: u64,
    /// Version of its catalog.
    catalog: u64,
    /// Whether the store goes on answering it.
    has_store: bool,
}

/// Sends the statuses of the relay: what is usual until `changed` is set, then what `statement` says.
async fn send_statuses(peer: Rc<RefCell<Peer>>, statement: Statement, changed: Rc<Cell<bool>>) {
    let mut lost_at = None;
    loop {
        if changed.get() && !statement.has_store {
            lost_at.get_or_insert(clock::now());
        }
        let answered = lost_at.map_or(Duration::ZERO, |at| clock::now().since(at));
        let (endpoints, catalog) = match changed.get() {
            true => (statement.endpoints, statement.catalog),
            false => (1, 0),
        };
        peer.borrow_mut().send(&peer::Message::Status {
            known: peer::StateVersion {
                catalog: Some(catalog::Version(catalog)),
                endpoints: revision::Revision(endpoints),
            },
            store: peer::StoreHealth {
                catalog_age_ms: 0,
                steady_ms: 60_000,
                answered_ms: answered.as_millis() as u32,
            },
            loads: None,
        });
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Time in which a version of the catalog is in force, as the users' larger sites state it.
const CATALOG_APPLY: Duration = Duration::from_secs(3);

/// Changes the state in the store beside a relay that states this, answers no question and sends nothing. Returns
/// how long it takes until the host has the change, or `None` if that is longer than `bound`.
fn time_until<Change, IsDone>(
    statement: Statement,
    change: Change,
    (is_done, bound): (IsDone, Duration),
) -> Option<Duration>
where
    Change: FnOnce(&Store),
    IsDone: Fn(&shared::View) -> bool,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let any: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let links = sockets::listen(any).expect("a listener");
        let address = links.local_addr().expect("an address");
        let listener = tokio::net::TcpListener::bind(any).await;
        let listener = listener.expect("a listener");
        let relay_links = listener.local_addr().expect("an address");
        let received = Rc::default();
        tokio::task::spawn_local(linked_host::receive(
            listener,
            Some("endpoint-knowledge"),
            Rc::clone(&received),
        ));
        let store = store(relay_links);
        store.catalog.set(Some(0));
        let kept = store.clone();
        let shared = Arc::new(shared::Shared::with_limits(Limits::NONE));
        let host = linked_host::start(store, links, shared.clone());
        let peer = linked_host::connect(RELAY, address, relay_links, received).await;
        let changed = Rc::new(Cell::new(false));
        let peer = Rc::new(RefCell::new(peer));
        let statuses = send_statuses(peer, statement, changed.clone());
        let statuses = tokio::task::spawn_local(statuses);
        tokio::time::sleep(SETTLING_TIME).await;
        let is_done = || is_done(&shared.view());
        assert!(!is_done(), "it is not done before the change");
        change(&kept);
        changed.set(true);
        let changed_at = clock::now();
        while !is_done() && clock::now().since(changed_at) < bound {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let taken = is_done().then(|| clock::now().since(changed_at));
        statuses.abort();
        shared.enter_phase(shared::Phase::Stopped);
        host.await.expect("the host stops");
        taken
    })
}

/// Lets the endpoint leave beside a relay that states this. Returns how long the host goes on using the endpoint.
fn time_in_use(statement: Statement) -> Option<Duration> {
    let leave = |store: &Store| store.has_endpoint.set(false);
    let has_left = |view: &shared::View| view.endpoints.is_empty();
    time_until(statement, leave, (has_left, linked_host::DRAIN))
}

/// Guards against CONFIG: a host knew of a newer catalog that its relay did not deliver, for whatever reason, and did
/// not ask the store for it, since the relay counted as a source of news.
#[test]
fn host_whose_relay_does_not_deliver_the_catalog_reads_it() {
    let statement = Statement {
        endpoints: 1,
        catalog: 9,
        has_store: true,
    };
    let change = |store: &Store| store.catalog.set(Some(9));
    let has_it = |view: &shared::View| {
        let version = view.catalog.as_ref().map(|catalog| catalog.version());
        version == Some(catalog::Version(9))
    };
    let taken = time_until(statement, change, (has_it, CATALOG_APPLY));
    assert!(taken.is_some(), "not in force within the bound");
}

/// What a change of the catalog takes to a host whose relay does not deliver it, but for the store's own time, leaves
/// a second of the users' bound for the value itself.
#[test]
fn parts_of_the_way_of_a_catalog_stay_within_the_bound() {
    let learning = sync::WATCH_DELAY + 2 * links::SEND_INTERVAL;
    let reading = catalog_reads::POLL_INTERVAL + catalog_reads::READ_AFTER;
    let whole = learning + reading + catalog_reads::MAX_SPREAD;
    let transfer = Duration::from_secs(1);
    assert!(whole + transfer <= CATALOG_APPLY, "{whole:?}");
}

/// Requests reached endpoints that had left since a relay whose watch hears nothing, and whose other calls the
/// store answers, counted as a source of news.
#[test]
fn host_that_follows_a_relay_whose_watch_hears_nothing_learns_what_leaves() {
    let in_use = time_in_use(Statement {
        endpoints: 1,
        catalog: 0,
        has_store: true,
    });
    assert!(in_use.is_some(), "in use for longer than the bound");
}

/// Requests reached endpoints that had left since a relay that the store turns away counted as a source of news
/// for longer than the bound.
#[test]
fn host_that_follows_a_relay_without_the_store_learns_what_leaves() {
    let in_use = time_in_use(Statement {
        endpoints: 1,
        catalog: 0,
        has_store: false,
    });
    assert!(in_use.is_some(), "in use for longer than the bound");
}

/// Requests reached endpoints that had left since a host waited for the answer of a relay that holds news and
/// has no link to answer on, or a catalog on the way before it.
#[test]
fn host_whose_relay_holds_news_and_does_not_answer_learns_what_leaves() {
    let in_use = time_in_use(Statement {
        endpoints: 9,
        catalog: 0,
        has_store: true,
    });
    assert!(in_use.is_some(), "in use for longer than the bound");
}

/// Requests reached an endpoint that had left since a host that had started after its removal told others that
/// they had all changes up to its first list, in which the removal is none.
#[test]
fn host_that_starts_after_a_removal_does_not_say_that_others_know_it() {
    let features = Some("endpoint-knowledge");
    linked_host::run_from(false, Limits::NONE, features, async |_, mut peer| {
        // The peer knows all changes up to one before the removal.
        let before = revision::Revision(4);
        peer.send(&peer::Message::Want(peer::StateVersion {
            catalog: None,
            endpoints: before,
        }));
        let position = peer.wait_for("endpoints", linked_host::is_endpoints).await;
        let endpoints = peer.received.borrow()[position].clone();
        let peer::Message::Endpoints { complete, records } = endpoints else {
            unreachable!("it is about endpoints");
        };
        assert_eq!((complete, records.len()), (before, 0));
    });
}

/// Bounds of the users' sites: the shares of all parts stay within each, and news that comes as usual is never
/// so old that every host reads the store.
#[test]
fn parts_of_the_way_of_a_change_stay_within_the_bound_of_each_site() {
    for drain_ms in [directory::DrainBudget::MIN_MS, 2_000, 3_000, 4_000] {
        let budget = directory::DrainBudget::new(Duration::from_millis(drain_ms));
        let by_watch = sync::WATCH_DELAY + budget.watch_silence() + budget.read_timeout();
        assert!(by_watch <= budget.whole(), "{drain_ms}: {by_watch:?}");
        let by_relay = budget.read_after()
            + sync::KNOWLEDGE_POLL_INTERVAL
            + budget.read_timeout()
            + TICK_INTERVAL;
        assert!(by_relay <= budget.whole(), "{drain_ms}: {by_relay:?}");
        assert!(budget.watch_wait() < budget.watch_silence(), "{drain_ms}");
    }
    for drain_ms in [2_000, 3_000, 4_000] {
        let budget = directory::DrainBudget::new(Duration::from_millis(drain_ms));
        let ticks = budget
            .ask_interval()
            .as_millis()
            .div_ceil(links::SEND_INTERVAL.as_millis()) as u32;
        let usual = budget.watch_wait() + links::SEND_INTERVAL * (ticks + 1);
        assert!(usual < budget.read_after(), "{drain_ms}: {usual:?}");
    }
}
