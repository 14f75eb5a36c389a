//! What endpoints say of themselves in the heads of their answers, and when each takes another request
//! of this host.
//!
//! An endpoint may say that it leaves, name a limit on the requests of all hosts together, ask one host for
//! a pause, say that it falls over if it has to turn many requests away, or that it is cold. [`Admissions`] holds what each incarnation has said in one place: every request is
//! checked against it when its endpoint is selected, and again when its first byte is sent. Limits and
//! leave notices also reach it from other hosts; a pause concerns the host that it was asked of.

mod brittle;
mod cold;
mod pushback;
mod returning;

use std::collections::HashMap;
use std::time::Duration;

use crate::{directory, permits, rate_limits, routing, time};

pub use brittle::{Brittleness, ParseBrittlenessError};
pub use pushback::{ParsePushbackError, Pushback};
pub use returning::{RETURN_SPAN, is_held_back};

/// Time for which the record of an endpoint is kept that is not in the directory, so that one that is
/// missing for a moment is not free of what it has said. No pause is longer.
const ABSENT_RETENTION: Duration = Duration::from_secs(60);

/// What an answer says of whether its endpoint leaves. A later variant is not taken back by an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaveNotice {
    /// Nothing.
    Absent,
    /// Something that the platform does not define.
    Invalid,
    /// The endpoint leaves.
    Leaving,
}

/// Why an endpoint takes no request of this host now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closure {
    /// The share of this host in its limit is used.
    Limit,
    /// It has asked this host for a pause.
    Pushback,
    /// It is brittle and has turned a request of this host away.
    Brittle,
    /// It is cold, and the share of this host in what it bears is used.
    Cold,
}

/// When an endpoint takes another request of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Now.
    Now,
    /// Not before a time, or not while it names its limit, which other hosts use.
    Closed {
        /// Why.
        by: Closure,
        /// The time, if it is known.
        until: Option<time::Time>,
    },
}

/// What one incarnation has said.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Invariant: never goes back.
    leave_notice: LeaveNotice,
    /// Pace of this host, `Some(None)` if other hosts use the endpoint, or `None` without a limit.
    pacer: Option<Option<rate_limits::Pacer>>,
    /// When the last pause is over. Invariant: never goes back.
    resting_until: time::Time,
    /// Trials, if it is brittle and has turned a request of this host away.
    trials: Option<brittle::Trials>,
    /// What it bears while it is cold.
    cold: Option<cold::Cold>,
    /// When it was last in the directory, or said something.
    last_seen: time::Time,
}

impl Record {
    const fn new(now: time::Time) -> Self {
        Self {
            leave_notice: LeaveNotice::Absent,
            pacer: None,
            resting_until: time::Time::ZERO,
            trials: None,
            cold: None,
            last_seen: now,
        }
    }

    /// What closes the endpoint for the longest time, if anything does. `limit` is when its limit has
    /// room for this host, if that is known.
    fn opening(&self, limit: Option<time::Time>, now: time::Time) -> Opening {
        let Some(limit) = limit else {
            return Opening::Closed {
                by: Closure::Limit,
                until: None,
            };
        };
        let trial = self.trials.map_or(now, |trials| trials.opens_at());
        let cold = self.cold.map_or(now, |cold| cold.opens_at());
        let closures = [
            (limit, Closure::Limit),
            (cold, Closure::Cold),
            (trial, Closure::Brittle),
            (self.resting_until, Closure::Pushback),
        ];
        let last = closures.into_iter().max_by_key(|(until, _)| *until);
        match last {
            Some((until, by)) if until > now => Opening::Closed {
                by,
                until: Some(until),
            },
            _ => Opening::Now,
        }
    }
}

/// What endpoints have said, by the hash of their identity: another incarnation begins without a record.
#[derive(Clone, Debug)]
pub struct Admissions {
    /// Hash of this host.
    own: u64,
    /// Hashes of the live hosts.
    hosts: Vec<u64>,
    /// Hashes of the hosts that were seen within the last minute.
    known_hosts: Vec<u64>,
    statements: rate_limits::Statements,
    records: HashMap<u64, Record>,
}

impl Admissions {
    /// Admissions of a host with this hash, before any endpoint has said anything.
    #[must_use]
    pub fn new(own: u64) -> Self {
        Self {
            own,
            hosts: Vec::new(),
            known_hosts: Vec::new(),
            statements: rate_limits::Statements::default(),
            records: HashMap::new(),
        }
    }

    /// Replaces the live hosts, and with them the shares of this host.
    pub fn set_hosts(&mut self, hosts: &[u64], now: time::Time) {
        if self.hosts == hosts {
            return;
        }
        self.hosts = hosts.to_vec();
        self.update_pacers(now);
    }

