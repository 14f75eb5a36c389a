//! Runs a host on the users' platform.

use std::sync::mpsc;
use std::{io, path, process};

use eyre::WrapErr as _;
use pistachiochute_gateway::{gateway, settings};
use pistachiochute_platform as platform;
use pistachiochute_runtime::log;
use signal_hook::consts;
use signal_hook::iterator::Signals;

use crate::{FAILED, signals};

/// Checks the settings, and runs the host unless that is all that was asked for.
pub(crate) fn main(file: &path::Path, only_check: bool) -> process::ExitCode {
    // Registered first, so that a signal during the start is not lost. SIGHUP would end the process.
    let signals = Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP]);
    let loaded = settings::Settings::load(file);
    crate::check_and_run(file, loaded, only_check, |settings| {
        run(file, settings, signals.wrap_err("signals")?)
    })
}

fn run(
    file: &path::Path,
    settings: settings::Settings,
    signals: Signals,
) -> eyre::Result<process::ExitCode> {
    let signals = signals::follow(signals).wrap_err("signal thread")?;
    let fields = slog::o!(
        "host" => settings.host.name.clone(), "domain" => settings.host.domain.clone(),
    );
    let log = log::Log::with_fields(io::stdout(), slog::Level::Info, fields);
    let logger = log.logger().clone();
    let store = settings.store.address;
    slog::info!(
        logger, "started";
        "callers" => %settings.listen.callers, "links" => %settings.listen.links,
        "store" => %store, "version" => env!("CARGO_PKG_VERSION"),
    );
    let gateway = platform::start(settings.clone(), logger.clone())?;
    follow_signals(&signals, file, &settings, &gateway, &logger);
    let cut = gateway.close()?;
    slog::info!(logger, "stopped"; "requests_cut" => cut);
    drop(logger);
    log.close();
    Ok(match cut {
        0 => process::ExitCode::SUCCESS,
        _ => process::ExitCode::from(FAILED),
    })
}

/// Handles signals until one begins a planned stop.
fn follow_signals(
    signals: &mpsc::Receiver<signals::Event>,
    file: &path::Path,
    settings: &settings::Settings,
    gateway: &gateway::Gateway,
    logger: &slog::Logger,
) {
    for event in signals {
        match event {
            signals::Event::Reload => reload(file, settings, logger),
            signals::Event::Stop => {
                slog::info!(logger, "planned stop begins");
                gateway.stop();
                return;
            }
        }
    }
}

/// Says whether changed settings differ from those in force, which stay: they name sockets that
/// are in use, and the host is started again with new ones.
fn reload(file: &path::Path, settings: &settings::Settings, logger: &slog::Logger) {
    match settings::Settings::load(file) {
        Ok(read) if read == *settings => slog::info!(logger, "reload"; "result" => "unchanged"),
        Ok(_) => slog::warn!(logger, "reload"; "result" => "changes need a start of the process"),
        Err(findings) => {
            let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
            slog::error!(
                logger, "reload";
                "result" => "refused", "findings" => findings.join("; "),
            );
        }
    }
}
