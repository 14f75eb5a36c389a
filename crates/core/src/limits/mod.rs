//! Limits of plans, shared out over the fleet so that the shares never sum above the plan.
//!
//! The limits of an account are cut into up to eight slices, and each slice is held by one host,
//! most in different failure domains. The table in the key-value service says who holds a slice,
//! and a holder may use it for a lease that it counts on its own clock from when it sent the read
//! that showed it as the holder ([`claims`]). Another host that takes a slice over waits until
//! that lease has surely lapsed. A quarter of each slice, the floor, has a lease of hours, so that
//! it serves through an outage of the store; the rest has a lease of a minute.
//!
//! A holder grants credit to entry hosts ([`lender`]). Credit lives for two seconds on the clock
//! of the entry host, counted from when it asked, so that a paused host wakes up with none. An
//! entry host asks the holder in its own domain first and then the others ([`borrower`]), so that
//! the whole limit can be used wherever the requests arrive.
//!
//! No clock is compared with another. Spans are compared, and two clocks differ in their rates by
//! at most [`MAX_CLOCK_SKEW_PPM`].

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
