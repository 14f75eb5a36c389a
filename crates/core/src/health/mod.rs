//! Health of endpoints, as their owner sees it.
//!
//! Four signs take an endpoint out of the candidates for a while:
//!
//! - another endpoint that answers at its address, at once;
//! - connections that fail: [`Settings::failures`] in a row;
//! - answers that stall: as many in a row;
//! - slowness beside the others of its pool, by the [chart](chart::Chart) of residuals. A surge
//!   that slows all endpoints alike moves the mean of the group and takes none of them out.
//!
//! Signs count from all work of the owner, so nothing is probed. An endpoint that was taken out
//! returns after a hold that doubles each time up to [`Settings::longest_hold`], and the first
//! sign takes it out again. At most a share of a pool is out for slowness at once.

pub mod chart;
mod machine;

pub use machine::{Change, Health, Sign};

use std::time::Duration;

/// Settings of the health checks.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Failed connections or stalls in a row that take an endpoint out.
    pub failures: u32,
    /// Time for which an endpoint is out at first.
    pub hold: Duration,
    /// Longest time for which an endpoint is out.
    pub longest_hold: Duration,
    /// Interval over which the latencies of the chart are averaged.
    pub interval: Duration,
    /// Largest share of the endpoints that may be out for slowness.
    pub slow_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures: 2,
            hold: Duration::from_secs(2),
            longest_hold: Duration::from_secs(60),
            interval: Duration::from_secs(5),
            slow_share: 0.2,
        }
    }
}
