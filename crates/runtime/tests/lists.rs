//! End-to-end tests of the lists: edits, conflicts, lost answers, outages of the store, and hosts
//! that start during an outage.

mod support;

use std::net;
use std::time::Duration;

use pistachiochute_standins::keyvalue;
use serde_json::{Value, json};

struct Admin {
    addr: net::SocketAddr,
    credential: &'static str,
}

impl Admin {
    fn of(fleet: &support::Fleet, host: usize) -> Self {
        Self {
            addr: fleet.members[host].admin,
            credential: support::OPERATOR,
        }
    }

    fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &Value,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.addr);
        let method = method.parse().unwrap();
        let mut builder = attohttpc::RequestBuilder::new(method, url)
            .header("authorization", format!("Bearer {}", self.credential))
            .timeout(Duration::from_secs(20));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let resp = builder.text(body.to_string()).send().unwrap();
        let status = resp.status().as_u16();
        (status, resp.json().unwrap())
    }

    /// Adds a plan that must not exist yet.
    fn add_plan(&self, name: &str, requests: u64) -> (u16, Value) {
        let path = format!("/v1/lists/plans/{name}");
        self.send("PUT", &path, &[("if-none-match", "*")], &plan(requests))
    }

    fn get(&self, path: &str) -> Value {
        self.send("GET", path, &[], &Value::Null).1
    }
}

fn plan(requests: u64) -> Value {
    json!({
        "models": [support::MODEL],
        "requests_per_minute": requests,
        "tokens_per_minute": 1_000_000,
        "in_flight": 10,
        "longest_answer": 100,
    })
}

fn in_force(fleet: &support::Fleet, revision: &str) -> bool {
    let wanted: u64 = revision.trim_start_matches('r').parse().unwrap();
    fleet.members.iter().all(|member| {
        member
            .host
            .control()
            .status()
            .is_some_and(|status| status.revision.0 >= wanted)
    })
}

#[test]
fn an_edit_is_in_force_on_every_host_and_in_the_history() {
    let config = support::FleetConfig {
        domains: 2,
        hosts: 3,
        ..support::FleetConfig::default()
    };
    let fleet = support::Fleet::start(&config);
    let admin = Admin::of(&fleet, 0);
    let (status, answer) = admin.add_plan("gold", 5);
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["state"], "recorded");
    let revision = answer["revision"].as_str().unwrap();
    assert!(support::eventually(|| in_force(&fleet, revision)));
    let all = || {
        let status = admin.get(&format!("/v1/status?revision={revision}"));
        let domains = status["lists"]["domains"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        domains.len() == 2 && domains.iter().all(|domain| domain["confirmed"] == 3)
    };
    assert!(support::eventually(all), "{}", admin.get("/v1/status"));
    let history = admin.get("/v1/history");
    assert_eq!(history["edits"][0]["author"]["operator"], "ana");
    let lists = Admin::of(&fleet, 5).get("/v1/lists");
    assert_eq!(lists["plans"]["gold"]["entry"]["requests_per_minute"], 5);
    fleet.close();
}

#[test]
fn racing_operators_get_a_conflict_that_shows_both_versions() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let (a, b) = (Admin::of(&fleet, 0), Admin::of(&fleet, 1));
    let seen = a.get("/v1/lists/plans/basic")["revision"]
        .as_str()
        .unwrap()
        .to_owned();
    let base = [("if-match", &*seen)];
    let (first, _) = a.send("PUT", "/v1/lists/plans/basic", &base, &plan(7));
    let (second, answer) = b.send("PUT", "/v1/lists/plans/basic", &base, &plan(9));
    assert_eq!((first, second), (200, 409), "{answer}");
    assert_eq!(answer["error"]["code"], "edit_conflict");
    let conflict = &answer["error"]["conflicts"][0];
    assert_eq!(conflict["yours"]["put_plan"][1]["requests_per_minute"], 9);
    assert_eq!(conflict["theirs"]["put_plan"][1]["requests_per_minute"], 7);
    fleet.close();
}

