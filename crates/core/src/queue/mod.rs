//! Weighted fair queueing across client accounts, one queue per endpoint at its owner.
//!
//! The algorithm is start-time fair queueing: each account has a tag in virtual time, the account
//! with the smallest tag is served next, and service advances its tag by the estimated tokens
//! divided by the account's weight. An account that was idle starts at the virtual time of the
//! last service, so it neither accumulates credit nor waits behind a burst of another account.
//! When the actual token count is known, [`FairQueue::correct`] adjusts the tag by the difference.
//!
//! Priority orders the entries of one account only. Between accounts the weight decides, since
//! strict priority would let one account starve another.
//!
//! The queue refuses early: it predicts the start of each entry from the order of service and the
//! measured drain rate, and refuses entries that would miss their deadline. A full queue drops the
//! last entry of the account with the largest backlog for its weight.

mod entry;
mod fair;
mod flow;
mod rate;
mod virtual_time;

pub use entry::{Entry, Popped, Refused};
pub use fair::{Bounds, FairQueue};
