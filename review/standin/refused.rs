//! A call that another host runs, while the host that took it from its client stops.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::fleet::{Entry, Host, Way};
use crate::http::{self, Answer};
use crate::replica::{Replica, Spec, Work};
use crate::store::Store;
use crate::{Outcome, Setup};

const BOOKING: Route = Route {
    name: "assegna-cattedra",
    kind: "unsafe",
    service: "supplenze-app",
    timeout_ms: 3_000,
    aim_ms: 300,
    attempts: 1,
    resumes: false,
};

/// Streams that run while the hosts stop, as in ordinary traffic.
const REVIEW: Route = Route {
    name: "contratto-review",
    kind: "streaming",
    service: "pistacchio-llm",
    timeout_ms: 12_000,
    aim_ms: 1_200,
    attempts: 1,
    resumes: false,
};

/// What happens beside the bookings.
#[derive(Clone, Copy)]
enum Step {
    /// A host is stopped as planned.
    Stop(usize),
    /// Two hosts lose their ways to all replicas.
    Cut,
    /// Some streams begin.
    Reviews,
    /// The replicas send nothing for a second or so.
    Silence,
}

/// Time from the start to the first SIGTERM.
const FIRST_STOP: Duration = Duration::from_millis(2_000);

/// Times from the first SIGTERM.
const CUT_BEGINS: Duration = Duration::from_millis(1_600);
const REVIEWS_BEGIN: Duration = Duration::from_millis(2_600);
const SILENCE_BEGINS: Duration = Duration::from_millis(6_450);
const SILENCE: Duration = Duration::from_millis(1_300);

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// Pause between two bookings.
const BOOKING_PAUSE: Duration = Duration::from_millis(25);

pub fn refused_while_forwarded(setup: &Setup) -> Outcome {
    let store = Store::start();
    configure(&store, &[BOOKING, REVIEW]);
    let runs: Runs = Arc::default();
    let replicas: Vec<Arc<Replica>> = (0..6)
        .map(|i| {
            let spec = Spec {
                id: format!("{}-{i}", ["supplenze-app", "pistacchio-llm"][i / 3]),
                service: ["supplenze-app", "pistacchio-llm"][i / 3].to_owned(),
                zone: ["milano-a", "milano-b", "milano-c"][i % 3].to_owned(),
                slots: 64,
                work: match i / 3 {
                    0 => Work::Call {
                        time: Duration::from_millis(60),
                    },
                    _ => Work::Stream,
                },
            };
            Replica::start(&store, spec, "v1", &runs)
        })
        .collect();
    // The two hosts that are cut off later reach the replicas over ways of their own.
    let ways: Vec<Arc<Way>> = replicas.iter().map(|r| Way::open(r.addr)).collect();
    let shown = replicas
        .iter()
        .zip(&ways)
        .map(|(r, way)| (r.addr, way.addr));
    let (plain, over_ways) = (store.listen(Vec::new()), store.listen(shown.collect()));
    let names = [
        ("front-a-1", "milano-a"),
        ("front-a-2", "milano-a"),
        ("front-a-3", "milano-a"),
        ("front-b-1", "milano-b"),
        ("front-b-2", "milano-b"),
        ("front-c-1", "milano-c"),
    ];
    let is_cut_off = |name: &str| matches!(name, "front-a-1" | "front-a-2");
    let hosts = start_hosts(setup, &names, |name| match is_cut_off(name) {
        true => over_ways,
        false => plain,
    });
    let hosts = match hosts {
        Ok(hosts) => hosts,
        Err(outcome) => return outcome,
    };
    let entry = Entry::start(&hosts);
    let results: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let mut steps: Vec<(Duration, Step)> = vec![
        (FIRST_STOP, Step::Stop(0)),
        (FIRST_STOP + STOP_GAP, Step::Stop(1)),
        (FIRST_STOP + CUT_BEGINS, Step::Cut),
        (FIRST_STOP + REVIEWS_BEGIN, Step::Reviews),
        (FIRST_STOP + SILENCE_BEGINS, Step::Silence),
    ];
    let has_cut = std::env::var("PARTITION").as_deref() != Ok("0");
    let start = Instant::now();
    thread::scope(|scope| {
        for number in 0.. {
            let now = Instant::now();
            if now >= start + FIRST_STOP + GRACE {
                break;
            }
            for (_, step) in steps.extract_if(.., |(at, _)| now >= start + *at) {
                match step {
                    Step::Stop(i) if setup.has_trouble => {
                        setup
                            .record
                            .note(&format!("{} gets SIGTERM", hosts[i].name));
                        hosts[i].terminate();
                    }
                    Step::Cut if setup.has_trouble && has_cut => {
                        setup
                            .record
                            .note("front-a-1 and front-a-2 are partitioned from all replicas");
                        ways.iter().for_each(|way| way.cut());
                    }
                    Step::Stop(_) | Step::Cut => {}
                    Step::Reviews => {
                        for (i, host) in hosts[..3].iter().cycle().take(9).enumerate() {
                            scope.spawn(move || stream_review(setup, i, host));
                        }
                    }
                    Step::Silence => {
                        setup.record.note("the replicas are silent for 1.3 s");
                        replicas
                            .iter()
                            .for_each(|r| r.be_silent_until(now + SILENCE));
                    }
                }
            }
            let targets = entry.targets("milano-a");
            if !targets.is_empty() {
                let host = targets[(number as usize * 7) % targets.len()].clone();
                let results = results.clone();
                let entry = entry.clone();
                scope.spawn(move || send_booking(setup, number, &host, &entry, &results));
            }
            thread::sleep(BOOKING_PAUSE);
        }
    });
    hosts.iter().for_each(|host| host.kill());
    judge_refusals(setup, &results.lock().expect("unpoisoned"), &runs)
}

