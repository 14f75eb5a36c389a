//! The committed cases hold, and a wrong outcome is found at its line.

use std::path;

use pistachiochute_cases::{case, replay};

const HEADER: &str = r#"{"case":"c","deployments":[],"machine":{"link":{}}}"#;

fn committed() -> Vec<path::PathBuf> {
    let dir = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../cases");
    replay::files(&dir).unwrap()
}

#[test]
fn committed_cases_hold() {
    let files = committed();
    assert!(!files.is_empty());
    for file in files {
        let report = replay::file(&file).unwrap();
        assert_eq!(report.faults, [], "{}", file.display());
    }
}

#[test]
fn a_wrong_outcome_is_found_at_its_line() {
    for file in committed() {
        let text = std::fs::read_to_string(&file).unwrap();
        let mut case = case::Case::parse(&text).unwrap();
        let (line, step) = case
            .steps
            .iter_mut()
            .rfind(|(_, step)| !step.expect.is_null())
            .unwrap();
        let line = *line;
        step.expect = "another outcome".into();
        let faults = replay::replay(&case);
        let lines: Vec<_> = faults.iter().map(|fault| fault.line).collect();
        assert_eq!(lines, [line], "{}", file.display());
    }
}

#[test]
fn faulty_lines_are_reported_together() {
    let steps = [
        r#"{"at_ms":5,"do":"heard"}"#,
        r#"{"at_ms":4,"do":"heard"}"#,
        "not json",
    ];
    let text = format!("# comment\n{HEADER}\n{}\n", steps.join("\n"));
    let faults = case::Case::parse(&text).unwrap_err();
    let lines: Vec<_> = faults.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [4, 5]);
    assert_eq!(case::Case::parse("\n").unwrap_err()[0].line, 1);
    assert!(case::Case::parse(HEADER).is_err());
}

#[test]
fn an_unknown_event_is_found_at_its_line() {
    let text = format!("{HEADER}\n{{\"at_ms\":0,\"do\":\"explode\"}}\n");
    let faults = replay::replay(&case::Case::parse(&text).unwrap());
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].line, 2);
    assert!(faults[0].fault.contains("explode"), "{}", faults[0]);
}

#[test]
fn observed_outcomes_take_the_place_of_the_stated_ones() {
    let step = r#"{"at_ms":0,"do":"check","expect":"silent"}"#;
    let observed = replay::observe(&format!("{HEADER}\n# idle\n{step}\n")).unwrap();
    assert!(observed.starts_with(HEADER));
    let case = case::Case::parse(&observed).unwrap();
    assert_eq!(case.steps[0].1.expect, "idle");
    assert_eq!(replay::replay(&case), []);
}
