//! Amounts of the three resources that a plan limits.

use crate::units;

/// An amount of requests, tokens and requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Amount {
    /// Number of requests to start.
    pub requests: units::Requests,
    /// Tokens to charge.
    pub tokens: units::Tokens,
    /// Slots for requests in flight.
    pub slots: units::Requests,
}

impl Amount {
    /// Zero of each resource.
    pub const ZERO: Self = Self {
        requests: units::Requests::ZERO,
        tokens: units::Tokens::ZERO,
        slots: units::Requests::ZERO,
    };

    /// Amount that one request with an estimated cost needs.
    #[must_use]
    pub const fn of_request(cost: units::Tokens) -> Self {
        Self {
            requests: units::Requests(1),
            tokens: cost,
            slots: units::Requests(1),
        }
    }

    /// Whether each component is at least that of another amount.
    #[must_use]
    pub fn covers(&self, other: Self) -> bool {
        self.requests >= other.requests && self.tokens >= other.tokens && self.slots >= other.slots
    }

    /// The component-wise minimum.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            requests: self.requests.min(other.requests),
            tokens: self.tokens.min(other.tokens),
            slots: self.slots.min(other.slots),
        }
    }

    /// The component-wise sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
            slots: self.slots + other.slots,
        }
    }

    /// The component-wise difference, each component at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests - other.requests,
            tokens: self.tokens - other.tokens,
            slots: self.slots - other.slots,
        }
    }
}
