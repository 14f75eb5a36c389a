//! Assembles the complete answer of one request from the frames of its attempts.
//!
//! Every [`Frame`] carries the id of its request and the number of its attempt. Frames of another
//! request or attempt are discarded by these ids, however late they arrive. Within an attempt the
//! chunks are numbered. A duplicate is discarded, and a gap or an end marker whose counts do not
//! match fails the attempt.
//!
//! The sender splits a stream into chunks at event boundaries and adds the event id, so each chunk
//! is delivered on arrival. The chunks of any other answer are buffered until it is complete. While
//! nothing has been delivered, the request can be run again from its start. After that only a
//! resumption at the engine, after the last delivered event, can complete the answer: the output of
//! two runs is never combined. An answer longer than [`MAX_BUFFERED_BYTES`] is delivered before it
//! is complete; if it is then cut off, it ends as an error.

mod assembler;
mod buffer;
mod frame;

pub use assembler::{Assembler, Delivery, Discard, Step};
pub use buffer::MAX_BUFFERED_BYTES;
pub use frame::{Frame, Head, Part};