/// Streams a review of 50 events in 10 s.
fn stream_review(setup: &Setup, number: usize, host: &Host) {
    let id = format!("review-{number}");
    let prompt = format!("1311,200\r\nX-Prompt-Prefix: a{number:x}:512,b{number:x}:799");
    let head = fields(&id, REVIEW.timeout_ms, Some(&prompt));
    let patience = Duration::from_millis(REVIEW.timeout_ms);
    let answer = http::call(
        host.callers(),
        ("POST", "/contratto-review/50/200"),
        &head,
        b"{}",
        patience,
    );
    note_answer(setup, &id, &host.name, &answer);
}

/// Sends a booking, and once more where the first answer promises that it has not run.
fn send_booking(
    setup: &Setup,
    number: u32,
    host: &Arc<Host>,
    entry: &Entry,
    results: &Mutex<Vec<(String, Answer)>>,
) {
    let deadline = Instant::now() + Duration::from_millis(BOOKING.timeout_ms);
    let mut host = host.clone();
    for attempt in 0..2 {
        let left = deadline.saturating_duration_since(Instant::now());
        let id = format!("booking-{number}-{attempt}");
        setup.record.note(&format!("{id} is sent to {}", host.name));
        let head = fields(&id, left.as_millis() as u64, None);
        let answer = http::call(
            host.callers(),
            ("POST", "/assegna-cattedra/2f"),
            &head,
            b"{}",
            left,
        );
        note_answer(setup, &id, &host.name, &answer);
        let promises = implies_not_run(answer.status);
        let wait = answer
            .header("retry-after")
            .and_then(|t| t.parse::<f64>().ok());
        results.lock().expect("unpoisoned").push((id, answer));
        let left = deadline.saturating_duration_since(Instant::now());
        let wait = Duration::from_secs_f64(wait.unwrap_or(0.0)).min(left / 3);
        if !promises || left < Duration::from_millis(100) {
            return;
        }
        thread::sleep(wait);
        let targets = entry.targets("milano-a");
        let others: Vec<_> = targets.iter().filter(|h| h.name != host.name).collect();
        let Some(next) = others.last() else { return };
        host = (*next).clone();
    }
}

fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// REFUSED: a request that isn't idempotent is answered 429, 503, 408 or 421 and has run, or runs later.
fn judge_refusals(setup: &Setup, results: &[(String, Answer)], runs: &Runs) -> Outcome {
    let runs = runs.lock().expect("unpoisoned");
    let mut times_run: HashMap<&str, u32> = HashMap::new();
    for run in runs.iter() {
        setup
            .record
            .note_at(run.at, &format!("{} runs at {}", run.id, run.replica));
        *times_run.entry(&run.id).or_default() += 1;
    }
    let broken: Vec<&String> = results
        .iter()
        .filter(|(id, answer)| {
            implies_not_run(answer.status) && times_run.contains_key(id.as_str())
        })
        .map(|(id, _)| id)
        .collect();
    for id in &broken {
        setup.record.note(&format!(
            "REFUSED is broken: {id} was answered as not run, and has run"
        ));
    }
    let booking = |id: &str| id.rsplit_once('-').map(|(booking, _)| booking.to_owned());
    let mut by_booking: HashMap<String, u32> = HashMap::new();
    for run in runs.iter().filter(|run| run.id.starts_with("booking-")) {
        *by_booking
            .entry(booking(&run.id).unwrap_or_default())
            .or_default() += 1;
    }
    let twice = by_booking.values().filter(|n| **n > 1).count();
    let served = results.iter().filter(|(_, a)| a.status == 200).count();
    setup.record.note(&format!(
        "{} attempts, {served} served, {} refused though they ran; {twice} bookings were made twice, counting \
         their client's second attempt",
        results.len(),
        broken.len()
    ));
    match broken.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
