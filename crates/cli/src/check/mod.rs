//! Checks files of settings, lists and configurations without starting a host.

mod configuration;

use std::{fmt, fs, path, process};

use pistachiochute_core::lists;
use pistachiochute_runtime::settings;

use crate::{exit, table};

/// A finding and the file that it stands in.
#[derive(Debug, serde::Serialize)]
struct Row {
    file: String,
    place: String,
    fault: String,
}

/// The `check` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("check")
        .about("Check files of settings or lists, or a configuration of the platform")
        .after_help(
            "Exit status 2 if there is a finding in settings or lists. For a configuration: 0 if it is \
             clean, 3 if there are only warnings, 1 if hosts do not use it as it is written, 2 if they \
             refuse it or a file cannot be read. Differences do not count.\n\n\
             Examples:\n  pistachiochute check host3.json host4.json\n  \
             pistachiochute check --lists lists.json\n  \
             pistachiochute check --configuration new.json --in-force old.json",
        )
        .arg(
            clap::Arg::new("files")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(clap::value_parser!(path::PathBuf)),
        )
        .arg(
            clap::Arg::new("lists")
                .long("lists")
                .action(clap::ArgAction::SetTrue)
                .help("The files hold lists, with the members `accounts` and `plans`"),
        )
        .arg(
            clap::Arg::new("configuration")
                .long("configuration")
                .action(clap::ArgAction::SetTrue)
                .conflicts_with("lists")
                .help("The file holds a configuration: routes, services, limits and accounts"),
        )
        .arg(
            clap::Arg::new("in-force")
                .long("in-force")
                .value_name("FILE")
                .requires("configuration")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Also list what differs from the configuration in this file"),
        )
        .arg(crate::json_arg())
}

/// Checks the files and prints every finding.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    if matches.get_flag("configuration") {
        return run_configuration(matches);
    }
    let check = if matches.get_flag("lists") {
        check_lists
    } else {
        check_settings
    };
    let files = matches.get_many("files").into_iter().flatten();
    let rows: Vec<Row> = files.flat_map(|file: &path::PathBuf| check(file)).collect();
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else if !rows.is_empty() {
        print_table(&rows);
    }
    if rows.is_empty() {
        Ok(process::ExitCode::SUCCESS)
    } else {
        Ok(process::ExitCode::from(exit::FAULTY))
    }
}

fn run_configuration(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let files = matches.get_many::<path::PathBuf>("files");
    let files: Vec<_> = files.into_iter().flatten().collect();
    let [file] = files[..] else {
        eyre::bail!("one configuration is checked at a time");
    };
    let in_force: Option<&path::PathBuf> = matches.get_one("in-force");
    configuration::run(
        file,
        in_force.map(path::PathBuf::as_path),
        matches.get_flag("json"),
    )
}

fn check_settings(file: &path::Path) -> Vec<Row> {
    let findings = settings::Settings::load(file).err().unwrap_or_default();
    findings
        .iter()
        .map(|finding| row(file, &finding.place, &finding.fault))
        .collect()
}

fn check_lists(file: &path::Path) -> Vec<Row> {
    let text = match fs::read(file) {
        Ok(text) => text,
        Err(e) => return vec![row(file, &lists::JsonPointer::root(), &e)],
    };
    let findings = lists::verify::document(&text, None)
        .err()
        .unwrap_or_default();
    findings
        .iter()
        .map(|finding| row(file, &finding.place, &finding.fault))
        .collect()
}

fn row<P, F>(file: &path::Path, place: &P, fault: &F) -> Row
where
    P: fmt::Display,
    F: fmt::Display,
{
    Row {
        file: file.display().to_string(),
        place: place.to_string(),
        fault: fault.to_string(),
    }
}

fn print_table(rows: &[Row]) {
    let mut table = table::Table::new(&["FILE", "PLACE", "FAULT"]);
    for row in rows {
        table.push(vec![row.file.clone(), row.place.clone(), row.fault.clone()]);
    }
    table.print();
}
