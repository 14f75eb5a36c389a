//! The store comes back from a copy that is some seconds old. Later two replicas leave, under steady traffic.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clients::{self, End, MODELS, PAYMENTS};
use crate::host::Host;
use crate::replica::{Arrivals, Replica, Settings, Work};
use crate::store::Store;
use crate::{Lab, Verdict};

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_millis(2_000);

/// Age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(8_000);
const AWAY: Duration = Duration::from_millis(500);
/// Time from the store's return to the leaving of the first replica. Longer than `contactMs`, which is 3,000.
const CALM: Duration = Duration::from_millis(3_300);
/// Time between the replicas that leave.
const GAP: Duration = Duration::from_millis(300);
/// Time for which they serve on: many seconds.
const SERVE_ON: Duration = Duration::from_secs(20);

const PAYMENT_REPLICAS: usize = 3;
const MODEL_REPLICAS: usize = 18;
/// Positions of the replicas that leave: 2 of 18, a share of 0.11.
const LEAVING: [usize; 2] = [7, 14];
/// Pause of each host's client between two requests.
const PAUSE: Duration = Duration::from_millis(900);

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
    thread::sleep(CALM);
    let mut left = Vec::new();
    for position in LEAVING {
        let (replica, is_silent) = &replicas[position];
        // It does not report that it drains: its entry is removed, and its answers say that it leaves.
        is_silent.store(true, Ordering::SeqCst);
        replica.leave();
        let Some(revision) = store.remove(&replica.key()) else {
            return Verdict::CouldNotRun("the store did not take the removal".to_owned());
        };
        left.push((replica, record.now()));
        record.add(format!(
            "the entry of replica {} is removed, revision {revision}",
            replica.id()
        ));
        thread::sleep(GAP);
    }
    thread::sleep(SERVE_ON);
    for (replica, _) in &left {
        replica.end();
        record.add(format!("replica {} exits", replica.id()));
    }
    let (sent, failed) = traffic.stop();
    record.add(format!("{sent} requests, {failed} of them without success"));
    let mut is_broken = false;
    for (replica, left_at) in &left {
        let arrivals = arrivals.lock().unwrap();
        let late = arrivals
            .iter()
            .filter(|a| a.replica == replica.id() && a.at > *left_at + DRAIN);
        for arrival in late {
            is_broken = true;
            let after = (arrival.at - *left_at).as_millis();
            record.add(format!(
                "DRAIN: request {} reached replica {} {after} ms after the acknowledgement",
                arrival.request, arrival.replica
            ));
        }
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Replicas of payments and of models. Each writes its entry until its flag is set.
fn start_replicas(
    lab: &Lab,
    arrivals: &Arrivals,
    store: &Store,
) -> Vec<(Replica, Arc<AtomicBool>)> {
    let count = PAYMENT_REPLICAS + MODEL_REPLICAS;
    let mut replicas = Vec::new();
    for n in 0..count {
        let is_payment = n < PAYMENT_REPLICAS;
        let settings = Settings {
            id: format!("i-{:010x}", 0x7f3a_9100 + n),
            service: if is_payment { PAYMENTS } else { MODELS }.to_owned(),
            zone: ZONES[n % 3].to_owned(),
            version: "v1".to_owned(),
            slots: if is_payment { 6 } else { 64 },
            work: Work::Stream {
                events: 3,
                pause: Duration::from_millis(20),
                new_weights_at: None,
            },
        };
        let replica = Replica::start(settings, &lab.record, arrivals);
        let is_silent = Arc::new(AtomicBool::new(false));
        replica.write_entries(store, HEARTBEAT, is_silent.clone());
        replicas.push((replica, is_silent));
        thread::sleep(HEARTBEAT / count as u32);
    }
    replicas
}

/// One stream at a time at each host, with pauses.
struct Traffic {
    is_over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl Traffic {
    fn start(lab: &Lab, hosts: &[Host]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let clients = hosts.iter().map(|host| {
            let (callers, name) = (host.callers, host.name.clone());
            let (record, is_over) = (lab.record.clone(), is_over.clone());
            thread::spawn(move || {
                let (mut sent, mut failed) = (0, 0);
                while !is_over.load(Ordering::SeqCst) {
                    let id = clients::request_id();
                    let (end, _) = clients::ledger(callers, &id, &record, &name);
                    sent += 1;
                    failed += usize::from(end != End::Answered(200));
                    thread::sleep(PAUSE);
                }
                (sent, failed)
            })
        });
        Self {
            clients: clients.collect(),
            is_over,
        }
    }

    /// Returns the number of requests, and of those without success.
    fn stop(self) -> (usize, usize) {
        self.is_over.store(true, Ordering::SeqCst);
        let results = self
            .clients
            .into_iter()
            .map(|client| client.join().expect("a client"));
        results.fold((0, 0), |sum, result| (sum.0 + result.0, sum.1 + result.1))
    }
}
