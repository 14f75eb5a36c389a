//! Deterministic measurements of the fleet's algorithms, compared with baselines and regression
//! bounds.
//!
//! A measurement simulates the state machines of `pistachiochute-core` with a fixed seed and
//! counts events in virtual time, so that every run gives the same values. The exceptions are
//! [`slopes`], which samples processor time and memory and has no bounds, and the times of [`decisions`],
//! whose bounds are far above them.

pub mod actions;
pub mod bounds;
pub mod decisions;
pub mod departures;
pub mod figure;
pub mod lists;
pub mod membership;
pub mod quarantine;
pub mod report;
pub mod routing;
pub mod slopes;
pub mod streams;
pub mod traces;
