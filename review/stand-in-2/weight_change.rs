//! A host stops as planned while replicas change the version of their weights in the middle of streams.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clients::{self, End, MODELS};
use crate::host::Host;
use crate::replica::{Arrivals, Replica, Settings, Work};
use crate::store::Store;
use crate::{Lab, Verdict};

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const EVENTS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(200);
/// Event of each stream at which the version of the weights changes.
const NEW_WEIGHTS_AT: u32 = 10;
const STREAMS_PER_HOST: usize = 4;

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
        .flat_map(|host| (0..STREAMS_PER_HOST).map(move |_| host))
        .map(|host| {
            let (callers, name, record) = (host.callers, host.name.clone(), record.clone());
            thread::spawn(move || {
                let id = clients::request_id();
                let (end, events) = clients::ledger(callers, &id, &record, &name);
                (name, id, end, events)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let stopped = &hosts[0];
    stopped.signal("TERM");
    record.add(format!("{} gets SIGTERM", stopped.name));
    let mut is_broken = false;
    for client in clients {
        let (name, id, end, events) = client.join().expect("a client");
        let is_whole = end == End::Answered(200) && events == EVENTS;
        let has_run = arrivals.lock().unwrap().iter().any(|a| a.request == id);
        if !is_whole && has_run && name == stopped.name {
            is_broken = true;
            record.add(format!(
                "LOST: request {id} at {name} was passed on and ends after {events} of {EVENTS} events: {end:?}"
            ));
        } else if !is_whole {
            record.add(format!(
                "request {id} at {name} ends after {events} events: {end:?}"
            ));
        }
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn start_replicas(lab: &Lab, arrivals: &Arrivals, store: &Store) -> Vec<Replica> {
    let mut replicas = Vec::new();
    for n in 0..6 {
        let settings = Settings {
            id: format!("i-{:010x}", 0x7f3a_9100 + n),
            service: MODELS.to_owned(),
            zone: ZONES[n % 3].to_owned(),
            version: "v1".to_owned(),
            slots: 64,
            work: Work::Stream {
                events: EVENTS,
                pause: PAUSE,
                new_weights_at: lab.with_trouble.then_some(NEW_WEIGHTS_AT),
            },
        };
        let replica = Replica::start(settings, &lab.record, arrivals);
        replica.write_entries(store, HEARTBEAT, Arc::new(AtomicBool::new(false)));
        replicas.push(replica);
        thread::sleep(HEARTBEAT / 6);
    }
    replicas
}
