//! An endpoint that says in an answer that it leaves gets nothing new.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::endpoint::seal_of;

use super::{Disturbance, Ran, Seen};
use crate::load::Record;
use crate::process;

/// Time after an answer in which an endpoint says that it leaves, after which neither the host that
/// passed it on nor another undisturbed one sends it what callers ask: the bound of the pages.
const NOTICE_BOUND: Duration = process::DRAIN;

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
        let informed = informed(late);
        late.iter()
            .filter_map(move |one| check_one(seen, one, &informed))
    });
    checked.collect()
}

/// When each host has passed on an answer of the endpoint.
fn informed(late: &[Late<'_>]) -> HashMap<usize, Instant> {
    let mut informed: HashMap<usize, Instant> = HashMap::new();
    let passed_on = |one: &&Late<'_>| {
        let seal = seal_of(&one.ran.endpoint);
        one.record
            .answer
            .seal()
            .is_some_and(|found| *found == *seal)
    };
    for one in late.iter().filter(passed_on) {
        let first = informed.entry(one.record.host).or_insert(one.record.ended);
        *first = (*first).min(one.record.ended);
    }
    informed
}

fn check_one(seen: &Seen, one: &Late<'_>, informed: &HashMap<usize, Instant>) -> Option<String> {
    let Record { host, sent, .. } = *one.record;
    let is_late = |informed: Instant| sent.saturating_duration_since(informed) > NOTICE_BOUND;
    let restarted = |informed: Instant| {
        let mut disturbed = seen.disturbed.iter();
        disturbed.any(|d| {
            d.kind != Disturbance::Store && d.host == host && d.from <= sent && d.until >= informed
        })
    };
    let by_informed_host = informed
        .get(&host)
        .is_some_and(|informed| is_late(*informed) && !restarted(*informed));
    let by_other = informed.values().min().is_some_and(|informed| {
        is_late(*informed) && !seen.is_disturbed(host, *informed, sent, true)
    });
    (by_informed_host || by_other).then(|| {
        format!(
            "{} reached {} from host-{host} after it had said that it leaves",
            one.record.id, one.ran.endpoint
        )
    })
}
