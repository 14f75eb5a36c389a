//! Counted measurements of the decisions, each compared with its baseline and its bound.
//!
//! Every measurement drives the state machines of `pistachiochute-core` with a fixed seed and
//! counts events, never wall-clock time, so that a run gives the same verdict each time.

pub mod actions;
pub mod bounds;
pub mod figure;
pub mod lists;
pub mod membership;
pub mod report;
pub mod routing;
pub mod slopes;
pub mod traces;
