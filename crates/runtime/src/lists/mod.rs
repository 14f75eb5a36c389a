//! Lists of accounts and plans in the platform's key-value service.
//!
//! [`store`] reads and writes them, [`sync`] calls the store for the replica of the control thread,
//! and [`editor`] commits operators' edits. The state machines are in `pistachiochute_core::lists`.

pub mod editor;
pub mod store;
pub mod sync;
