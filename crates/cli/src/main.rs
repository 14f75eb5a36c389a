//! Command line of the router fleet.
//!
//! Each subcommand is a module that gives its `command()` and its `run()`. The exit status is 0
//! when all is well, 1 when a check or a bound failed, 2 when the input is faulty, and 3 when there are
//! only warnings.

mod admin;
mod case;
mod check;
mod client;
mod completions;
mod demo;
mod explain;
mod known_red;
mod lists;
mod load;
mod measure;
mod report;
mod status;
mod table;

use std::process;

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("pistachiochute: {e:#}");
            process::ExitCode::from(exit::FAULTY)
        }
    }
}

/// Exit statuses.
mod exit {
    /// A check or a bound failed.
    pub(crate) const FAILED: u8 = 1;
    /// The input is faulty or could not be read.
    pub(crate) const FAULTY: u8 = 2;
    /// The input is sound, but something in it is probably not meant.
    pub(crate) const WARNED: u8 = 3;
}

fn command() -> clap::Command {
    clap::Command::new("pistachiochute")
        .version(clap::crate_version!())
        .about("Router fleet for very many returning chats")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::command())
        .subcommand(check::command())
        .subcommand(lists::command())
        .subcommand(status::command())
        .subcommand(explain::command())
        .subcommand(case::command())
        .subcommand(load::command())
        .subcommand(measure::command())
        .subcommand(report::command())
        .subcommand(completions::command())
}

fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        Some(("check", matches)) => check::run(matches),
        Some(("lists", matches)) => lists::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("case", matches)) => case::run(matches),
        Some(("load", matches)) => load::run(matches),
        Some(("measure", matches)) => measure::run(matches),
        Some(("report", matches)) => report::run(matches),
        Some(("completions", matches)) => completions::run(matches, command()),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

/// Switch that prints JSON instead of a table.
fn json_arg() -> clap::Arg {
    clap::Arg::new("json")
        .long("json")
        .action(clap::ArgAction::SetTrue)
        .help("Print JSON instead of a table")
}
