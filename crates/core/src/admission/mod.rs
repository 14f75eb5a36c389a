//! What endpoints say of themselves in the heads of their answers, and when each takes another request
//! of this host.

mod pushback;

pub use pushback::{ParsePushbackError, Pushback};
