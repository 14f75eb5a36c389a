//! Decides which requests of one host to one service run.

use std::collections::HashMap;
use std::time::Duration;

use super::{AccountKey, Ask, FleetLoad, Limit, Ticket, Verdict, Verdicts, line, own};
use crate::time;

/// Time that a request holds its place before one has ended.
const INITIAL_DURATION: Duration = Duration::from_secs(1);

/// Weight of a new duration in the mean.
const DURATION_WEIGHT: f64 = 0.05;

/// Most requests in flight for each place, however long answers take.
const MAX_OVER_PLACES: f64 = 1.5;

/// Time for which the level does not end after a request was held back.
const LEVEL_HOLD: Duration = Duration::from_millis(300);

/// Time after a request was held back by its account's share for which the account grows no faster
/// than all hosts know.
const ACCOUNT_HOLD: Duration = Duration::from_secs(1);

/// Part of what is free that hosts take before the next reports show it.
const GROWTH: f64 = 0.5;

/// Number of accounts that a host reports.
const REPORTED_ACCOUNTS: usize = 8;

/// Gate of one service at one host.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    fleet: FleetLoad,
    is_overloaded: bool,
    /// Fair share of each account, in requests in flight over the whole fleet.
    fair_share: f64,
    /// Requests in flight, but for what accounts have above their fair share.
    within_share: f64,
    /// When a request was last held back.
    held_back_at: Option<time::Time>,
    /// When a request of an account was last held back by its share.
    limited: HashMap<AccountKey, time::Time>,
    running: own::Counts,
    history: own::History,
    line: line::Line,
    /// Mean time for which a request holds its place, in seconds, if one has ended.
    duration: Option<f64>,
    /// Until when places of accounts are promised to callers that were told to come back.
    promised: HashMap<AccountKey, time::Time>,
}

impl Gate {
    /// Whether the service is overloaded.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Fair share of each account, in requests in flight over the whole fleet.
    #[must_use]
    pub const fn fair_share(&self) -> f64 {
        self.fair_share
    }

    /// Load of the service when it was last observed.
    #[must_use]
    pub const fn fleet(&self) -> &FleetLoad {
        &self.fleet
    }

