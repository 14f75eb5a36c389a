//! Entry host side of the limits: admits requests against credit from the holders of the slices.
//!
//! A request is admitted if the available credit covers it. Otherwise it waits for a second at
//! most, while the host asks the holders of the account's slices in turn, those in its own domain
//! first. If all of them are short of credit, the request is refused at once, with the time after
//! which the first of them will have enough.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::slice_credit::SliceCredit;
use crate::limits::message::{CreditRequest, Grant, Shortage};
use crate::limits::{Amount, Layout, SLICES, SliceId, token_burst};
use crate::{lists, name, reason, request, time, units};

/// Maximum time for which a request waits for credit.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of requests of one account that wait for credit.
const MAX_PENDING: usize = 64;

/// Maximum number of accounts with state. Requests of further accounts are refused until the state
/// of another one is dropped.
const MAX_ACCOUNTS: usize = 8_192;

/// Maximum number of slices that are asked for one request. Otherwise each refused request of a
/// saturated account would cost a message to each slice.
const MAX_CREDIT_REQUESTS: usize = 3;

/// Time after which the state of an account without requests and credit is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Permit of an admitted request, which holds it until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Account that is charged.
    pub account: name::AccountName,
    /// Estimated tokens that were charged.
    pub cost: units::Tokens,
    /// Slice whose slot the request takes.
    slice: SliceId,
}

/// An action that the caller must take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the credit request to the holder of the slice.
    Request(SliceId, CreditRequest),
    /// The request may run.
    Admitted(request::RequestId, Permit),
    /// The request is refused, and was not run.
    Refused {
        /// The request.
        request: request::RequestId,
        /// Reason of the refusal.
        reason: reason::Refusal,
        /// Delay after which the caller may try again, or `None` if that cannot help.
        retry_after: Option<Duration>,
    },
}

/// Effects of one event.
pub type Effects = SmallVec<[Effect; 4]>;

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: request::RequestId,
    cost: units::Tokens,
    until: time::Time,
    /// Number of slices that were asked for it.
    slices_asked: usize,
}

#[derive(Clone, Debug)]
struct Account {
    layout: Layout,
    /// Credit of each slice, in the order in which they are asked.
    slices: SmallVec<[SliceCredit; 8]>,
    pending: VecDeque<PendingRequest>,
    /// Index of the slice at which the next search for credit continues.
    next_slice: usize,
    used: time::Time,
}

/// Credit of one entry host with all accounts.
#[derive(Clone, Debug)]
pub struct Borrower {
    boot: u64,
    /// Number of the last credit request.
    requests_sent: u64,
    /// Whether the home domain of each slice is that of this host.
    local: [bool; SLICES as usize],
    accounts: BTreeMap<name::AccountName, Account>,
}

impl Borrower {
    /// Creates the borrower of a process of a host. `local` says for each slice whether its home
    /// domain is that of the host.
    #[must_use]
    pub fn new(boot: u64, local: [bool; SLICES as usize]) -> Self {
        Self {
            boot,
            requests_sent: 0,
            local,
            accounts: BTreeMap::new(),
        }
    }

    /// Queues a request of an account. Its admission or refusal is among the effects of this or of
    /// a later event.
    pub fn admit(
        &mut self,
        now: time::Time,
        request: request::RequestId,
        account: &name::AccountName,
        plan: &lists::Plan,
        cost: units::Tokens,
    ) -> Effects {
        let mut effects = Effects::new();
        let burst = token_burst(plan.tokens_per_minute, plan.longest_answer);
        if cost > burst {
            effects.push(refused(request, reason::Refusal::TokenLimit, None));
            return effects;
        }
        let full = self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(account);
        let state = self.account(now, account, plan);
        if full || state.pending.len() >= MAX_PENDING {
            let wait = Some(MAX_WAIT);
            effects.push(refused(request, reason::Refusal::RequestLimit, wait));
            return effects;
        }
        state.pending.push_back(PendingRequest {
            request,
            cost,
            until: now + MAX_WAIT,
            slices_asked: 0,
        });
        self.serve_pending(now, account, &mut effects);
        effects
    }

