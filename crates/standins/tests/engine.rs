//! The engine stand-in over sockets, with each of its faults.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::engine;
use serde_json::{Value, json};

fn start(change: impl FnOnce(&mut engine::Settings)) -> engine::Engine {
    let mut cfg = engine::Settings {
        models: vec!["m1".parse().expect("the model name is valid")],
        answer_tokens: 5,
        ..engine::Settings::default()
    };
    change(&mut cfg);
    engine::Engine::start(cfg).expect("the engine starts")
}

fn chat(
    addr: SocketAddr,
    id: &str,
    body: &Value,
) -> attohttpc::RequestBuilder<impl attohttpc::body::Body + use<>> {
    attohttpc::post(format!("http://{addr}/v1/chat/completions"))
        .header("x-request-id", id)
        .timeout(Duration::from_secs(10))
        .json(body)
        .expect("the body serializes")
}

fn prompt(text: &str, stream: bool) -> Value {
    json!({ "model": "m1", "stream": stream, "messages": [{ "role": "user", "content": text }] })
}

fn get(addr: SocketAddr, path: &str) -> Value {
    let answer = attohttpc::get(format!("http://{addr}{path}"))
        .send()
        .expect("the engine answers");
    answer.json().expect("the answer is JSON")
}

/// All events of a stream until it ends or is cut: id, data and arrival time of each.
fn events(resp: attohttpc::Response) -> Vec<(Option<u32>, String, Instant)> {
    read_events(&mut BufReader::new(resp), usize::MAX)
}

/// Up to `max` next events of a stream, fewer if it ends or is cut.
fn read_events<R>(reader: &mut R, max: usize) -> Vec<(Option<u32>, String, Instant)>
where
    R: BufRead,
{
    let mut events = Vec::new();
    let mut id = None;
    for line in reader.lines() {
        let Ok(line) = line else { break };
        if let Some(text) = line.strip_prefix("id: ") {
            id = text.parse().ok();
        } else if let Some(data) = line.strip_prefix("data: ") {
            events.push((id.take(), data.to_owned(), Instant::now()));
            if events.len() == max {
                break;
            }
        }
    }
    events
}

fn content(data: &str) -> Option<String> {
    let chunk: Value = serde_json::from_str(data).ok()?;
    chunk["choices"][0]["delta"]["content"]
        .as_str()
        .map(str::to_owned)
}

fn text(events: &[(Option<u32>, String, Instant)]) -> String {
    events
        .iter()
        .filter_map(|(_, data, _)| content(data))
        .collect()
}

#[test]
fn complete_answer_with_usage() {
    let engine = start(|_| {});
    let answer: Value = chat(engine.addr(), "a", &prompt("hello", false))
        .send()
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        "a.1.1 a.1.2 a.1.3 a.1.4 a.1.5 "
    );
    assert_eq!(answer["usage"]["completion_tokens"], 5);
    assert_eq!(answer["usage"]["prompt_tokens"], 3);
    assert_eq!(engine.counters().runs["a"], 1);
    assert_eq!(get(engine.addr(), "/v1/models")["data"][0]["id"], "m1");
    engine.close();
}

#[test]
fn stream_sends_each_token_as_it_is_generated() {
    let engine = start(|cfg| cfg.token_time = Duration::from_millis(50));
    let mut body = prompt("hello", true);
    body["stream_options"] = json!({ "include_usage": true });
    let events = events(chat(engine.addr(), "a", &body).send().unwrap());
    let ids: Vec<_> = events.iter().map(|(id, _, _)| *id).collect();
    assert_eq!(
        ids,
        [
            Some(1),
            Some(2),
            Some(3),
            Some(4),
            Some(5),
            Some(6),
            Some(7),
            None
        ]
    );
    assert_eq!(events.last().unwrap().1, "[DONE]");
    assert!(events[4].2 - events[0].2 >= Duration::from_millis(100));
    let usage: Value = serde_json::from_str(&events[6].1).unwrap();
    assert_eq!(usage["usage"]["total_tokens"], 8);
    engine.close();
}

#[test]
fn cut_stream_is_resumed_as_the_same_run() {
    let engine = start(|_| {});
    engine.set_faults(engine::Faults {
        cut_after_tokens: Some(2),
        times: Some(1),
        ..engine::Faults::default()
    });
    let first = events(
        chat(engine.addr(), "a", &prompt("hello", true))
            .send()
            .unwrap(),
    );
    assert_eq!(first.len(), 2);
    let rest = chat(engine.addr(), "a", &prompt("hello", true)).header("last-event-id", "2");
    let rest = events(rest.send().unwrap());
    assert_eq!(
        text(&first) + &text(&rest),
        "a.1.1 a.1.2 a.1.3 a.1.4 a.1.5 "
    );
    assert_eq!(rest.last().unwrap().1, "[DONE]");
    let counters = engine.counters();
    assert_eq!(
        (counters.runs["a"], counters.resumes, counters.tokens),
        (1, 1, 5)
    );
    let unknown = chat(engine.addr(), "b", &prompt("hello", true)).header("last-event-id", "2");
    let unknown = unknown.send().unwrap();
    assert_eq!(unknown.status().as_u16(), 409);
    assert_eq!(unknown.headers()["x-outcome"], "not_run");
    engine.close();
}

