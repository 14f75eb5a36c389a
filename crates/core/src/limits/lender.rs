//! Holder side of the limits: grants short-lived credit of its slices to entry hosts.
//!
//! For each account, the available and the outstanding credit together never exceed the burst of
//! the slice, and only the rate of the slice adds to them. So over any window of time, the entry
//! hosts spend at most the credit that the rate yields plus one burst, even if messages are lost,
//! repeated or late.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::bucket::{BucketLevel, SliceLimits};
use crate::limits::message::{CreditRequest, Grant, Shortage};
use crate::limits::{Amount, Authority, Layout, parameters};
use crate::{entity, lists, name, time, units};

/// Maximum number of grants to one entry host that it has not acknowledged. More are refused.
const MAX_UNSEEN: usize = 4;

/// Maximum number of accounts with state. More are refused until the state of another one is
/// dropped.
const MAX_ACCOUNTS: usize = 8_192;

/// A slice of one account.
type Key = (name::AccountName, u8);

/// A grant that the entry host has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct UnseenGrant {
    number: u64,
    amount: Amount,
    granted: time::Time,
}

/// Outstanding credit of one entry host.
#[derive(Clone, Debug, Default)]
struct HostCredit {
    boot: u64,
    /// Number of the last request.
    last_request: u64,
    /// Number of the last grant.
    last_grant: u64,
    /// Credit that the entry host last reported as held.
    held: Amount,
    /// When it reported it.
    reported: time::Time,
    unseen: SmallVec<[UnseenGrant; MAX_UNSEEN]>,
}

impl HostCredit {
    /// Drops expired credit, which can no longer be spent.
    fn expire(&mut self, now: time::Time) {
        let credit = parameters::with_skew_margin(parameters::CREDIT_TTL);
        let slots = parameters::with_skew_margin(parameters::SLOT_LEASE);
        let live = |amount: Amount, since: time::Time| {
            let age = now.since(since);
            let spendable = if age < credit { amount } else { Amount::ZERO };
            let running = if age < slots {
                amount.slots
            } else {
                units::Requests::ZERO
            };
            Amount {
                slots: running,
                ..spendable
            }
        };
        self.held = live(self.held, self.reported);
        for unseen in &mut self.unseen {
            unseen.amount = live(unseen.amount, unseen.granted);
        }
        self.unseen.retain(|unseen| unseen.amount != Amount::ZERO);
    }

    fn sum(&self) -> Amount {
        self.unseen
            .iter()
            .fold(self.held, |sum, unseen| sum.plus(unseen.amount))
    }

    /// Applies the report in a request. Returns the credit that was returned.
    fn apply_report(&mut self, now: time::Time, request: &CreditRequest) -> Amount {
        let mut seen = self.held;
        self.unseen.retain(|unseen| {
            let is_seen = unseen.number <= request.last_grant;
            if is_seen {
                seen = seen.plus(unseen.amount);
            }
            !is_seen
        });
        let released = request.released.min(seen.minus(request.held));
        // A previous holder of the slice may have granted the slots of requests in flight.
        self.held = Amount {
            slots: request.held.slots,
            ..request.held.min(seen)
        };
        self.reported = now;
        released
    }
}

/// Credit of one slice of an account.
#[derive(Clone, Debug)]
struct Account {
    requests: BucketLevel,
    tokens: BucketLevel,
    /// Time up to which the buckets have been refilled.
    refilled: time::Time,
    /// Starts of the spans of authority in which the credit of the buckets accrued.
    starts: [time::Time; 2],
    /// Credit by entry host. Bounded by the hosts of the fleet.
    outstanding: BTreeMap<entity::HostId, HostCredit>,
}

impl Account {
    fn new() -> Self {
        Self {
            requests: BucketLevel::default(),
            tokens: BucketLevel::default(),
            refilled: time::Time::ZERO,
            starts: [time::Time::ZERO; 2],
            outstanding: BTreeMap::new(),
        }
    }

