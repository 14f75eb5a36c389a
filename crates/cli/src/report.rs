//! Writes a report with plots.

use std::{path, process};

use pistachiochute_measure::report;

/// The `report` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("report")
        .about("Measure and write a report with plots into a folder")
        .after_help("Example:\n  pistachiochute report --out report")
        .arg(
            clap::Arg::new("out")
                .long("out")
                .value_name("FOLDER")
                .default_value("report")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Folder that the plots are written to"),
        )
}

/// Writes the report and prints its files.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let out: &path::PathBuf = matches.get_one("out").expect("with a default");
    for file in report::write(out)? {
        println!("{}", file.display());
    }
    Ok(process::ExitCode::SUCCESS)
}
