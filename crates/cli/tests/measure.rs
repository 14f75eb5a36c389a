//! `pistachiochute measure` judges by the bounds and passes over known faults alone.

use std::{fs, path, process};

use serde_json::Value;

fn measure(args: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pistachiochute"))
        .arg("measure")
        .args(args)
        .output()
        .unwrap()
}

fn file(name: &str, text: &str) -> String {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).unwrap();
    file.display().to_string()
}

#[test]
fn figures_have_every_field() {
    let output = measure(&["membership", "--json"]);
    let figures: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    assert!(!figures.is_empty());
    for figure in &figures {
        for field in ["name", "value", "unit", "baseline", "bound", "ok"] {
            assert!(figure.get(field).is_some(), "{field} in {figure}");
        }
    }
    let broken = figures.iter().any(|figure| figure["ok"] == false);
    assert_eq!(output.status.code(), Some(i32::from(broken)));
}

#[test]
fn a_faulty_list_of_known_faults_is_refused() {
    let faulty = file(
        "faulty-red.txt",
        "test: measure control_bytes_per_host_s_8\nseen: 2\n",
    );
    let output = measure(&["membership", "--known-red", &faulty]);
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("command"), "{error}");
}

#[test]
fn known_faults_are_printed_apart() {
    let entry = "test: measure control_bytes_per_host_s_8\ncommand: c\nseen: s\nissue: i\n";
    let known = file("known-red.txt", &format!("{entry}\n\n{entry}"));
    let output = measure(&["membership", "--known-red", &known]);
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(
        printed.contains("known red: control_bytes_per_host_s_8"),
        "{printed}"
    );
}
