//! Outlier detection: ejects unhealthy endpoints from the candidates, as their owner sees them.
//!
//! Four observations eject an endpoint for a while:
//!
//! - another endpoint answers at its address: at once;
//! - connections fail: after [`Settings::consecutive_failures`] in a row;
//! - answers stall: after as many in a row;
//! - the endpoint is slow relative to the others of its pool, by the control chart of residuals in
//!   [`control_chart::ControlChart`]. A surge that slows all endpoints alike moves the mean of the
//!   group and ejects none of them.
//!
//! Detection is passive: the observations come from the owner's own requests, and no probes are
//! sent. An ejected endpoint is readmitted after an ejection time that doubles with each ejection
//! up to [`Settings::max_ejection`], and the first failure after that ejects it again. At most
//! [`Settings::max_slow_share`] of the endpoints is ejected for slowness at once.
//!
//! [`reachability`] finds failure domains that a host cannot reach, and [`isolation`] services of which it
//! reaches no endpoint.

pub mod control_chart;
pub mod isolation;
mod machine;
pub mod reachability;

pub use machine::{Change, Health, Observation};

use std::time::Duration;

/// Settings of the outlier detection.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Consecutive failed connections or stalls that eject an endpoint.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// Duration of the first ejection of an endpoint.
    #[serde(rename = "hold")]
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    #[serde(rename = "longest_hold")]
    pub max_ejection: Duration,
    /// Interval over which the control chart averages latencies.
    pub interval: Duration,
    /// Largest share of the endpoints that may be ejected for slowness at once.
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
