//! Replicas that start again with other software, one after the other, while the store is down.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::http::{self, Answer};
use crate::replica::{Replica, Spec, Work};
use crate::store::{Mode, Store};
use crate::{Outcome, Setup};

const STREAMS: u32 = 48;
const EVENTS: u64 = 60;

/// Replicas, and how many of them are replaced, one after the other.
const REPLICAS: usize = 8;
const REPLACED: usize = 4;
const RELEASE_GAP: Duration = Duration::from_millis(1_500);

/// Length of the outage of the store.
const OUTAGE: Duration = Duration::from_secs(8);

/// Short streams before and beside them, as in ordinary traffic.
const SHORT_STREAMS: u32 = 400;

pub fn streams_of_two_versions(setup: &Setup) -> Outcome {
    let store = Store::start();
    configure(&store, &[DRAFT]);
    let runs: Runs = Arc::default();
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
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
    let results: Mutex<Vec<(String, Answer)>> = Mutex::default();
    thread::scope(|scope| {
        for number in 0..SHORT_STREAMS {
            let host = &hosts[number as usize % hosts.len()];
            scope.spawn(move || {
                let id = format!("short-{number}");
                let prompt = format!(
                    "829,20\r\nX-Prompt-Prefix: a{number:x}:119,d{number:x}:580,e{number:x}:130"
                );
                let head = fields(&id, DRAFT.timeout_ms, Some(&prompt));
                let patience = Duration::from_secs(4);
                let answer = http::call(
                    host.callers(),
                    ("POST", "/offerta-draft/5/20"),
                    &head,
                    b"{}",
                    patience,
                );
                if answer.status != 200 {
                    note_answer(setup, &id, &host.name, &answer);
                }
            });
            thread::sleep(Duration::from_millis(10));
        }
        for number in 0..STREAMS {
            let (host, results) = (&hosts[number as usize % hosts.len()], &results);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(10) * number);
                let id = format!("draft-{number}");
                setup.record.note(&format!("{id} is sent to {}", host.name));
                let prompt = format!(
                    "829,290\r\nX-Prompt-Prefix: a{number:x}:119,b{number:x}:580,c{number:x}:130"
                );
                let head = fields(&id, DRAFT.timeout_ms, Some(&prompt));
                let patience = Duration::from_millis(DRAFT.timeout_ms);
                let answer = http::call(
                    host.callers(),
                    ("POST", "/offerta-draft/60/150"),
                    &head,
                    b"{}",
                    patience,
                );
                note_answer(setup, &id, &host.name, &answer);
                results.lock().expect("unpoisoned").push((id, answer));
            });
        }
        thread::sleep(Duration::from_millis(600));
        let outage_ends = Instant::now() + OUTAGE;
        if setup.has_trouble {
            setup.record.note("the store is down for 8 s");
            store.set_mode(Mode::Silent);
        }
        thread::sleep(Duration::from_millis(300));
        for replica in &replicas[..REPLACED] {
            setup
                .record
                .note(&format!("{} starts again as v2", replica.spec.id));
            let is_written = replica.start_again("v2", Duration::from_millis(100));
            let text = format!(
                "{} is up as v2; its entry is written: {is_written}",
                replica.spec.id
            );
            setup.record.note(&text);
            thread::sleep(RELEASE_GAP);
        }
        thread::sleep(outage_ends.saturating_duration_since(Instant::now()));
        store.set_mode(Mode::Serving);
        setup.record.note("the store is up");
    });
    hosts.iter().for_each(|host| host.kill());
    judge_streams(setup, &results.lock().expect("unpoisoned"), &runs)
}

/// ORDER: more than two streams hold events from replicas of two software versions.
fn judge_streams(setup: &Setup, results: &[(String, Answer)], runs: &Runs) -> Outcome {
    for run in runs.lock().expect("unpoisoned").iter() {
        let text = format!("{} runs at {} ({})", run.id, run.replica, run.version);
        setup.record.note_at(run.at, &text);
    }
    let mut mixed = 0;
    let mut complete = 0;
    for (id, answer) in results {
        let body = String::from_utf8_lossy(&answer.body);
        let versions: Vec<&str> = body
            .lines()
            .filter_map(|line| line.strip_prefix("data: ")?.split(' ').next())
            .collect();
        let distinct: HashSet<&str> = versions.iter().copied().collect();
        let first_other = versions.iter().position(|v| *v != versions[0]);
        complete += u32::from(answer.is_complete && versions.len() as u64 == EVENTS);
        if distinct.len() > 1 {
            mixed += 1;
            let at = first_other.unwrap_or(0) + 1;
            setup.record.note(&format!(
                "{id} holds events of v1 and, from event {at} on, of v2"
            ));
        }
    }
    let total = results.len();
    setup.record.note(&format!(
        "{total} streams, {complete} complete, {mixed} with events of two versions"
    ));
    match mixed > 2 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
