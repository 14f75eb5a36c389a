//! A replica fails some of the requests that it has run, while its health check is good.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clients::{self, End, PAYMENTS};
use crate::host::Host;
use crate::http::Connection;
use crate::replica::{Arrivals, Replica, Settings, Work};
use crate::store::Store;
use crate::{Lab, Verdict};

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const WORK: Duration = Duration::from_millis(15);
/// One of them is grey: a share of 0.143.
const REPLICAS: usize = 7;
/// Status of the failures. They bear no `X-Not-Executed`.
const STATUS: u16 = 429;
const REQUESTS_PER_HOST: usize = 60;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn play(lab: &Lab) -> Verdict {
    let record = &lab.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    store.put("op/config", &clients::configuration(7));
    let _replicas = start_replicas(lab, &arrivals, &store);
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
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = hosts
        .iter()
        .map(|host| {
            let (callers, name, record) = (host.callers, host.name.clone(), record.clone());
            thread::spawn(move || {
                let mut promised = Vec::new();
                for _ in 0..REQUESTS_PER_HOST {
                    let mut id = clients::request_id();
                    // A client repeats a call that may run once only after a promise that it has not run.
                    for _ in 0..2 {
                        let Ok(mut connection) = Connection::open(callers) else {
                            break;
                        };
                        let end = clients::approve(&mut connection, &id, &record, &name);
                        match end {
                            End::Answered(status) if PROMISES.contains(&status) => {
                                promised.push((id, status));
                                id = clients::request_id();
                                record.add(format!("the client repeats it as request {id}"));
                            }
                            _ => break,
                        }
                    }
                    thread::sleep(Duration::from_millis(50));
                }
                promised
            })
        })
        .collect();
    let mut is_broken = false;
    for client in clients {
        for (id, status) in client.join().expect("a client") {
            let arrivals = arrivals.lock().unwrap();
            if arrivals.iter().any(|a| a.request == id && a.is_complete) {
                is_broken = true;
                record.add(format!(
                    "REFUSED: request {id} is answered {status} and has run"
                ));
            }
        }
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn start_replicas(lab: &Lab, arrivals: &Arrivals, store: &Store) -> Vec<Replica> {
    let replica = |n: usize| {
        let settings = Settings {
            id: format!("i-{:010x}", 0x7f3a_9100 + n),
            service: PAYMENTS.to_owned(),
            zone: ZONES[n % 3].to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            work: match n == 0 && lab.with_trouble {
                true => Work::Grey {
                    work: WORK,
                    status: STATUS,
                },
                false => Work::Plain(WORK),
            },
        };
        let replica = Replica::start(settings, &lab.record, arrivals);
        replica.write_entries(store, HEARTBEAT, Arc::new(AtomicBool::new(false)));
        thread::sleep(HEARTBEAT / REPLICAS as u32);
        replica
    };
    (0..REPLICAS).map(replica).collect()
}
