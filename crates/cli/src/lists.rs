//! Reads and edits the two lists through the administration API.

use std::{fs, path, process};

use eyre::{OptionExt as _, WrapErr as _};
use pistachiochute_core::lists::verify;
use pistachiochute_core::revision;
use serde_json::{Map, Value, json};

use crate::{admin, exit, table};

/// The `lists` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("lists")
        .about("Read and edit the two lists")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(get_command())
        .subcommand(put_command())
        .subcommand(history_command())
}

fn get_command() -> clap::Command {
    clap::Command::new("get")
        .about("Print both lists, as `lists put` takes them, and their revision")
        .after_help(
            "The lists go to standard output and the revision to standard error.\n\n\
             Example:\n  pistachiochute lists get --admin 127.0.0.1:8090 > lists.json",
        )
        .args(admin::args())
        .arg(crate::json_arg().help("Print the entries with their revisions"))
}

fn put_command() -> clap::Command {
    clap::Command::new("put")
        .about("Replace both lists in one edit")
        .after_help(
            "The edit is refused if an entry that it changes was changed since the revision. Exit \
             status 1 if nothing was recorded or the edit is unresolved, 2 if the file has \
             findings.\n\n\
             Example:\n  pistachiochute lists put lists.json --revision r7 --admin 127.0.0.1:8090",
        )
        .arg(
            clap::Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Lists, with the members `accounts` and `plans`"),
        )
        .arg(
            clap::Arg::new("revision")
                .long("revision")
                .value_name("rN")
                .required(true)
                .value_parser(clap::value_parser!(revision::Revision))
                .help("Revision that the file is based on; r0 for an empty store"),
        )
        .args(admin::args())
        .arg(crate::json_arg())
}

fn history_command() -> clap::Command {
    clap::Command::new("history")
        .about("Print the last edits: who changed what, newest first")
        .after_help("Example:\n  pistachiochute lists history --admin 127.0.0.1:8090")
        .args(admin::args())
        .arg(crate::json_arg())
}

/// Carries out the subcommand.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    match matches.subcommand() {
        Some(("get", matches)) => get(matches),
        Some(("put", matches)) => put(matches),
        Some(("history", matches)) => history(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

fn get(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let body = admin::Client::new(matches)?.get("/v1/lists")?.success()?;
    if matches.get_flag("json") {
        println!("{body:#}");
        return Ok(process::ExitCode::SUCCESS);
    }
    let plain = json!({ "accounts": entries(&body["accounts"]), "plans": entries(&body["plans"]) });
    println!("{plain:#}");
    eprintln!("revision {}", body["revision"].as_str().unwrap_or_default());
    Ok(process::ExitCode::SUCCESS)
}

/// Entries without their revisions.
fn entries(dated: &Value) -> Map<String, Value> {
    let dated = dated.as_object().into_iter().flatten();
    dated
        .map(|(name, dated)| (name.clone(), dated["entry"].clone()))
        .collect()
}

fn put(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let file: &path::PathBuf = matches.get_one("file").expect("required argument");
    let base: &revision::Revision = matches.get_one("revision").expect("required argument");
    let text = fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    if let Err(findings) = verify::document(text.as_bytes(), None) {
        findings
            .iter()
            .for_each(|finding| eprintln!("{}: {finding}", file.display()));
        return Ok(process::ExitCode::from(exit::FAULTY));
    }
    let reply = admin::Client::new(matches)?.put("/v1/lists", &base.to_string(), text)?;
    if matches.get_flag("json") {
        println!("{:#}", reply.body);
    } else {
        print_edit(&reply)?;
    }
    match reply.status {
        200 => Ok(process::ExitCode::SUCCESS),
        _ => Ok(process::ExitCode::from(exit::FAILED)),
    }
}

fn print_edit(reply: &admin::Reply) -> eyre::Result<()> {
    let body = &reply.body;
    if reply.status == 200 {
        let state = body["state"]
            .as_str()
            .ok_or_eyre("the answer has no state")?;
        println!(
            "{state} at {}",
            body["revision"].as_str().unwrap_or_default()
        );
        return Ok(());
    }
    let error = &body["error"];
    eprintln!("{}", error["message"].as_str().unwrap_or("the edit failed"));
    for finding in error["findings"].as_array().into_iter().flatten() {
        eprintln!("  {}: {}", text(&finding["place"]), text(&finding["fault"]));
    }
    for conflict in error["conflicts"].as_array().into_iter().flatten() {
        eprintln!("  yours:  {}", conflict["yours"]);
        eprintln!(
            "  theirs: {} at {}",
            conflict["theirs"], conflict["revision"]
        );
    }
    for change in error["changes"].as_array().into_iter().flatten() {
        eprintln!("  not allowed: {change}");
    }
    Ok(())
}

fn history(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let body = admin::Client::new(matches)?.get("/v1/history")?.success()?;
    if matches.get_flag("json") {
        println!("{body:#}");
        return Ok(process::ExitCode::SUCCESS);
    }
    let mut table = table::Table::new(&["REVISION", "UNIX MS", "AUTHOR", "EDIT", "CHANGES"]);
    for edit in body["edits"].as_array().into_iter().flatten() {
        let changes = edit["delta"]["changes"].as_array();
        let changes: Vec<_> = changes.into_iter().flatten().map(change).collect();
        table.push(vec![
            format!("r{}", edit["delta"]["to"]["revision"]),
            edit["at_ms"].to_string(),
            text(edit["author"].get("operator").unwrap_or(&edit["author"])),
            text(&edit["edit"]),
            changes.join(", "),
        ]);
    }
    table.print();
    Ok(process::ExitCode::SUCCESS)
}

/// A change as its kind and the name of its entry.
fn change(change: &Value) -> String {
    let Some((kind, of)) = change.as_object().and_then(|change| change.iter().next()) else {
        return text(change);
    };
    format!("{kind} {}", text(of.get(0).unwrap_or(of)))
}

fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
