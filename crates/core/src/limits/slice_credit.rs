//! Credit that an entry host has from one slice of an account.

use std::time::Duration;

use smallvec::SmallVec;

use crate::limits::message::{Grant, Shortage};
use crate::limits::{Amount, SliceId, parameters};
use crate::{time, units};

/// Time after which an unanswered ask counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a holder that did not answer, or does not hold the slice, is not asked again.
const HOLDER_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time for which a holder that was short is not asked again.
const MAX_SHORTAGE_BACKOFF: Duration = Duration::from_millis(200);

/// Time after which a tight slice is told what is given back.
const URGENT_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Credit of one grant.
#[derive(Clone, Copy, Debug)]
struct Credit {
    amount: Amount,
    /// Time until which the credit may be spent.
    until: time::Time,
}

/// Credit of one slice of an account.
#[derive(Clone, Debug)]
pub(super) struct SliceCredit {
    pub(super) id: SliceId,
    credits: SmallVec<[Credit; 2]>,
    /// Requests in flight that take a slot of the slice.
    in_use: units::Requests,
    /// Largest grant number received.
    last_grant: u64,
    /// The ask that is not answered, and when it was sent.
    open_request: Option<(u64, time::Time)>,
    /// Until when the slice is not asked, and why.
    shortage: Option<(Shortage, time::Time, time::Time)>,
    refund: units::Tokens,
    overrun: units::Tokens,
    /// Since when there is something to report that no ask has carried.
    unreported_since: Option<time::Time>,
    /// Whether the slice is so far used up that what is given back matters.
    scarce: bool,
}

impl SliceCredit {
    pub(super) fn new(id: SliceId) -> Self {
        Self {
            id,
            credits: SmallVec::new(),
            in_use: units::Requests::ZERO,
            last_grant: 0,
            open_request: None,
            shortage: None,
            refund: units::Tokens::ZERO,
            overrun: units::Tokens::ZERO,
            unreported_since: None,
            scarce: false,
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
        if let Some((_, sent)) = self.open_request
            && now.since(sent) >= REQUEST_TIMEOUT
        {
            self.open_request = None;
            self.shortage = Some((
                Shortage::NotHolder,
                now + HOLDER_BACKOFF,
                now + HOLDER_BACKOFF,
            ));
        }
    }

    pub(super) const fn has_open_request(&self) -> bool {
        self.open_request.is_some()
    }

    /// Whether requests are in flight or there is something to report.
    pub(super) fn is_busy(&self) -> bool {
        self.in_use > units::Requests::ZERO || self.unreported_since.is_some()
    }

    pub(super) fn can_request(&self, now: time::Time) -> bool {
        self.open_request.is_none() && self.shortage.is_none_or(|(_, until, _)| until <= now)
    }

    pub(super) fn is_report_due(&self, now: time::Time) -> bool {
        let wait = if self.scarce {
            URGENT_REPORT_DELAY
        } else {
            parameters::SLOT_REPORT_INTERVAL
        };
        let due = |since| now.since(since) >= wait;
        self.open_request.is_none() && self.unreported_since.is_some_and(due)
    }

    /// Why the slice is short and how long it will be.
    pub(super) fn shortage(&self, now: time::Time) -> Option<(Shortage, Duration)> {
        self.shortage
            .map(|(shortage, _, enough)| (shortage, enough.since(now)))
    }

    pub(super) const fn last_grant(&self) -> u64 {
        self.last_grant
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
    pub(super) fn end_request(
        &mut self,
        now: time::Time,
        charged: units::Tokens,
        used: units::Tokens,
    ) {
        self.in_use -= units::Requests(1);
        self.refund += charged - used;
        self.overrun += used - charged;
        self.unreported_since.get_or_insert(now);
    }

    pub(super) fn apply_grant(&mut self, now: time::Time, grant: &Grant) {
        let Some((number, sent)) = self.open_request else {
            return;
        };
        if number != grant.request_number {
            return;
        }
        self.open_request = None;
        self.scarce = grant.scarce;
        self.last_grant = self.last_grant.max(grant.number);
        let until = sent + parameters::CREDIT_TTL;
        if grant.amount != Amount::ZERO && now < until {
            self.credits.push(Credit {
                amount: grant.amount,
                until,
            });
            self.unreported_since.get_or_insert(now);
        }
        self.shortage = grant.shortage.map(|shortage| {
            let wait = match shortage {
                Shortage::NotHolder => HOLDER_BACKOFF,
                Shortage::Requests(wait) | Shortage::Tokens(wait) => wait,
                Shortage::Slots => MAX_SHORTAGE_BACKOFF,
            };
            let avoid = match shortage {
                Shortage::NotHolder => HOLDER_BACKOFF,
                _ => wait.min(MAX_SHORTAGE_BACKOFF),
            };
            (shortage, now + avoid, now + wait)
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
        self.open_request = Some((number, now));
        let released = if wanted { Amount::ZERO } else { self.credit() };
        if !wanted {
            self.credits.clear();
        }
        let open = !self.credits.is_empty() || self.in_use > units::Requests::ZERO;
        self.unreported_since = open.then_some(now);
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

    pub(super) fn take_overrun(&mut self) -> units::Tokens {
        std::mem::take(&mut self.overrun)
    }
}
