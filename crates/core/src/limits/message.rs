//! Messages between entry hosts and the holders of slices.

use std::time::Duration;

use crate::limits::Amount;
use crate::{name, units};

/// Request of an entry host to the holder of a slice for credit. It also reports the state of
/// earlier credit.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreditRequest {
    /// Account that the credit is for.
    pub account: name::AccountName,
    /// Slice of the account's limits.
    pub slice: u8,
    /// Number of the entry host's process, larger for a later one.
    pub boot: u64,
    /// Sequence number of the request.
    pub number: u64,
    /// Largest grant number that the entry host has received from the slice.
    #[serde(rename = "seen")]
    pub last_grant: u64,
    /// Credit of the received grants that is neither spent nor released. Slots that are in use
    /// are included.
    pub held: Amount,
    /// Credit that is returned with this request. It is not included in `held`.
    pub released: Amount,
    /// Tokens that were charged by an estimate but not used.
    pub refund: units::Tokens,
    /// Tokens that were used beyond the estimate.
    #[serde(rename = "overused")]
    pub overrun: units::Tokens,
    /// Credit that is requested.
    pub want: Amount,
    /// Smallest credit that is useful to the entry host. A smaller grant would be wasted.
    #[serde(rename = "least")]
    pub minimum: Amount,
}

/// Answer of a holder to a [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Account that the credit is for.
    pub account: name::AccountName,
    /// Slice of the account's limits.
    pub slice: u8,
    /// Number of the request that is answered.
    #[serde(rename = "ask")]
    pub request_number: u64,
    /// Number of the grant.
    pub number: u64,
    /// Credit that is granted.
    pub amount: Amount,
    /// Why less than requested was granted, or `None` if all was granted.
    #[serde(rename = "short")]
    pub shortage: Option<Shortage>,
    /// Whether credit of the slice is scarce, so that unused credit and slots should be returned
    /// promptly.
    #[serde(rename = "tight")]
    pub scarce: bool,
}

/// Why a holder granted less than was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shortage {
    /// The receiver of the request does not hold the slice, not yet, or no longer.
    NotHolder,
    /// Requests are used up. There is enough for one more after this time.
    Requests(Duration),
    /// Tokens are used up. There are enough for the request after this time.
    Tokens(Duration),
    /// All slots for requests in flight are in use.
    Slots,
}
