//! Sends open-loop load to the fleet and reports what came of it.
//!
//! Arrivals follow a plan that is fixed by the seed and does not wait for answers, so that a slow
//! fleet gets no relief. Latencies count from the planned time of a request, and so hold the time
//! that it waited for a sender.

mod args;
mod chats;
mod plan;
mod report;
mod senders;
mod tally;
#[cfg(test)]
mod tests;

use std::process;

pub(crate) use args::command;

/// Sends the load and prints the report.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let cfg = args::parse(matches)?;
    let tally = senders::run(&cfg)?;
    let report = report::Report::new(&cfg, &tally);
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        report.print();
    }
    Ok(process::ExitCode::SUCCESS)
}
