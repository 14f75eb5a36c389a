//! Processes that the platform ends, since they exceed the memory of their machines.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::fleet::Host;
use crate::http;
use crate::replica::{Replica, Spec, Work};
use crate::store::Store;
use crate::{Outcome, Setup};

/// Ends of processes, by host.
struct Ends {
    ends: Mutex<HashMap<String, u32>>,
    is_over: AtomicBool,
}

impl Ends {
    /// Kills a process whose memory exceeds that of its machine, as the platform does, and starts another one.
    fn watch(&self, setup: &Setup, host: &Host) {
        let mut peak = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            let resident = host.resident_mb();
            peak = peak.max(resident);
            let ended = host.ended();
            if resident <= MEMORY_MB && ended.is_none() {
                continue;
            }
            host.kill();
            let why = ended.unwrap_or(format!("over its memory with {resident} MiB"));
            setup
                .record
                .note(&format!("the process of {} ends: {why}", host.name));
            *self
                .ends
                .lock()
                .expect("unpoisoned")
                .entry(host.name.clone())
                .or_default() += 1;
            thread::sleep(Duration::from_millis(500));
            host.spawn();
        }
        setup
            .record
            .note(&format!("{}: at most {peak} MiB resident", host.name));
    }

    /// Fault: processes end three times on a tenth of the machines, two at least.
    fn judge(&self, setup: &Setup) -> Outcome {
        let ends = self.ends.lock().expect("unpoisoned");
        let often = ends.values().filter(|n| **n >= 3).count();
        setup.record.note(&format!("ends of processes: {ends:?}"));
        match often >= 2 {
            true => Outcome::Broken,
            false => Outcome::Held,
        }
    }

    fn has_failed(&self) -> bool {
        let ends = self.ends.lock().expect("unpoisoned");
        ends.values().filter(|n| **n >= 3).count() >= 2
    }
}

/// Ordinary requests at each host, ten a second, and what came of them.
fn ask_ordinarily(
    setup: &Setup,
    host: &Host,
    is_over: &AtomicBool,
    counts: &Mutex<HashMap<&'static str, u64>>,
) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("draft-{}-{number}", host.name);
        let prompt = format!(
            "829,290\r\nX-Prompt-Prefix: a1:119,b{:x}:580,{number:x}c:130",
            number % 145
        );
        let head = fields(&id, 3_000, Some(&prompt));
        let patience = Duration::from_secs(3);
        let answer = http::call(
            host.callers(),
            ("POST", "/offerta-draft/3/5"),
            &head,
            b"{}",
            patience,
        );
        let is_served = answer.status == 200 && answer.is_complete;
        if !is_served {
            note_answer(setup, &id, &host.name, &answer);
        }
        let kind = if is_served { "served" } else { "not served" };
        *counts.lock().expect("unpoisoned").entry(kind).or_default() += 1;
        thread::sleep(Duration::from_millis(100));
    }
}

/// Clients that send requests of legal size, each with very many short parts of a prompt.
const CROWD_CLIENTS: usize = 15;
const CROWD_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_RUN: Duration = Duration::from_secs(95);

pub fn many_prompt_parts(setup: &Setup) -> Outcome {
    let store = Store::start();
    configure(&store, &[DRAFT]);
    let runs: Runs = Arc::default();
    let _replicas: Vec<Arc<Replica>> = (0..6)
        .map(|i| {
            let spec = Spec {
                id: format!("pistacchio-llm-{i}"),
                service: "pistacchio-llm".to_owned(),
                zone: ["milano-a", "milano-b", "milano-c"][i % 3].to_owned(),
                slots: 64,
                work: Work::Stream,
            };
            Replica::start(&store, spec, "v1", &runs)
        })
        .collect();
    let listener = store.listen(Vec::new());
    let names = [
        ("front-a-1", "milano-a"),
        ("front-b-1", "milano-b"),
        ("front-c-1", "milano-c"),
    ];
    let hosts = match start_hosts(setup, &names, |_| listener) {
        Ok(hosts) => hosts,
        Err(outcome) => return outcome,
    };
    let ends = Ends {
        ends: Mutex::default(),
        is_over: AtomicBool::new(false),
    };
    let counts = Mutex::default();
    let next_part = AtomicU64::new(0);
    let crowd = AtomicU64::new(0);
    thread::scope(|scope| {
        for host in &hosts {
            scope.spawn(|| ends.watch(setup, host));
            scope.spawn(|| ask_ordinarily(setup, host, &ends.is_over, &counts));
        }
        for client in 0..CROWD_CLIENTS {
            let (ends, next_part, host, crowd) =
                (&ends, &next_part, &hosts[client % hosts.len()], &crowd);
            scope.spawn(move || {
                let mut number = 0;
                while !ends.is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("crowd-{client}-{number}");
                    let head = match setup.has_trouble {
                        true => {
                            let first = next_part.fetch_add(PARTS, Ordering::SeqCst);
                            let parts = first..first + PARTS;
                            let parts = parts.map(|part| format!("{:06x}:1", part % (1 << 24)));
                            let parts: Vec<String> = parts.collect();
                            let usage =
                                format!("{PARTS},20\r\nX-Prompt-Prefix: {}", parts.join(","));
                            fields(&id, 3_000, Some(&usage))
                        }
                        false => fields(
                            &id,
                            3_000,
                            Some("829,290\r\nX-Prompt-Prefix: a1:119,b2:580,c3:130"),
                        ),
                    };
                    let patience = Duration::from_secs(3);
                    let answer = http::call(
                        host.callers(),
                        ("POST", "/offerta-draft/3/5"),
                        &head,
                        b"{}",
                        patience,
                    );
                    if number % 100 == 1 || answer.status != 200 {
                        note_answer(
                            setup,
                            &format!("{id} ({} bytes of head)", head.len()),
                            &host.name,
                            &answer,
                        );
                    }
                    if answer.status != 200 {
                        thread::sleep(Duration::from_millis(200));
                    }
                    crowd.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(CROWD_PAUSE);
                }
            });
        }
        let end = Instant::now() + LONGEST_RUN;
        while Instant::now() < end && !ends.has_failed() {
            thread::sleep(Duration::from_millis(100));
        }
        ends.is_over.store(true, Ordering::SeqCst);
    });
    hosts.iter().for_each(|host| host.kill());
    let counts = counts.into_inner().expect("unpoisoned");
    let sent = crowd.load(Ordering::SeqCst);
    setup.record.note(&format!(
        "{sent} requests of the crowd, ordinary ones: {counts:?}"
    ));
    ends.judge(setup)
}
