//! Streams that clients take up after the host that served them is lost.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::fleet::Host;
use crate::http;
use crate::replica::{Replica, Spec, Work};
use crate::store::Store;
use crate::{Outcome, Setup};

/// The client that sends very many short parts of prompts, a few requests a second.
const SINGLE_CLIENT_PAUSE: Duration = Duration::from_millis(150);

/// Time from the start to the planned restart of two hosts, and between the two.
const RESTARTS_BEGIN: Duration = Duration::from_secs(15);

/// Time from the start of the restarted hosts to the streams, and from there to the loss of their host.
const STREAMS_BEGIN: Duration = Duration::from_secs(4);
const HOST_IS_LOST: Duration = Duration::from_secs(3);

/// Streams that run when the host is lost.
const TAKEN_UP: u32 = 24;

/// A client's attempts at a stream.
struct TakeUp {
    has_begun: bool,
    is_taken_up: bool,
    goes_on: bool,
}

pub fn streams_taken_up(setup: &Setup) -> Outcome {
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
            Replica::start(&store, spec, ["v1", "v2"][i / 3], &runs)
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
    let is_over = AtomicBool::new(false);
    let results: Mutex<Vec<TakeUp>> = Mutex::default();
    let mut why = None;
    thread::scope(|scope| {
        scope.spawn(|| send_parts(setup, &hosts, &is_over));
        thread::sleep(RESTARTS_BEGIN);
        for host in &hosts[1..] {
            setup.record.note(&format!("{} gets SIGTERM", host.name));
            host.terminate();
            thread::sleep(STOP_GAP);
        }
        for host in &hosts[1..] {
            while host.ended().is_none() {
                thread::sleep(Duration::from_millis(20));
            }
            host.spawn();
            setup
                .record
                .note(&format!("{} is started again", host.name));
        }
        for host in &hosts[1..] {
            if !host.wait_ready(READY_PATIENCE) {
                why = Some(format!("{} does not become ready", host.name));
            }
        }
        thread::sleep(STREAMS_BEGIN);
        for number in 0..TAKEN_UP {
            let (hosts, results) = (&hosts, &results);
            scope.spawn(move || {
                let result = stream_and_take_up(setup, number, hosts);
                results.lock().expect("unpoisoned").push(result);
            });
        }
        thread::sleep(HOST_IS_LOST);
        setup.record.note("front-a-1 is killed");
        hosts[0].kill();
        is_over.store(true, Ordering::SeqCst);
    });
    hosts.iter().for_each(|host| host.kill());
    match why {
        Some(why) => Outcome::NotRun(why),
        None => judge_take_ups(setup, &results.into_inner().expect("unpoisoned"), &runs),
    }
}

/// Sends requests of legal size with very many short parts, or as many with three parts.
fn send_parts(setup: &Setup, hosts: &[Arc<Host>], is_over: &AtomicBool) {
    let mut number: u64 = 0;
    while !is_over.load(Ordering::SeqCst) {
        let host = &hosts[number as usize % hosts.len()];
        let id = format!("parts-{number}");
        let parts = match setup.has_trouble {
            true => PARTS,
            false => 3,
        };
        let names = number * PARTS..number * PARTS + parts;
        let names: Vec<String> = names.map(|part| format!("{part:06x}:1")).collect();
        let usage = format!("{parts},20\r\nX-Prompt-Prefix: {}", names.join(","));
        let head = fields(&id, 3_000, Some(&usage));
        let answer = http::call(
            host.callers(),
            ("POST", "/offerta-draft/3/5"),
            &head,
            b"{}",
            Duration::from_secs(3),
        );
        if number % 20 == 0 || answer.status != 200 {
            let id = format!("{id} ({} bytes of head)", head.len());
            note_answer(setup, &id, &host.name, &answer);
        }
        number += 1;
        thread::sleep(SINGLE_CLIENT_PAUSE);
    }
    setup
        .record
        .note(&format!("{number} requests with parts were sent"));
}

/// Begins a stream at the first host, and takes it up at another one when it breaks.
fn stream_and_take_up(setup: &Setup, number: u32, hosts: &[Arc<Host>]) -> TakeUp {
    let prompt =
        format!("829,290\r\nX-Prompt-Prefix: a{number:x}:119,b{number:x}:580,c{number:x}:130");
    let first = format!("draft-{number}");
    let request = ("POST", "/offerta-draft/60/150");
    let deadline = Instant::now() + Duration::from_millis(DRAFT.timeout_ms);
    let head = fields(&first, DRAFT.timeout_ms, Some(&prompt));
    let patience = Duration::from_millis(DRAFT.timeout_ms);
    let begun = http::call(hosts[0].callers(), request, &head, b"{}", patience);
    note_answer(setup, &first, &hosts[0].name, &begun);
    let mut result = TakeUp {
        has_begun: begun.status == 200,
        is_taken_up: false,
        goes_on: false,
    };
    let Some(last) = last_event(&begun.body).filter(|_| !begun.is_complete) else {
        return result;
    };
    let left = deadline.saturating_duration_since(Instant::now());
    let host = &hosts[1 + number as usize % (hosts.len() - 1)];
    let id = format!("{first}-again");
    let prompt = format!("{prompt}\r\nLast-Event-Id: {last}\r\nResumes: {first}");
    let head = fields(&id, left.as_millis() as u64, Some(&prompt));
    let answer = http::call(host.callers(), request, &head, b"{}", left);
    let text = format!("{id} (after event {last})");
    note_answer(setup, &text, &host.name, &answer);
    if !answer.is_complete || answer.status != 200 {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        setup.record.note(&format!("{id}: {body}"));
    }
    result.is_taken_up = true;
    result.goes_on = answer.status == 200 && last_event(&answer.body) > Some(last);
    result
}

/// Id of the last complete event of a stream.
fn last_event(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let (whole, _) = text.rsplit_once("\n\n")?;
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.last()?.parse().ok()
}

/// LOST: of 12 or more streams that clients take up again, while two replicas of their software version
/// serve, the share that goes on is under half of the share of new streams that begin.
fn judge_take_ups(setup: &Setup, results: &[TakeUp], runs: &Runs) -> Outcome {
    let runs = runs.lock().expect("unpoisoned");
    for run in runs.iter().filter(|run| run.id.starts_with("draft-")) {
        let text = format!("{} runs at {} ({})", run.id, run.replica, run.version);
        setup.record.note_at(run.at, &text);
    }
    let count = |is: fn(&TakeUp) -> bool| results.iter().filter(|r| is(r)).count();
    let begun = count(|r| r.has_begun);
    let taken_up = count(|r| r.is_taken_up);
    let gone_on = count(|r| r.goes_on);
    setup.record.note(&format!(
        "{} streams, {begun} began, {taken_up} were taken up, {gone_on} of these went on",
        results.len()
    ));
    if taken_up < 12 {
        return Outcome::NotRun("fewer than 12 streams were taken up".to_owned());
    }
    let share_that_goes_on = gone_on as f64 / taken_up as f64;
    let share_that_begins = begun as f64 / results.len() as f64;
    match share_that_goes_on < share_that_begins / 2.0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