    /// Number of requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Number of requests that have a place.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running.total()
    }

    /// Requests in flight of an account, over the whole fleet.
    #[must_use]
    pub fn held_by(&self, account: AccountKey) -> u32 {
        let others = self.fleet.others.get(&account).copied().unwrap_or(0);
        others + self.running.of(account)
    }

    /// Accounts that other hosts are to know of: the largest ones while the service is overloaded, or
    /// nearly so.
    #[must_use]
    pub fn reported_accounts(&self) -> Vec<(AccountKey, u32)> {
        match self.is_overloaded || self.fleet.is_nearly_full() {
            true => self.running.largest(REPORTED_ACCOUNTS),
            false => Vec::new(),
        }
    }

    /// The load of the service was observed. Returns whether the level has changed.
    pub fn observe(&mut self, fleet: FleetLoad, now: time::Time) -> bool {
        self.fleet = fleet;
        self.history.record(&self.running, now);
        self.limited.retain(|_, at| now.since(*at) < ACCOUNT_HOLD);
        let before = self.is_overloaded;
        let is_recent = |at| now.since(at) < LEVEL_HOLD;
        let holds_back = self.held_back_at.is_some_and(is_recent);
        self.is_overloaded = self.fleet.is_overloaded(before, holds_back);
        if !self.is_overloaded {
            self.promised.clear();
        }
        let own = self.running.largest(REPORTED_ACCOUNTS).into_iter();
        let keys = own.map(|(account, _)| account);
        let keys = keys.chain(self.fleet.others.keys().copied());
        let accounts = keys.map(|account| (account, self.held_by(account)));
        let accounts = accounts.collect();
        self.fair_share = self.fleet.fair_share(&accounts);
        self.within_share = self.fleet.within_share(&accounts, self.fair_share);
        before != self.is_overloaded
    }

    /// A request wants to run. The verdicts are those on requests that wait and the one on it.
    pub fn admit(&mut self, ask: Ask, now: time::Time) -> Verdicts {
        let mut verdicts = self.advance(now);
        let Some(by) = self.limit(&ask) else {
            verdicts.push(self.run(&ask));
            return verdicts;
        };
        self.held_back_at = Some(now);
        if by == Limit::Account {
            self.limited.insert(ask.account, now);
        }
        let patience = ask.patience(now);
        if self.expected_wait(&ask, by) > patience {
            verdicts.push((ask.ticket, self.refuse(&ask, by, now)));
            return verdicts;
        }
        verdicts.push((ask.ticket, Verdict::Hold(by)));
        let (line, others, running) = (&mut self.line, &self.fleet.others, &self.running);
        let held_by = |account| others.get(&account).copied().unwrap_or(0) + running.of(account);
        if let Some(last) = line.push(ask, by, now + patience, &held_by) {
            verdicts.retain(|(ticket, _)| *ticket != last.ask.ticket);
            verdicts.push((last.ask.ticket, self.refuse(&last.ask, Limit::Line, now)));
        }
        verdicts
    }

    /// A request runs whatever the load is, since it goes on with what has run before.
    pub fn admit_always(&mut self, account: AccountKey) {
        self.running.add(account);
    }

    /// A request no longer waits.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.line.remove(ticket);
    }

    /// A request that ran for a time no longer does.
    pub fn end(&mut self, account: AccountKey, held: Duration) {
        self.running.remove(account);
        let held = held.as_secs_f64();
        let mean = self.duration.unwrap_or(held);
        self.duration = Some(mean + (held - mean) * DURATION_WEIGHT);
    }

    /// A request that may run was not sent, since its caller has gone.
    pub fn cancel(&mut self, account: AccountKey) {
        self.running.remove(account);
    }

    /// Verdicts on requests that wait: they run in order as far as there are places, and those that have
    /// waited for too long are refused.
    pub fn advance(&mut self, now: time::Time) -> Verdicts {
        let mut verdicts = Verdicts::new();
        if self.line.len() == 0 {
            return verdicts;
        }
        for ask in self.line.in_order(&|account| self.held_by(account)) {
            if ask.deadline > now && self.limit(&ask).is_none() {
                self.line.remove(ask.ticket);
                verdicts.push(self.run(&ask));
            }
        }
        for waiting in self.line.take_expired(now) {
            let refusal = self.refuse(&waiting.ask, waiting.by, now);
            verdicts.push((waiting.ask.ticket, refusal));
        }
        verdicts
    }

    fn run(&mut self, ask: &Ask) -> (Ticket, Verdict) {
        self.running.add(ask.account);
        (ask.ticket, Verdict::Run)
    }

    fn duration(&self) -> Duration {
        self.duration
            .map_or(INITIAL_DURATION, Duration::from_secs_f64)
    }

    /// What holds a request back now.
    fn limit(&self, ask: &Ask) -> Option<Limit> {
        if !self.is_overloaded || self.fleet.has_much_room() {
            return None;
        }
        if f64::from(self.running.of(ask.account)) >= self.account_bound(ask.account) {
            return Some(Limit::Account);
        }
        let is_over = f64::from(self.running.total()) >= self.total_bound(ask);
        is_over.then_some(Limit::All)
    }

    /// Requests that this host may have of an account.
    fn account_bound(&self, account: AccountKey) -> f64 {
        let is_small = f64::from(self.held_by(account)) * 2.0 <= self.fair_share;
        if is_small && !self.limited.contains_key(&account) {
            return f64::INFINITY;
        }
        let before = self.history.reported().map_or(0, |c| c.of(account));
        let others = self.fleet.others.get(&account).copied().unwrap_or(0);
        self.bound(before, self.fair_share, others + before)
    }

    /// Requests that this host may have of all accounts: as many as still begin within a half of the
    /// target latency of the request.
    fn total_bound(&self, ask: &Ask) -> f64 {
        let places = self.fleet.places();
        // What is above the shares ends, and is none of the others' matter.
        if self.within_share <= places {
            return f64::INFINITY;
        }
        let wait = ask.target.unwrap_or_default() / super::WAIT_FRACTION;
        let queued = wait.as_secs_f64() / self.duration().as_secs_f64().max(f64::MIN_POSITIVE);
        let most = places * (1.0 + queued).min(MAX_OVER_PLACES);
        let before = self.history.reported().map_or(0, own::Counts::total);
        self.bound(before, most, self.fleet.in_flight)
    }

    /// This host's part of `most` requests of the fleet, which had `fleet` when this host had `own`. Each
    /// host changes what it has in proportion, and its part of what is free is equal. One that has less
    /// than the mean of all, as after a restart, grows by one.
    fn bound(&self, own: u32, most: f64, fleet: u32) -> f64 {
        let fleet = f64::from(fleet.max(1));
        let own = f64::from(own);
        let hosts = f64::from(self.fleet.hosts.max(1));
        let free = (most - fleet).max(0.0) * GROWTH / hosts;
        let below_mean = (own + 1.0).min(most / hosts).max(1.0);
        (own * (most / fleet).min(1.0) + free).max(below_mean)
    }

    /// Time after which a place for a request is expected.
    fn expected_wait(&self, ask: &Ask, by: Limit) -> Duration {
        let ahead = match by {
            Limit::Line => self.line.len(),
            _ => self
                .line
                .ahead_of(ask, by, &|account| self.held_by(account)),
        };
        let bound = match by {
            Limit::Account => self.account_bound(ask.account),
            Limit::All | Limit::Line => self.total_bound(ask),
        };
        let running = match by {
            Limit::Account => self.running.of(ask.account),
            Limit::All | Limit::Line => self.running.total(),
        };
        // What is above the bound has to end first.
        let above = (f64::from(running) - bound).max(0.0);
        let ends = ahead as f64 + 1.0 + above;
        self.duration().mul_f64(ends / f64::from(running.max(1)))
    }

    /// Refuses a request. Its caller is told to come back when a place is expected, after those of its
    /// account that were told so before.
    fn refuse(&mut self, ask: &Ask, by: Limit, now: time::Time) -> Verdict {
        let running = f64::from(self.running.of(ask.account).max(1));
        let interval = self.duration().div_f64(running);
        let earliest = now + self.expected_wait(ask, by);
        let promised = self.promised.get(&ask.account).copied();
        let at = promised.map_or(earliest, |promised| earliest.max(promised));
        // One that has no time left by then does not come back.
        if at.since(now) <= ask.deadline.since(now) / super::REMAINING_FRACTION {
            self.promised.insert(ask.account, at + interval);
        }
        Verdict::Refuse {
            by,
            retry_after: at.since(now),
        }
    }
}