#[test]
fn full_queue_refuses_before_running() {
    let engine = start(|cfg| {
        cfg.slots = 1;
        cfg.queue = 0;
    });
    let mut long = prompt("hello", true);
    long["max_tokens"] = json!(10_000);
    let running = chat(engine.addr(), "long", &long).send().unwrap();
    // Waits for the first event: if the cancellation below arrives before it, the stream has no
    // events at all.
    let mut running = BufReader::new(running);
    assert_eq!(read_events(&mut running, 1).len(), 1);
    let refused = chat(engine.addr(), "b", &prompt("hello", false))
        .send()
        .unwrap();
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["x-outcome"], "not_run");
    assert!(!engine.counters().runs.contains_key("b"));
    assert_eq!(get(engine.addr(), "/load")["running"], 1);
    let cancelled = attohttpc::delete(format!("http://{}/v1/requests/long", engine.addr()));
    assert_eq!(cancelled.send().unwrap().status().as_u16(), 200);
    let rest = read_events(&mut running, usize::MAX);
    assert!(rest.iter().all(|(_, data, _)| data != "[DONE]"));
    assert_eq!(engine.counters().cancels, 1);
    engine.close();
}

#[test]
fn higher_priority_requests_leave_the_queue_first() {
    let engine = start(|cfg| {
        cfg.slots = 1;
        cfg.token_time = Duration::from_millis(40);
    });
    let addr = engine.addr();
    let first = chat(addr, "first", &prompt("x", true)).send().unwrap();
    let wait = |id: &'static str, priority: &'static str, queued: u64| {
        let thread = thread::spawn(move || {
            let req = chat(addr, id, &prompt("x", false)).header("x-priority", priority);
            let answer: Value = req.send().unwrap().json().unwrap();
            answer["choices"][0]["message"]["content"]
                .as_str()
                .unwrap()
                .to_owned()
        });
        while get(addr, "/load")["queued"] != queued {
            thread::sleep(Duration::from_millis(2));
        }
        thread
    };
    let low = wait("low", "1", 1);
    let high = wait("high", "9", 2);
    assert!(high.join().unwrap().starts_with("high.2."));
    assert!(low.join().unwrap().starts_with("low.3."));
    drop(first);
    engine.close();
}

#[test]
fn caller_disconnect_cancels_the_run() {
    let engine = start(|_| {});
    let mut long = prompt("hello", true);
    long["max_tokens"] = json!(10_000);
    drop(chat(engine.addr(), "a", &long).send().unwrap());
    let deadline = Instant::now() + Duration::from_secs(5);
    while engine.counters().cancels == 0 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(engine.counters().cancels, 1);
    assert!(engine.counters().tokens < 10_000);
    engine.close();
}

#[test]
fn prefix_cache_is_bounded_and_publishes_events_with_gaps() {
    let engine = start(|cfg| {
        cfg.cache_blocks = 8;
        cfg.dropped_events_per_mille = 300;
        cfg.seed = 7;
    });
    for i in 0..20 {
        let text = format!("{i:04}").repeat(64);
        let sent = chat(engine.addr(), "a", &prompt(&text, false))
            .send()
            .unwrap();
        assert_eq!(sent.status().as_u16(), 200);
    }
    let again = "0019".repeat(64);
    let answer: Value = chat(engine.addr(), "a", &prompt(&again, false))
        .send()
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(
        answer["usage"]["prompt_tokens_details"]["cached_tokens"],
        64
    );
    let snapshot = get(engine.addr(), "/cache/snapshot");
    assert_eq!(snapshot["blocks"].as_array().unwrap().len(), 8);
    let published = get(engine.addr(), "/cache/events?after=0");
    let published = published["events"].as_array().unwrap();
    let last = published.last().unwrap()["seq"].as_u64().unwrap();
    assert!(
        published.len() < last as usize,
        "events {} of {last}",
        published.len()
    );
    let after = get(engine.addr(), &format!("/cache/events?after={last}"));
    assert_eq!(after["events"].as_array().unwrap().len(), 0);
    engine.close();
}

#[test]
fn exported_prefix_is_cached_where_it_is_imported() {
    let (from, to) = (start(|_| {}), start(|_| {}));
    let long = "a long contract ".repeat(64);
    chat(from.addr(), "a", &prompt(&long, false))
        .send()
        .unwrap();
    let blocks = engine::prefix_blocks(format!("user\n{long}\n").as_bytes());
    let path = format!("/kv/{:016x}", blocks.last().unwrap());
    let prefix = get(from.addr(), &path);
    assert_eq!(prefix["blocks"].as_array().unwrap().len(), blocks.len());
    let put = attohttpc::put(format!("http://{}{path}", to.addr()))
        .json(&prefix)
        .unwrap();
    assert_eq!(put.send().unwrap().status().as_u16(), 200);
    chat(to.addr(), "a", &prompt(&long, false)).send().unwrap();
    assert_eq!(to.counters().cached_tokens, 16 * blocks.len() as u64);
    from.close();
    to.close();
}

