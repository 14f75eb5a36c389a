//! Shell completions.

use std::{io, process};

/// The `completions` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("completions")
        .about("Print shell completions")
        .after_help("Example:\n  pistachiochute completions bash > pistachiochute.bash")
        .arg(
            clap::Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(clap::value_parser!(clap_complete::Shell)),
        )
}

/// Prints the completions of `command` for a shell.
pub(crate) fn run(
    matches: &clap::ArgMatches,
    mut command: clap::Command,
) -> eyre::Result<process::ExitCode> {
    let shell: clap_complete::Shell = *matches.get_one("shell").expect("required argument");
    let name = command.get_name().to_owned();
    clap_complete::generate(shell, &mut command, name, &mut io::stdout());
    Ok(process::ExitCode::SUCCESS)
}
