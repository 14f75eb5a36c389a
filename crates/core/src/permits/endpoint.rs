//! One endpoint with a limit: its users, what this host has delegated, and what is delegated to it.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::permits::{Delegation, Limited, RENEWAL, SPAN, peer, pool};
use crate::{rate_limits, time};

/// What this host has done with its share.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    /// Host that the share was last delegated to, and when.
    delegated: Option<(u64, time::Time)>,
    /// From when on the share may be used, empty as it is when it returns.
    returns_at: time::Time,
    /// Whether the share is not used any more, until all that was sent on it is paid for.
    is_closing: bool,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Its limit.
    pub limit: rate_limits::RequestRate,
    /// Most that others can have delegated to this host, in requests a second: the limit without this
    /// host's share.
    pub cap_per_s: f64,
    /// Hosts that have a share, the first one by hashing first.
    pub users: Vec<u64>,
    /// When it last named a limit, as far as this host knows.
    pub seen_at: time::Time,
    /// Until when this host asks for no permit.
    pub closed_until: time::Time,
    /// Shares of other hosts.
    pub pool: pool::Pool,
    holding: Holding,
    /// Lender at the last tick.
    last_lender: Option<u64>,
}

impl Endpoint {
    pub(super) fn new(limit: rate_limits::RequestRate) -> Self {
        Self {
            limit,
            cap_per_s: limit.as_per_second(),
            users: Vec::new(),
            seen_at: time::Time::ZERO,
            closed_until: time::Time::ZERO,
            pool: pool::Pool::default(),
            holding: Holding::default(),
            last_lender: None,
        }
    }

    /// The first user that answers, which may be this host.
    pub(super) fn lender(&self, own: u64, peers: &HashMap<u64, peer::Peer>) -> Option<u64> {
        let answers =
            |user: &u64| *user == own || peers.get(user).is_some_and(peer::Peer::is_answering);
        self.users.iter().copied().find(answers)
    }

    /// Notes the lender. Returns whether it is another one than before.
    pub(super) fn note_lender(&mut self, lender: Option<u64>) -> bool {
        let is_new = self.last_lender != lender;
        self.last_lender = lender;
        is_new
    }

    /// Users that this host wants a number of: those before the lender, and the lender.
    pub(super) fn wanted(
        &self,
        own: u64,
        peers: &HashMap<u64, peer::Peer>,
        now: time::Time,
    ) -> SmallVec<[u64; 4]> {
        let mut wanted = SmallVec::new();
        for user in self.users.iter().take_while(|user| **user != own) {
            let Some(peer) = peers.get(user) else {
                continue;
            };
            let is_user = self.users.contains(&own);
            if !peer.is_answering() || (is_user && !peer.is_heard(now)) {
                wanted.push(*user);
            }
            if peer.is_answering() {
                break;
            }
        }
        wanted
    }

    /// From when on this host may use its share, or `None` while it is about to delegate it.
    pub(super) fn share_returns_at(&self) -> Option<time::Time> {
        (!self.holding.is_closing).then_some(self.holding.returns_at)
    }

    /// Delegation of this host's share that is due. `lender` is the host that gets it, or `None` if no
    /// other host can have it now.
    pub(super) fn delegate(
        &mut self,
        limited: &Limited,
        lender: Option<u64>,
        now: time::Time,
    ) -> Option<Delegation> {
        let share = limited.share?;
        let holding = &mut self.holding;
        let current = holding.delegated.filter(|(_, at)| now < *at + SPAN);
        match (current, lender) {
            (Some((to, at)), Some(lender)) if to == lender && now.since(at) >= RENEWAL => {}
            (Some(_), _) => return None,
            (None, Some(_)) => {
                holding.is_closing = share.opens_at > now;
                if holding.is_closing {
                    return None;
                }
            }
            (None, None) => holding.is_closing = false,
        }
        holding.delegated = lender.map(|lender| (lender, now));
        lender?;
        holding.returns_at = now + SPAN + share.rate.interval();
        Some(Delegation {
            endpoint: limited.endpoint,
            rate: share.rate,
            span_ms: SPAN.as_millis() as u32,
        })
    }
}
