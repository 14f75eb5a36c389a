//! Pace of a host at an endpoint that is cold.

use crate::{directory, rate_limits, routing, time};

/// What this host may send to a cold endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cold {
    /// What the endpoint bears from all hosts together.
    rate: rate_limits::RequestRate,
    /// When it is warm.
    until: time::Time,
    /// Pace of this host, or `None` if other hosts use the endpoint.
    pacer: Option<rate_limits::Pacer>,
}

impl Cold {
    /// State of an endpoint that says that it is cold. `before` is its state until now.
    pub(super) fn new(
        cold: &directory::ColdEndpoint,
        before: Option<Self>,
        own: u64,
        hosts: &[u64],
        now: time::Time,
    ) -> Self {
        let mut state = Self {
            rate: cold.rate,
            until: cold.until,
            pacer: before.and_then(|before| before.pacer),
        };
        state.set_hosts(cold.endpoint, own, hosts, now);
        state
    }

    /// Divides the rate among these hosts.
    pub(super) fn set_hosts(&mut self, endpoint: u64, own: u64, hosts: &[u64], now: time::Time) {
        let share = rate_limits::strict_share(self.rate, endpoint, own, hosts);
        self.pacer = share.map(|rate| match self.pacer {
            Some(mut pacer) => {
                pacer.set_rate(rate, now);
                pacer
            }
            None => {
                let seed = routing::rendezvous::score(own, endpoint as u32);
                rate_limits::Pacer::new(rate, seed, now)
            }
        });
    }

    /// When the endpoint takes another request of this host.
    pub(super) fn opens_at(&self) -> time::Time {
        let paced = self.pacer.map(|pacer| pacer.opens_at());
        paced.map_or(self.until, |at| at.min(self.until))
    }

    /// When the endpoint is warm.
    pub(super) const fn until(&self) -> time::Time {
        self.until
    }

    /// Counts a request that is sent now.
    pub(super) fn record_sent(&mut self, now: time::Time) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record_sent(now);
        }
    }
}
