//! The two lists in the platform's key-value service.
//!
//! [`store`] reads and writes them, [`sync`] does so for the replica of the control thread, and
//! [`editor`] carries out the edits of operators. The decisions are those of
//! `pistachiochute_core::lists`.

pub mod editor;
pub mod store;
pub mod sync;
