//! Credit that an entry host has from one slice of an account.

use std::time::Duration;

use smallvec::SmallVec;

use crate::limits::message::{Grant, Shortage};
use crate::limits::{Amount, SliceId, parameters};
use crate::{time, units};

/// Time after which an unanswered credit request counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a holder that did not answer, or does not hold the slice, is not asked again.
const HOLDER_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum time for which a holder that was short of credit is not asked again.
const MAX_SHORTAGE_BACKOFF: Duration = Duration::from_millis(200);

/// Time after which a report to the holder is due if credit of the slice is scarce.
const URGENT_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Credit of one grant.
#[derive(Clone, Copy, Debug)]
struct Credit {
    amount: Amount,
    /// Time at which the credit expires.
    until: time::Time,
}

/// Credit of one slice of an account.
#[derive(Clone, Debug)]
pub(super) struct SliceCredit {
    pub(super) id: SliceId,
    credits: SmallVec<[Credit; 2]>,
    /// Requests in flight that occupy a slot of the slice.
    in_use: units::Requests,
    /// Largest grant number received.
    last_grant: u64,
    /// Number of the request that has not been answered, and when it was sent.
    open_request: Option<(u64, time::Time)>,
    /// Why the slice was short of credit, until when it is not asked, and when it will have
    /// enough.
    shortage: Option<(Shortage, time::Time, time::Time)>,
    refund: units::Tokens,
    overrun: units::Tokens,
    /// Start of the current report period, while there is credit or usage to report to the holder.
    unreported_since: Option<time::Time>,
    /// Whether credit of the slice is scarce, so that returned credit matters.
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

    /// Drops expired credit, and a request that was not answered in time.
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

    /// Returns why the slice is short of credit, and the time until it will have enough.
    pub(super) fn shortage(&self, now: time::Time) -> Option<(Shortage, Duration)> {
        self.shortage
            .map(|(shortage, _, enough)| (shortage, enough.since(now)))
    }

    pub(super) const fn last_grant(&self) -> u64 {
        self.last_grant
    }

    /// Spends as much of an amount as there is credit for. Returns the amount that was spent.
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

    /// Ends a request that occupies a slot.
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

    /// Returns the report for a credit request: the credit that is held, and the credit that is
    /// released. All unspent credit is released unless requests are waiting for it (`wanted`).
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
