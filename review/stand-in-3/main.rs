//! Runs one case of the review: stand-ins for the store, the replicas and the clients, in one process.

mod cases;
mod fleet;
mod http;
mod json;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(root), Some(folder)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: stand-in-3 CASE REPOSITORY FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let cx = match cases::Context::new(PathBuf::from(root), PathBuf::from(folder), with_trouble) {
        Ok(cx) => cx,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    fleet::watch_over();
    let result = cases::run(&case, &cx);
    match &result {
        Ok(Verdict::Held) => cx.record.add("result: the rule held"),
        Ok(Verdict::Broken) => cx.record.add("result: the rule was broken"),
        Err(e) => cx
            .record
            .add(format!("result: the case could not run: {e}")),
    }
    if cx.close().is_err() {
        return ExitCode::from(2);
    }
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
