//! An endpoint that says in an answer that it leaves gets nothing new.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::endpoint::seal_of;

use super::{Disturbance, Ran, Seen};
use crate::load::Record;

/// Time after an answer in which an endpoint says that it leaves, after which neither the host that
/// passed it on nor another undisturbed one sends it what callers ask: the bound of the pages.
const NOTICE_BOUND: Duration = Duration::from_secs(2);

/// A request that reached an endpoint after it began to say that it leaves.
struct Late<'a> {
    ran: &'a Ran,
    record: &'a Record,
}

/// Checks all endpoints that say in their answers that they leave.
pub(super) fn check(seen: &Seen) -> Vec<String> {
    let records: HashMap<&str, &Record> = seen.records.iter().map(|r| (&*r.id, r)).collect();
    let mut by_endpoint: HashMap<&str, Vec<Late<'_>>> = HashMap::new();
    for ran in &seen.runs {
        let noticed = seen.noticed.get(&ran.endpoint);
        let record = records.get(&*ran.id);
        if let (Some(noticed), Some(record)) = (noticed, record)
            && ran.at >= *noticed
        {
            by_endpoint
                .entry(&ran.endpoint)
                .or_default()
                .push(Late { ran, record });
        }
    }
    let checked = by_endpoint.values().flat_map(|late| {
        let told = told(late);
        late.iter()
            .filter_map(move |one| check_one(seen, one, &told))
    });
    checked.collect()
}

/// When each host has passed on an answer of the endpoint.
fn told(late: &[Late<'_>]) -> HashMap<usize, Instant> {
    let mut told: HashMap<usize, Instant> = HashMap::new();
    let passed_on = |one: &&Late<'_>| {
        let seal = seal_of(&one.ran.endpoint);
        one.record
            .answer
            .seal()
            .is_some_and(|found| *found == *seal)
    };
    for one in late.iter().filter(passed_on) {
        let first = told.entry(one.record.host).or_insert(one.record.ended);
        *first = (*first).min(one.record.ended);
    }
    told
}

fn check_one(seen: &Seen, one: &Late<'_>, told: &HashMap<usize, Instant>) -> Option<String> {
    let Record { host, sent, .. } = *one.record;
    let is_late = |told: Instant| sent.saturating_duration_since(told) > NOTICE_BOUND;
    let restarted = |told: Instant| {
        let mut disturbed = seen.disturbed.iter();
        disturbed.any(|d| {
            d.kind != Disturbance::Store && d.host == host && d.from <= sent && d.until >= told
        })
    };
    let by_told_host = told
        .get(&host)
        .is_some_and(|told| is_late(*told) && !restarted(*told));
    let by_other = told
        .values()
        .min()
        .is_some_and(|told| is_late(*told) && !seen.is_disturbed(host, *told, sent, true));
    (by_told_host || by_other).then(|| {
        format!(
            "{} reached {} from host-{host} after it had said that it leaves",
            one.record.id, one.ran.endpoint
        )
    })
}
