//! What is promised while endpoints end and start as processes do.

use std::collections::HashSet;

use pistachiochute_standins::platform::stream_caller::{
    Event, Run, bytes_of_no_event, parse_events,
};

use crate::processes::CALL_PIECES;
use crate::processes::callers::CallRecord;
use crate::processes::restarts::Ends;
use crate::versions::callers::StreamRecord;
use crate::versions::checks::{
    check_bytes, check_end, check_events, check_shares, check_version, describe, shares,
};
use crate::versions::{Findings, ReplicaSpan};

/// What callers and endpoints saw.
#[derive(Default)]
pub(crate) struct Seen {
    pub streams: Vec<StreamRecord>,
    pub calls: Vec<CallRecord>,
    /// When processes served, with an entry of their own.
    pub served: Vec<ReplicaSpan>,
    /// Ids of requests with an answer that a living endpoint ended before its last piece, as if it
    /// were whole.
    pub falsely_whole: HashSet<String>,
}

/// One promise, and the cases in which it was not kept.
struct Check {
    name: &'static str,
    cases: Vec<String>,
}

impl Check {
    fn new<I>(name: &'static str, cases: I) -> Self
    where
        I: Iterator<Item = String>,
    {
        Self {
            name,
            cases: cases.collect(),
        }
    }

    /// Number of cases, for the reader.
    fn count(&self) -> String {
        format!("{}: {}", self.name, self.cases.len())
    }

    fn broken(&self) -> Option<String> {
        let cases = &self.cases;
        (!cases.is_empty()).then(|| {
            let listed = cases.join("\n    ");
            format!("processes, {}: {} times: {listed}", self.name, cases.len())
        })
    }
}

/// Holds what was seen against the promises.
pub(crate) fn check(seen: &Seen, ends: &Ends) -> Findings {
    let streams = || seen.streams.iter();
    let is_excused = |stream: &&StreamRecord| {
        let mut tries = stream.caller.tries().iter();
        tries.any(|tried| seen.falsely_whole.contains(&tried.request))
    };
    let short = |is_counted: bool| {
        let counted = streams().filter(move |stream| is_excused(stream) != is_counted);
        counted.filter_map(check_end)
    };
    let checks = [
        Check::new("short streams that look whole", short(true)),
        Check::new(
            "events missing, twice or of another request",
            streams().filter_map(check_events),
        ),
        Check::new(
            "runs joined elsewhere than at the last event",
            streams().filter_map(check_runs),
        ),
        Check::new(
            "streams with other bytes",
            streams().filter_map(check_bytes),
        ),
        Check::new(
            "streams of two versions",
            streams().filter_map(check_version),
        ),
        Check::new(
            "calls with a wrong whole body",
            seen.calls.iter().filter_map(check_call),
        ),
    ];
    let served = seen.calls.iter().filter(|call| is_served(call)).count();
    let (new, taken_up) = shares(&seen.streams, &seen.served);
    let mut broken: Vec<_> = checks.iter().filter_map(Check::broken).collect();
    let too_seldom = check_shares(new, taken_up);
    broken.extend(too_seldom.map(|found| format!("processes, {found}")));
    let streams = seen.streams.len();
    let calls = seen.calls.len();
    let excused = short(false).count();
    let counts: Vec<_> = checks.iter().map(Check::count).collect();
    let counts = counts.join(", ");
    let summary = format!(
        "processes: {ends}; {streams} streams, {new} began, {taken_up} take-ups went on; \
         {served} of {calls} calls served; {counts}; short streams that are excused: {excused}"
    );
    Findings { broken, summary }
}

fn is_served(call: &CallRecord) -> bool {
    call.answer.status == 200 && call.answer.is_complete
}

/// A run follows another one at the event after the last one that the caller has, and does not come
/// again.
fn check_runs(stream: &StreamRecord) -> Option<String> {
    let mut runs: Vec<&Run> = Vec::new();
    for event in stream.caller.events() {
        let run = event.run.as_ref()?;
        if runs.last() == Some(&run) {
            continue;
        }
        if runs.contains(&run) || run.first != event.id {
            let described = describe(stream);
            return Some(format!("{event:?} after {runs:?}, in {described}"));
        }
        runs.push(run);
    }
    None
}

/// A complete success is the whole answer of one run of this very request.
fn check_call(call: &CallRecord) -> Option<String> {
    if !is_served(call) {
        return None;
    }
    let pieces = parse_events(&call.answer.body).unwrap_or_default();
    let run = pieces.first().and_then(|piece| piece.run.clone());
    let is_of_run = |piece: &Event| piece.request == call.id && piece.run == run;
    let is_whole = pieces.iter().map(|piece| piece.id).eq(0..CALL_PIECES)
        && pieces.iter().all(is_of_run)
        && bytes_of_no_event(&call.answer).is_none();
    let CallRecord { id, host, answer } = call;
    (!is_whole).then(|| {
        format!(
            "{id} at host-{host}: {:?} with {:?}",
            answer.head, answer.body
        )
    })
}
