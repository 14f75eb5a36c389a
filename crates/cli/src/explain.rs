//! Tells the story of one request from the logs of the hosts.
//!
//! Lines are kept in the order in which each host wrote them. Clocks of hosts may differ and jump, so
//! lines of different hosts are not put in one order.

use std::collections::BTreeMap;
use std::io::{self, BufRead};
use std::{fs, path, process};

use eyre::WrapErr as _;
use serde_json::Value;

use crate::exit;

/// Lines that say what a host believes, of which the last one before a request's line counts.
const BELIEFS: [&str; 4] = [
    "started",
    "catalog taken over",
    "store lost",
    "store regained",
];

/// Fields that are not shown again on each line.
const KNOWN_FIELDS: [&str; 6] = ["msg", "level", "ts", "host", "domain", "request"];

/// The `explain` subcommand.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("explain")
        .about("Tell the story of one request from the logs of the hosts")
        .after_help(
            "Text before the first brace of a line is left out. Exit status 1 if no line is about the \
             request.\n\n\
             Examples:\n  pistachiochute explain 9c41d07be2a35f68 host-*.log\n  \
             cat all.log | pistachiochute explain 9c41d07be2a35f68",
        )
        .arg(
            clap::Arg::new("request")
                .value_name("ID")
                .required(true)
                .help("Id of the request, as its caller sent it"),
        )
        .arg(
            clap::Arg::new("files")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Logs of hosts; standard input if there is none"),
        )
}

/// Reads the logs and prints the story.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let id: &String = matches.get_one("request").expect("required argument");
    let files: Vec<&path::PathBuf> = matches.get_many("files").into_iter().flatten().collect();
    let mut story = Story::new(id);
    if files.is_empty() {
        story.read(io::stdin().lock()).wrap_err("standard input")?;
    }
    for file in files {
        let opened = fs::File::open(file);
        let reader = opened.wrap_err_with(|| file.display().to_string())?;
        story
            .read(io::BufReader::new(reader))
            .wrap_err_with(|| file.display().to_string())?;
    }
    let lines = story.tell();
    if lines.is_empty() {
        println!("no line is about request {id}");
        return Ok(process::ExitCode::from(exit::FAILED));
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(process::ExitCode::SUCCESS)
}

/// What one host wrote that belongs to the story.
#[derive(Debug, Default)]
struct Chapter {
    /// Last line of each belief.
    beliefs: BTreeMap<&'static str, Value>,
    /// Last line of each endpoint.
    endpoints: BTreeMap<String, Value>,
    /// Lines that are told.
    told: Vec<String>,
}

/// The story of one request, by host.
#[derive(Debug)]
struct Story<'a> {
    id: &'a str,
    chapters: BTreeMap<String, Chapter>,
}

impl<'a> Story<'a> {
    const fn new(id: &'a str) -> Self {
        Self {
            id,
            chapters: BTreeMap::new(),
        }
    }

    fn read<R>(&mut self, reader: R) -> io::Result<()>
    where
        R: BufRead,
    {
        for line in reader.lines() {
            let line = line?;
            let Some(brace) = line.find('{') else {
                continue;
            };
            // Other programs may write to the same log.
            let Ok(value) = serde_json::from_str::<Value>(&line[brace..]) else {
                continue;
            };
            self.take(value);
        }
        Ok(())
    }

    fn take(&mut self, line: Value) {
        let text = |name: &str| line[name].as_str().unwrap_or("").to_owned();
        let message = text("msg");
        let chapter = self.chapters.entry(text("host")).or_default();
        if text("request") == self.id {
            chapter.tell(&message, &line);
        } else if message == "endpoint changed" {
            let key = text("key");
            let id = key.rsplit('/').next().unwrap_or("").to_owned();
            chapter.endpoints.insert(id, line);
        } else if let Some(belief) = BELIEFS.iter().find(|belief| **belief == message) {
            chapter.beliefs.insert(belief, line);
        }
    }

    /// Lines of the story, the hosts by name.
    fn tell(self) -> Vec<String> {
        let mut lines = Vec::new();
        for (host, chapter) in self.chapters {
            if chapter.told.is_empty() {
                continue;
            }
            lines.push(format!("host {host}"));
            lines.extend(chapter.told);
        }
        lines
    }
}

impl Chapter {
    /// Tells a line of the request, after the beliefs that it may have rested on.
    fn tell(&mut self, message: &str, line: &Value) {
        let beliefs = std::mem::take(&mut self.beliefs);
        for (belief, line) in &beliefs {
            self.told
                .push(format!("  before: {belief}{}", fields(line)));
        }
        let endpoint = line["endpoint"].as_str().unwrap_or("");
        let id = endpoint.split('@').next().unwrap_or("");
        if let Some(changed) = self.endpoints.remove(id) {
            self.told
                .push(format!("  before: endpoint changed{}", fields(&changed)));
        }
        self.told.push(format!("  {message}{}", fields(line)));
    }
}

/// Fields of a line that are worth showing.
fn fields(line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let shown = fields.filter(|(name, value)| {
        let is_empty = value.is_null() || value.as_str() == Some("");
        !is_empty && !KNOWN_FIELDS.contains(&name.as_str())
    });
    shown
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!(" {name}={text}"),
            None => format!(" {name}={value}"),
        })
        .collect()
}