    /// Ends an admitted request. `used` is the number of tokens that it used, if known; otherwise
    /// the estimate counts.
    pub fn end_request(&mut self, now: time::Time, permit: &Permit, used: Option<units::Tokens>) {
        let Some(account) = self.accounts.get_mut(&permit.account) else {
            return;
        };
        account.used = now;
        let mut slices = account.slices.iter_mut();
        if let Some(slice) = slices.find(|slice| slice.id == permit.slice) {
            slice.end_request(now, permit.cost, used.unwrap_or(permit.cost));
        }
    }

    /// Handles a grant from the holder of a slice.
    pub fn handle_grant(&mut self, now: time::Time, grant: &Grant) -> Effects {
        let mut effects = Effects::new();
        let Some(account) = self.accounts.get_mut(&grant.account) else {
            return effects;
        };
        let mut slices = account.slices.iter_mut();
        if let Some(slice) = slices.find(|slice| slice.id.slice == grant.slice) {
            slice.apply_grant(now, grant);
        }
        self.serve_pending(now, &grant.account.clone(), &mut effects);
        effects
    }

    /// Does the periodic work: refuses requests that have waited for too long, and reports to the
    /// holders, which returns unused credit.
    pub fn tick(&mut self, now: time::Time) -> Effects {
        let mut effects = Effects::new();
        self.accounts.retain(|_, account| {
            let busy = account.slices.iter().any(SliceCredit::is_busy);
            busy || !account.pending.is_empty() || now.since(account.used) < IDLE_TIMEOUT
        });
        let due = |account: &Account| {
            let mut slices = account.slices.iter();
            !account.pending.is_empty() || slices.any(|slice| slice.is_report_due(now))
        };
        let due = self.accounts.iter().filter(|(_, account)| due(account));
        let names: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.serve_pending(now, &name, &mut effects);
            self.send_due_reports(now, &name, &mut effects);
        }
        effects
    }

    fn account(
        &mut self,
        now: time::Time,
        name: &name::AccountName,
        plan: &lists::Plan,
    ) -> &mut Account {
        let layout = Layout::of(name, plan);
        let local = self.local;
        // Hosts start at different slices, so that every slice is asked by some of them.
        let next_slice = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), self.boot);
        let next_slice = (next_slice % u64::from(SLICES)) as usize;
        let account = self
            .accounts
            .entry(name.clone())
            .or_insert_with(|| Account {
                layout,
                slices: slices(layout, local),
                pending: VecDeque::new(),
                next_slice,
                used: now,
            });
        if account.layout != layout {
            account.layout = layout;
            account.slices = slices(layout, local);
        }
        account.used = now;
        account
    }

    /// Admits the pending requests that the credit covers. For the first other one, requests
    /// credit, or refuses it if no slice can be asked.
    fn serve_pending(&mut self, now: time::Time, name: &name::AccountName, effects: &mut Effects) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        for slice in &mut account.slices {
            slice.expire(now);
        }
        while let Some(first) = account.pending.front().copied() {
            if let Some(slice) = account.spend(first.cost) {
                account.pending.pop_front();
                let permit = Permit {
                    account: name.clone(),
                    cost: first.cost,
                    slice,
                };
                effects.push(Effect::Admitted(first.request, permit));
            } else if first.until <= now {
                account.pending.pop_front();
                let reason = reason::Refusal::LimitUnconfirmed;
                effects.push(refused(first.request, reason, Some(MAX_WAIT)));
            } else if account.slices.iter().any(SliceCredit::has_open_request) {
                return;
            } else if let Some(index) = account
                .next_slice_to_ask(now)
                .filter(|_| first.slices_asked < MAX_CREDIT_REQUESTS)
            {
                self.requests_sent += 1;
                if let Some(first) = account.pending.front_mut() {
                    first.slices_asked += 1;
                }
                let effect = account.make_request(now, name, index, self.boot, self.requests_sent);
                effects.push(effect);
                return;
            } else {
                account.pending.pop_front();
                effects.push(account.refuse(now, first.request));
            }
        }
    }

    fn send_due_reports(
        &mut self,
        now: time::Time,
        name: &name::AccountName,
        effects: &mut Effects,
    ) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        for index in 0..account.slices.len() {
            if account.slices[index].is_report_due(now) {
                self.requests_sent += 1;
                effects.push(account.make_request(now, name, index, self.boot, self.requests_sent));
            }
        }
    }
}

