//! A whole fleet in one process, and what happens to its callers.
//!
//! The demo starts stand-ins for the platform, engines and services and six hosts in three failure
//! domains, all as threads of this process, and plays a few scenes against them. Each scene states
//! what has to come out, and the exit status is 0 only if all of them did.

mod fleet;
mod scenes;

use std::{process, thread};

use crate::{exit, table};

/// First port of the fleet that stays up.
const DEFAULT_PORT: &str = "8080";

/// Port that takes a free one for each address.
const ANY_PORT: u16 = 0;

/// The `demo` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("demo")
        .about("Run a whole fleet with stand-ins in this process and show what happens")
        .after_help(
            "Exit status 1 if a scene did not come out as stated.\n\n\
             Examples:\n  pistachiochute demo\n  pistachiochute demo --stay --port 9000",
        )
        .arg(
            clap::Arg::new("stay")
                .long("stay")
                .action(clap::ArgAction::SetTrue)
                .help("Stay up on fixed loopback ports and print requests to try"),
        )
        .arg(
            clap::Arg::new("port")
                .long("port")
                .value_name("PORT")
                .default_value(DEFAULT_PORT)
                .requires("stay")
                .value_parser(clap::value_parser!(u16))
                .help("Port of the first host's callers; 0 takes free ports"),
        )
        .arg(crate::json_arg())
}

/// Plays the scenes and prints what came of them.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let stay = matches.get_flag("stay");
    let port: u16 = *matches.get_one("port").expect("with a default");
    let mut fleet = fleet::Fleet::start(if stay { port } else { ANY_PORT })?;
    let played = scenes::play(&mut fleet);
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&played)?);
    } else {
        print_table(&played);
    }
    if stay {
        print_requests(&fleet);
        loop {
            thread::park();
        }
    }
    fleet.close();
    if played.iter().all(|scene| scene.ok) {
        Ok(process::ExitCode::SUCCESS)
    } else {
        Ok(process::ExitCode::from(exit::FAILED))
    }
}

fn print_table(played: &[scenes::Scene]) {
    let mut table = table::Table::new(&["SCENE", "STATED", "SEEN", "OK"]);
    for scene in played {
        let ok = if scene.ok { "yes" } else { "NO" };
        table.push(vec![
            scene.name.to_owned(),
            scene.stated.clone(),
            scene.seen.clone(),
            ok.to_owned(),
        ]);
    }
    table.print();
}

fn print_requests(fleet: &fleet::Fleet) {
    let host = fleet.callers(0);
    println!("\nThe fleet stays up until this process ends. Requests to try:\n");
    println!(
        "curl -N http://{host}/v1/chat/completions -H 'Authorization: Bearer {}' \\\n  \
         -H 'Content-Type: application/json' -H 'X-Chat-Id: first' \\\n  \
         -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n",
        fleet::KEY,
        fleet::MODEL,
    );
    println!("curl http://{host}/readyz\n");
    let admin = fleet.admin(0);
    println!(
        "curl http://{admin}/v1/status -H 'Authorization: Bearer {0}'\n\n\
         curl http://{admin}/v1/lists -H 'Authorization: Bearer {0}'\n\n\
         curl http://{admin}/metrics",
        fleet::OPERATOR,
    );
}
