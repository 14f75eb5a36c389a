//! End-to-end tests of the request path: caller, entry host, owner host, engine.

mod support;

use std::time::Duration;

use serde_json::Value;

#[test]
fn chats_are_answered_completely_through_any_host() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    for member in &fleet.members {
        let resp = support::chat(member.callers, &support::chat_body("hello", false, 5)).unwrap();
        assert_eq!(resp.status().as_u16(), 200);
        assert_eq!(support::header(&resp, "x-outcome"), "run");
        assert!(support::header(&resp, "x-request-id").starts_with("req-"));
        let answer: Value = resp.json().unwrap();
        assert_eq!(answer["usage"]["completion_tokens"], 5, "{answer}");
    }
    fleet.close();
}

#[test]
fn tokens_arrive_one_by_one_over_two_hosts() {
    let config = support::FleetConfig {
        engine: pistachiochute_standins::engine::Settings {
            token_time: Duration::from_millis(40),
            ..support::engine_settings()
        },
        ..support::FleetConfig::default()
    };
    let fleet = support::Fleet::start(&config);
    for member in &fleet.members {
        let resp = support::chat(member.callers, &support::chat_body("hello", true, 6)).unwrap();
        assert!(support::header(&resp, "content-type").starts_with("text/event-stream"));
        let (events, end) = support::events(resp);
        end.unwrap();
        assert_eq!(events.last().map(|(data, _)| data.as_str()), Some("[DONE]"));
        let generated = fleet.engines[0].1.counters().tokens;
        assert!(generated >= 6);
        // The first token arrives before the last one is generated.
        let span = events[events.len() - 1].1 - events[0].1;
        assert!(span >= Duration::from_millis(120), "{span:?}");
    }
    fleet.close();
}

#[test]
fn refusals_state_reason_and_outcome() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let callers = fleet.members[0].callers;
    let mut body = support::chat_body("hello", false, 5);
    body["model"] = "m2".into();
    let resp = support::chat(callers, &body).unwrap();
    assert_eq!(resp.status().as_u16(), 403);
    assert_eq!(support::header(&resp, "x-outcome"), "not_run");
    let error: Value = resp.json().unwrap();
    assert_eq!(error["error"]["code"], "not_in_plan");
    assert_eq!(error["error"]["outcome"], "not_run");

    let resp = attohttpc::post(format!("http://{callers}/v1/chat/completions"))
        .header("authorization", "Bearer wrong")
        .json(&support::chat_body("hello", false, 5))
        .unwrap()
        .send()
        .unwrap();
    assert_eq!(resp.status().as_u16(), 401);
    let resp = attohttpc::get(format!("http://{callers}/nowhere"))
        .header("authorization", format!("Bearer {}", support::API_KEY))
        .send()
        .unwrap();
    assert_eq!(resp.status().as_u16(), 404);
    assert_eq!(fleet.engines[0].1.counters().tokens, 0);
    fleet.close();
}

#[test]
fn a_draining_host_finishes_its_streams() {
    let config = support::FleetConfig {
        engine: pistachiochute_standins::engine::Settings {
            token_time: Duration::from_millis(50),
            ..support::engine_settings()
        },
        hosts: 1,
        ..support::FleetConfig::default()
    };
    let fleet = support::Fleet::start(&config);
    let callers = fleet.members[0].callers;
    let resp = support::chat(callers, &support::chat_body("hello", true, 10)).unwrap();
    let reading = std::thread::spawn(move || support::events(resp));
    let drained = fleet.members[0].host.drain();
    assert_eq!(drained, pistachiochute_runtime::host::DrainResult::Complete);
    let (events, end) = reading.join().unwrap();
    end.unwrap();
    assert_eq!(events.last().map(|(data, _)| data.as_str()), Some("[DONE]"));
    let resp = support::chat(callers, &support::chat_body("hello", true, 10)).unwrap();
    assert_eq!(resp.status().as_u16(), 503);
    assert_eq!(support::header(&resp, "x-outcome"), "not_run");
    assert!(!support::header(&resp, "retry-after").is_empty());
    fleet.close();
}

#[test]
fn models_are_those_of_the_plan() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let get = |key: &str| {
        attohttpc::get(format!("http://{}/v1/models", fleet.members[0].callers))
            .header("authorization", format!("Bearer {key}"))
            .send()
            .unwrap()
    };
    let resp = get(support::API_KEY);
    assert_eq!(resp.status().as_u16(), 200);
    assert_eq!(support::header(&resp, "x-outcome"), "run");
    let list: Value = resp.json().unwrap();
    assert_eq!(list["object"], "list");
    assert_eq!(list["data"][0]["id"], support::MODEL);
    assert_eq!(list["data"].as_array().map(Vec::len), Some(1));
    let resp = get("wrong");
    assert_eq!(resp.status().as_u16(), 401);
    assert_eq!(support::header(&resp, "x-outcome"), "not_run");
    fleet.close();
}
