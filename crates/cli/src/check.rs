//! Checks settings files without starting a host.

use std::{path, process};

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
        .about("Check settings files of the daemon")
        .after_help(
            "Exit status 2 if there is a finding.\n\n\
             Example:\n  pistachiochute check host3.json host4.json",
        )
        .arg(
            clap::Arg::new("files")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(clap::value_parser!(path::PathBuf)),
        )
        .arg(crate::json_arg())
}

/// Checks the files and prints every finding.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
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

fn check(file: &path::Path) -> Vec<Row> {
    settings::Settings::load(file)
        .err()
        .unwrap_or_default()
        .into_iter()
        .map(|finding| Row {
            file: file.display().to_string(),
            place: finding.place,
            fault: finding.fault,
        })
        .collect()
}

fn print_table(rows: &[Row]) {
    let mut table = table::Table::new(&["FILE", "PLACE", "FAULT"]);
    for row in rows {
        table.push(vec![row.file.clone(), row.place.clone(), row.fault.clone()]);
    }
    table.print();
}
