//! Replays recorded cases against their stated outcomes.
//!
//! A case file holds JSON lines: a [`case::Header`] that names the state machine and its
//! settings, then one [`case::Step`] a line with a time, an event and the exact outcome of the
//! event. [`replay::file`] drives the machine of `pistachiochute-core` with the events and reports
//! each outcome that differs, with the line that states it. The format is described in
//! `cases/README.md`.

pub mod case;
pub mod machine;
pub mod replay;
