//! An endpoint that says to the store that it leaves gets nothing new from hosts in touch.

use std::collections::HashMap;

use super::{Ran, Seen};
use crate::load::Record;
use crate::process;

/// Checks all requests that reached endpoints which leave.
pub(super) fn check(seen: &Seen) -> Vec<String> {
    let records: HashMap<&str, &Record> = seen.records.iter().map(|r| (&*r.id, r)).collect();
    let checked = seen.runs.iter().filter_map(|ran| {
        let record = records.get(&*ran.id)?;
        check_one(seen, ran, record)
    });
    checked.collect()
}

fn check_one(seen: &Seen, ran: &Ran, record: &Record) -> Option<String> {
    let left = seen.left.get(&ran.endpoint)?;
    let after = ran.at.saturating_duration_since(*left);
    let is_in_touch = !seen.is_disturbed(record.host, record.sent, ran.at, true);
    (after > process::DRAIN && is_in_touch).then(|| {
        format!(
            "{} reached {} from host-{} {:.2} s after it left, sent {:.2} s before",
            record.id,
            ran.endpoint,
            record.host,
            after.as_secs_f64(),
            ran.at.duration_since(record.sent).as_secs_f64(),
        )
    })
}
