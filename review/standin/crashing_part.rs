//! A part behind many others of a prompt that crashes each replica which begins to answer on it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::fleet::Host;
use crate::http;
use crate::replica::{CRASHING_PART, Replica, Run, Spec, Work};
use crate::store::Store;
use crate::{Outcome, Setup};

/// Parts that all prompts of the caller begin with, as those of a chat that has gone on for a while.
const COMMON_PARTS: usize = 17;

/// Pause between two requests with the part that crashes replicas.
const CRASHING_PAUSE: Duration = Duration::from_millis(700);

/// Pause between two sound requests at each host.
const SOUND_PAUSE: Duration = Duration::from_millis(50);

const LENGTH: Duration = Duration::from_secs(40);

/// `contactMs` of the deployment, after the fifth crash.
const CONTACT: Duration = Duration::from_millis(3_000);
const CRASHES: usize = 5;

/// Requests that may still reach replicas then.
const ALLOWED: usize = 3;

pub fn crashing_part_behind_others(setup: &Setup) -> Outcome {
    let store = Store::start();
    configure(&store, &[DRAFT]);
    let runs: Runs = Arc::default();
    let replicas: Vec<Arc<Replica>> = (0..8)
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
    let common = std::env::var("COMMON_PARTS").ok();
    let common = common.and_then(|n| n.parse().ok()).unwrap_or(COMMON_PARTS);
    let is_over = AtomicBool::new(false);
    let (served, cut) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for (i, host) in hosts.iter().enumerate() {
            let (is_over, counts) = (&is_over, (&served, &cut));
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let host = host.clone();
                    scope.spawn(move || {
                        ask(setup, &format!("sound-{i}-{number}"), &host, common, counts)
                    });
                    thread::sleep(SOUND_PAUSE);
                }
            });
        }
        let start = Instant::now();
        thread::sleep(Duration::from_secs(3));
        let mut number = 0;
        while start.elapsed() < LENGTH {
            if setup.has_trouble {
                let host = hosts[number % hosts.len()].clone();
                let counts = (&served, &cut);
                scope.spawn(move || {
                    ask(setup, &format!("crashing-{number}"), &host, common, counts)
                });
            }
            number += 1;
            thread::sleep(CRASHING_PAUSE);
        }
        is_over.store(true, Ordering::SeqCst);
    });
    hosts.iter().for_each(|host| host.kill());
    let mut crashes: Vec<Instant> = replicas.iter().flat_map(|r| r.crashes()).collect();
    crashes.sort_unstable();
    let (served, cut) = (served.into_inner(), cut.into_inner());
    setup.record.note(&format!(
        "sound streams: {served} served, {cut} begun and cut off"
    ));
    judge(setup, &crashes, &runs)
}

/// Sends a request of the caller. A crashing one has the part before its last one.
fn ask(
    setup: &Setup,
    id: &str,
    host: &Host,
    common: usize,
    (served, cut): (&AtomicU64, &AtomicU64),
) {
    let is_crashing = id.starts_with("crashing");
    let mut parts: Vec<String> = (0..common).map(|i| format!("a{i}:40")).collect();
    if is_crashing {
        parts.push(format!("{CRASHING_PART}:60"));
    }
    parts.push(format!(
        "{:x}:130",
        id.bytes()
            .fold(7_u64, |n, b| n.wrapping_mul(31) + u64::from(b))
    ));
    let prompt = format!(
        "{},60\r\nX-Prompt-Prefix: {}",
        40 * common + 190,
        parts.join(",")
    );
    let head = fields(id, DRAFT.timeout_ms, Some(&prompt));
    let patience = Duration::from_secs(7);
    let answer = http::call(
        host.callers(),
        ("POST", "/offerta-draft/12/80"),
        &head,
        id.as_bytes(),
        patience,
    );
    let is_served = answer.status == 200 && answer.is_complete;
    if !is_served {
        note_answer(setup, id, &host.name, &answer);
    }
    if !is_crashing && is_served {
        served.fetch_add(1, Ordering::SeqCst);
    }
    if !is_crashing && answer.status == 200 && !answer.is_complete {
        cut.fetch_add(1, Ordering::SeqCst);
    }
}

/// BUDGET: more than three requests with a part that crashes replicas reach replicas, sent later than
/// `contactMs` after the fifth crash.
fn judge(setup: &Setup, crashes: &[Instant], runs: &Mutex<Vec<Run>>) -> Outcome {
    for at in crashes {
        setup.record.note_at(*at, "a replica crashes");
    }
    let runs = runs.lock().expect("unpoisoned");
    let reached: Vec<&Run> = runs
        .iter()
        .filter(|run| run.id.starts_with("crashing"))
        .collect();
    for run in &reached {
        setup
            .record
            .note_at(run.at, &format!("{} reaches {}", run.id, run.replica));
    }
    let from = crashes.get(CRASHES - 1).map(|at| *at + CONTACT);
    let late = reached
        .iter()
        .filter(|run| from.is_some_and(|from| run.at > from))
        .count();
    setup.record.note(&format!(
        "{} crashes; {} crashing requests reached replicas, {late} of them later than 3 s after the fifth crash",
        crashes.len(),
        reached.len()
    ));
    match late > ALLOWED {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
