//! The client of the key-value service against the stand-in, under each of its injected faults.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::revision::Revision;
use pistachiochute_runtime::platform::etcd;
use pistachiochute_runtime::platform::key_value::{
    Change, Compare, Error, KeyValue as _, Keys, Op, Txn, TxnResult, Watch, WatchEvent,
};
use pistachiochute_standins::keyvalue;

const DEADLINE: Duration = Duration::from_secs(10);

fn client(addrs: &[SocketAddr]) -> etcd::Etcd {
    etcd::Etcd::new(etcd::Settings {
        addrs: addrs.to_vec(),
        call_timeout: Duration::from_secs(1),
        watch_idle: Duration::from_secs(2),
        watch_retry: Duration::from_millis(20),
    })
}

fn start() -> (keyvalue::KeyValue, etcd::Etcd) {
    let service = keyvalue::KeyValue::start().expect("the service starts");
    let client = client(&[service.addr()]);
    (service, client)
}

fn key(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

fn put(text: &'static str, value: &'static str) -> Op {
    Op::Put {
        key: key(text),
        value: key(value),
        lease: None,
    }
}

fn write(client: &etcd::Etcd, text: &'static str, value: &'static str) -> Result<TxnResult, Error> {
    client.txn(&Txn {
        success: vec![put(text, value)],
        ..Txn::default()
    })
}

/// Writes key `k` if it was last written at revision `at`; otherwise reads it.
fn swap(client: &etcd::Etcd, at: u64, value: &'static str) -> Result<TxnResult, Error> {
    client.txn(&Txn {
        compares: vec![Compare::Modified(key("k"), Revision(at))],
        success: vec![put("k", value)],
        failure: vec![Op::Range(Keys::One(key("k")))],
    })
}

fn value(client: &etcd::Etcd, text: &'static str) -> Option<Bytes> {
    let found = client
        .range(&Keys::One(key(text)))
        .expect("the service answers");
    found.entries.first().map(|entry| entry.value.clone())
}

#[test]
fn compare_and_swap_on_revisions() {
    let (service, client) = start();
    let first = swap(&client, 0, "1").unwrap();
    assert!(first.succeeded);
    let failed = swap(&client, 0, "2").unwrap();
    assert!(!failed.succeeded);
    assert_eq!(failed.ranges[0].entries[0].value, key("1"));
    assert_eq!(failed.ranges[0].entries[0].modified, first.revision);
    assert!(swap(&client, first.revision.0, "3").unwrap().succeeded);
    let created = Txn {
        compares: vec![Compare::Created(key("k"), first.revision)],
        success: vec![Op::Delete(Keys::Prefix(key("k")))],
        failure: vec![],
    };
    assert!(client.txn(&created).unwrap().succeeded);
    assert_eq!(value(&client, "k"), None);
    service.close();
}

#[test]
fn prefix_ranges_have_the_right_end() {
    let (service, client) = start();
    for text in ["a", "p/1", "p/2", "q"] {
        write(&client, text, "x").unwrap();
    }
    let count = |keys: Keys| client.range(&keys).unwrap().entries.len();
    assert_eq!(count(Keys::Prefix(key("p/"))), 2);
    assert_eq!(count(Keys::Prefix(Bytes::new())), 4);
    assert_eq!(count(Keys::Prefix(Bytes::from_static(&[0xff, 0xff]))), 0);
    service.close();
}

#[test]
fn values_above_the_maximum_size_are_refused() {
    let (service, client) = start();
    let put = |len: usize| {
        let value = Bytes::from(vec![7; len]);
        client.txn(&Txn {
            success: vec![Op::Put {
                key: key("k"),
                value,
                lease: None,
            }],
            ..Txn::default()
        })
    };
    put(keyvalue::MAX_VALUE_BYTES).unwrap();
    assert_eq!(
        value(&client, "k").unwrap().len(),
        keyvalue::MAX_VALUE_BYTES
    );
    let err = put(keyvalue::MAX_VALUE_BYTES + 1).unwrap_err();
    assert!(matches!(err, Error::Refused { status: 400, .. }), "{err}");
    assert!(err.had_no_effect());
    service.close();
}

#[test]
fn leases_are_renewed_and_revoked() {
    let (service, client) = start();
    let lease = client.grant(Duration::from_secs(30)).unwrap();
    let leased = Op::Put {
        key: key("k"),
        value: key("1"),
        lease: Some(lease),
    };
    client
        .txn(&Txn {
            success: vec![leased],
            ..Txn::default()
        })
        .unwrap();
    let found = client.range(&Keys::One(key("k"))).unwrap();
    assert_eq!(found.entries[0].lease, Some(lease));
    assert_eq!(
        client.keep_alive(lease).unwrap(),
        Some(Duration::from_secs(30))
    );
    client.revoke(lease).unwrap();
    assert_eq!(value(&client, "k"), None);
    assert_eq!(client.keep_alive(lease).unwrap(), None);
    assert!(matches!(
        client.revoke(lease),
        Err(Error::Refused { status: 404, .. })
    ));
    service.close();
}

#[test]
fn lost_answer_is_unknown_and_a_read_resolves_it() {
    let (service, client) = start();
    service.set_faults(keyvalue::Faults {
        lost_answers: 1,
        ..Default::default()
    });
    let err = swap(&client, 0, "1").unwrap_err();
    assert!(!err.had_no_effect(), "{err}");
    assert_eq!(value(&client, "k"), Some(key("1")));
    service.set_faults(keyvalue::Faults {
        lost_writes: 1,
        ..Default::default()
    });
    let err = swap(&client, 2, "2").unwrap_err();
    assert!(!err.had_no_effect(), "{err}");
    assert_eq!(value(&client, "k"), Some(key("1")));
    service.close();
}

#[test]
fn delayed_write_fails_its_compare_after_a_newer_write() {
    let (service, client) = start();
    let late = keyvalue::Faults {
        late_writes: 1,
        late_by_ms: 200,
        ..Default::default()
    };
    service.set_faults(late);
    assert!(!swap(&client, 0, "late").unwrap_err().had_no_effect());
    assert!(swap(&client, 0, "first").unwrap().succeeded);
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(value(&client, "k"), Some(key("first")));
    service.close();
}

#[test]
fn refused_connection_is_not_sent_and_other_outages_are_unknown() {
    let (service, client) = start();
    service.set_faults(keyvalue::Faults {
        refuse_connections: true,
        ..Default::default()
    });
    let err = swap(&client, 0, "1").unwrap_err();
    assert!(matches!(err, Error::NotSent { .. }), "{err}");
    service.set_faults(keyvalue::Faults {
        down: true,
        ..Default::default()
    });
    assert!(!swap(&client, 0, "1").unwrap_err().had_no_effect());
    service.set_faults(keyvalue::Faults {
        stall: true,
        ..Default::default()
    });
    let begin = std::time::Instant::now();
    assert!(!swap(&client, 0, "1").unwrap_err().had_no_effect());
    assert!(begin.elapsed() < DEADLINE);
    service.set_faults(keyvalue::Faults {
        delay_ms: 50,
        ..Default::default()
    });
    assert!(swap(&client, 0, "1").unwrap().succeeded);
    service.close();
}

#[test]
fn next_address_is_used_when_a_connection_is_refused() {
    let (service, _) = start();
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let client = client(&[closed, service.addr()]);
    write(&client, "k", "1").unwrap();
    assert_eq!(value(&client, "k"), Some(key("1")));
    service.close();
}

fn next(watch: &Watch) -> WatchEvent {
    watch
        .events()
        .recv_timeout(DEADLINE)
        .expect("the watch delivers")
}

/// Returns the next event other than progress and lost connections.
fn next_content(watch: &Watch) -> WatchEvent {
    loop {
        match next(watch) {
            WatchEvent::Progress(_) | WatchEvent::Lost(_) => {}
            event => return event,
        }
    }
}

/// Returns the values and revisions of at least the next `count` changes.
fn changes(watch: &Watch, count: usize) -> Vec<(Option<Bytes>, u64)> {
    let mut seen = Vec::new();
    while seen.len() < count {
        let WatchEvent::Changes { changes, .. } = next_content(watch) else {
            panic!("the watch was reset");
        };
        for change in changes {
            let revision = change.revision().0;
            match change {
                Change::Put(entry) => seen.push((Some(entry.value), revision)),
                Change::Deleted { .. } => seen.push((None, revision)),
            }
        }
    }
    seen
}

#[test]
fn watch_misses_nothing_through_outages() {
    let (service, client) = start();
    write(&client, "p/a", "1").unwrap();
    let watch = client.watch(Keys::Prefix(key("p/")), Revision(1)).unwrap();
    assert_eq!(changes(&watch, 1), [(Some(key("1")), 2)]);
    service.set_faults(keyvalue::Faults {
        down: true,
        ..Default::default()
    });
    while !matches!(next(&watch), WatchEvent::Lost(_)) {}
    service.set_faults(keyvalue::Faults::default());
    write(&client, "q", "other range").unwrap();
    write(&client, "p/a", "2").unwrap();
    client
        .txn(&Txn {
            success: vec![Op::Delete(Keys::One(key("p/a")))],
            ..Txn::default()
        })
        .unwrap();
    assert_eq!(changes(&watch, 2), [(Some(key("2")), 4), (None, 5)]);
    service.set_faults(keyvalue::Faults {
        refuse_connections: true,
        ..Default::default()
    });
    while !matches!(next(&watch), WatchEvent::Lost(_)) {}
    service.set_faults(keyvalue::Faults::default());
    write(&client, "p/b", "3").unwrap();
    assert_eq!(changes(&watch, 1), [(Some(key("3")), 6)]);
    watch.close();
    service.close();
}

#[test]
fn stalled_watch_reconnects() {
    let (service, client) = start();
    let watch = client.watch(Keys::Prefix(key("p/")), Revision(1)).unwrap();
    while !matches!(next(&watch), WatchEvent::Progress(_)) {}
    service.set_faults(keyvalue::Faults {
        stall: true,
        ..Default::default()
    });
    while !matches!(next(&watch), WatchEvent::Lost(_)) {}
    service.set_faults(keyvalue::Faults::default());
    write(&client, "p/a", "1").unwrap();
    assert_eq!(changes(&watch, 1), [(Some(key("1")), 2)]);
    watch.close();
    service.close();
}

#[test]
fn restored_and_compacted_stores_reset_the_watch() {
    let (service, client) = start();
    write(&client, "p/a", "1").unwrap();
    let snapshot = service.snapshot();
    write(&client, "p/a", "2").unwrap();
    let watch = client.watch(Keys::Prefix(key("p/")), Revision(1)).unwrap();
    assert_eq!(changes(&watch, 2).len(), 2);
    service.restore(snapshot);
    assert_eq!(
        next_content(&watch),
        WatchEvent::Reset {
            revision: Revision(2)
        }
    );
    write(&client, "p/a", "3").unwrap();
    assert_eq!(changes(&watch, 1), [(Some(key("3")), 3)]);
    watch.close();
    service.compact(2);
    let watch = client.watch(Keys::Prefix(key("p/")), Revision(1)).unwrap();
    assert_eq!(
        next_content(&watch),
        WatchEvent::Reset {
            revision: Revision(3)
        }
    );
    watch.close();
    service.close();
}

#[test]
fn a_watch_counts_as_one_call() {
    let (service, client) = start();
    let watch = client.watch(Keys::Prefix(key("p/")), Revision(1)).unwrap();
    for _ in 0..5 {
        write(&client, "p/a", "1").unwrap();
    }
    assert_eq!(changes(&watch, 5).len(), 5);
    let counters = service.counters();
    assert_eq!((counters.watches, counters.txns), (1, 5));
    watch.close();
    service.close();
}
