//! Stand-ins for the clients, the replicas and the platform, and one function for each case that needs
//! them. Only the standard library is used.
//!
//! `standin CASE DAEMON FOLDER RECORD`: plays a case with the daemon, keeps its files in FOLDER and writes
//! RECORD. With `TROUBLE=0` in the environment, the case is played without its disruption. Exits with 0 if
//! the rule held, 1 if it was broken, 2 if the case could not run.

mod common;
mod crashing_part;
mod fleet;
mod http;
mod json;
mod prompt_parts;
mod refused;
mod replica;
mod store;
mod take_ups;
mod two_versions;

use std::path::Path;
use std::process::ExitCode;

/// What came of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

/// What a case is played with.
pub struct Setup {
    pub place: fleet::Place,
    pub record: fleet::Record,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, daemon, folder, record] = &args[..] else {
        eprintln!("standin CASE DAEMON FOLDER RECORD");
        return ExitCode::from(2);
    };
    let setup = Setup {
        place: fleet::Place {
            daemon: daemon.into(),
            folder: folder.into(),
        },
        record: fleet::Record::create(Path::new(record)),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match case.as_str() {
        "refused-while-forwarded" => refused::refused_while_forwarded(&setup),
        "streams-of-two-versions" => two_versions::streams_of_two_versions(&setup),
        "many-prompt-parts" => prompt_parts::many_prompt_parts(&setup),
        "streams-taken-up" => take_ups::streams_taken_up(&setup),
        "crashing-part" => crashing_part::crashing_part_behind_others(&setup),
        _ => Outcome::NotRun(format!("no case {case}")),
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    setup.record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