    fn expire(&mut self, now: time::Time) {
        for outstanding in self.outstanding.values_mut() {
            outstanding.expire(now);
        }
    }

    fn sum(&self) -> Amount {
        let all = self.outstanding.values();
        all.fold(Amount::ZERO, |sum, outstanding| sum.plus(outstanding.sum()))
    }

    fn refill(&mut self, now: time::Time, slice: &SliceLimits, authority: &Authority) {
        let starts = [authority.elastic.from, authority.floor.from];
        if starts != self.starts {
            // Another host may have used the slice in the meantime.
            self.starts = starts;
            self.requests.forfeit();
            self.tokens.forfeit();
        }
        let span = authority.quarter_time(self.refilled, now);
        self.refilled = now;
        self.requests
            .refill(slice.requests_per_minute, span, slice.slices);
        self.tokens
            .refill(slice.tokens_per_minute, span, slice.slices);
        self.cap(now, slice, authority);
    }

    fn cap(&mut self, now: time::Time, slice: &SliceLimits, authority: &Authority) {
        let quarters = authority.quarters(now);
        let outstanding = self.sum();
        self.requests.cap(
            slice.request_burst,
            quarters,
            slice.slices,
            outstanding.requests.0,
        );
        self.tokens.cap(
            slice.token_burst,
            quarters,
            slice.slices,
            outstanding.tokens.0,
        );
    }

    fn available(&self, now: time::Time, slice: &SliceLimits, authority: &Authority) -> Amount {
        let slots = slice.slots(now, authority);
        Amount {
            requests: units::Requests(self.requests.units()),
            tokens: units::Tokens(self.tokens.units()),
            slots: units::Requests(slots) - self.sum().slots,
        }
    }

    /// Whether more than half of the slice is used up, so that returned credit matters.
    fn is_scarce(&self, now: time::Time, slice: &SliceLimits, authority: &Authority) -> bool {
        let available = self.available(now, slice, authority);
        let parts = slice.slices * parameters::QUARTERS;
        let half = |burst: u64| burst * authority.quarters(now) / parts / 2;
        available.requests.0 < half(slice.request_burst)
            || available.tokens.0 < half(slice.token_burst)
            || available.slots.0 < slice.slots / 2
    }

    /// Returns why the available credit does not cover `want`.
    fn shortage(
        &self,
        now: time::Time,
        slice: &SliceLimits,
        authority: &Authority,
        want: Amount,
    ) -> Shortage {
        let quarters = authority.quarters(now);
        let available = self.available(now, slice, authority);
        if available.tokens < want.tokens {
            let rate = slice.tokens_per_minute;
            let wait = self
                .tokens
                .time_until(want.tokens.0, rate, slice.slices, quarters);
            return Shortage::Tokens(wait);
        }
        if available.requests < want.requests {
            let rate = slice.requests_per_minute;
            return Shortage::Requests(self.requests.time_until(1, rate, slice.slices, quarters));
        }
        Shortage::Slots
    }
}

/// Grants credit of the slices that a host holds.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    accounts: BTreeMap<Key, Account>,
}

