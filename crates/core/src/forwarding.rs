//! Choice of the host that serves a request for one that reaches no endpoint of its service.
//!
//! Hosts do not tell each other which endpoints they reach: a host that is asked and cannot serve says so
//! at once. So a host asks one that has served for it before, the less busy of two, and now and then one
//! that it knows nothing of.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::{routing, time};

/// Hosts that a request may be passed to, one after the other.
pub const MAX_HOSTS_PER_REQUEST: usize = 3;

/// Time for which a host that could not serve, or did not answer, is not asked.
const HOLD: Duration = Duration::from_secs(1);

/// Time between two requests to hosts of which nothing good is known, on average. It bounds what a fleet
/// asks itself while no host can serve.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Requests that may go to such hosts at once.
const TRIAL_BURST: u32 = 10;

/// Hosts that have served, above which no others are tried, as long as they are not busy.
const ENOUGH_HOSTS: usize = 4;

/// One in this many requests tries another host while fewer than [`ENOUGH_HOSTS`] have served.
const EXPLORING_REQUESTS: u64 = 8;

/// What came of a request that was passed to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The host answered the request, or refused it for another reason than that it reaches no endpoint.
    Served,
    /// The host reaches no endpoint either, does not serve now, or cannot be reached.
    Unable,
}

/// A host that can be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a Arc<str>,
    /// Hash of the name.
    pub hash: u64,
}

/// What is known of one other host, for one service.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Whether it served the last request that it was asked to.
    has_served: bool,
    /// Requests under way there.
    in_flight: u32,
    held_until: time::Time,
}

/// What is known of the other hosts, for one service.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    records: HashMap<Arc<str>, Record>,
    /// Up to [`TRIAL_BURST`] intervals in the past.
    next_trial: time::Time,
}

impl Hosts {
    /// Chooses the host for a request among `candidates`, and counts the request as under way there.
    /// `seed` differs between requests. `asked` is the number of hosts that the request was passed to
    /// before, which are not among the candidates.
    pub fn choose(
        &mut self,
        candidates: &[Candidate<'_>],
        seed: u64,
        asked: usize,
        now: time::Time,
    ) -> Option<Arc<str>> {
        let record = |c: &Candidate<'_>| self.records.get(c.name).copied().unwrap_or_default();
        let score = |c: &Candidate<'_>| routing::rendezvous::score(seed, c.hash as u32);
        let is_free = |c: &&Candidate<'_>| now >= record(c).held_until;
        let (mut good, mut others): (Vec<_>, Vec<_>) = candidates
            .iter()
            .filter(is_free)
            .partition(|c| record(c).has_served);
        good.sort_unstable_by_key(|c| score(c));
        others.sort_unstable_by_key(|c| score(c));
        let is_exploring = asked == 0 && seed.is_multiple_of(EXPLORING_REQUESTS);
        let explores = good.len() < ENOUGH_HOSTS && is_exploring;
        let may_try = now >= self.next_trial && (good.is_empty() || explores);
        let trial = others.first().filter(|_| may_try);
        let chosen = match trial {
            Some(trial) => {
                let earliest = now - TRIAL_INTERVAL * (TRIAL_BURST - 1);
                self.next_trial = self.next_trial.max(earliest) + TRIAL_INTERVAL;
                trial
            }
            None => good.iter().take(2).min_by_key(|c| record(c).in_flight)?,
        };
        let name = chosen.name.clone();
        self.records.entry(name.clone()).or_default().in_flight += 1;
        Some(name)
    }

    /// Records what came of a request. It is still under way until [`Hosts::end`].
    pub fn record(&mut self, host: &str, outcome: Outcome, now: time::Time) {
        if let Some(record) = self.records.get_mut(host) {
            record.has_served = outcome == Outcome::Served;
            if outcome == Outcome::Unable {
                record.held_until = now + HOLD;
            }
        }
    }

    /// Records the end of a request that [`Hosts::choose`] counted.
    pub fn end(&mut self, host: &str) {
        if let Some(record) = self.records.get_mut(host) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Forgets hosts without requests that are gone.
    pub fn retain<F>(&mut self, is_present: F)
    where
        F: Fn(&str) -> bool,
    {
        self.records
            .retain(|name, record| record.in_flight > 0 || is_present(name));
    }
}
