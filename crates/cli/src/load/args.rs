//! Arguments of the `load` subcommand.

use std::net;
use std::time::Duration;

/// Time in which one account sends more than its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Surge {
    /// Factor on the rate of the first account.
    pub(super) factor: f64,
    /// Start of the surge.
    pub(super) from: Duration,
    /// End of the surge.
    pub(super) until: Duration,
}

/// What to send.
#[derive(Clone, Debug)]
pub(super) struct Config {
    /// Addresses of the hosts for callers, used in turn.
    pub(super) targets: Vec<net::SocketAddr>,
    /// API keys of the accounts, which share the load evenly. The first one surges.
    pub(super) keys: Vec<String>,
    /// Model that is asked for.
    pub(super) model: String,
    /// Requests a second over all accounts.
    pub(super) rate: f64,
    /// Time over which requests are sent.
    pub(super) duration: Duration,
    /// Share of the requests that go on with an earlier chat.
    pub(super) returning: f64,
    /// Chats that each account may return to.
    pub(super) chats: usize,
    /// Length that each turn adds to a chat, in bytes.
    pub(super) turn_bytes: usize,
    /// Tokens of each answer.
    pub(super) answer_tokens: u32,
    /// Whether answers are streamed.
    pub(super) stream: bool,
    /// Surge of the first account.
    pub(super) surge: Option<Surge>,
    /// Time that one request may take.
    pub(super) timeout: Duration,
    /// Requests that are under way at once.
    pub(super) senders: usize,
    /// Seed of the arrivals and chats.
    pub(super) seed: u64,
}

/// The `load` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("load")
        .about("Send open-loop load and report latencies and counted outcomes")
        .after_help(
            "Examples:\n  \
             pistachiochute load --target 127.0.0.1:8080 --key KEY --model reader --rate 50\n  \
             pistachiochute load --target 127.0.0.1:8080 --key LARGE --key SMALL --model reader \\\n    \
             --rate 100 --duration 30 --surge 8 --surge-from 10 --surge-for 5 --json",
        )
        .arg(
            option("target", "ADDR", "Address of a host for callers; several are used in turn")
                .required(true)
                .action(clap::ArgAction::Append)
                .value_parser(clap::value_parser!(net::SocketAddr)),
        )
        .arg(
            option("key", "KEY", "API key of an account; several share the load")
                .required(true)
                .action(clap::ArgAction::Append),
        )
        .arg(option("model", "NAME", "Model to ask for").required(true))
        .arg(number::<f64>("rate", "Requests a second", "10"))
        .arg(number::<f64>("duration", "Seconds over which requests are sent", "10"))
        .arg(number::<f64>("returning", "Share of requests that go on with a chat", "0.8"))
        .arg(number::<usize>("chats", "Chats that each account may return to", "200"))
        .arg(number::<usize>("turn-bytes", "Bytes that each turn adds to a chat", "512"))
        .arg(number::<u32>("answer-tokens", "Tokens of each answer", "16"))
        .arg(number::<f64>("surge", "Factor on the rate of the first account", "1"))
        .arg(number::<f64>("surge-from", "Second at which the surge starts", "0"))
        .arg(number::<f64>("surge-for", "Seconds that the surge lasts", "0"))
        .arg(number::<f64>("timeout", "Seconds that one request may take", "120"))
        .arg(number::<usize>("senders", "Requests under way at once", "256"))
        .arg(number::<u64>("seed", "Seed of the arrivals and chats", "1"))
        .arg(
            clap::Arg::new("whole")
                .long("whole")
                .action(clap::ArgAction::SetTrue)
                .help("Ask for whole answers instead of streams"),
        )
        .arg(crate::json_arg())
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).help(help)
}

fn number<T>(name: &'static str, help: &'static str, default: &'static str) -> clap::Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    option(name, "N", help)
        .default_value(default)
        .value_parser(|text: &str| text.parse::<T>())
}

/// Reads the arguments.
///
/// # Errors
///
/// Returns an error if a number is out of its range.
pub(super) fn parse(matches: &clap::ArgMatches) -> eyre::Result<Config> {
    let returning = get(matches, "returning");
    eyre::ensure!(
        (0.0..=1.0).contains(&returning),
        "--returning is not from 0 to 1"
    );
    let senders: usize = get(matches, "senders");
    eyre::ensure!(
        (1..=4096).contains(&senders),
        "--senders is not from 1 to 4096"
    );
    let chats: usize = get(matches, "chats");
    eyre::ensure!(chats >= 1, "--chats is not at least 1");
    let rate: f64 = get(matches, "rate");
    eyre::ensure!(rate > 0.0 && rate <= 1e6, "--rate is not from 0 to 1000000");
    Ok(Config {
        targets: all(matches, "target"),
        keys: all(matches, "key"),
        model: get(matches, "model"),
        rate,
        duration: seconds(matches, "duration")?,
        returning,
        chats,
        turn_bytes: get(matches, "turn-bytes"),
        answer_tokens: get(matches, "answer-tokens"),
        stream: !matches.get_flag("whole"),
        surge: surge(matches)?,
        timeout: seconds(matches, "timeout")?,
        senders,
        seed: get(matches, "seed"),
    })
}

fn surge(matches: &clap::ArgMatches) -> eyre::Result<Option<Surge>> {
    let factor: f64 = get(matches, "surge");
    eyre::ensure!(
        (1.0..=1e4).contains(&factor),
        "--surge is not from 1 to 10000"
    );
    let from = seconds(matches, "surge-from")?;
    let until = from + seconds(matches, "surge-for")?;
    let surge = Surge {
        factor,
        from,
        until,
    };
    Ok(Some(surge).filter(|surge| surge.factor > 1.0 && surge.until > surge.from))
}

fn seconds(matches: &clap::ArgMatches, name: &str) -> eyre::Result<Duration> {
    let seconds: f64 = get(matches, name);
    eyre::ensure!(
        (0.0..=1e6).contains(&seconds),
        "--{name} is not from 0 to 1000000"
    );
    Ok(Duration::from_secs_f64(seconds))
}

fn get<T>(matches: &clap::ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    let value: Option<&T> = matches.get_one(name);
    value.expect("required or with a default").clone()
}

fn all<T>(matches: &clap::ArgMatches, name: &str) -> Vec<T>
where
    T: Clone + Send + Sync + 'static,
{
    matches
        .get_many(name)
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}
