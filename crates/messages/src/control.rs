//! Control messages between hosts. Each is answered by one message of the same kind.

use pistachiochute_core::{membership, routing};

/// A control message, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// A probe of the membership.
    Probe(membership::Probe),
    /// Loads of the sender's endpoints.
    Loads(routing::report::Report),
}
