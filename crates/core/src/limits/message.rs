//! Messages between entry hosts and the holders of slices.

use std::time::Duration;

use crate::limits::Amount;
use crate::{name, units};

/// An entry host asks the holder of a slice for credit, and tells what became of earlier credit.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreditRequest {
    /// Account that the credit is for.
    pub account: name::AccountName,
    /// Slice of the account's limits.
    pub slice: u8,
    /// Number of the entry host's process, larger for a later one.
    pub boot: u64,
    /// Number of the ask, larger for a later one.
    pub number: u64,
    /// Largest grant number that the entry host has received from the slice.
    #[serde(rename = "seen")]
    pub last_grant: u64,
    /// Credit of the grants seen that is neither spent nor given back. For slots, those in use
    /// count too.
    pub held: Amount,
    /// Credit given back with this ask. It is no longer held.
    pub released: Amount,
    /// Tokens that were charged by estimate and not used.
    pub refund: units::Tokens,
    /// Tokens that were used beyond the estimate.
    #[serde(rename = "overused")]
    pub overrun: units::Tokens,
    /// Credit asked for.
    pub want: Amount,
    /// Credit without which the rest is of no use.
    #[serde(rename = "least")]
    pub minimum: Amount,
}

/// The answer of a holder.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Account that the credit is for.
    pub account: name::AccountName,
    /// Slice of the account's limits.
    pub slice: u8,
    /// Number of the ask that is answered.
    #[serde(rename = "ask")]
    pub request_number: u64,
    /// Number of the grant.
    pub number: u64,
    /// Credit granted.
    pub amount: Amount,
    /// What the slice lacks, or `None` if all was granted.
    #[serde(rename = "short")]
    pub shortage: Option<Shortage>,
    /// Whether the slice is so far used up that credit and slots should be given back soon.
    #[serde(rename = "tight")]
    pub scarce: bool,
}

/// Why a holder granted less than was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shortage {
    /// The receiver does not hold the slice, or not yet or no more.
    NotHolder,
    /// Requests are used up; enough for one more come in this time.
    Requests(Duration),
    /// Tokens are used up; enough for the request come in this time.
    Tokens(Duration),
    /// All requests in flight are taken.
    Slots,
}
