//! Distributed rate limiting: the limits of a plan are divided among the hosts so that the shares
//! never exceed the plan.
//!
//! The limits of an account are divided into up to eight slices. Each slice is held by one host,
//! most of them in different failure domains. A table in the key-value service records the holder
//! of each slice. A holder may use a slice for the duration of a lease, which it counts on its own
//! clock from when it sent the read that showed it as the holder ([`claims`]). Another host that
//! takes the slice over waits until that lease has expired on every clock. A quarter of each
//! slice, the floor, has a lease of hours, so that it remains usable during an outage of the
//! store; the rest, the elastic part, has a lease of a minute.
//!
//! A holder grants credit to entry hosts ([`lender`]). Credit is valid for two seconds on the clock
//! of the entry host, counted from its request, so that a host has none left after a pause. An
//! entry host asks the holder in its own domain first and then the others ([`borrower`]), so that
//! the whole limit can be used wherever the requests arrive.
//!
//! Timestamps of different clocks are never compared, only durations. The rates of two clocks
//! differ by at most [`MAX_CLOCK_SKEW_PPM`].

mod amount;
mod authority;
pub mod borrower;
mod bucket;
pub mod claims;
mod layout;
pub mod lender;
pub mod message;
mod parameters;
mod slice_credit;

pub use amount::Amount;
pub use authority::{Authority, Span};
pub use layout::{Layout, SHARDS, SLICES, SliceId};
pub use parameters::{
    BURST_WINDOW, CREDIT_TTL, ELASTIC_LEASE, FLOOR_LEASE, MAX_CLOCK_SKEW_PPM, SLOT_LEASE,
    request_burst, token_burst, with_skew_margin,
};