impl Account {
    /// Spends the credit that one request needs. Returns the slice that its slot belongs to, or
    /// `None` if there is not enough credit.
    fn spend(&mut self, cost: units::Tokens) -> Option<SliceId> {
        let need = Amount::of_request(cost);
        let held = self.slices.iter();
        let held = held.fold(Amount::ZERO, |sum, slice| sum.plus(slice.credit()));
        if !held.covers(need) {
            return None;
        }
        let mut left = need;
        let mut slot = None;
        for slice in &mut self.slices {
            let taken = slice.spend(left);
            left = left.minus(taken);
            if taken.slots > units::Requests::ZERO {
                slot = Some(slice.id);
            }
        }
        slot
    }

    /// Returns the index of the next slice that may have credit: the first one, which is local if
    /// any slice is, and then the others in turn.
    fn next_slice_to_ask(&mut self, now: time::Time) -> Option<usize> {
        let len = self.slices.len();
        let next_slice = self.next_slice;
        let others = (0..len).map(|i| (next_slice + i) % len).filter(|i| *i > 0);
        let mut order = [0].into_iter().chain(others);
        let next = order.find(|i| self.slices[*i].can_request(now))?;
        if next > 0 {
            self.next_slice = next + 1;
        }
        Some(next)
    }

    /// Creates the request to a slice for the credit that all pending requests need.
    fn make_request(
        &mut self,
        now: time::Time,
        name: &name::AccountName,
        index: usize,
        boot: u64,
        number: u64,
    ) -> Effect {
        let credit = self.slices.iter();
        let credit = credit.fold(Amount::ZERO, |sum, slice| sum.plus(slice.credit()));
        let needs = self
            .pending
            .iter()
            .map(|pending| Amount::of_request(pending.cost));
        let want = needs.clone().fold(Amount::ZERO, Amount::plus).minus(credit);
        let minimum = needs.take(1).fold(Amount::ZERO, Amount::plus).minus(credit);
        let slice = &mut self.slices[index];
        let wanted = !self.pending.is_empty();
        let (held, released) = slice.report(now, number, wanted);
        let request = CreditRequest {
            account: name.clone(),
            slice: slice.id.slice,
            boot,
            number,
            last_grant: slice.last_grant(),
            held,
            released,
            refund: slice.take_refund(),
            overrun: slice.take_overrun(),
            want,
            minimum,
        };
        Effect::Request(slice.id, request)
    }

    /// Refuses a request, with the reason and the wait of the slice that will have credit first.
    fn refuse(&self, now: time::Time, request: request::RequestId) -> Effect {
        let shortages = self.slices.iter().filter_map(|slice| slice.shortage(now));
        let first = shortages.min_by_key(|(_, wait)| *wait);
        let (reason, wait) = match first {
            Some((Shortage::Requests(_), wait)) => (reason::Refusal::RequestLimit, wait),
            Some((Shortage::Tokens(_), wait)) => (reason::Refusal::TokenLimit, wait),
            Some((Shortage::Slots, wait)) => (reason::Refusal::InFlightLimit, wait),
            Some((Shortage::NotHolder, _)) | None => (reason::Refusal::LimitUnconfirmed, MAX_WAIT),
        };
        refused(request, reason, Some(wait.max(MAX_WAIT)))
    }
}

fn slices(layout: Layout, local: [bool; SLICES as usize]) -> SmallVec<[SliceCredit; 8]> {
    let mut ids: Vec<_> = layout.ids().collect();
    ids.sort_by_key(|id| !local[usize::from(id.slice)]);
    ids.into_iter().map(SliceCredit::new).collect()
}

fn refused(
    request: request::RequestId,
    reason: reason::Refusal,
    retry_after: Option<Duration>,
) -> Effect {
    Effect::Refused {
        request,
        reason,
        retry_after,
    }
}