fn send_command(engine: &engine::Engine, fence: u64, command: engine::Command) -> u16 {
    let body = engine::FencedCommand { fence, command };
    let req = attohttpc::post(format!("http://{}/orders", engine.addr()))
        .json(&body)
        .unwrap();
    req.send().unwrap().status().as_u16()
}

#[test]
fn commands_are_fenced_if_enforced() {
    let load = || engine::Command::LoadModel("m2".parse().unwrap());
    let strict = start(|_| {});
    assert_eq!(send_command(&strict, 5, engine::Command::Drain(true)), 200);
    assert_eq!(send_command(&strict, 4, load()), 409);
    assert_eq!(send_command(&strict, 5, engine::Command::Drain(false)), 200);
    assert_eq!(strict.state().models.len(), 1);
    let unfenced = start(|cfg| cfg.fencing = engine::Fencing::Disabled);
    assert_eq!(
        send_command(&unfenced, 5, engine::Command::Drain(true)),
        200
    );
    assert_eq!(send_command(&unfenced, 4, load()), 200);
    let deadline = Instant::now() + Duration::from_secs(5);
    while unfenced.state().models.len() < 2 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(unfenced.state().models.len(), 2);
    let refused = chat(unfenced.addr(), "a", &prompt("x", false))
        .send()
        .unwrap();
    assert_eq!(refused.status().as_u16(), 503);
    strict.close();
    unfenced.close();
}

#[test]
fn refused_connections_end_with_the_fault() {
    let engine = start(|_| {});
    engine.set_faults(engine::Faults {
        refuse_connections: true,
        ..engine::Faults::default()
    });
    let err = chat(engine.addr(), "a", &prompt("x", false))
        .send()
        .unwrap_err();
    assert!(matches!(
        err.kind(),
        attohttpc::ErrorKind::ConnectError { .. } | attohttpc::ErrorKind::Io(_)
    ));
    engine.set_faults(engine::Faults::default());
    assert!(
        chat(engine.addr(), "a", &prompt("x", false))
            .send()
            .unwrap()
            .is_success()
    );
    assert_eq!(engine.counters().runs["a"], 1);
    engine.close();
}

#[test]
fn faults_are_in_force_when_their_request_is_answered() {
    let engine = start(|_| {});
    let faults = format!("http://{}/faults", engine.addr());
    for round in 0..200 {
        let status = [500, 503][round % 2];
        let set = attohttpc::post(&faults).json(&json!({ "status": status }));
        assert!(set.unwrap().send().unwrap().is_success());
        let answer = chat(engine.addr(), "a", &prompt("x", false))
            .send()
            .unwrap();
        assert_eq!(answer.status().as_u16(), status, "round {round}");
    }
    engine.close();
}

#[test]
fn stall_status_and_slowness() {
    let engine = start(|_| {});
    let faults = format!("http://{}/faults", engine.addr());
    let set = |value: Value| {
        attohttpc::post(&faults)
            .json(&value)
            .unwrap()
            .send()
            .unwrap()
    };
    assert!(set(json!({ "stall": true })).is_success());
    let stalled =
        chat(engine.addr(), "a", &prompt("x", false)).read_timeout(Duration::from_millis(100));
    assert!(stalled.send().is_err());
    assert!(set(json!({ "status": 500 })).is_success());
    assert_eq!(
        chat(engine.addr(), "a", &prompt("x", false))
            .send()
            .unwrap()
            .status()
            .as_u16(),
        500
    );
    assert_eq!(set(json!({ "unknown": 1 })).status().as_u16(), 400);
    assert!(set(json!({ "slow_factor": 20.0 })).is_success());
    let begin = Instant::now();
    assert!(
        chat(engine.addr(), "a", &prompt("x", false))
            .send()
            .unwrap()
            .is_success()
    );
    assert!(begin.elapsed() >= Duration::from_millis(100));
    assert_eq!(engine.counters().runs["a"], 1);
    engine.close();
}

#[test]
fn stalled_stream_is_continued_by_a_resume() {
    let engine = start(|_| {});
    engine.set_faults(engine::Faults {
        stall_after_tokens: Some(3),
        times: Some(1),
        ..engine::Faults::default()
    });
    let stalled = chat(engine.addr(), "a", &prompt("x", true)).read_timeout(Duration::from_secs(1));
    let first = events(stalled.send().unwrap());
    let rest = chat(engine.addr(), "a", &prompt("x", true)).header("last-event-id", "3");
    let rest = events(rest.send().unwrap());
    assert_eq!(
        text(&first) + &text(&rest),
        "a.1.1 a.1.2 a.1.3 a.1.4 a.1.5 "
    );
    engine.close();
}
