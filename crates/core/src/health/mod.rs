//! Health of endpoints, as their owner sees it.
//!
//! Four signs take an endpoint out of the candidates for a while:
//!
//! - another endpoint that answers at its address, at once;
//! - connections that fail: [`Settings::consecutive_failures`] in a row;
//! - answers that stall: as many in a row;
//! - slowness beside the others of its pool, by the [chart](control_chart::ControlChart) of residuals. A surge
//!   that slows all endpoints alike moves the mean of the group and takes none of them out.
//!
//! Signs count from all work of the owner, so nothing is probed. An endpoint that was taken out
//! returns after a hold that doubles each time up to [`Settings::max_ejection`], and the first
//! sign takes it out again. At most a share of a pool is out for slowness at once.

pub mod control_chart;
mod machine;

pub use machine::{Change, Health, Observation};

use std::time::Duration;

/// Settings of the health checks.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Failed connections or stalls in a row that take an endpoint out.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// Time for which an endpoint is out at first.
    #[serde(rename = "hold")]
    pub base_ejection: Duration,
    /// Longest time for which an endpoint is out.
    #[serde(rename = "longest_hold")]
    pub max_ejection: Duration,
    /// Interval over which the latencies of the chart are averaged.
    pub interval: Duration,
    /// Largest share of the endpoints that may be out for slowness.
    #[serde(rename = "slow_share")]
    pub max_slow_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            consecutive_failures: 2,
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(60),
            interval: Duration::from_secs(5),
            max_slow_share: 0.2,
        }
    }
}
