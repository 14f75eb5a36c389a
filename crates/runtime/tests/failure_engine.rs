//! Engines that truncate, stall or refuse answers: callers get complete answers or explicit errors.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use pistachiochute_standins::engine;
use serde_json::{Value, json};

fn fleet_config(engines: u32) -> support::FleetConfig {
    support::FleetConfig {
        engines,
        settings: json!({ "timeouts": { "stall_ms": 400, "connect_ms": 500, "ping_ms": 200 } }),
        ..support::FleetConfig::default()
    }
}

/// Returns the texts of the tokens of a stream.
fn tokens(events: &[(String, std::time::Instant)]) -> Vec<String> {
    let parse = |data: &str| -> Option<String> {
        let chunk: Value = serde_json::from_str(data).ok()?;
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    };
    events.iter().filter_map(|(data, _)| parse(data)).collect()
}

/// Checks that the tokens are numbered from 1 without gaps and come from one run of the engine.
fn assert_one_run(tokens: &[String]) {
    let mut runs = BTreeSet::new();
    for (i, token) in tokens.iter().enumerate() {
        let (run, number) = token
            .trim()
            .rsplit_once('.')
            .expect("a token of the engine");
        assert_eq!(number, (i + 1).to_string(), "{tokens:?}");
        runs.insert(run.to_owned());
    }
    assert!(runs.len() <= 1, "mixed answer: {tokens:?}");
}

fn set_faults(fleet: &support::Fleet, faults: &engine::Faults) {
    for (_, engine) in &fleet.engines {
        engine.set_faults(faults.clone());
    }
}

fn runs(fleet: &support::Fleet) -> u32 {
    fleet
        .engines
        .iter()
        .flat_map(|(_, engine)| engine.counters().runs.into_values())
        .sum()
}

#[test]
fn cut_stream_is_resumed_as_one_answer() {
    let fleet = support::Fleet::start(&fleet_config(1));
    for member in &fleet.members {
        for after in [1, 3, 5] {
            let before = runs(&fleet);
            set_faults(
                &fleet,
                &engine::Faults {
                    cut_after_tokens: Some(after),
                    times: Some(1),
                    ..engine::Faults::default()
                },
            );
            let resp = support::chat(member.callers, &support::chat_body("x", true, 6)).unwrap();
            let (events, end) = support::events(resp);
            end.unwrap();
            let tokens = tokens(&events);
            assert_eq!(tokens.len(), 6);
            assert_one_run(&tokens);
            assert_eq!(events.last().unwrap().0, "[DONE]");
            assert_eq!(runs(&fleet) - before, 1);
        }
    }
    fleet.close();
}

#[test]
fn repeatedly_cut_stream_is_complete_or_ends_with_an_error() {
    let fleet = support::Fleet::start(&fleet_config(1));
    let cut = engine::Faults {
        cut_after_tokens: Some(1),
        ..engine::Faults::default()
    };
    set_faults(&fleet, &cut);
    for member in &fleet.members {
        let resp = support::chat(member.callers, &support::chat_body("x", true, 30)).unwrap();
        let (events, end) = support::events(resp);
        let tokens = tokens(&events);
        assert_one_run(&tokens);
        if tokens.len() < 30 {
            end.expect_err("a partial answer ends with an error");
            let error: Value = serde_json::from_str(&events.last().unwrap().0).unwrap();
            assert_eq!(error["error"]["outcome"], "run", "{error}");
            assert!(events.iter().all(|(data, _)| data != "[DONE]"));
        }
    }
    fleet.close();
}

#[test]
fn stalled_stream_is_resumed_after_the_stall_deadline() {
    let fleet = support::Fleet::start(&fleet_config(1));
    set_faults(
        &fleet,
        &engine::Faults {
            stall_after_tokens: Some(2),
            times: Some(1),
            ..engine::Faults::default()
        },
    );
    let resp = support::chat(fleet.members[0].callers, &support::chat_body("x", true, 6)).unwrap();
    let (events, end) = support::events(resp);
    end.unwrap_or_else(|e| panic!("{e}: {events:?}"));
    let tokens = tokens(&events);
    assert_eq!(tokens.len(), 6);
    assert_one_run(&tokens);
    assert_eq!(runs(&fleet), 1);
    fleet.close();
}

