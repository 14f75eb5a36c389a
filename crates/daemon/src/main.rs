//! Daemon that runs on every entry host.
//!
//! SIGTERM and SIGINT begin a planned stop: the host takes no more requests, finishes those in
//! progress within the bound of the settings, and exits. A second SIGINT stops it at once.

mod platform_host;
mod signals;

use std::{fmt, path, process};

use eyre::WrapErr as _;
use pistachiochute_runtime::{host, log, metrics, settings};
use signal_hook::iterator::Signals;

/// Exit status of a host that could not start, or that cut requests off when it stopped.
const FAILED: u8 = 1;

/// Exit status for settings with findings.
const FAULTY_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    let file: &path::PathBuf = matches.get_one("settings").expect("required argument");
    if matches.get_flag("on-platform") {
        return platform_host::main(file, matches.get_flag("check"));
    }
    let loaded = settings::Settings::load(file);
    check_and_run(file, loaded, matches.get_flag("check"), run)
}

/// Prints the findings of the settings, or runs the host with them unless only the check was asked
/// for.
fn check_and_run<T, E, F>(
    file: &path::Path,
    loaded: Result<T, Vec<E>>,
    only_check: bool,
    run: F,
) -> process::ExitCode
where
    E: fmt::Display,
    F: FnOnce(T) -> eyre::Result<process::ExitCode>,
{
    match loaded {
        Ok(_) if only_check => process::ExitCode::SUCCESS,
        Ok(settings) => run(settings).unwrap_or_else(|e| {
            eprintln!("pistachiochuted: {e:#}");
            process::ExitCode::from(FAILED)
        }),
        Err(findings) => {
            for finding in findings {
                eprintln!("{}: {finding}", file.display());
            }
            process::ExitCode::from(FAULTY_SETTINGS)
        }
    }
}

fn command() -> clap::Command {
    clap::Command::new("pistachiochuted")
        .version(clap::crate_version!())
        .about("Daemon of the router fleet, run on every entry host")
        .after_help(
            "SIGTERM and SIGINT begin a planned stop, which finishes the requests in progress; a \
             second SIGINT stops at once.\n\n\
             Exit status 1 if the host cannot start or cut requests off when it stopped, 2 if the \
             settings are faulty.\n\n\
             Examples:\n  pistachiochuted --settings host3.json\n  \
             pistachiochuted --settings host3.json --check",
        )
        .arg(
            clap::Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Settings of the host, in JSON"),
        )
        .arg(
            clap::Arg::new("on-platform")
                .long("on-platform")
                .action(clap::ArgAction::SetTrue)
                .help("Run on the users' platform; the settings are those of deploy/settings.json"),
        )
        .arg(
            clap::Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Only check the settings"),
        )
}

fn run(settings: settings::Settings) -> eyre::Result<process::ExitCode> {
    // Registered first, so that a signal during the start is not lost.
    let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
    let signals = Signals::new(signals).wrap_err("signals")?;
    let signals = signals::follow(signals).wrap_err("signal thread")?;
    let log = log::Log::to_stderr(&settings.host, settings.log_level);
    let metrics = metrics::Metrics::new()?;
    let sockets = host::Sockets::bind(&settings.listen)?;
    let logger = log.logger().clone();
    let host = host::Host::start(settings, sockets, metrics, logger.clone())?;
    slog::info!(logger, "started"; "callers" => %host.callers(), "links" => %host.links());

    // Only a stop is registered. The thread lasts as long as the process.
    signals.recv().wrap_err("signals")?;
    slog::info!(logger, "planned stop begins");
    let drained = host.drain();
    host.close();
    let code = match drained {
        host::DrainResult::Complete => {
            slog::info!(logger, "stopped");
            process::ExitCode::SUCCESS
        }
        host::DrainResult::TimedOut(left) => {
            slog::error!(logger, "requests cut off"; "requests" => left);
            process::ExitCode::from(FAILED)
        }
    };
    drop(logger);
    log.close();
    Ok(code)
}
