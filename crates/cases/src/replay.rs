//! Replays cases and compares their outcomes.

use std::{fs, io, path};

use crate::{case, machine};

/// Extension of case files.
const EXTENSION: &str = "case";

/// Result of one case.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// File that holds the case.
    pub file: path::PathBuf,
    /// First line of the case, or `None` if it is faulty.
    pub header: Option<case::Header>,
    /// Number of steps.
    pub steps: usize,
    /// Faulty lines and outcomes that differ.
    pub faults: Vec<case::Fault>,
}

impl Report {
    /// Whether every outcome is as stated.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.faults.is_empty()
    }
}

/// Replays the case in a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read. Faults of the case are in the report.
pub fn file(file: &path::Path) -> io::Result<Report> {
    let text = fs::read_to_string(file)?;
    let (header, steps, faults) = match case::Case::parse(&text) {
        Ok(case) => {
            let faults = replay(&case);
            (Some(case.header), case.steps.len(), faults)
        }
        Err(faults) => (None, 0, faults),
    };
    Ok(Report {
        file: file.to_owned(),
        header,
        steps,
        faults,
    })
}

/// Replays a case and returns the outcomes that differ from the stated ones.
#[must_use]
pub fn replay(case: &case::Case) -> Vec<case::Fault> {
    let mut machine = machine::Machine::new(case.header.machine.clone());
    let mut faults = Vec::new();
    for (line, step) in &case.steps {
        match machine.apply(step.at(), &step.event) {
            Ok(outcome) if outcome == step.expect => {}
            Ok(outcome) => {
                let fault = format!("expected {}, found {outcome}", step.expect);
                faults.push(case::Fault::new(*line, &fault));
            }
            Err(e) => faults.push(case::Fault::new(*line, &e)),
        }
    }
    faults
}

/// Text of a case with the outcomes that were found in place of the stated ones.
///
/// # Errors
///
/// Returns the faulty lines.
pub fn observe(text: &str) -> Result<String, Vec<case::Fault>> {
    let case = case::Case::parse(text)?;
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let mut machine = machine::Machine::new(case.header.machine);
    for (line, mut step) in case.steps {
        let fault = |e: &serde_json::Error| vec![case::Fault::new(line, e)];
        step.expect = machine
            .apply(step.at(), &step.event)
            .map_err(|e| fault(&e))?;
        lines[line - 1] = serde_json::to_string(&step).map_err(|e| fault(&e))?;
    }
    Ok(lines.join("\n") + "\n")
}

/// Case files at a path: the file itself, or those of a directory in the order of their names.
///
/// # Errors
///
/// Returns an error if the directory cannot be read.
pub fn files(at: &path::Path) -> io::Result<Vec<path::PathBuf>> {
    if !at.is_dir() {
        return Ok(vec![at.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(at)? {
        let file = entry?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == EXTENSION)
        {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}
