//! Permits for single requests to endpoints that name a limit, lent by one host to the others.
//!
//! The users of an endpoint hold equal shares of its limit ([`crate::rate_limits::share`]). They
//! delegate them, for a span at a time, to the first of them that answers: the lender. Every host may ask
//! the lender for a permit. A user does not use a share while it is delegated, and the lender counts a
//! span from an earlier moment than the user does ([`peer`]), so that the shares in use never exceed the
//! limit, whatever is lost, delayed or paused.

mod endpoint;
mod lending;
mod message;
mod peer;
mod pool;

use std::collections::HashMap;
use std::time::Duration;

use crate::{rate_limits, time};

pub use lending::lend;
pub use message::{Answer, Delegate, Delegation, Number};

/// Time for which a user leaves a share to the lender, counted by the user from when it says so.
pub const SPAN: Duration = Duration::from_secs(3);

/// Interval at which a delegation is renewed. Two thirds of a span, so that one lost datagram does not
/// interrupt it.
const RENEWAL: Duration = Duration::from_secs(1);

/// Time for which a permit may be used, counted by the asker from when it asked: long enough to connect
/// to an endpoint.
pub const VALIDITY: Duration = Duration::from_millis(200);

/// Time after which a question counts as unanswered: a few round trips between regions.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which an endpoint is not asked for after a question without an answer.
const UNANSWERED_CLOSURE: Duration = Duration::from_millis(200);

/// Shortest time that a lender names with a denial: about a round trip.
const MIN_RETRY: Duration = Duration::from_millis(5);

/// Longest time that a lender names with a denial, so that a token that nobody fetches is found.
pub const MAX_RETRY: Duration = Duration::from_millis(500);

/// Delegations in one datagram, which fits the packets of common networks then.
const MAX_DELEGATIONS: usize = 30;

/// Where a request to an endpoint with a limit gets its permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// From this host's own share.
    Share,
    /// From the shares that are delegated to this host.
    Pool,
    /// From this host, which has to be asked.
    Ask(u64),
    /// From nowhere, before this time if it is known.
    Closed(Option<time::Time>),
}

/// What is known of an endpoint with a limit.
#[derive(Clone, Copy, Debug)]
pub struct Limited {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// Its limit, for all hosts together.
    pub limit: rate_limits::RequestRate,
    /// Share of this host, and when it has room again, if this host is a user.
    pub share: Option<Share>,
}

/// Share of this host in a limit.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// The share.
    pub rate: rate_limits::RequestRate,
    /// When all that was sent on it is paid for.
    pub opens_at: time::Time,
}

/// Delegations, pools and closures of one host.
#[derive(Clone, Debug)]
pub struct Permits {
    /// Hash of this host.
    own: u64,
    /// Until when this host uses no share, since an earlier process of it may have delegated them.
    starting_until: time::Time,
    /// Hashes of the hosts among which limits are divided.
    hosts: Vec<u64>,
    endpoints: HashMap<u64, endpoint::Endpoint>,
    peers: HashMap<u64, peer::Peer>,
    /// Number of the next answer.
    number: Number,
    /// Endpoints whose lender has changed, with the new one.
    lender_changes: Vec<(u64, Option<u64>)>,
}

impl Permits {
    /// State of a host with this hash that starts now.
    #[must_use]
    pub fn new(own: u64, now: time::Time) -> Self {
        Self {
            own,
            starting_until: now + SPAN,
            hosts: Vec::new(),
            endpoints: HashMap::new(),
            peers: HashMap::new(),
            number: Number(now.as_micros() as u32),
            lender_changes: Vec::new(),
        }
    }

    /// Replaces what is known of hosts and limits, and returns the datagrams that are due, by receiver.
    /// Called several times a second.
    pub fn tick(
        &mut self,
        hosts: &[u64],
        limited: &[Limited],
        now: time::Time,
    ) -> Vec<(u64, Delegate)> {
        self.update(hosts, limited, now);
        for peer in self.peers.values_mut() {
            peer.expire(now);
        }
        let mut due: HashMap<u64, Vec<Delegation>> = HashMap::new();
        for limited in limited {
            let Some(endpoint) = self.endpoints.get_mut(&limited.endpoint) else {
                continue;
            };
            let lender = endpoint.lender(self.own, &self.peers);
            if endpoint.note_lender(lender) {
                self.lender_changes.push((limited.endpoint, lender));
            }
            let Some(lender) = lender else {
                continue;
            };
            let is_heard = self.peers.get(&lender).is_some_and(|p| p.is_heard(now));
            let can_have = lender != self.own && is_heard && now >= self.starting_until;
            if let Some(delegation) = endpoint.delegate(limited, can_have.then_some(lender), now) {
                due.entry(lender).or_default().push(delegation);
            }
        }
        self.datagrams(due, now)
    }

    fn update(&mut self, hosts: &[u64], limited: &[Limited], now: time::Time) {
        let is_same = self.hosts == hosts;
        if !is_same {
            self.hosts = hosts.to_vec();
            self.peers.retain(|host, _| hosts.contains(host));
        }
        for limited in limited {
            let known = self.endpoints.entry(limited.endpoint);
            let known = known.or_insert_with(|| endpoint::Endpoint::new(limited.limit));
            if !is_same || known.users.is_empty() || known.limit != limited.limit {
                known.users = rate_limits::users(limited.limit, limited.endpoint, &self.hosts);
            }
            known.limit = limited.limit;
            let share = limited.share.map_or(0.0, |s| s.rate.as_per_second());
            known.cap_per_s = limited.limit.as_per_second() - share;
            known.seen_at = now;
            for user in &known.users {
                if *user != self.own {
                    self.peers.entry(*user).or_default();
                }
            }
        }
        // What is delegated outlasts a limit that is gone for a moment.
        self.endpoints.retain(|_, e| now.since(e.seen_at) < SPAN);
    }

