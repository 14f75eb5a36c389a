//! Weighted fair queueing across client accounts, one queue per endpoint at its owner.
//!
//! The queue is start-time fair queueing: each account has a tag in virtual time, the account
//! with the smallest tag is served next, and serving moves its tag on by the estimated tokens
//! over the account's weight. An account that was idle starts at the virtual time of the last
//! service, so it neither saves up service nor waits behind a surge of another account. When the
//! tokens really used are known, [`FairQueue::correct`] moves the tag by the difference.
//!
//! Priority orders the entries of one account only. Between accounts the weight decides, since
//! strict priority would let one account starve another.
//!
//! The queue refuses early. It predicts when each entry would be served from the order of service
//! and the measured drain rate, and gives back at once every entry that would be too late. A full
//! queue drops the newest entry of the account that has the most queued for its weight.

mod entry;
mod fair;
mod flow;
mod rate;
mod virtual_time;

pub use entry::{Entry, Popped, Refused};
pub use fair::{Bounds, FairQueue};
