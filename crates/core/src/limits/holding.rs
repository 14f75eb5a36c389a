//! Credit that an entry host has from one slice of an account.

use std::time::Duration;

use smallvec::SmallVec;

use crate::limits::message::{Grant, Short};
use crate::limits::{Amount, SliceId, terms};
use crate::{time, units};

/// Time after which an unanswered ask counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a holder that did not answer, or does not hold the slice, is not asked again.
const AVOID: Duration = Duration::from_secs(1);

/// Longest time for which a holder that was short is not asked again.
const MAX_SHORT: Duration = Duration::from_millis(200);

/// Time after which a tight slice is told what is given back.
const TIGHT_REPORT: Duration = Duration::from_secs(1);

/// Credit of one grant.
#[derive(Clone, Copy, Debug)]
struct Credit {
    amount: Amount,
    /// Time until which the credit may be spent.
    until: time::Time,
}

/// Credit of one slice of an account.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub(super) id: SliceId,
    credits: SmallVec<[Credit; 2]>,
    /// Requests in flight that take a slot of the slice.
    in_use: units::Requests,
    /// Largest grant number received.
    seen: u64,
    /// The ask that is not answered, and when it was sent.
    asking: Option<(u64, time::Time)>,
    /// Until when the slice is not asked, and why.
    short: Option<(Short, time::Time, time::Time)>,
    refund: units::Tokens,
    overused: units::Tokens,
    /// Since when there is something to report that no ask has carried.
    report_since: Option<time::Time>,
    /// Whether the slice is so far used up that what is given back matters.
    tight: bool,
}

impl Holding {
    pub(super) fn new(id: SliceId) -> Self {
        Self {
            id,
            credits: SmallVec::new(),
            in_use: units::Requests::ZERO,
            seen: 0,
            asking: None,
            short: None,
            refund: units::Tokens::ZERO,
            overused: units::Tokens::ZERO,
            report_since: None,
            tight: false,
        }
    }

    /// Credit that may be spent.
    pub(super) fn credit(&self) -> Amount {
        let credits = self.credits.iter();
        credits.fold(Amount::ZERO, |sum, credit| sum.plus(credit.amount))
    }

    /// Forgets credit whose time is over, and an ask that was not answered.
    pub(super) fn expire(&mut self, now: time::Time) {
        self.credits.retain(|credit| now < credit.until);
        if let Some((_, sent)) = self.asking
            && now.since(sent) >= ASK_TIMEOUT
        {
            self.asking = None;
            self.short = Some((Short::NotHolder, now + AVOID, now + AVOID));
        }
    }

    pub(super) const fn is_asking(&self) -> bool {
        self.asking.is_some()
    }

    /// Whether requests are in flight or there is something to report.
    pub(super) fn is_busy(&self) -> bool {
        self.in_use > units::Requests::ZERO || self.report_since.is_some()
    }

    pub(super) fn may_ask(&self, now: time::Time) -> bool {
        self.asking.is_none() && self.short.is_none_or(|(_, until, _)| until <= now)
    }

    pub(super) fn has_to_report(&self, now: time::Time) -> bool {
        let wait = if self.tight {
            TIGHT_REPORT
        } else {
            terms::SLOT_REPORT
        };
        let due = |since| now.since(since) >= wait;
        self.asking.is_none() && self.report_since.is_some_and(due)
    }

    /// Why the slice is short and how long it will be.
    pub(super) fn short(&self, now: time::Time) -> Option<(Short, Duration)> {
        self.short
            .map(|(short, _, enough)| (short, enough.since(now)))
    }

    pub(super) const fn seen(&self) -> u64 {
        self.seen
    }

    /// Takes as much of an amount as there is credit for.
    pub(super) fn spend(&mut self, amount: Amount) -> Amount {
        let mut left = amount;
        for credit in &mut self.credits {
            let taken = credit.amount.min(left);
            credit.amount = credit.amount.minus(taken);
            left = left.minus(taken);
        }
        self.credits.retain(|credit| credit.amount != Amount::ZERO);
        let taken = amount.minus(left);
        self.in_use += taken.slots;
        taken
    }

    /// Ends a request that takes a slot.
    pub(super) fn end(&mut self, now: time::Time, charged: units::Tokens, used: units::Tokens) {
        self.in_use -= units::Requests(1);
        self.refund += charged - used;
        self.overused += used - charged;
        self.report_since.get_or_insert(now);
    }

    pub(super) fn granted(&mut self, now: time::Time, grant: &Grant) {
        let Some((number, sent)) = self.asking else {
            return;
        };
        if number != grant.ask {
            return;
        }
        self.asking = None;
        self.tight = grant.tight;
        self.seen = self.seen.max(grant.number);
        let until = sent + terms::CREDIT_TTL;
        if grant.amount != Amount::ZERO && now < until {
            self.credits.push(Credit {
                amount: grant.amount,
                until,
            });
            self.report_since.get_or_insert(now);
        }
        self.short = grant.short.map(|short| {
            let wait = match short {
                Short::NotHolder => AVOID,
                Short::Requests(wait) | Short::Tokens(wait) => wait,
                Short::Slots => MAX_SHORT,
            };
            let avoid = match short {
                Short::NotHolder => AVOID,
                _ => wait.min(MAX_SHORT),
            };
            (short, now + avoid, now + wait)
        });
    }

    /// Makes the report of an ask: what is held, and what is given back because nothing waits
    /// for it.
    pub(super) fn report(
        &mut self,
        now: time::Time,
        number: u64,
        wanted: bool,
    ) -> (Amount, Amount) {
        self.asking = Some((number, now));
        let released = if wanted { Amount::ZERO } else { self.credit() };
        if !wanted {
            self.credits.clear();
        }
        let open = !self.credits.is_empty() || self.in_use > units::Requests::ZERO;
        self.report_since = open.then_some(now);
        let credit = self.credit();
        let held = Amount {
            slots: credit.slots + self.in_use,
            ..credit
        };
        (held, released)
    }

    pub(super) fn take_refund(&mut self) -> units::Tokens {
        std::mem::take(&mut self.refund)
    }

    pub(super) fn take_overused(&mut self) -> units::Tokens {
        std::mem::take(&mut self.overused)
    }
}
