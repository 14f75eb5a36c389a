//! Another writer leaves a large entry among those of the replicas. Later the store cuts the watches.

use std::fs;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{self, End, PAYMENTS};
use crate::host::Host;
use crate::http::Connection;
use crate::replica::{Arrivals, Replica, Settings, Work};
use crate::store::Store;
use crate::{Lab, Verdict};

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Key of the entry. Keys have at most 200 bytes.
const KEY: &str = "servers/R&D-bench";
/// Bytes of its value, which cannot be read. Values have at most 1,048,576.
const VALUE_BYTES: usize = 1_000_000;
const MEMORY_KB: u64 = 260 << 10;
const PLAY: Duration = Duration::from_secs(40);
/// Time after which a process that has ended is started again.
const RESTART: Duration = Duration::from_millis(500);

pub fn play(lab: &Lab) -> Verdict {
    let record = &lab.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    store.put("op/config", &clients::configuration(7));
    let _replicas = start_replicas(lab, &arrivals, &store);
    let mut hosts: Vec<Host> = ZONES
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
    thread::sleep(Duration::from_secs(3));
    if lab.with_trouble {
        let value: Vec<u8> = (0..VALUE_BYTES).map(|i| (i * 31 % 251) as u8).collect();
        let revision = store.put_bytes(KEY, &value);
        record.add(format!("another writer writes {KEY}, revision {revision}"));
    }
    thread::sleep(Duration::from_secs(2));
    store.cut_watches(Duration::from_millis(1_000));
    record.add("the store cuts the watches that wait".to_owned());
    let mut ends = vec![0; hosts.len()];
    let (mut sent, mut served) = (0, 0);
    let end = Instant::now() + PLAY;
    let mut next_request = Instant::now();
    while Instant::now() < end {
        for (i, host) in hosts.iter_mut().enumerate() {
            let used = resident_kb(host.id());
            if used > MEMORY_KB {
                ends[i] += 1;
                record.add(format!(
                    "{} uses {used} kB, over its limit: it is killed",
                    host.name
                ));
                host.kill();
                thread::sleep(RESTART);
                host.restart(&lab.program);
                record.add(format!("{} is started again", host.name));
            }
        }
        if Instant::now() >= next_request {
            next_request = Instant::now() + Duration::from_millis(500);
            for host in &hosts {
                sent += 1;
                let Ok(mut connection) = Connection::open(host.callers) else {
                    continue;
                };
                let id = clients::request_id();
                let end = clients::approve(&mut connection, &id, record, &host.name);
                served += usize::from(end == End::Answered(200));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.add(format!(
        "ends of processes: {ends:?}; {served} of {sent} requests served"
    ));
    let often = ends.iter().filter(|count| **count >= 3).count();
    match often >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Memory of a process, in kB.
fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

fn start_replicas(lab: &Lab, arrivals: &Arrivals, store: &Store) -> Vec<Replica> {
    let replica = |n: usize| {
        let settings = Settings {
            id: format!("i-{:010x}", 0x7f3a_9100 + n),
            service: PAYMENTS.to_owned(),
            zone: ZONES[n % 3].to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            work: Work::Plain(Duration::from_millis(15)),
        };
        let replica = Replica::start(settings, &lab.record, arrivals);
        replica.write_entries(store, HEARTBEAT, Arc::new(AtomicBool::new(false)));
        thread::sleep(HEARTBEAT / 3);
        replica
    };
    (0..3).map(replica).collect()
}
