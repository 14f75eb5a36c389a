//! An entry host's credit: admits requests against credit of the slices' holders.
//!
//! A request is admitted when the credit at hand covers it. Otherwise it waits, for a second at
//! most, while the host asks the holders of the account's slices in turn, those in its own domain
//! first. When all of them are short the request is refused at once, with the time after which
//! the first of them will have enough.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::holding::Holding;
use crate::limits::message::{Ask, Grant, Short};
use crate::limits::{Amount, Layout, SLICES, SliceId, token_burst};
use crate::{lists, name, reason, request, time, units};

/// Longest wait of a request for credit.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Requests of one account that wait for credit.
const MAX_WAITING: usize = 64;

/// Accounts with state. Requests of further ones are refused until others are forgotten.
const MAX_ACCOUNTS: usize = 8_192;

/// Slices that are asked for one request. A saturated account would otherwise cost a message to
/// each slice for each refusal.
const MAX_ASKS: usize = 3;

/// Time after which an account without requests and credit is forgotten.
const IDLE: Duration = Duration::from_secs(60);

/// What an admitted request holds until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Account that is charged.
    pub account: name::AccountName,
    /// Estimated tokens that were charged.
    pub cost: units::Tokens,
    /// Slice whose slot the request takes.
    slice: SliceId,
}

/// What the borrower asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the ask to the holder of the slice.
    Ask(SliceId, Ask),
    /// The request may run.
    Admitted(request::RequestId, Ticket),
    /// The request was not run.
    Refused {
        /// The request.
        request: request::RequestId,
        /// Why.
        reason: reason::Refusal,
        /// Delay after which the caller may try again, or `None` if that cannot help.
        retry_after: Option<Duration>,
    },
}

/// Effects of one event.
pub type Effects = SmallVec<[Effect; 4]>;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: request::RequestId,
    cost: units::Tokens,
    until: time::Time,
    /// Slices that were asked for it.
    asks: usize,
}

#[derive(Clone, Debug)]
struct Account {
    layout: Layout,
    /// Credit of each slice, in the order in which they are asked.
    holdings: SmallVec<[Holding; 8]>,
    waiting: VecDeque<Waiting>,
    /// Slice from which the search for credit goes on.
    turn: usize,
    used: time::Time,
}

/// Credit of one entry host with all accounts.
#[derive(Clone, Debug)]
pub struct Borrower {
    boot: u64,
    /// Number of the last ask.
    asks: u64,
    /// Whether the slice's home domain is that of this host.
    local: [bool; SLICES as usize],
    accounts: BTreeMap<name::AccountName, Account>,
}

impl Borrower {
    /// Makes the borrower of a process of a host. `local` says which slices have their home in
    /// the host's domain.
    #[must_use]
    pub fn new(boot: u64, local: [bool; SLICES as usize]) -> Self {
        Self {
            boot,
            asks: 0,
            local,
            accounts: BTreeMap::new(),
        }
    }

    /// Takes a request of an account. Its admission or refusal is among the effects of this or a
    /// later event.
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
        if full || state.waiting.len() >= MAX_WAITING {
            let wait = Some(MAX_WAIT);
            effects.push(refused(request, reason::Refusal::RequestLimit, wait));
            return effects;
        }
        state.waiting.push_back(Waiting {
            request,
            cost,
            until: now + MAX_WAIT,
            asks: 0,
        });
        self.advance(now, account, &mut effects);
        effects
    }

    /// Ends an admitted request. `used` are the tokens that were used, if known.
    pub fn done(&mut self, now: time::Time, ticket: &Ticket, used: Option<units::Tokens>) {
        let Some(account) = self.accounts.get_mut(&ticket.account) else {
            return;
        };
        account.used = now;
        let mut holdings = account.holdings.iter_mut();
        if let Some(holding) = holdings.find(|holding| holding.id == ticket.slice) {
            holding.end(now, ticket.cost, used.unwrap_or(ticket.cost));
        }
    }

    /// Takes a grant from the holder of a slice.
    pub fn granted(&mut self, now: time::Time, grant: &Grant) -> Effects {
        let mut effects = Effects::new();
        let Some(account) = self.accounts.get_mut(&grant.account) else {
            return effects;
        };
        let mut holdings = account.holdings.iter_mut();
        if let Some(holding) = holdings.find(|holding| holding.id.slice == grant.slice) {
            holding.granted(now, grant);
        }
        self.advance(now, &grant.account.clone(), &mut effects);
        effects
    }

    /// Does what is due: refuses what has waited for long, and gives credit back.
    pub fn tick(&mut self, now: time::Time) -> Effects {
        let mut effects = Effects::new();
        self.accounts.retain(|_, account| {
            let busy = account.holdings.iter().any(Holding::is_busy);
            busy || !account.waiting.is_empty() || now.since(account.used) < IDLE
        });
        let due = |account: &Account| {
            let mut holdings = account.holdings.iter();
            !account.waiting.is_empty() || holdings.any(|holding| holding.has_to_report(now))
        };
        let due = self.accounts.iter().filter(|(_, account)| due(account));
        let names: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.advance(now, &name, &mut effects);
            self.give_back(now, &name, &mut effects);
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
        // Hosts start at different slices, so that none is left out by all.
        let turn = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), self.boot);
        let turn = (turn % u64::from(SLICES)) as usize;
        let account = self
            .accounts
            .entry(name.clone())
            .or_insert_with(|| Account {
                layout,
                holdings: holdings(layout, local),
                waiting: VecDeque::new(),
                turn,
                used: now,
            });
        if account.layout != layout {
            account.layout = layout;
            account.holdings = holdings(layout, local);
        }
        account.used = now;
        account
    }

    /// Admits what the credit covers, and asks for what it lacks or refuses.
    fn advance(&mut self, now: time::Time, name: &name::AccountName, effects: &mut Effects) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        for holding in &mut account.holdings {
            holding.expire(now);
        }
        while let Some(first) = account.waiting.front().copied() {
            if let Some(slice) = account.spend(first.cost) {
                account.waiting.pop_front();
                let ticket = Ticket {
                    account: name.clone(),
                    cost: first.cost,
                    slice,
                };
                effects.push(Effect::Admitted(first.request, ticket));
            } else if first.until <= now {
                account.waiting.pop_front();
                let reason = reason::Refusal::LimitUnconfirmed;
                effects.push(refused(first.request, reason, Some(MAX_WAIT)));
            } else if account.holdings.iter().any(Holding::is_asking) {
                return;
            } else if let Some(index) = account.next_to_ask(now).filter(|_| first.asks < MAX_ASKS) {
                self.asks += 1;
                if let Some(first) = account.waiting.front_mut() {
                    first.asks += 1;
                }
                let ask = account.ask(now, name, index, self.boot, self.asks);
                effects.push(ask);
                return;
            } else {
                account.waiting.pop_front();
                effects.push(account.refuse(now, first.request));
            }
        }
    }

    fn give_back(&mut self, now: time::Time, name: &name::AccountName, effects: &mut Effects) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        for index in 0..account.holdings.len() {
            if account.holdings[index].has_to_report(now) {
                self.asks += 1;
                effects.push(account.ask(now, name, index, self.boot, self.asks));
            }
        }
    }
}

