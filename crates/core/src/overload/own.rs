//! Requests of one host at a service, now and when the others' reports were made.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::AccountKey;
use crate::time;

/// Age of the load reports of other hosts.
const REPORT_AGE: Duration = Duration::from_millis(300);

/// Most samples that are kept.
const MAX_SAMPLES: usize = 8;

/// Requests of a host by account.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    total: u32,
    /// Invariant: no count is zero.
    accounts: HashMap<AccountKey, u32>,
}

impl Counts {
    pub(super) fn add(&mut self, account: AccountKey) {
        self.total += 1;
        *self.accounts.entry(account).or_default() += 1;
    }

    pub(super) fn remove(&mut self, account: AccountKey) {
        let Some(count) = self.accounts.get_mut(&account) else {
            return;
        };
        *count -= 1;
        self.total -= 1;
        if *count == 0 {
            self.accounts.remove(&account);
        }
    }

    pub(super) const fn total(&self) -> u32 {
        self.total
    }

    pub(super) fn of(&self, account: AccountKey) -> u32 {
        self.accounts.get(&account).copied().unwrap_or(0)
    }

    /// The accounts with most requests, at most `count` of them.
    pub(super) fn largest(&self, count: usize) -> Vec<(AccountKey, u32)> {
        let mut accounts: Vec<_> = self.accounts.iter().map(|(a, n)| (*a, *n)).collect();
        accounts.sort_unstable_by_key(|(account, requests)| (u32::MAX - requests, *account));
        accounts.truncate(count);
        accounts
    }
}

/// Samples of the counts.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    samples: VecDeque<(time::Time, Counts)>,
}

impl History {
    pub(super) fn record(&mut self, counts: &Counts, now: time::Time) {
        self.samples.push_back((now, counts.clone()));
        let is_old = |sample: Option<&(time::Time, Counts)>| {
            sample.is_some_and(|(at, _)| now.since(*at) >= REPORT_AGE)
        };
        while self.samples.len() > MAX_SAMPLES || is_old(self.samples.get(1)) {
            self.samples.pop_front();
        }
    }

    /// Counts as of when the last reports of the others were made.
    pub(super) fn reported(&self) -> Option<&Counts> {
        self.samples.front().map(|(_, counts)| counts)
    }
}