    /// Replaces the hosts that were seen within the last minute, live or not. Hosts that are cut off from
    /// each other must not take each other's shares in what a cold endpoint bears, or in a limit.
    pub fn set_known_hosts(&mut self, hosts: &[u64], now: time::Time) {
        if self.known_hosts == hosts {
            return;
        }
        self.known_hosts = hosts.to_vec();
        for (endpoint, record) in &mut self.records {
            if let Some(cold) = &mut record.cold {
                cold.set_hosts(*endpoint, self.own, &self.known_hosts, now);
            }
        }
        self.update_pacers(now);
    }

    fn update_pacers(&mut self, now: time::Time) {
        let limits: Vec<_> = self.statements.limits().collect();
        for statement in limits {
            self.update_pacer(statement, now);
        }
    }

    /// Records that an endpoint is cold, or until when it was.
    pub fn record_cold(&mut self, cold: &directory::ColdEndpoint, now: time::Time) {
        let is_known = self.records.contains_key(&cold.endpoint);
        if cold.until <= now && !is_known {
            return;
        }
        let (own, hosts) = (self.own, std::mem::take(&mut self.known_hosts));
        let record = self.record(cold.endpoint, now);
        let before = record.cold.filter(|_| cold.until > now);
        record.cold = (cold.until > now).then(|| cold::Cold::new(cold, before, own, &hosts, now));
        self.known_hosts = hosts;
    }

