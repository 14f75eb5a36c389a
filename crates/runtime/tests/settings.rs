//! Settings are fully validated, and the settings documentation states the defaults of the code.

use pistachiochute_core::{journal, name, retry};
use pistachiochute_runtime::settings;
use serde_json::{Value, json};

const SETTINGS_PAGE: &str = include_str!("../../../docs/operators/settings.md");
const LINK_SECRET: &str = "a-secret-of-the-links";

fn valid_settings() -> Value {
    json!({
        "host": { "id": "host3", "domain": "dom1", "region": "reg0" },
        "listen": {
            "callers": "127.0.0.1:8080",
            "admin": "127.0.0.1:8081",
            "links": "127.0.0.1:8082",
        },
        "platform": { "key_value": ["127.0.0.1:2379"], "host_list": "127.0.0.1:2380" },
        "credentials": {
            "link": LINK_SECRET,
            "operators": [
                { "name": "ana", "digest": "11".repeat(32), "accounts": ["*"], "plans": ["*"] },
                { "name": "bo", "digest": "22".repeat(32), "accounts": ["farm"], "plans": [] },
            ],
        },
    })
}

/// Returns valid settings in which the values at some JSON pointers are replaced or added.
fn settings_with(changes: &[(&str, Value)]) -> String {
    let mut settings = valid_settings();
    for (pointer, value) in changes {
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        settings.pointer_mut(parent).unwrap()[field] = value.clone();
    }
    settings.to_string()
}

fn finding_places(text: &str) -> Vec<String> {
    let findings = settings::Settings::parse(text).unwrap_err();
    findings.into_iter().map(|finding| finding.place).collect()
}

#[test]
fn valid_settings_use_the_defaults() {
    let settings = settings::Settings::parse(&valid_settings().to_string()).unwrap();
    assert_eq!(settings.host.id.to_string(), "host3");
    assert_eq!(settings.bounds, settings::Bounds::default());
    assert_eq!(settings.routing.load_multiple, 1.25);
    let [ana, bo] = &settings.credentials.operators[..] else {
        panic!("two operators")
    };
    let farm: name::AccountName = "farm".parse().unwrap();
    let school: name::AccountName = "school".parse().unwrap();
    assert!(ana.accounts.contains(&school));
    assert!(bo.accounts.contains(&farm) && !bo.accounts.contains(&school));
}

#[test]
fn defaults_agree_with_those_of_the_core() {
    let retry = settings::Retry::default();
    let core = retry::Config::default();
    assert_eq!(retry.max_attempts, core.max_attempts);
    assert_eq!(retry.max_hops, core.max_hops);
    let per_request = retry::BudgetConfig::default().per_request_thousandths;
    assert_eq!((retry.budget_ratio * 1_000.0) as u64, per_request);

    let journal = settings::Journal::default();
    let core = journal::Config::default();
    assert_eq!(journal.shards, core.slots);
    assert_eq!(
        journal.retention.as_millis() as u64,
        core.window.retention_ms
    );
}

#[test]
fn every_fault_is_a_finding() {
    let text = settings_with(&[
        ("/host/id", json!("three")),
        ("/listen/admin", json!(8081)),
        ("/credentials/link", json!("short")),
        ("/bounds", json!({ "body_bytes": "large" })),
        ("/rooting", json!({})),
    ]);
    assert_eq!(
        finding_places(&text),
        [
            "$.host.id",
            "$.listen.admin",
            "$.credentials.link",
            "$.bounds.body_bytes",
            "$.rooting"
        ]
    );
}

#[test]
fn contradictory_timeouts_are_findings() {
    let timeouts = json!({ "stall_ms": 5_000, "request_ms": 4_000, "drain_ms": 3_000 });
    assert_eq!(
        finding_places(&settings_with(&[("/timeouts", timeouts)])),
        ["$.timeouts.stall_ms", "$.timeouts.drain_ms"]
    );
}

#[test]
fn values_out_of_range_are_findings() {
    let text = settings_with(&[
        (
            "/routing",
            json!({ "load_multiple": 0.5, "reuse_weight": 2 }),
        ),
        ("/retry", json!({ "max_hops": 300 })),
        ("/journal", json!({ "shards": 0 })),
        ("/log_level", json!("loud")),
    ]);
    assert_eq!(
        finding_places(&text),
        [
            "$.routing.load_multiple",
            "$.routing.reuse_weight",
            "$.retry.max_hops",
            "$.journal.shards",
            "$.log_level"
        ]
    );
}

#[test]
fn duplicates_are_findings() {
    let operator = valid_settings()["credentials"]["operators"][0].clone();
    let text = settings_with(&[
        ("/listen/links", json!("127.0.0.1:8080")),
        ("/platform/key_value", json!(["127.0.0.1:1", "127.0.0.1:1"])),
        ("/credentials/operators", json!([operator, operator])),
    ]);
    assert_eq!(
        finding_places(&text),
        [
            "$.listen.links",
            "$.platform.key_value[1]",
            "$.credentials.operators[1].name",
            "$.credentials.operators[1].digest"
        ]
    );
}

#[test]
fn a_duplicate_field_is_a_finding() {
    let text = valid_settings()
        .to_string()
        .replacen('{', r#"{"retry":{},"retry":{},"#, 1);
    let findings = settings::Settings::parse(&text).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert!(findings[0].fault.contains("retry"), "{}", findings[0]);
}

#[test]
fn missing_sections_are_findings() {
    assert_eq!(
        finding_places("{}"),
        ["$.host", "$.listen", "$.platform", "$.credentials"]
    );
    assert_eq!(finding_places("[]"), ["$"]);
    assert_eq!(finding_places("{"), ["$"]);
}

#[test]
fn secrets_are_not_printed() {
    let settings = settings::Settings::parse(&valid_settings().to_string()).unwrap();
    let printed = format!("{settings:?}");
    assert!(!printed.contains(LINK_SECRET));
    assert!(!printed.contains("1111"));

    let text = settings_with(&[
        ("/credentials/link", json!(["hidden-value-in-an-array"])),
        ("/credentials/operators/0/digest", json!("hidden-digest")),
    ]);
    for finding in settings::Settings::parse(&text).unwrap_err() {
        assert!(!finding.to_string().contains("hidden"), "{finding}");
    }
}

#[test]
fn the_settings_documentation_states_every_default() {
    for row in settings::Settings::doc_rows() {
        let (low, high) = &row.range;
        let line = format!(
            "| `{}` | {} | {low} to {high} | {} |",
            row.place, row.default, row.meaning
        );
        assert!(SETTINGS_PAGE.contains(&line), "settings.md lacks: {line}");
    }
}
