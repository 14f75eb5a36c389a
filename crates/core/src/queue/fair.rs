//! Weighted fair queue with bounds and deadlines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use super::entry::{Entry, Popped, Refused};
use super::flow::Flow;
use super::rate::DrainRate;
use super::virtual_time::VirtualTime;
use crate::{name, reason, time, units};

/// Minimum `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Maximum accounts without entries whose tag is kept. The smallest tags are evicted first.
const MAX_IDLE_ACCOUNTS: usize = 1024;

/// Bounds on the length of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Maximum entries in the queue.
    pub entries: usize,
    /// Maximum entries of one account.
    pub account_entries: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            entries: 256,
            account_entries: 64,
        }
    }
}

/// A position in the order of service.
struct Position {
    account: name::AccountName,
    index: usize,
    deadline: time::Time,
    cost: units::Tokens,
}

/// Requests that wait for one endpoint, in weighted fair order across accounts.
#[derive(Debug)]
pub struct FairQueue<T> {
    bounds: Bounds,
    /// Largest tag served so far. Never decreases.
    virtual_time: VirtualTime,
    /// Accounts with entries, and idle accounts whose tag is ahead of the virtual time.
    flows: BTreeMap<name::AccountName, Flow<T>>,
    /// Entries over all accounts. Invariant: at most `bounds.entries`.
    len: usize,
    rate: DrainRate,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            virtual_time: VirtualTime::default(),
            flows: BTreeMap::new(),
            len: 0,
            rate: DrainRate::default(),
        }
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no entry is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimated tokens of all entries.
    #[must_use]
    pub fn cost(&self) -> units::Tokens {
        self.flows.values().map(|flow| flow.cost).sum()
    }

    /// Adds an entry.
    ///
    /// When the queue is full, the last entry of the account with the largest backlog for its
    /// weight is dropped instead, and returned.
    ///
    /// # Errors
    ///
    /// Returns the entry if it would start after its deadline, if its account is at its bound, or
    /// if the queue is full and no other account has a larger backlog for its weight.
    pub fn push(
        &mut self,
        now: time::Time,
        entry: Entry<T>,
    ) -> Result<Option<Refused<T>>, Refused<T>> {
        if entry.deadline < now {
            return Err(self.refuse(now, entry, reason::Refusal::Deadline));
        }
        let account = entry.account.clone();
        if self.account_len(&account) >= self.bounds.account_entries {
            return Err(self.refuse(now, entry, reason::Refusal::QueueFull));
        }
        let index = self.insert(now, entry);
        if self.expected_start(now, &account, index) > self.deadline_of(&account, index) {
            let entry = self.remove_at(&account, index);
            return Err(self.refuse(now, entry, reason::Refusal::Deadline));
        }
        if self.len <= self.bounds.entries {
            return Ok(None);
        }
        let longest = self.longest_flow(&account);
        if longest == account {
            let entry = self.remove_at(&account, index);
            return Err(self.refuse(now, entry, reason::Refusal::QueueFull));
        }
        let last = self.account_len(&longest) - 1;
        let entry = self.remove_at(&longest, last);
        Ok(Some(self.refuse(now, entry, reason::Refusal::QueueFull)))
    }

    /// Returns the request to serve next.
    #[must_use]
    pub fn next_item(&self) -> Option<&T> {
        let position = self.service_order().next()?;
        let flow = self.flows.get(&position.account)?;
        flow.entries.get(position.index).map(|entry| &entry.item)
    }

    /// Removes the entry to serve next, after refusing the entries that would miss their deadline.
    pub fn pop(&mut self, now: time::Time) -> Popped<T> {
        let refused = self.expire(now);
        let next = self.pop_front(now);
        Popped { next, refused }
    }

    /// Removes the entries that would start after their deadline.
    pub fn expire(&mut self, now: time::Time) -> Vec<Refused<T>> {
        let mut late = Vec::new();
        let mut ahead = units::Tokens::ZERO;
        for position in self.service_order() {
            if now + self.rate.time_for(now, ahead) > position.deadline {
                late.push((position.account, position.index));
            } else {
                ahead += position.cost;
            }
        }
        // Higher indexes first, so that the lower ones of an account stay valid.
        late.sort_by(|a, b| b.cmp(a));
        let entries: Vec<_> = late
            .iter()
            .map(|(account, index)| self.remove_at(account, *index))
            .collect();
        entries
            .into_iter()
            .map(|entry| self.refuse(now, entry, reason::Refusal::Deadline))
            .collect()
    }

    /// Adjusts an account's tag by the difference between the work that was used and estimated.
    pub fn correct(
        &mut self,
        account: &name::AccountName,
        weight: u32,
        estimated: units::Tokens,
        used: units::Tokens,
    ) {
        let over = VirtualTime::span(used - estimated, weight);
        let under = VirtualTime::span(estimated - used, weight);
        match self.flows.get_mut(account) {
            Some(flow) => flow.tag = flow.tag.plus(over).minus(under),
            None if over > VirtualTime::default() => {
                let flow = Flow::new(self.virtual_time.plus(over), weight);
                self.flows.insert(account.clone(), flow);
            }
            None => {}
        }
        self.evict_idle();
    }

    /// Removes the entries for which `matches` holds, without charging their accounts.
    pub fn remove<F>(&mut self, mut matches: F) -> Vec<Entry<T>>
    where
        F: FnMut(&T) -> bool,
    {
        let mut positions = Vec::new();
        for (account, flow) in &self.flows {
            for (i, entry) in flow.entries.iter().enumerate().rev() {
                if matches(&entry.item) {
                    positions.push((account.clone(), i));
                }
            }
        }
        positions
            .iter()
            .map(|(account, index)| self.remove_at(account, *index))
            .collect()
    }

    /// Removes all entries, without charging their accounts.
    pub fn drain(&mut self) -> Vec<Entry<T>> {
        self.remove(|_| true)
    }

    fn pop_front(&mut self, now: time::Time) -> Option<Entry<T>> {
        let account = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.is_empty())
            .min_by_key(|(_, flow)| flow.tag)
            .map(|(account, _)| account.clone())?;
        let flow = self.flows.get_mut(&account)?;
        let entry = flow.remove(0)?;
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag = flow.tag.plus(VirtualTime::span(entry.cost, entry.weight));
        self.len -= 1;
        self.rate.serve(now, entry.cost, self.len > 0);
        self.evict_idle();
        Some(entry)
    }

    /// Adds an entry and returns its index among those of its account.
    fn insert(&mut self, now: time::Time, entry: Entry<T>) -> usize {
        let tag = self.virtual_time;
        let flow = self
            .flows
            .entry(entry.account.clone())
            .or_insert_with(|| Flow::new(tag, entry.weight));
        if flow.is_empty() {
            flow.tag = flow.tag.max(tag);
        }
        self.len += 1;
        self.rate.start(now);
        flow.insert(entry)
    }

    /// Removes an entry that is queued, without charging its account.
    fn remove_at(&mut self, account: &name::AccountName, index: usize) -> Entry<T> {
        let entry = self
            .flows
            .get_mut(account)
            .and_then(|flow| flow.remove(index))
            .expect("the entry is queued");
        self.len -= 1;
        if self.len == 0 {
            self.rate.stop();
        }
        self.evict_idle();
        entry
    }

    fn account_len(&self, account: &name::AccountName) -> usize {
        self.flows.get(account).map_or(0, |flow| flow.entries.len())
    }

    /// Account with the largest backlog for its weight. `account` wins a tie.
    fn longest_flow(&self, account: &name::AccountName) -> name::AccountName {
        self.flows
            .iter()
            .max_by_key(|(name, flow)| (flow.backlog(), *name == account))
            .map_or_else(|| account.clone(), |(name, _)| name.clone())
    }

    fn deadline_of(&self, account: &name::AccountName, index: usize) -> time::Time {
        self.flows[account].entries[index].deadline
    }

    /// Expected start of a queued entry.
    fn expected_start(
        &self,
        now: time::Time,
        account: &name::AccountName,
        index: usize,
    ) -> time::Time {
        let ahead = self
            .service_order()
            .take_while(|position| position.account != *account || position.index != index)
            .map(|position| position.cost)
            .sum();
        now + self.rate.time_for(now, ahead)
    }

    /// Entries in the order in which they would be served if nothing else arrived.
    fn service_order(&self) -> impl Iterator<Item = Position> {
        let mut heads: BinaryHeap<_> = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.is_empty())
            .map(|(account, flow)| Reverse((flow.tag, account, 0)))
            .collect();
        std::iter::from_fn(move || {
            let Reverse((tag, account, index)) = heads.pop()?;
            let entries = &self.flows[account].entries;
            let entry = &entries[index];
            if index + 1 < entries.len() {
                let next = tag.plus(VirtualTime::span(entry.cost, entry.weight));
                heads.push(Reverse((next, account, index + 1)));
            }
            Some(Position {
                account: account.clone(),
                index,
                deadline: entry.deadline,
                cost: entry.cost,
            })
        })
    }

    /// Evicts accounts without entries whose tag would be the same for a new account, and the one
    /// with the smallest tag if more than [`MAX_IDLE_ACCOUNTS`] remain.
    fn evict_idle(&mut self) {
        let now = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.is_empty() || flow.tag > now);
        let idle = self.flows.values().filter(|flow| flow.is_empty()).count();
        if idle <= MAX_IDLE_ACCOUNTS {
            return;
        }
        let smallest = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_empty())
            .min_by_key(|(_, flow)| flow.tag)
            .map(|(account, _)| account.clone());
        if let Some(account) = smallest {
            self.flows.remove(&account);
        }
    }

    fn refuse(&self, now: time::Time, entry: Entry<T>, reason: reason::Refusal) -> Refused<T> {
        let wait = self.rate.time_for(now, self.cost());
        Refused {
            entry,
            reason,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}
