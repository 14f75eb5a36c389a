//! The store comes back from a copy that is some seconds old. Later a replica leaves.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clients::{self, End, MODELS, PAYMENTS};
use crate::host::Host;
use crate::http::Connection;
use crate::replica::{Arrivals, Replica, Settings, Work};
use crate::store::Store;
use crate::{Lab, Verdict};

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// Age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(8_000);
const AWAY: Duration = Duration::from_millis(500);
/// Time from the store's return to the leaving of a replica.
const CALM: Duration = Duration::from_millis(3_500);
/// Time from the acknowledgement of the leaving to the requests.
const UNTIL_REQUESTS: Duration = Duration::from_millis(2_300);
/// Time from the acknowledgement to the end of the replica that leaves.
const UNTIL_EXIT: Duration = Duration::from_millis(2_500);
const REQUESTS_PER_HOST: usize = 8;

pub fn play(lab: &Lab) -> Verdict {
    let record = &lab.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    store.put("op/config", &clients::configuration(7));
    let replicas = start_replicas(lab, &arrivals, &store);
    let hosts: Vec<Host> = ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            Host::start(
                &format!("front-{i}"),
                zone,
                &store,
                &lab.folder,
                &lab.program,
            )
        })
        .collect();
    if !hosts
        .iter()
        .all(|host| host.wait_until_ready(Duration::from_secs(10)))
    {
        return Verdict::CouldNotRun("a host did not get ready".to_owned());
    }
    let traffic = Traffic::start(lab, &hosts);
    thread::sleep(Duration::from_secs(3));
    let copy = store.copy();
    record.add(format!(
        "the copy is made, at revision {}",
        store.revision()
    ));
    thread::sleep(COPY_AGE);
    if lab.with_trouble {
        record.add(format!(
            "the store goes away, at revision {}",
            store.revision()
        ));
        store.go_down();
        thread::sleep(AWAY);
        store.come_back_from(copy);
        record.add(format!(
            "the store is back from the copy, at revision {}",
            store.revision()
        ));
        store.put("op/config", &clients::configuration(7));
        for (replica, _) in &replicas {
            store.put(&replica.key(), &replica.entry());
        }
        record.add(format!(
            "operator and replicas have written again: {}",
            store.revision()
        ));
    }
    assert!(CALM >= CONTACT + Duration::from_millis(100));
    thread::sleep(CALM);
    let failed_before = traffic.stop();
    let (leaving, is_silent) = &replicas[2];
    // It does not report that it drains: its entry is removed, and its answers say that it leaves.
    is_silent.store(true, Ordering::SeqCst);
    leaving.leave();
    let Some(revision) = store.remove(&leaving.key()) else {
        return Verdict::CouldNotRun("the store did not take the removal".to_owned());
    };
    let left_at = record.now();
    record.add(format!(
        "the entry of replica {} is removed, revision {revision}",
        leaving.id()
    ));
    thread::sleep(UNTIL_REQUESTS);
    let clients: Vec<_> = hosts
        .iter()
        .flat_map(|host| (0..REQUESTS_PER_HOST).map(move |_| host))
        .map(|host| {
            let (callers, name, record) = (host.callers, host.name.clone(), record.clone());
            thread::spawn(move || {
                let Ok(mut connection) = Connection::open(callers) else {
                    return End::NoAnswer;
                };
                clients::approve(&mut connection, &clients::request_id(), &record, &name)
            })
        })
        .collect();
    thread::sleep((left_at + UNTIL_EXIT).saturating_sub(record.now()));
    leaving.end();
    record.add(format!("replica {} exits", leaving.id()));
    let ends: Vec<End> = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .collect();
    let failed = ends
        .iter()
        .filter(|end| **end != End::Answered(200))
        .count();
    let late: Vec<_> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.replica == leaving.id() && a.at > left_at + DRAIN)
        .cloned()
        .collect();
    for arrival in &late {
        let after = (arrival.at - left_at).as_millis();
        record.add(format!(
            "DRAIN: request {} reached replica {} {after} ms after the acknowledgement, complete: {}",
            arrival.request, arrival.replica, arrival.is_complete
        ));
    }
    record.add(format!(
        "{} requests in the end, {failed} of them without success; {failed_before} failed before",
        ends.len()
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Three replicas of payments and nine of models. Each writes its entry until its flag is set.
fn start_replicas(
    lab: &Lab,
    arrivals: &Arrivals,
    store: &Store,
) -> Vec<(Replica, Arc<AtomicBool>)> {
    let mut replicas = Vec::new();
    for n in 0..12 {
        let is_payment = n < 3;
        let settings = Settings {
            id: format!("i-{:010x}", 0x7f3a_9100 + n),
            service: if is_payment { PAYMENTS } else { MODELS }.to_owned(),
            zone: ZONES[n % 3].to_owned(),
            version: "v1".to_owned(),
            slots: if is_payment { 6 } else { 64 },
            work: Work::Plain(Duration::from_millis(300)),
        };
        let replica = Replica::start(settings, &lab.record, arrivals);
        let is_silent = Arc::new(AtomicBool::new(false));
        replica.write_entries(store, HEARTBEAT, is_silent.clone());
        replicas.push((replica, is_silent));
        thread::sleep(HEARTBEAT / 12);
    }
    replicas
}

/// One request at a time at each host, with pauses.
struct Traffic {
    is_over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<usize>>,
}

impl Traffic {
    fn start(lab: &Lab, hosts: &[Host]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let clients = hosts.iter().map(|host| {
            let (callers, name) = (host.callers, host.name.clone());
            let (record, is_over) = (lab.record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut failed = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let end = match Connection::open(callers) {
                        Err(_) => End::NoAnswer,
                        Ok(mut connection) => {
                            let id = clients::request_id();
                            clients::approve(&mut connection, &id, &record, &name)
                        }
                    };
                    failed += usize::from(end != End::Answered(200));
                    thread::sleep(Duration::from_millis(400));
                }
                failed
            })
        });
        Self {
            clients: clients.collect(),
            is_over,
        }
    }

    /// Returns the number of requests without success.
    fn stop(self) -> usize {
        self.is_over.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .map(|client| client.join().expect("a client"))
            .sum()
    }
}
