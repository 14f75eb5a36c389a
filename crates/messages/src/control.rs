//! Control messages between hosts. Each is answered by one message.

use pistachiochute_core::{entity, lists, membership, routing};

/// A control message, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// A probe of the membership.
    Probe(membership::Probe),
    /// A message on the distribution of the lists. Answered by [`Message::Received`].
    Lists {
        /// Host that sends it.
        from: entity::HostId,
        /// The message.
        message: lists::message::Message,
    },
    /// Answer to a message that asks for none.
    Received,
    /// Loads of the sender's endpoints.
    Loads(routing::report::Report),
}