/// The engine truncates the stream and then refuses every further request before running it. The
/// refusal does not prove that the request did not run, since its first part did.
#[test]
fn refused_resumption_is_reported_as_run() {
    let fleet = support::Fleet::start(&fleet_config(1));
    let slow = engine::Faults {
        cut_after_tokens: Some(3),
        times: Some(1),
        slow_factor: Some(60.0),
        ..engine::Faults::default()
    };
    set_faults(&fleet, &slow);
    let resp = support::chat(fleet.members[0].callers, &support::chat_body("x", true, 6)).unwrap();
    let refuse = engine::Faults {
        status: Some(503),
        cut_after_tokens: Some(3),
        ..Default::default()
    };
    // The stream has started. From here on the engine refuses requests.
    set_faults(&fleet, &refuse);
    let (events, end) = support::events(resp);
    end.expect_err("a partial answer ends with an error");
    assert_one_run(&tokens(&events));
    let error: Value = serde_json::from_str(&events.last().unwrap().0).unwrap();
    assert_eq!(error["error"]["outcome"], "run", "{error}");
    fleet.close();
}

#[test]
fn truncated_answer_is_never_passed_on() {
    let fleet = support::Fleet::start(&fleet_config(1));
    set_faults(
        &fleet,
        &engine::Faults {
            cut_after_tokens: Some(2),
            times: Some(1),
            ..engine::Faults::default()
        },
    );
    for member in &fleet.members {
        let resp = support::chat(member.callers, &support::chat_body("x", false, 5)).unwrap();
        if resp.status().as_u16() == 200 {
            let answer: Value = resp.json().unwrap();
            let text = answer["choices"][0]["message"]["content"].as_str().unwrap();
            let tokens: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
            assert_eq!(tokens.len(), 5);
            assert_one_run(&tokens);
        } else {
            assert_eq!(support::header(&resp, "x-outcome"), "run");
        }
    }
    fleet.close();
}

#[test]
fn engine_that_refuses_connections_is_skipped() {
    let fleet = support::Fleet::start(&fleet_config(2));
    let refuse = engine::Faults {
        refuse_connections: true,
        ..engine::Faults::default()
    };
    fleet.engines[0].1.set_faults(refuse);
    for i in 0..8 {
        let body = support::chat_body(&format!("chat {i}"), false, 5);
        let resp = support::chat(fleet.members[0].callers, &body).unwrap();
        assert_eq!(resp.status().as_u16(), 200, "{}", resp.text().unwrap());
    }
    assert_eq!(runs(&fleet), 8);
    fleet.close();
}

#[test]
fn no_reachable_engine_is_reported_as_not_run_at_once() {
    let fleet = support::Fleet::start(&fleet_config(2));
    let refuse = engine::Faults {
        refuse_connections: true,
        ..engine::Faults::default()
    };
    set_faults(&fleet, &refuse);
    let begin = std::time::Instant::now();
    let body = support::chat_body("x", false, 5);
    let resp = support::chat(fleet.members[0].callers, &body).unwrap();
    assert_eq!(resp.status().as_u16(), 503);
    assert_eq!(support::header(&resp, "x-outcome"), "not_run");
    assert!(!support::header(&resp, "retry-after").is_empty());
    assert!(begin.elapsed() < Duration::from_secs(10));
    assert_eq!(runs(&fleet), 0);
    fleet.close();
}

#[test]
fn stall_before_the_answer_is_not_reported_as_not_run() {
    let fleet = support::Fleet::start(&fleet_config(1));
    set_faults(
        &fleet,
        &engine::Faults {
            stall: true,
            ..engine::Faults::default()
        },
    );
    let body = support::chat_body("x", false, 5);
    let resp = support::chat(fleet.members[0].callers, &body).unwrap();
    assert!(resp.status().is_server_error());
    assert_eq!(support::header(&resp, "x-outcome"), "unknown");
    fleet.close();
}

#[test]
fn caller_that_goes_away_cancels_at_the_engine() {
    let fleet = support::Fleet::start(&fleet_config(1));
    for member in &fleet.members {
        let before = fleet.engines[0].1.counters().cancels;
        let resp = support::chat(member.callers, &support::chat_body("x", true, 4000)).unwrap();
        drop(resp);
        let cancelled = || fleet.engines[0].1.counters().cancels > before;
        assert!(support::eventually(cancelled));
    }
    assert!(fleet.engines[0].1.counters().tokens < 8000);
    fleet.close();
}
