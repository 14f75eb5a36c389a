//! Finds connections that have gone silent and answers that have stalled.
//!
//! A connection can be forgotten by something between its ends, without an error on either side.
//! [`Link`] asks for a ping when a link that is in use has been silent, and gives the link up if
//! nothing at all arrives before a deadline. [`StallDeadline`] bounds the time until the first byte of an
//! answer and between two of its pieces.

mod link;
mod stall_deadline;

pub use link::{Check, Link, LinkConfig};
pub use stall_deadline::{StallConfig, StallDeadline};
