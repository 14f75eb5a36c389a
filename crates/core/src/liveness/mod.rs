//! Detects silent connections and stalled answers.
//!
//! A middlebox can drop the state of a connection without an error at either end.
//! [`Link`] requests a ping when nothing has arrived on a link that is in use for some time, and
//! closes the link if nothing arrives before a deadline either. [`StallDeadline`] bounds the time
//! until the first chunk of an answer and between two of its chunks. [`CallerConnection`] decides
//! when a host closes the connection of a caller. [`Deadline`] is the permission to send a request.

mod caller_connection;
mod deadline;
mod link;
mod stall_deadline;

pub use caller_connection::{CallerConnection, ConnectionStep};
pub use deadline::Deadline;
pub use link::{Check, Link, LinkConfig};
pub use stall_deadline::{StallConfig, StallDeadline};