impl Account {
    /// Takes the credit that one request needs and returns the slice of its slot.
    fn spend(&mut self, cost: units::Tokens) -> Option<SliceId> {
        let need = Amount::of_request(cost);
        let held = self.holdings.iter();
        let held = held.fold(Amount::ZERO, |sum, holding| sum.plus(holding.credit()));
        if !held.covers(need) {
            return None;
        }
        let mut left = need;
        let mut slot = None;
        for holding in &mut self.holdings {
            let taken = holding.spend(left);
            left = left.minus(taken);
            if taken.slots > units::Requests::ZERO {
                slot = Some(holding.id);
            }
        }
        slot
    }

    /// The next slice that may have credit: the first, which is local if any is, and then the
    /// others in turn.
    fn next_to_ask(&mut self, now: time::Time) -> Option<usize> {
        let len = self.holdings.len();
        let turn = self.turn;
        let others = (0..len).map(|i| (turn + i) % len).filter(|i| *i > 0);
        let mut order = [0].into_iter().chain(others);
        let next = order.find(|i| self.holdings[*i].may_ask(now))?;
        if next > 0 {
            self.turn = next + 1;
        }
        Some(next)
    }

    /// Makes the ask of a slice for all that waits.
    fn ask(
        &mut self,
        now: time::Time,
        name: &name::AccountName,
        index: usize,
        boot: u64,
        number: u64,
    ) -> Effect {
        let credit = self.holdings.iter();
        let credit = credit.fold(Amount::ZERO, |sum, holding| sum.plus(holding.credit()));
        let needs = self
            .waiting
            .iter()
            .map(|waiting| Amount::of_request(waiting.cost));
        let want = needs.clone().fold(Amount::ZERO, Amount::plus).minus(credit);
        let least = needs.take(1).fold(Amount::ZERO, Amount::plus).minus(credit);
        let holding = &mut self.holdings[index];
        let wanted = !self.waiting.is_empty();
        let (held, released) = holding.report(now, number, wanted);
        let ask = Ask {
            account: name.clone(),
            slice: holding.id.slice,
            boot,
            number,
            seen: holding.seen(),
            held,
            released,
            refund: holding.take_refund(),
            overused: holding.take_overused(),
            want,
            least,
        };
        Effect::Ask(holding.id, ask)
    }

    /// Refuses a request when every slice is short.
    fn refuse(&self, now: time::Time, request: request::RequestId) -> Effect {
        let shorts = self
            .holdings
            .iter()
            .filter_map(|holding| holding.short(now));
        let first = shorts.min_by_key(|(_, wait)| *wait);
        let (reason, wait) = match first {
            Some((Short::Requests(_), wait)) => (reason::Refusal::RequestLimit, wait),
            Some((Short::Tokens(_), wait)) => (reason::Refusal::TokenLimit, wait),
            Some((Short::Slots, wait)) => (reason::Refusal::InFlightLimit, wait),
            Some((Short::NotHolder, _)) | None => (reason::Refusal::LimitUnconfirmed, MAX_WAIT),
        };
        refused(request, reason, Some(wait.max(MAX_WAIT)))
    }
}

fn holdings(layout: Layout, local: [bool; SLICES as usize]) -> SmallVec<[Holding; 8]> {
    let mut ids: Vec<_> = layout.ids().collect();
    ids.sort_by_key(|id| !local[usize::from(id.slice)]);
    ids.into_iter().map(Holding::new).collect()
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
