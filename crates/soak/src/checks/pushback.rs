//! An endpoint that asks a host for rest gets nothing from it meanwhile.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Disturbance, Ran, Seen};
use crate::load::Record;

/// Time from a refusal after which the bound holds.
const TIME_TO_STOP: Duration = Duration::from_millis(500);

/// Requests that may reach the endpoint from the host until the rest is over.
const MAX_REQUESTS: usize = 2;

/// An endpoint and a host that sends to it.
type Pair<'a> = (&'a str, usize);

/// Rest that an endpoint asked a host for.
struct Rest {
    from: Instant,
    until: Instant,
}

/// Checks all endpoints that ask for rest.
pub(super) fn check(seen: &Seen) -> Vec<String> {
    let records: HashMap<&str, &Record> = seen.records.iter().map(|r| (&*r.id, r)).collect();
    let pair = |ran: &'_ Ran| records.get(&*ran.id).map(|record| record.host);
    let refused = seen.refusals.iter().map(|refused| &refused.ran);
    let mut arrivals: HashMap<Pair<'_>, Vec<Instant>> = HashMap::new();
    for ran in seen.runs.iter().chain(refused) {
        if let Some(host) = pair(ran) {
            arrivals
                .entry((&ran.endpoint, host))
                .or_default()
                .push(ran.at);
        }
    }
    let checked = seen.refusals.iter().filter_map(|refused| {
        let host = pair(&refused.ran)?;
        let rest = Rest {
            from: refused.ran.at + TIME_TO_STOP,
            until: refused.ran.at + Duration::try_from_secs_f64(refused.rest?).ok()?,
        };
        let arrivals = arrivals.get(&(&*refused.ran.endpoint, host))?;
        check_one(seen, &refused.ran.endpoint, host, &rest, arrivals)
    });
    checked.collect()
}

fn check_one(
    seen: &Seen,
    endpoint: &str,
    host: usize,
    rest: &Rest,
    arrivals: &[Instant],
) -> Option<String> {
    let is_during = |at: &&Instant| (rest.from..rest.until).contains(*at);
    let got = arrivals.iter().filter(is_during).count();
    // The process may have been stopped, or have stood still, since the refusal.
    let is_excused = seen.disturbed.iter().any(|d| {
        let is_process = d.kind != Disturbance::Store;
        is_process && d.host == host && d.from <= rest.until && d.until + TIME_TO_STOP >= rest.from
    });
    (got > MAX_REQUESTS && !is_excused)
        .then(|| format!("{got} requests reached {endpoint} from host-{host} while it rested"))
}
