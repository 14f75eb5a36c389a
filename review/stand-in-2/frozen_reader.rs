//! A host freezes while it reads an answer that has no length. The replica cuts the answer off, since it
//! stays unread.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{self, PAYMENTS};
use crate::host::Host;
use crate::replica::{self, Arrivals, Replica, Settings, Work};
use crate::store::Store;
use crate::{Lab, Verdict};

const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];
/// One of them freezes: a share of 0.1.
const HOSTS: usize = 10;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const ANSWER_BYTES: usize = 500_000;
/// Time for which the replica lets an answer stay unread: some seconds.
const PATIENCE: Duration = Duration::from_millis(2_500);
const FREEZE: Duration = Duration::from_millis(4_000);
/// Time after which a host that was frozen is in touch again.
const CONTACT: Duration = Duration::from_millis(4_000);
const ROUNDS: usize = 3;

pub fn play(lab: &Lab) -> Verdict {
    let record = &lab.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    store.put("op/config", &clients::configuration(7));
    let _replicas = start_replicas(lab, &arrivals, &store);
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|i| {
            let zone = ZONES[i % ZONES.len()];
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
    let host = &hosts[0];
    thread::sleep(Duration::from_secs(3));
    let whole = replica::report(ANSWER_BYTES);
    let mut is_broken = false;
    for _ in 0..ROUNDS {
        let id = clients::request_id();
        let client = {
            let (callers, name, id) = (host.callers, host.name.clone(), id.clone());
            let record = record.clone();
            thread::spawn(move || clients::balance(callers, &id, &record, &name))
        };
        if !wait_for_arrival(&arrivals, &id) {
            return Verdict::CouldNotRun("a request did not reach a replica".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
        if lab.with_trouble {
            host.signal("STOP");
            record.add(format!("{} freezes", host.name));
            thread::sleep(FREEZE);
            host.signal("CONT");
            record.add(format!("{} wakes", host.name));
        }
        if let Some((head, body)) = client.join().expect("a client")
            && head.status() == 200
            && body != whole
        {
            is_broken = true;
            record.add(format!(
                "MIXED: request {id} has a success with {} of the {} bytes of the replica's body",
                body.len(),
                whole.len(),
            ));
        }
        // The host is in touch again before the next round.
        thread::sleep(CONTACT + Duration::from_millis(500));
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn wait_for_arrival(arrivals: &Arrivals, id: &str) -> bool {
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        if arrivals.lock().unwrap().iter().any(|a| a.request == id) {
            return true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    false
}

fn start_replicas(lab: &Lab, arrivals: &Arrivals, store: &Store) -> Vec<Replica> {
    let replica = |n: u32| {
        let settings = Settings {
            id: format!("i-{:010x}", 0x7f3a_9100 + n),
            service: PAYMENTS.to_owned(),
            zone: ZONES[n as usize % ZONES.len()].to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            work: Work::Unframed {
                bytes: ANSWER_BYTES,
                patience: PATIENCE,
            },
        };
        let replica = Replica::start(settings, &lab.record, arrivals);
        replica.write_entries(store, HEARTBEAT, Arc::new(AtomicBool::new(false)));
        thread::sleep(HEARTBEAT / 3);
        replica
    };
    (0..3).map(replica).collect()
}
