//! Prints the state of a host and how far the lists have come.

use std::process;

use pistachiochute_core::revision;
use serde_json::Value;

use crate::{admin, table};

/// The `status` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("status")
        .about("Print the state of a host and how far the lists have come")
        .after_help(
            "Examples:\n  pistachiochute status --admin 127.0.0.1:8090\n  \
             pistachiochute status --admin 127.0.0.1:8090 --revision r7",
        )
        .arg(
            clap::Arg::new("revision")
                .long("revision")
                .value_name("rN")
                .value_parser(clap::value_parser!(revision::Revision))
                .help("Revision of the lists to ask for [default: that of the host]"),
        )
        .args(admin::args())
        .arg(crate::json_arg())
}

/// Prints the state.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let path = match matches.get_one::<revision::Revision>("revision") {
        Some(revision) => format!("/v1/status?revision={revision}"),
        None => "/v1/status".to_owned(),
    };
    let body = admin::Client::new(matches)?.get(&path)?.success()?;
    if matches.get_flag("json") {
        println!("{body:#}");
        return Ok(process::ExitCode::SUCCESS);
    }
    let mut host = table::Table::new(&["HOST", "VALUE"]);
    for (name, value) in body["host"].as_object().into_iter().flatten() {
        host.push(vec![name.clone(), cell(value)]);
    }
    host.print();
    println!();
    print_lists(&body["lists"]);
    Ok(process::ExitCode::SUCCESS)
}

fn print_lists(lists: &Value) {
    println!(
        "lists {} (in force here: {})",
        cell(&lists["revision"]),
        cell(&lists["in_force_here"])
    );
    let mut table = table::Table::new(&["DOMAIN", "REACH", "HOSTS", "CONFIRMED"]);
    for domain in lists["domains"].as_array().into_iter().flatten() {
        table.push(
            ["domain", "reach", "hosts", "confirmed"]
                .map(|field| cell(&domain[field]))
                .into(),
        );
    }
    table.print();
}

fn cell(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