#[test]
fn an_operator_edits_only_what_its_credential_allows() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let restricted = Admin {
        credential: support::RESTRICTED_OPERATOR,
        ..Admin::of(&fleet, 0)
    };
    let (status, answer) = restricted.add_plan("gold", 5);
    assert_eq!(status, 403, "{answer}");
    let unknown = Admin {
        credential: "nobody",
        ..Admin::of(&fleet, 0)
    };
    assert_eq!(unknown.send("GET", "/v1/lists", &[], &Value::Null).0, 401);
    fleet.close();
}

#[test]
fn every_finding_of_an_edit_is_reported() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let admin = Admin::of(&fleet, 0);
    let revision = admin.get("/v1/lists")["revision"]
        .as_str()
        .unwrap()
        .to_owned();
    let body = json!({
        "accounts": { "farm": { "plan": "none", "key_digests": ["xyz"] } },
        "plans": { "basic": { "models": ["nowhere"], "unknown": 1 } },
    });
    let (status, answer) = admin.send("PUT", "/v1/lists", &[("if-match", &*revision)], &body);
    assert_eq!(status, 400, "{answer}");
    assert!(
        answer["error"]["findings"].as_array().unwrap().len() >= 3,
        "{answer}"
    );
    assert_eq!(admin.get("/v1/lists")["revision"], revision);
    fleet.close();
}

#[test]
fn an_edit_whose_answer_was_lost_is_resolved() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let admin = Admin::of(&fleet, 0);
    fleet.key_value.set_faults(keyvalue::Faults {
        lost_answers: 1,
        ..keyvalue::Faults::default()
    });
    let (status, answer) = admin.add_plan("gold", 5);
    assert_eq!(
        (status, &answer["state"]),
        (200, &json!("recorded")),
        "{answer}"
    );
    let history = admin.get("/v1/history");
    let golds = history["edits"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|edit| edit["delta"]["changes"].to_string().contains("gold"));
    assert_eq!(golds.count(), 1);
    fleet.close();
}

#[test]
fn an_edit_during_an_outage_is_not_recorded_and_serving_goes_on() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let admin = Admin::of(&fleet, 0);
    fleet.key_value.set_faults(keyvalue::Faults {
        down: true,
        ..keyvalue::Faults::default()
    });
    let (status, answer) = admin.add_plan("gold", 5);
    assert_eq!(status, 503, "{answer}");
    assert_eq!(answer["error"]["state"], "not_recorded", "{answer}");
    let resp = support::chat(
        fleet.members[1].callers,
        &support::chat_body("hello", false, 3),
    );
    assert_eq!(resp.unwrap().status().as_u16(), 200);
    fleet.key_value.set_faults(keyvalue::Faults::default());
    let (status, _) = admin.add_plan("gold", 5);
    assert_eq!(status, 200);
    fleet.close();
}

#[test]
fn a_host_that_starts_without_the_store_takes_the_lists_from_a_peer() {
    let mut fleet = support::Fleet::start(&support::FleetConfig {
        hosts: 3,
        ..support::FleetConfig::default()
    });
    fleet.key_value.set_faults(keyvalue::Faults {
        down: true,
        ..keyvalue::Faults::default()
    });
    fleet.restart(2);
    assert!(support::eventually(|| fleet.ready()));
    let resp = support::chat(
        fleet.members[2].callers,
        &support::chat_body("hello", false, 3),
    );
    assert_eq!(resp.unwrap().status().as_u16(), 200);
    fleet.close();
}

#[test]
fn a_restored_store_does_not_revert_the_lists() {
    let fleet = support::Fleet::start(&support::FleetConfig::default());
    let admin = Admin::of(&fleet, 0);
    let old = fleet.key_value.snapshot();
    let (status, answer) = admin.add_plan("gold", 5);
    assert_eq!(status, 200, "{answer}");
    let revision = answer["revision"].as_str().unwrap().to_owned();
    assert!(support::eventually(|| in_force(&fleet, &revision)));
    fleet.key_value.restore(old);
    let (status, answer) = admin.add_plan("iron", 6);
    assert_eq!(
        status, 503,
        "a store that is behind must not record edits: {answer}"
    );
    assert_eq!(answer["error"]["cause"], "store_behind", "{answer}");
    assert!(in_force(&fleet, &revision));
    fleet.close();
}
