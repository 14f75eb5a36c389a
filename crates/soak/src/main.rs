//! Runs real hosts as separate processes and injects faults from outside them.
//!
//! A seed gives a schedule of faults: hosts are stopped, killed, paused and told to reload; the
//! store refuses, falls silent or loses answers; connections to the store and to endpoints are
//! reset, delayed, silenced both ways or one way; endpoints refuse, lose, hang and garble; routes,
//! keys and endpoints change. Other hosts meet planned work only, in series that overlap. Meanwhile
//! callers send requests, and what they and the endpoints see is held against the promises of the
//! product. See `docs/SOAK.md`.

mod asked;
mod checks;
mod crashes;
mod crowds;
mod evacuations;
mod fleet;
mod foreign;
mod known_red;
mod load;
mod process;
mod processes;
mod rollouts;
mod schedule;
mod versions;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit status of a broken promise.
const BROKEN: u8 = 1;

/// Exit status of a soak that could not run.
const NOT_RUN: u8 = 3;

fn main() -> ExitCode {
    let matches = command().get_matches();
    if let Some((processes::server::SUBCOMMAND, matches)) = matches.subcommand() {
        return serve_as_endpoint(matches);
    }
    let seed: u64 = *matches.get_one("seed").expect("it has a default");
    let seeds: u64 = *matches.get_one("seeds").expect("it has a default");
    let seconds: u64 = *matches.get_one("seconds").expect("it has a default");
    let hosts: usize = *matches.get_one("hosts").expect("it has a default");
    let daemon: &PathBuf = matches.get_one("daemon").expect("it has a default");
    let known = match matches.get_one::<PathBuf>("known-red") {
        None => known_red::KnownRed::default(),
        Some(file) => match known_red::KnownRed::load(file) {
            Ok(known) => known,
            Err(e) => {
                eprintln!("{e:#}");
                return ExitCode::from(NOT_RUN);
            }
        },
    };
    let mut broken = 0;
    for seed in seed..seed + seeds {
        let run = fleet::Run {
            seed,
            hosts,
            length: Duration::from_secs(seconds),
            daemon: daemon.clone(),
        };
        match run.play() {
            Ok(verdict) => {
                println!("{verdict}");
                broken += u64::from(!is_kept(&verdict, &known));
            }
            Err(e) => {
                eprintln!("seed {seed}: not run: {e:#}");
                return ExitCode::from(NOT_RUN);
            }
        }
    }
    println!("{seeds} seeds, {broken} with a broken promise");
    match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(BROKEN),
    }
}

/// Whether all promises were kept, but for those that are known to be broken, which are printed.
fn is_kept(verdict: &checks::Verdict, known: &known_red::KnownRed) -> bool {
    let (listed, others): (Vec<_>, Vec<_>) = verdict
        .broken
        .iter()
        .partition(|broken| known.lists(broken));
    for broken in listed {
        println!("known red, passed over: {broken}");
    }
    others.is_empty()
}

fn serve_as_endpoint(matches: &clap::ArgMatches) -> ExitCode {
    match processes::server::run(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("endpoint: {e:#}");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn command() -> clap::Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        clap::Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(clap::value_parser!(u64))
            .help(help)
    };
    clap::Command::new("pistachiochute-soak")
        .version(clap::crate_version!())
        .about("Injects faults into real hosts and checks what callers and endpoints see")
        .after_help("Example:\n  pistachiochute-soak --seed 100 --seeds 50 --seconds 20")
        .subcommand(processes::server::command())
        .arg(number("seed", "1", "First seed"))
        .arg(number(
            "seeds",
            "1",
            "Seeds that are played, one after the other",
        ))
        .arg(number("seconds", "12", "Time in which faults begin"))
        .arg(
            clap::Arg::new("known-red")
                .long("known-red")
                .value_parser(clap::value_parser!(PathBuf))
                .help("File of the promises that are known to be broken, as `test: soak NAME`"),
        )
        .arg(
            clap::Arg::new("hosts")
                .long("hosts")
                .default_value("4")
                .value_parser(clap::value_parser!(usize))
                .help("Hosts with faults of all kinds, beside those with planned work only"),
        )
        .arg(
            clap::Arg::new("daemon")
                .long("daemon")
                .default_value("target/release/pistachiochuted")
                .value_parser(clap::value_parser!(PathBuf))
                .help("Program of the hosts"),
        )
}
