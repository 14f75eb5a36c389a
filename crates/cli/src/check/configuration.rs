//! Checks a configuration before it is sent, by the verifier that hosts use when they take it over.

use std::{fs, path, process};

use eyre::WrapErr as _;
use pistachiochute_core::catalog::{changes, verify};
use pistachiochute_platform as platform;

use crate::{exit, table};

/// What is wrong in the configuration, and where.
#[derive(Debug, serde::Serialize)]
struct FindingRow {
    severity: verify::Severity,
    place: String,
    fault: String,
}

impl FindingRow {
    fn new(finding: &verify::Finding) -> Self {
        Self {
            severity: finding.severity(),
            place: platform::place_in_configuration(finding.place).to_string(),
            fault: finding.fault.to_string(),
        }
    }
}

/// What differs from the version in force.
#[derive(Debug, serde::Serialize)]
struct ChangeRow {
    place: String,
    name: String,
    change: String,
}

impl ChangeRow {
    fn new(change: &changes::Change) -> Self {
        Self {
            place: platform::place_in_configuration(change.place).to_string(),
            name: change.name.to_string(),
            change: change.difference.to_string(),
        }
    }
}

/// Result of a check.
#[derive(Debug, serde::Serialize)]
struct Report {
    file: String,
    findings: Vec<FindingRow>,
    /// `None` if nothing was compared.
    changes: Option<Vec<ChangeRow>>,
}

/// Checks a configuration, compares it with the one in force if that is given, and prints the result.
pub(super) fn run(
    file: &path::Path,
    in_force: Option<&path::Path>,
    as_json: bool,
) -> eyre::Result<process::ExitCode> {
    let decoded = platform::decode_configuration(&read(file)?);
    let mut findings = match &decoded {
        Ok(decoded) => decoded.verify(),
        Err(findings) => findings.clone(),
    };
    let compared = in_force.map(read_in_force).transpose()?;
    let changes = match (&decoded, &compared) {
        (Ok(new), Some(in_force)) => {
            let (changes, finding) = changes::compare(&in_force.content, &new.content);
            findings.extend(finding);
            Some(changes.iter().map(ChangeRow::new).collect())
        }
        _ => None,
    };
    let worst = findings.iter().map(verify::Finding::severity).max();
    let report = Report {
        file: file.display().to_string(),
        findings: findings.iter().map(FindingRow::new).collect(),
        changes,
    };
    match as_json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print(&report),
    }
    Ok(exit_code(worst))
}

fn exit_code(worst: Option<verify::Severity>) -> process::ExitCode {
    process::ExitCode::from(match worst {
        None => return process::ExitCode::SUCCESS,
        Some(verify::Severity::Warning) => exit::WARNED,
        Some(verify::Severity::Error) => exit::FAILED,
        Some(verify::Severity::Refusal) => exit::FAULTY,
    })
}

fn read(file: &path::Path) -> eyre::Result<Vec<u8>> {
    fs::read(file).wrap_err_with(|| file.display().to_string())
}

/// Reads the configuration in force. Only that it can be used matters here.
fn read_in_force(file: &path::Path) -> eyre::Result<verify::Decoded> {
    platform::decode_configuration(&read(file)?).map_err(|findings| {
        let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
        eyre::eyre!("{}: {}", file.display(), findings.join("; "))
    })
}

fn print(report: &Report) {
    if !report.findings.is_empty() {
        let mut table = table::Table::new(&["SEVERITY", "PLACE", "FAULT"]);
        for row in &report.findings {
            table.push(vec![
                row.severity.to_string(),
                row.place.clone(),
                row.fault.clone(),
            ]);
        }
        table.print();
    }
    match &report.changes {
        Some(changes) if changes.is_empty() => println!("no difference from the version in force"),
        Some(changes) => print_changes(changes),
        None => {}
    }
}

fn print_changes(changes: &[ChangeRow]) {
    let mut table = table::Table::new(&["PLACE", "NAME", "CHANGE"]);
    for row in changes {
        table.push(vec![
            row.place.clone(),
            row.name.clone(),
            row.change.clone(),
        ]);
    }
    table.print();
}