    /// Whether an endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, endpoint: u64, now: time::Time) -> bool {
        let cold = self.records.get(&endpoint).and_then(|record| record.cold);
        cold.is_some_and(|cold| cold.until() > now)
    }

    /// Records what an endpoint said of whether it leaves. Returns whether that has changed.
    ///
    /// An endpoint that leaves says so in all its answers from then on. An answer that does not say so
    /// was made before, even if it arrives later.
    pub fn record_leave_notice(
        &mut self,
        endpoint: u64,
        notice: LeaveNotice,
        now: time::Time,
    ) -> bool {
        if notice <= self.leave_notice(endpoint) {
            return false;
        }
        self.record(endpoint, now).leave_notice = notice;
        true
    }

    /// Records what an endpoint said of its limit, to this host or to another one. Returns whether it is
    /// new.
    pub fn record_limit(&mut self, statement: rate_limits::Statement, now: time::Time) -> bool {
        let is_new = self.statements.record(statement);
        if is_new {
            self.update_pacer(statement, now);
        }
        is_new
    }

    /// Records a pause that an endpoint asked this host for in an answer that arrived at a time.
    ///
    /// Each answer is a promise of its own: a shorter pause, or an answer without one, does not end
    /// another. Hosts end pauses at different times, up to a part of the pause late.
    pub fn record_pushback(&mut self, endpoint: u64, pushback: Pushback, at: time::Time) {
        if pushback.span().is_zero() {
            return;
        }
        let end = at + pushback.span() + self.return_delay(endpoint, pushback);
        let record = self.record(endpoint, at);
        record.resting_until = record.resting_until.max(end);
    }

    /// Records an answer to a request that was sent at a time: whether the endpoint has turned it away,
    /// and what the answer says of how brittle the endpoint is. Returns whether trials begin.
    pub fn record_answer(
        &mut self,
        endpoint: u64,
        is_turned_away: bool,
        brittleness: Option<Brittleness>,
        (sent_at, now): (time::Time, time::Time),
    ) -> bool {
        match brittleness.filter(|_| is_turned_away) {
            Some(brittleness) => {
                let ahead = self.hosts_ahead(endpoint);
                let interval = brittleness.trial_interval(self.hosts.len(), ahead);
                let seed = routing::rendezvous::score(self.own, now.as_micros() as u32);
                let record = self.record(endpoint, now);
                let begins = record.trials.is_none();
                record.trials = Some(brittle::Trials::new(interval, seed, now));
                begins
            }
            None => {
                if let Some(record) = self.records.get_mut(&endpoint) {
                    record.trials = record.trials.filter(|t| !t.are_ended_by(sent_at));
                }
                false
            }
        }
    }

    /// Whether an endpoint has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, endpoint: u64) -> bool {
        self.leave_notice(endpoint) == LeaveNotice::Leaving
    }

    /// Whether an endpoint names a limit.
    #[must_use]
    pub fn is_limited(&self, endpoint: u64) -> bool {
        let record = self.records.get(&endpoint);
        record.is_some_and(|record| record.pacer.is_some())
    }

    /// Whether an endpoint has asked this host for a pause that is not over.
    #[must_use]
    pub fn is_resting(&self, endpoint: u64, now: time::Time) -> bool {
        let record = self.records.get(&endpoint);
        record.is_some_and(|record| record.resting_until > now)
    }

    /// When an endpoint takes another request of this host.
    #[must_use]
    pub fn opening(&self, endpoint: u64, now: time::Time) -> Opening {
        let record = self.records.get(&endpoint);
        record.map_or(Opening::Now, |record| {
            let limit = record
                .pacer
                .map_or(Some(now), |pacer| Some(pacer?.opens_at()));
            record.opening(limit, now)
        })
    }

    /// The same, if the limit of the endpoint has room for this host at a time, whatever the share of this
    /// host is.
    #[must_use]
    pub fn opening_with_limit(
        &self,
        endpoint: u64,
        limit: Option<time::Time>,
        now: time::Time,
    ) -> Opening {
        let record = self.records.get(&endpoint);
        record.map_or(Opening::Now, |record| record.opening(limit, now))
    }

    /// Hashes of the hosts among which limits are divided: those seen within the last minute, if they are
    /// known.
    #[must_use]
    pub fn limit_hosts(&self) -> &[u64] {
        match self.known_hosts.is_empty() {
            true => &self.hosts,
            false => &self.known_hosts,
        }
    }

    /// Share of this host in the limit of an endpoint, and when it has room again.
    #[must_use]
    pub fn share(&self, endpoint: u64) -> Option<permits::Share> {
        let pacer = self.records.get(&endpoint)?.pacer??;
        Some(permits::Share {
            rate: pacer.rate(),
            opens_at: pacer.opens_at(),
        })
    }

    /// Endpoints that name a limit.
    #[must_use]
    pub fn limited(&self) -> Vec<permits::Limited> {
        let limited = |statement: rate_limits::Statement| {
            Some(permits::Limited {
                endpoint: statement.endpoint,
                limit: statement.limit?,
                share: self.share(statement.endpoint),
            })
        };
        self.statements.limits().filter_map(limited).collect()
    }

    /// Counts a request that another host sends on the share of this one.
    pub fn record_lent(&mut self, endpoint: u64, now: time::Time) {
        let record = self.records.get_mut(&endpoint);
        if let Some(pacer) = record.and_then(|record| record.pacer.as_mut()?.as_mut()) {
            pacer.record_sent(now);
        }
    }

    /// Counts a request that is sent to an endpoint now on a permit, and not on the share.
    pub fn record_sent_on_permit(&mut self, endpoint: u64, now: time::Time) {
        let Some(record) = self.records.get_mut(&endpoint) else {
            return;
        };
        if let Some(trials) = &mut record.trials {
            trials.record_sent(now);
        }
        if let Some(cold) = &mut record.cold {
            cold.record_sent(now);
        }
    }

    /// Counts a request that is sent to an endpoint now, on the share of this host if it names a limit.
    pub fn record_sent(&mut self, endpoint: u64, now: time::Time) {
        self.record_lent(endpoint, now);
        self.record_sent_on_permit(endpoint, now);
    }

    /// Notes which endpoints are in the directory, and forgets those that have not been for long.
    pub fn retain_present<F>(&mut self, is_present: F, now: time::Time)
    where
        F: Fn(u64) -> bool,
    {
        self.records.retain(|endpoint, record| {
            if is_present(*endpoint) {
                record.last_seen = now;
            }
            now.since(record.last_seen) < ABSENT_RETENTION
        });
        let records = &self.records;
        self.statements
            .retain(|statement| records.contains_key(&statement.endpoint));
    }

    fn leave_notice(&self, endpoint: u64) -> LeaveNotice {
        let record = self.records.get(&endpoint);
        record.map_or(LeaveNotice::Absent, |record| record.leave_notice)
    }

    fn record(&mut self, endpoint: u64, now: time::Time) -> &mut Record {
        let record = self
            .records
            .entry(endpoint)
            .or_insert_with(|| Record::new(now));
        record.last_seen = record.last_seen.max(now);
        record
    }

    /// Number of live hosts that come before this one at an endpoint, by rendezvous hashing.
    fn hosts_ahead(&self, endpoint: u64) -> usize {
        let score = |host: u64| (routing::rendezvous::score(endpoint, host as u32), host);
        let own = score(self.own);
        let others = self.hosts.iter().filter(|host| **host != self.own);
        others.filter(|host| score(**host) > own).count()
    }

    /// Time beyond a pause after which this host returns.
    fn return_delay(&self, endpoint: u64, pushback: Pushback) -> Duration {
        let spread = pushback.return_spread().as_micros() as u64;
        let seed = routing::rendezvous::score(self.own, endpoint as u32);
        Duration::from_micros(seed % (spread + 1))
    }

    fn update_pacer(&mut self, statement: rate_limits::Statement, now: time::Time) {
        let endpoint = statement.endpoint;
        let pacer = statement
            .limit
            .map(|limit| self.pacer_of(endpoint, limit, now));
        self.record(endpoint, now).pacer = pacer;
    }

    /// Pace of this host at an endpoint with a limit, or `None` if other hosts use it.
    fn pacer_of(
        &self,
        endpoint: u64,
        limit: rate_limits::RequestRate,
        now: time::Time,
    ) -> Option<rate_limits::Pacer> {
        let rate = rate_limits::share(limit, endpoint, self.own, self.limit_hosts())?;
        let current = self.records.get(&endpoint).and_then(|r| r.pacer.flatten());
        let Some(mut pacer) = current else {
            let seed = routing::rendezvous::score(self.own, endpoint as u32);
            return Some(rate_limits::Pacer::new(rate, seed, now));
        };
        pacer.set_rate(rate, now);
        Some(pacer)
    }
}