    /// Datagrams with delegations, and probes of users that come before the known lender or whose number
    /// is old.
    fn datagrams(
        &mut self,
        mut due: HashMap<u64, Vec<Delegation>>,
        now: time::Time,
    ) -> Vec<(u64, Delegate)> {
        for endpoint in self.endpoints.values() {
            for user in endpoint.wanted(self.own, &self.peers, now) {
                due.entry(user).or_default();
            }
        }
        let mut datagrams = Vec::new();
        for (host, shares) in due {
            let Some(peer) = self.peers.get_mut(&host) else {
                continue;
            };
            if shares.is_empty() && !peer.may_probe(now) {
                continue;
            }
            peer.record_sent(now);
            let after = peer.number();
            if shares.is_empty() {
                datagrams.push((host, Delegate { after, shares }));
                continue;
            }
            for shares in shares.chunks(MAX_DELEGATIONS) {
                let shares = shares.to_vec();
                datagrams.push((host, Delegate { after, shares }));
            }
        }
        datagrams
    }

    /// Takes the shares that another host delegates. Returns the number of the answer.
    pub fn record_delegate(
        &mut self,
        from: u64,
        delegate: &Delegate,
        now: time::Time,
    ) -> Option<Number> {
        if !self.hosts.contains(&from) {
            return None;
        }
        let peer = self.peers.entry(from).or_default();
        peer.record_datagram();
        let number = self.number;
        self.number = number.next();
        if let Some(after) = delegate.after
            && let Some(sent_at) = peer.sent_at(after)
        {
            for share in &delegate.shares {
                let span = Duration::from_millis(share.span_ms.into()).min(SPAN);
                let source = pool::Source {
                    host: from,
                    sent_at,
                    rate: share.rate,
                    end: sent_at + span,
                };
                if let Some(endpoint) = self.endpoints.get_mut(&share.endpoint) {
                    endpoint.pool.delegate(source, endpoint.cap_per_s, now);
                }
            }
        }
        peer.record_number_sent(number, now);
        Some(number)
    }

    /// Records the answer to a [`Delegate`].
    pub fn record_delegated(&mut self, from: u64, number: Number, now: time::Time) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.record_datagram();
            peer.record_number(number, now);
        }
    }

    /// Where a request to an endpoint gets its permit now. An endpoint that [`Permits::tick`] has not been
    /// told of is used by the share alone. `share_opens_at` is when this host's share has room.
    #[must_use]
    pub fn access(
        &self,
        endpoint: u64,
        share_opens_at: Option<time::Time>,
        now: time::Time,
    ) -> Access {
        let is_alone = self.hosts.iter().all(|host| *host == self.own);
        let starting_until = match is_alone {
            true => time::Time::ZERO,
            false => self.starting_until,
        };
        let Some(known) = self.endpoints.get(&endpoint) else {
            let opens_at = share_opens_at.map(|at| at.max(starting_until));
            return match opens_at {
                Some(at) if at <= now => Access::Share,
                opens_at => Access::Closed(opens_at),
            };
        };
        let returns_at = known.share_returns_at().map(|at| at.max(starting_until));
        let opens_at = share_opens_at.zip(returns_at).map(|(a, b)| a.max(b));
        if opens_at.is_some_and(|at| at <= now) {
            return Access::Share;
        }
        if known.pool.has_token(known.cap_per_s, now) {
            return Access::Pool;
        }
        match known.lender(self.own, &self.peers) {
            Some(lender) if lender != self.own && known.closed_until <= now => Access::Ask(lender),
            Some(lender) if lender != self.own => Access::Closed(Some(known.closed_until)),
            _ => {
                let token_at = known.pool.token_at(known.cap_per_s, now);
                Access::Closed(opens_at.into_iter().chain(token_at).min())
            }
        }
    }

    /// Takes a permit from the shares that are delegated to this host. Returns whether there was one.
    pub fn take_token(&mut self, endpoint: u64, now: time::Time) -> bool {
        let known = self.endpoints.get_mut(&endpoint);
        known.is_some_and(|known| known.pool.take(known.cap_per_s, now))
    }

    /// Time that a host is told with a denial. Later ones get later times. `next_at` is when this host
    /// expects a permit.
    pub fn retry_after(
        &mut self,
        endpoint: u64,
        share: Option<rate_limits::RequestRate>,
        next_at: Option<time::Time>,
        now: time::Time,
    ) -> Duration {
        match self.endpoints.get_mut(&endpoint) {
            Some(known) => known.pool.retry_after(known.cap_per_s, share, next_at, now),
            None => MAX_RETRY,
        }
    }

    /// Records what a lender has answered, or that it has not.
    pub fn record_answer(&mut self, lender: u64, endpoint: u64, answer: Answer, now: time::Time) {
        let closure = match answer {
            Answer::Granted => Duration::ZERO,
            Answer::Denied { retry } => retry.min(MAX_RETRY),
            Answer::None => UNANSWERED_CLOSURE,
        };
        if let Some(peer) = self.peers.get_mut(&lender) {
            match answer {
                Answer::None => peer.record_unanswered(now),
                Answer::Granted | Answer::Denied { .. } => peer.record_datagram(),
            }
        }
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            known.closed_until = known.closed_until.max(now + closure);
        }
    }

    /// Endpoints whose lender has changed since the last call, with the new one, which may be this host.
    pub fn take_lender_changes(&mut self) -> Vec<(u64, Option<u64>)> {
        std::mem::take(&mut self.lender_changes)
    }
}
