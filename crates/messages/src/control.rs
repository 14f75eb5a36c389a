//! Control messages between hosts. Each gets one message in response.

use pistachiochute_core::{entity, lists, membership, routing};

/// A control message, or the response to one. Encoded by position: the order of variants is fixed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// A failure detection probe of the membership protocol.
    Probe(membership::Probe),
    /// A message that distributes the lists. Acknowledged with [`Message::Received`].
    Lists {
        /// Host that sends the message.
        from: entity::HostId,
        /// The message.
        message: lists::message::Message,
    },
    /// Acknowledges a message that needs no other response.
    Received,
    /// Loads of the endpoints that the sender owns.
    Loads(routing::report::Report),
}