impl Lender {
    /// Creates a lender without state.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of accounts that have state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account has state.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Handles a credit request for a slice, under the authority that the host has over it now.
    ///
    /// Returns `None` for a request that is repeated or out of order.
    pub fn handle_request(
        &mut self,
        now: time::Time,
        from: entity::HostId,
        request: &CreditRequest,
        plan: &lists::Plan,
        authority: &Authority,
    ) -> Option<Grant> {
        let layout = Layout::of(&request.account, plan);
        let quarters = authority.quarters(now);
        let index = layout.index(request.slice).filter(|_| quarters > 0);
        let Some(index) = index else {
            return Some(grant(request, 0, Amount::ZERO, Some(Shortage::NotHolder)));
        };
        let key = (request.account.clone(), request.slice);
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&key) {
            return Some(grant(request, 0, Amount::ZERO, Some(Shortage::NotHolder)));
        }
        let slice = SliceLimits::of(plan, layout.slices, index);
        let account = self.accounts.entry(key).or_insert_with(Account::new);
        account.expire(now);
        account.refill(now, &slice, authority);
        let outstanding = account.outstanding.entry(from).or_default();
        if outstanding.boot != request.boot {
            restart(outstanding, request.boot)?;
        }
        if request.number <= outstanding.last_request {
            return None;
        }
        outstanding.last_request = request.number;
        let released = outstanding.apply_report(now, request);
        account.requests.add(released.requests.0);
        account.tokens.add(released.tokens.0 + request.refund.0);
        account.tokens.take(request.overrun.0);
        account.cap(now, &slice, authority);
        let available = account.available(now, &slice, authority);
        let useful =
            available.covers(request.minimum) || slice.never_covers(request.minimum, quarters);
        let amount = if useful {
            available.min(request.want)
        } else {
            Amount::ZERO
        };
        let shortage = (!amount.covers(request.want))
            .then(|| account.shortage(now, &slice, authority, request.minimum));
        account.requests.take(amount.requests.0);
        account.tokens.take(amount.tokens.0);
        let scarce = account.is_scarce(now, &slice, authority);
        let outstanding = account.outstanding.entry(from).or_default();
        if amount == Amount::ZERO {
            let grant = grant(request, outstanding.last_grant, amount, shortage);
            return Some(Grant { scarce, ..grant });
        }
        if outstanding.unseen.len() >= MAX_UNSEEN {
            account.requests.add(amount.requests.0);
            account.tokens.add(amount.tokens.0);
            return Some(grant(request, 0, Amount::ZERO, Some(Shortage::Slots)));
        }
        outstanding.last_grant += 1;
        outstanding.unseen.push(UnseenGrant {
            number: outstanding.last_grant,
            amount,
            granted: now,
        });
        let grant = grant(request, outstanding.last_grant, amount, shortage);
        Some(Grant { scarce, ..grant })
    }

    /// Drops accounts whose state is the same as that of an unknown account.
    pub fn tick(&mut self, now: time::Time) {
        let full = parameters::with_skew_margin(parameters::BURST_WINDOW) * 2;
        for account in self.accounts.values_mut() {
            account.expire(now);
            account.outstanding.retain(|_, outstanding| {
                outstanding.sum() != Amount::ZERO || now.since(outstanding.reported) < full
            });
        }
        self.accounts.retain(|_, account| {
            !account.outstanding.is_empty() || now.since(account.refilled) < full
        });
    }

    /// Outstanding credit of a slice.
    #[must_use]
    pub fn outstanding(&self, account: &name::AccountName, slice: u8) -> Amount {
        let account = self.accounts.get(&(account.clone(), slice));
        account.map_or(Amount::ZERO, Account::sum)
    }
}

/// Resets the state for a later process of an entry host. The credit of the previous process stays
/// outstanding until it expires. Returns `None` for a request of an earlier process.
fn restart(outstanding: &mut HostCredit, boot: u64) -> Option<()> {
    if boot < outstanding.boot {
        return None;
    }
    let amount = outstanding.sum();
    let granted = outstanding.unseen.iter().map(|unseen| unseen.granted).max();
    let granted = granted
        .unwrap_or(outstanding.reported)
        .max(outstanding.reported);
    *outstanding = HostCredit {
        boot,
        ..HostCredit::default()
    };
    if amount != Amount::ZERO {
        let number = u64::MAX;
        outstanding.unseen.push(UnseenGrant {
            number,
            amount,
            granted,
        });
    }
    Some(())
}

fn grant(
    request: &CreditRequest,
    number: u64,
    amount: Amount,
    shortage: Option<Shortage>,
) -> Grant {
    Grant {
        account: request.account.clone(),
        slice: request.slice,
        request_number: request.number,
        number,
        amount,
        shortage,
        scarce: true,
    }
}
