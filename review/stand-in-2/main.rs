//! Plays one case of the review against real hosts: `lab CASE RECORD`.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod clients;
mod foreign_entry;
mod frozen_reader;
mod grey_replica;
mod host;
mod http;
mod json;
mod record;
mod replica;
mod restored_store;
mod store;

mod weight_change;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::{env, fs, process, thread};

use record::Record;

/// Time after which a case ends in any case.
const LONGEST: Duration = Duration::from_secs(110);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    CouldNotRun(String),
}

/// What a case needs.
pub struct Lab {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub program: PathBuf,
    pub with_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: lab CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    if let Err(e) = fs::create_dir_all(&folder) {
        eprintln!("{}: {e}", folder.display());
        return ExitCode::from(2);
    }
    let lab = Lab {
        record: Arc::new(Record::new()),
        folder: folder.clone(),
        program: PathBuf::from("target/release/pistachiochuted"),
        with_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case took too long");
        host::end_all();
        process::exit(2);
    });
    let verdict = match case.as_str() {
        "restored-store" => restored_store::play(&lab),
        "foreign-entry" => foreign_entry::play(&lab),
        "frozen-reader" => frozen_reader::play(&lab),
        "grey-replica" => grey_replica::play(&lab),
        "weight-change" => weight_change::play(&lab),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::CouldNotRun(cause) => (2, format!("the case could not run: {cause}")),
    };
    lab.record.add(text.clone());
    lab.record.write(Path::new(file));
    println!("{text}");
    drop(fs::remove_dir_all(&folder));
    ExitCode::from(code)
}
