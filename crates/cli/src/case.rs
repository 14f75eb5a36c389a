//! Replays case files.

use std::{fs, path, process};

use eyre::WrapErr as _;
use pistachiochute_cases::replay;

use crate::{exit, table};

/// The `case` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("case")
        .about("Replay recorded cases against their stated outcomes")
        .after_help(
            "Exit status 1 if an outcome differs from the stated one.\n\n\
             Examples:\n  pistachiochute case cases/\n  \
             pistachiochute case --observe cases/retry-at-most-once.case",
        )
        .arg(
            clap::Arg::new("paths")
                .value_name("PATH")
                .num_args(1..)
                .required(true)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Case files, or directories that hold them"),
        )
        .arg(
            clap::Arg::new("observe")
                .long("observe")
                .action(clap::ArgAction::SetTrue)
                .conflicts_with("json")
                .help("Print the cases with the outcomes that are found, to write a new case"),
        )
        .arg(crate::json_arg())
}

/// Replays the cases and prints their reports.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let paths = matches.get_many("paths").into_iter().flatten();
    let files = files(paths)?;
    if matches.get_flag("observe") {
        return observe(&files);
    }
    let reports: eyre::Result<Vec<_>> = files.iter().map(|file| report(file)).collect();
    let reports = reports?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    } else {
        print_table(&reports);
    }
    if reports.iter().all(replay::Report::is_ok) {
        Ok(process::ExitCode::SUCCESS)
    } else {
        Ok(process::ExitCode::from(exit::FAILED))
    }
}

fn files<'a, I>(paths: I) -> eyre::Result<Vec<path::PathBuf>>
where
    I: Iterator<Item = &'a path::PathBuf>,
{
    let mut files = Vec::new();
    for path in paths {
        let found = replay::files(path).wrap_err_with(|| path.display().to_string())?;
        eyre::ensure!(!found.is_empty(), "{} holds no case", path.display());
        files.extend(found);
    }
    Ok(files)
}

fn report(file: &path::Path) -> eyre::Result<replay::Report> {
    replay::file(file).wrap_err_with(|| file.display().to_string())
}

fn observe(files: &[path::PathBuf]) -> eyre::Result<process::ExitCode> {
    for file in files {
        let text = fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
        match replay::observe(&text) {
            Ok(text) => print!("{text}"),
            Err(faults) => {
                for fault in faults {
                    eprintln!("{}:{}: {}", file.display(), fault.line, fault.fault);
                }
                return Ok(process::ExitCode::from(exit::FAULTY));
            }
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

fn print_table(reports: &[replay::Report]) {
    let mut table = table::Table::new(&["FILE", "STEPS", "VERDICT", "CASE"]);
    for report in reports {
        let verdict = if report.is_ok() { "ok" } else { "WRONG" };
        let stated = report.header.as_ref().map(|header| header.case.clone());
        table.push(vec![
            report.file.display().to_string(),
            report.steps.to_string(),
            verdict.to_owned(),
            stated.unwrap_or_default(),
        ]);
    }
    table.print();
    for report in reports {
        for fault in &report.faults {
            eprintln!("{}:{}: {}", report.file.display(), fault.line, fault.fault);
        }
    }
}
