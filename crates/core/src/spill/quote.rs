//! Terms on which one request may leave the failure domain.

use std::sync::Arc;

use crate::choice::cost;
use crate::routing::rendezvous;
use crate::spill::{State, balance};

/// Most that a request outside the share is predicted to wait longer in the own domain, in
/// milliseconds. Beyond it all would leave by the same reports, so it is above the swing of a herd.
const MAX_STAY_MS: f64 = 150.0;

/// Ids in the draws of a request, beyond those of endpoints.
const SHARE_DRAW: u32 = u32::MAX;
const DESTINATION_DRAW: u32 = u32::MAX - 1;

/// Why a request went to another failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It goes where hosts look for its prompt.
    Cached,
    /// It was cheaper there, the constant price included.
    Cheaper,
    /// It was in the share that leaves.
    Share,
    /// It was not in the share, but gains more than staying may cost.
    Beyond,
    /// The own domain has no usable endpoint.
    NoLocal,
}

impl Departure {
    /// Every reason.
    pub const ALL: [Self; 5] = [
        Self::Cached,
        Self::Cheaper,
        Self::Share,
        Self::Beyond,
        Self::NoLocal,
    ];

    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cached => "cached",
            Self::Cheaper => "cheaper",
            Self::Share => "share",
            Self::Beyond => "beyond",
            Self::NoLocal => "no_local",
        }
    }
}

/// Terms on which one request may leave.
#[derive(Clone, Debug)]
pub struct Quote {
    state: State,
    params: cost::Parameters,
    /// Waits at the time of the request.
    balance: balance::Balance,
    /// Domain that the request may leave for without a price, if it is in the share.
    destination: Option<Arc<str>>,
}

impl Quote {
    /// Terms of a service in this state. `share` is the share that leaves, from 0 to 1.
    pub(super) fn new(
        (state, share): (State, f64),
        balance: balance::Balance,
        params: cost::Parameters,
        seed: u64,
    ) -> Self {
        let is_in_share = state == State::Spilling && fraction(seed, SHARE_DRAW) < share;
        let draw = fraction(seed, DESTINATION_DRAW);
        let destination = match is_in_share {
            true => balance.destination(params.remote_ms, draw).cloned(),
            false => None,
        };
        Self {
            state,
            params,
            balance,
            destination,
        }
    }

    /// Price of sending the request to another domain.
    #[must_use]
    pub fn price(&self, domain: &str) -> cost::DomainPrice {
        match self.state {
            State::Unknown | State::Calm => cost::DomainPrice::constant(&self.params),
            State::NoLocal => cost::DomainPrice::NONE,
            State::Spilling => {
                let constant_ms = self.params.remote_ms;
                let request_ms = match self.is_destination(domain) {
                    true => self.leave_ms(domain),
                    false => self.stay_ms(domain),
                };
                cost::DomainPrice {
                    request_ms,
                    cached_ms: request_ms.min(constant_ms),
                }
            }
        }
    }

    /// Why the request left, if it went to `domain`. `is_cached` states whether it went where hosts look
    /// for its prompt.
    #[must_use]
    pub fn departure(&self, domain: &str, is_cached: bool) -> Departure {
        match self.state {
            State::NoLocal => Departure::NoLocal,
            _ if is_cached => Departure::Cached,
            State::Unknown | State::Calm => Departure::Cheaper,
            State::Spilling if self.is_destination(domain) => Departure::Share,
            State::Spilling => Departure::Beyond,
        }
    }

    fn is_destination(&self, domain: &str) -> bool {
        self.destination.as_deref() == Some(domain)
    }

    /// Price of the destination of a request in the share: it also leaves while the own domain seems to
    /// have room for it alone, since the room is there because the share leaves.
    fn leave_ms(&self, domain: &str) -> f64 {
        let most = self.params.remote_ms;
        (self.balance.gain_ms(domain) - most).clamp(-most, 0.0)
    }

    /// Price of a domain for a request outside its share.
    fn stay_ms(&self, domain: &str) -> f64 {
        let gain = self.balance.gain_ms(domain);
        let least = self.params.remote_ms;
        (gain + least).clamp(least, least.max(MAX_STAY_MS))
    }
}

/// Uniform number from 0 to 1 for a request.
fn fraction(seed: u64, draw: u32) -> f64 {
    (rendezvous::score(seed, draw) >> 11) as f64 / (1_u64 << 53) as f64
}
