//! `pistachiochute check` and `completions` as a caller of the program sees them.

use std::process;

use serde_json::Value;

fn run(args: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pistachiochute"))
        .args(args)
        .output()
        .unwrap()
}

fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn every_finding_of_every_file_is_printed() {
    let empty = file("empty.json", "{}");
    let list = file("list.json", "[]");
    let output = run(&["check", "--json", &empty, &list, "/missing.json"]);
    assert_eq!(output.status.code(), Some(2));
    let rows: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    let places: Vec<_> = rows
        .iter()
        .map(|row| row["place"].as_str().unwrap())
        .collect();
    assert_eq!(
        places,
        [
            "$.host",
            "$.listen",
            "$.platform",
            "$.credentials",
            "$",
            "$"
        ]
    );
    assert_eq!(rows[4]["file"], list);

    let table = String::from_utf8(run(&["check", &empty]).stdout).unwrap();
    assert_eq!(table.lines().count(), 5, "{table}");
}

#[test]
fn sound_settings_pass() {
    let settings = serde_json::json!({
        "host": { "id": "host0", "domain": "dom0", "region": "reg0" },
        "listen": { "callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "links": "127.0.0.1:0" },
        "platform": { "key_value": ["127.0.0.1:2379"], "host_list": "127.0.0.1:2380" },
        "credentials": { "link": "0123456789abcdef", "operators": [] },
    });
    let sound = file("sound.json", &settings.to_string());
    let output = run(&["check", &sound]);
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stdout.is_empty());
}

#[test]
fn lists_are_checked_whole() {
    let faulty = file("lists.json", r#"{"accounts":{"Farm":{}},"plans":[]}"#);
    let output = run(&["check", "--lists", "--json", &faulty]);
    assert_eq!(output.status.code(), Some(2));
    let rows: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    let has = |place: &str| rows.iter().any(|row| row["place"] == place);
    assert!(has("/accounts/Farm") && has("/plans"), "{rows:?}");

    let empty = file("empty-lists.json", r#"{"accounts":{},"plans":{}}"#);
    assert_eq!(run(&["check", "--lists", &empty]).status.code(), Some(0));
    assert_eq!(
        run(&["check", "--lists", "/missing"]).status.code(),
        Some(2)
    );
}

#[test]
fn completions_name_the_subcommands() {
    let output = run(&["completions", "bash"]);
    let script = String::from_utf8(output.stdout).unwrap();
    assert!(script.contains("check") && script.contains("completions"));
}
