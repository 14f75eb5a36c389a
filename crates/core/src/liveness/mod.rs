//! Finds connections that have gone silent and answers that have stalled.
//!
//! A connection can be forgotten by something between its ends, without an error on either side.
//! [`Link`] asks for a ping when a link that is in use has been silent, and gives the link up if
//! nothing at all arrives before a deadline. [`Stall`] bounds the time until the first byte of an
//! answer and between two of its pieces.

mod link;
mod stall;

pub use link::{Check, Link, LinkConfig};
pub use stall::{Stall, StallConfig};
