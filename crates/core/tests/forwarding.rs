//! Which host serves for one that reaches no endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::forwarding::{Candidate, Hosts, MAX_HOSTS_PER_REQUEST, Outcome};
use pistachiochute_core::time::Time;

fn at(ms: u64) -> Time {
    Time::from_secs(100) + Duration::from_millis(ms)
}

fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// What came of the requests of one host without endpoints.
#[derive(Debug, Default)]
struct Tally {
    served: usize,
    refused: usize,
    /// Requests that hosts got that could not serve.
    in_vain: usize,
    by_host: HashMap<Arc<str>, usize>,
}

/// Requests of a host without endpoints, one every `interval_ms` for `span_ms`, in a fleet of `hosts`
/// others of which the first `able` reach endpoints. Each is under way for 500 ms.
fn play(hosts: usize, able: usize, interval_ms: u64, span_ms: u64) -> Tally {
    let names: Vec<Arc<str>> = (0..hosts).map(|i| format!("host-{i}").into()).collect();
    let candidates: Vec<_> = names
        .iter()
        .map(|name| Candidate {
            name,
            hash: hash(name),
        })
        .collect();
    let is_able = |name: &Arc<str>| names[..able].contains(name);
    let mut known = Hosts::default();
    let mut tally = Tally::default();
    let mut under_way: Vec<(u64, Arc<str>)> = Vec::new();
    for ms in (0..span_ms).step_by(interval_ms as usize) {
        under_way.retain(|(until, name)| {
            let goes_on = *until > ms;
            if !goes_on {
                known.end(name);
            }
            goes_on
        });
        let mut left = candidates.clone();
        let mut is_served = false;
        for asked in 0..MAX_HOSTS_PER_REQUEST {
            let seed = hash(&ms.to_string());
            let Some(chosen) = known.choose(&left, seed, asked, at(ms)) else {
                break;
            };
            left.retain(|c| *c.name != chosen);
            *tally.by_host.entry(chosen.clone()).or_default() += 1;
            is_served = is_able(&chosen);
            let outcome = match is_served {
                true => Outcome::Served,
                false => Outcome::Unable,
            };
            known.record(&chosen, outcome, at(ms));
            match is_served {
                true => {
                    under_way.push((ms + 500, chosen));
                    break;
                }
                false => {
                    known.end(&chosen);
                    tally.in_vain += 1;
                }
            }
        }
        match is_served {
            true => tally.served += 1,
            false => tally.refused += 1,
        }
    }
    tally
}

/// Guards against RECOVER: a host that finds none of the hosts that can serve for it.
#[test]
fn requests_find_a_host_that_can_serve() {
    for (hosts, able) in [
        (5, 2),
        (7, 3),
        (7, 1),
        (29, 20),
        (29, 6),
        (294, 236),
        (294, 100),
    ] {
        let tally = play(hosts, able, 100, 9_000);
        let sent = tally.served + tally.refused;
        assert!(
            tally.served * 20 >= sent * 19,
            "{hosts} hosts, {able} able: {tally:?}"
        );
    }
}

/// Guards against a fleet that asks itself in vain while no host reaches an endpoint.
#[test]
fn few_requests_are_passed_on_while_no_host_can_serve() {
    for hosts in [7, 29, 294] {
        let tally = play(hosts, 0, 10, 10_000);
        assert_eq!(tally.served, 0);
        // Ten a second, and ten at once.
        assert!(tally.in_vain <= 110, "{hosts} hosts: {}", tally.in_vain);
    }
}

/// Guards against one host that serves for all, although others could.
#[test]
fn requests_are_divided_among_hosts_that_can_serve() {
    let tally = play(29, 20, 10, 9_000);
    let most = tally.by_host.values().max().expect("a host");
    let used = tally.by_host.values().filter(|count| **count >= 50).count();
    assert!(used >= 3, "{tally:?}");
    assert!(*most <= tally.served / 2, "{tally:?}");
}
