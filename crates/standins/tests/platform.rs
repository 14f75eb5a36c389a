//! The key-value service, host list and weight store over sockets, with each of their faults.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use pistachiochute_core::{topology, units};
use pistachiochute_standins::{engine, host_list_server, keyvalue, weight_store};
use serde_json::{Value, json};

const DEADLINE: Duration = Duration::from_secs(5);

fn call(addr: SocketAddr, path: &str, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(format!("http://{addr}{path}"))
        .timeout(DEADLINE)
        .json(body)?
        .send()
}

fn answer(addr: SocketAddr, path: &str, body: &Value) -> Value {
    call(addr, path, body)
        .expect("the service answers")
        .json()
        .expect("the answer is JSON")
}

fn b64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

fn put(key: &str, value: &str) -> Value {
    json!({ "key": b64(key), "value": b64(value) })
}

fn read(addr: SocketAddr, key: &str) -> Value {
    answer(addr, "/v3/kv/range", &json!({ "key": b64(key) }))["kvs"][0].clone()
}

fn wait<F>(mut done: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + DEADLINE;
    while !done() {
        assert!(Instant::now() < deadline, "not done within {DEADLINE:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn writes_number_revisions_and_versions() {
    let kv = keyvalue::KeyValue::start().unwrap();
    answer(kv.addr(), "/v3/kv/put", &put("a", "1"));
    answer(kv.addr(), "/v3/kv/put", &put("b", "1"));
    answer(kv.addr(), "/v3/kv/put", &put("a", "2"));
    let a = read(kv.addr(), "a");
    assert_eq!(
        (&a["create_revision"], &a["mod_revision"], &a["version"]),
        (&json!("2"), &json!("4"), &json!("2"))
    );
    assert_eq!(a["value"], b64("2"));
    let all = json!({ "key": b64("a"), "range_end": b64("c"), "limit": "1" });
    let all = answer(kv.addr(), "/v3/kv/range", &all);
    assert_eq!((&all["count"], &all["more"]), (&json!("2"), &json!(true)));
    let deleted = answer(kv.addr(), "/v3/kv/deleterange", &json!({ "key": b64("a") }));
    assert_eq!(deleted["deleted"], "1");
    assert!(read(kv.addr(), "a").is_null());
    assert_eq!(kv.revision(), 5);
    let counters = kv.counters();
    assert_eq!(
        (counters.puts, counters.ranges, counters.delete_ranges),
        (3, 3, 1)
    );
    kv.close();
}

#[test]
fn transaction_compares_revisions() {
    let kv = keyvalue::KeyValue::start().unwrap();
    let swap = |revision: u64, value: &str| {
        let txn = json!({
            "compare": [{ "target": "MOD", "key": b64("a"), "mod_revision": revision.to_string() }],
            "success": [{ "requestPut": put("a", value) }],
            "failure": [{ "request_range": { "key": b64("a") } }],
        });
        answer(kv.addr(), "/v3/kv/txn", &txn)
    };
    assert_eq!(swap(0, "1")["succeeded"], true);
    let lost = swap(0, "2");
    assert_eq!(lost["succeeded"], false);
    assert_eq!(
        lost["responses"][0]["response_range"]["kvs"][0]["value"],
        b64("1")
    );
    assert_eq!(swap(2, "3")["succeeded"], true);
    assert_eq!(read(kv.addr(), "a")["mod_revision"], "3");
    let large = put("a", &"x".repeat(keyvalue::MAX_VALUE_BYTES + 1));
    assert_eq!(
        call(kv.addr(), "/v3/kv/put", &large)
            .unwrap()
            .status()
            .as_u16(),
        400
    );
    kv.close();
}

#[test]
fn expired_and_revoked_leases_delete_their_entries() {
    let kv = keyvalue::KeyValue::start().unwrap();
    let lease = answer(kv.addr(), "/v3/lease/grant", &json!({ "TTL": "1" }))["ID"].clone();
    let mut leased = put("a", "1");
    leased["lease"] = lease.clone();
    answer(kv.addr(), "/v3/kv/put", &leased);
    let renewed = answer(kv.addr(), "/v3/lease/keepalive", &json!({ "ID": lease }));
    assert_eq!(renewed["result"]["TTL"], "1");
    assert!(read(kv.addr(), "a").is_object());
    wait(|| read(kv.addr(), "a").is_null());
    let expired = answer(kv.addr(), "/v3/lease/keepalive", &json!({ "ID": lease }));
    assert_eq!(expired["result"]["TTL"], "0");
    let other = answer(kv.addr(), "/v3/lease/grant", &json!({ "TTL": 60 }))["ID"].clone();
    leased["lease"] = other.clone();
    answer(kv.addr(), "/v3/kv/put", &leased);
    answer(kv.addr(), "/v3/lease/revoke", &json!({ "ID": other }));
    assert!(read(kv.addr(), "a").is_null());
    assert_eq!(
        call(kv.addr(), "/v3/kv/put", &leased)
            .unwrap()
            .status()
            .as_u16(),
        404
    );
    kv.close();
}

#[test]
fn watch_starts_at_a_revision_and_ends_with_a_restore() {
    let kv = keyvalue::KeyValue::start().unwrap();
    answer(kv.addr(), "/v3/kv/put", &put("a", "1"));
    let before = kv.snapshot();
    answer(kv.addr(), "/v3/kv/put", &put("a", "2"));
    let create = json!({ "create_request": {
        "key": b64("a"), "range_end": b64("b"), "start_revision": "2",
    } });
    let watch = call(kv.addr(), "/v3/watch", &create).unwrap();
    let mut lines = BufReader::new(watch).lines();
    let mut next = || -> Value { serde_json::from_str(&lines.next().unwrap().unwrap()).unwrap() };
    assert_eq!(next()["result"]["created"], true);
    assert_eq!(next()["result"]["events"].as_array().unwrap().len(), 2);
    answer(kv.addr(), "/v3/kv/put", &put("x", "other range"));
    answer(kv.addr(), "/v3/kv/deleterange", &json!({ "key": b64("a") }));
    assert_eq!(next()["result"]["events"][0]["type"], "DELETE");
    kv.restore(before);
    assert!(lines.next().is_none_or(|line| line.is_err()));
    assert_eq!(kv.revision(), 2);
    assert_eq!(read(kv.addr(), "a")["value"], b64("1"));
    assert_eq!(kv.counters().watches, 1);
    kv.close();
}

#[test]
fn compacted_watch_is_cancelled() {
    let kv = keyvalue::KeyValue::start().unwrap();
    answer(kv.addr(), "/v3/kv/put", &put("a", "1"));
    answer(kv.addr(), "/v3/kv/put", &put("a", "2"));
    kv.compact(2);
    let create = json!({ "create_request": { "key": b64("a"), "start_revision": "2" } });
    let watch = call(kv.addr(), "/v3/watch", &create).unwrap();
    let line = BufReader::new(watch).lines().nth(1).unwrap().unwrap();
    let message: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(message["result"]["canceled"], true);
    assert_eq!(message["result"]["compact_revision"], "2");
    kv.close();
}

#[test]
fn lost_and_late_writes() {
    let kv = keyvalue::KeyValue::start().unwrap();
    let faults = keyvalue::Faults {
        lost_answers: 1,
        lost_writes: 1,
        ..Default::default()
    };
    kv.set_faults(faults);
    assert!(call(kv.addr(), "/v3/kv/put", &put("a", "1")).is_err());
    assert_eq!(read(kv.addr(), "a")["value"], b64("1"));
    assert!(call(kv.addr(), "/v3/kv/put", &put("a", "2")).is_err());
    assert_eq!(read(kv.addr(), "a")["value"], b64("1"));
    kv.set_faults(keyvalue::Faults {
        late_writes: 1,
        late_by_ms: 100,
        ..Default::default()
    });
    assert!(call(kv.addr(), "/v3/kv/put", &put("a", "3")).is_err());
    assert_eq!(read(kv.addr(), "a")["value"], b64("1"));
    wait(|| read(kv.addr(), "a")["value"] == b64("3"));
    kv.close();
}

#[test]
fn outages_and_slowness() {
    let kv = keyvalue::KeyValue::start().unwrap();
    kv.set_faults(keyvalue::Faults {
        down: true,
        ..Default::default()
    });
    assert_eq!(
        call(kv.addr(), "/v3/kv/put", &put("a", "1"))
            .unwrap()
            .status()
            .as_u16(),
        503
    );
    kv.set_faults(keyvalue::Faults {
        refuse_connections: true,
        ..Default::default()
    });
    assert!(call(kv.addr(), "/v3/kv/put", &put("a", "1")).is_err());
    kv.set_faults(keyvalue::Faults {
        delay_ms: 60,
        ..Default::default()
    });
    let begin = Instant::now();
    assert!(read(kv.addr(), "a").is_null());
    assert!(begin.elapsed() >= Duration::from_millis(60));
    kv.close();
}

#[test]
fn host_list_lags() {
    let list = |version| topology::HostList {
        version,
        ..Default::default()
    };
    let hosts =
        host_list_server::HostListServer::start(Duration::from_millis(150), list(1)).unwrap();
    let get = || attohttpc::get(format!("http://{}/hosts", hosts.addr())).send();
    let version = || get().unwrap().json::<topology::HostList>().unwrap().version;
    hosts.set(list(2));
    assert_eq!(version(), 1);
    assert_eq!(hosts.latest().version, 2);
    wait(|| version() == 2);
    hosts.set_faults(host_list_server::Faults {
        down: true,
        ..Default::default()
    });
    assert_eq!(get().unwrap().status().as_u16(), 503);
    hosts.set_faults(host_list_server::Faults {
        cut: true,
        ..Default::default()
    });
    assert!(get().unwrap().json::<topology::HostList>().is_err());
    hosts.close();
}

#[test]
fn weight_store_shares_its_rate() {
    let store = weight_store::WeightStore::start(weight_store::Settings {
        models: [("m1".parse().unwrap(), units::ByteSize(500))].into(),
        rate: units::ByteSize(1000),
        ..Default::default()
    })
    .unwrap();
    let url = format!("http://{}/weights/m1", store.addr());
    let read = || attohttpc::get(&url).send().unwrap().status().as_u16();
    let mut statuses = thread::scope(|scope| {
        let reads = [scope.spawn(read), scope.spawn(read)];
        reads.map(|read| read.join().unwrap())
    });
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 429]);
    let missing = attohttpc::get(format!("http://{}/weights/m2", store.addr()))
        .send()
        .unwrap();
    assert_eq!(missing.status().as_u16(), 404);
    assert_eq!(store.counters().refused, 1);
    let engine = engine::Engine::start(engine::Settings {
        weight_store: Some(store.addr()),
        ..Default::default()
    })
    .unwrap();
    let command = json!({ "fence": 1, "order": { "load_model": "m1" } });
    answer(engine.addr(), "/orders", &command);
    wait(|| engine.state().models.len() == 1);
    assert_eq!(store.counters().reads.values().sum::<u64>(), 2);
    engine.close();
    store.close();
}

#[test]
fn many_stand_ins_in_one_process_close() {
    let start = |_| engine::Engine::start(engine::Settings::default()).unwrap();
    let engines: Vec<_> = (0..20).map(start).collect();
    let services: Vec<_> = (0..6)
        .map(|_| keyvalue::KeyValue::start().unwrap())
        .collect();
    let addr = engines[0].addr();
    engines.into_iter().for_each(engine::Engine::close);
    services.into_iter().for_each(keyvalue::KeyValue::close);
    wait(|| std::net::TcpStream::connect(addr).is_err());
}
