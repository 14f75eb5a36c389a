//! Assembles the whole answer of one request from the frames of its attempts.
//!
//! Every [`Frame`] carries the id of its request and the number of its attempt. Frames of another
//! request or attempt are discarded by these ids, however late they arrive. Within an attempt the
//! pieces are numbered, a duplicate is discarded, and a gap or an end marker whose counts do not
//! match fails the attempt.
//!
//! The sender cuts the pieces of a stream at the ends of its events and names the event, so each
//! piece is delivered as it comes. The pieces of any other answer are held until it is whole.
//! While nothing has been delivered the request can be run again from its start. After that only
//! a resumption at the engine, after the last event that was delivered, can complete the answer:
//! two runs are never joined. An answer longer than the bound on held bytes is delivered without
//! waiting; if it is then cut, it ends as an error.

mod assembler;
mod buffer;
mod frame;

pub use assembler::{Assembler, Delivery, Discard, Step};
pub use buffer::MAX_BUFFERED_BYTES;
pub use frame::{Frame, Head, Part};
