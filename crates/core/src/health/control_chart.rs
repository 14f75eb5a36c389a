//! Group control chart of residuals, which detects endpoints that are slow relative to the others.
//!
//! The latency of an endpoint has a component that is common to its pool, which load surges move,
//! and a component of its own. In each interval, the mean over all endpoints estimates the common
//! component, and the difference of an endpoint's mean from it is the endpoint's residual. An
//! endpoint signals when its residual is above `k` standard deviations of the residuals. `k` is
//! corrected for the number of endpoints, so that the whole chart has a fixed rate of false
//! alarms. The chart uses the logarithms of latencies, so that a surge that multiplies all of them
//! is a common shift.
//!
//! Source: E. K. Epprecht, L. F. M. Barbosa, B. F. T. Simões, "SPC of multiple stream processes: a
//! chart for enhanced detection of shifts in one stream", Production 21(2), 2011, pp. 242-253,
//! equations 4 to 11. Differences: only slow endpoints signal, the standard deviation is a running
//! estimate that excludes signals, and the residuals are smoothed exponentially, which the paper
//! names as future work.

use smallvec::SmallVec;

use crate::{entity, map};

/// Weight of the latest interval in a smoothed residual.
const SMOOTHING: f64 = 0.3;

/// Probability of a false alarm anywhere in the chart in one interval.
const FALSE_ALARM_PROBABILITY: f64 = 0.0001;

/// Weight of the latest interval in the running variance of the residuals.
const VARIANCE_GAIN: f64 = 0.1;

/// Intervals after which the estimate of the variance is good enough to signal.
const WARM_UP_INTERVALS: u32 = 6;

/// Smallest smoothed residual that signals: the logarithm of a latency 30 % above the others.
const MIN_SIGNAL_RESIDUAL: f64 = 0.262;

/// Smallest number of endpoints in a group. With two, the residuals differ only in their sign.
const MIN_GROUP: usize = 3;

/// Latencies of one endpoint in the current interval.
#[derive(Clone, Copy, Debug, Default)]
struct Stream {
    sum: f64,
    count: u32,
    /// Smoothed residual.
    residual: f64,
    /// Smoothed residual, in standard deviations of the residual of one interval.
    deviations: f64,
}

/// Control chart of the endpoints of one pool.
#[derive(Clone, Debug, Default)]
pub struct ControlChart {
    streams: map::EntityMap<entity::EndpointId, Stream>,
    /// Variance of the residual of one latency.
    variance: f64,
    intervals: u32,
}

impl ControlChart {
    /// Creates a chart without latencies.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a latency in seconds. Latencies that are not positive and finite are ignored.
    pub fn add(&mut self, endpoint: entity::EndpointId, latency_s: f64) {
        if !(latency_s.is_finite() && latency_s > 0.0) {
            return;
        }
        let stream = self.streams.get_or_insert_with(endpoint, Stream::default);
        stream.sum += latency_s.ln();
        stream.count += 1;
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: entity::EndpointId) {
        self.streams.remove(endpoint);
    }

    /// Ends an interval and returns the endpoints that signal.
    pub fn close_interval(&mut self) -> SmallVec<[entity::EndpointId; 2]> {
        let means: SmallVec<[(entity::EndpointId, f64, f64); 16]> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.count > 0)
            .map(|(id, stream)| {
                (
                    id,
                    stream.sum / f64::from(stream.count),
                    f64::from(stream.count),
                )
            })
            .collect();
        let signals = if means.len() < MIN_GROUP {
            SmallVec::new()
        } else {
            self.signals(&means)
        };
        for (_, stream) in self.streams.iter_mut() {
            stream.sum = 0.0;
            stream.count = 0;
        }
        signals
    }

    fn signals(
        &mut self,
        means: &[(entity::EndpointId, f64, f64)],
    ) -> SmallVec<[entity::EndpointId; 2]> {
        let base = means.iter().map(|(_, mean, _)| mean).sum::<f64>() / means.len() as f64;
        let limit = limit_coefficient(means.len()) * (SMOOTHING / (2.0 - SMOOTHING)).sqrt();
        let ready = self.intervals >= WARM_UP_INTERVALS;
        let deviation = self.variance.sqrt().max(f64::MIN_POSITIVE);
        let mut signals = SmallVec::new();
        let (mut squares, mut in_control) = (0.0, 0.0);
        for (id, mean, count) in means {
            let Some(stream) = self.streams.get_mut(*id) else {
                continue;
            };
            let residual = mean - base;
            let standardised = if ready {
                residual * count.sqrt() / deviation
            } else {
                0.0
            };
            stream.residual += SMOOTHING * (residual - stream.residual);
            stream.deviations += SMOOTHING * (standardised - stream.deviations);
            if stream.deviations > limit && stream.residual > MIN_SIGNAL_RESIDUAL {
                signals.push(*id);
            } else {
                squares += residual * residual * count;
                in_control += 1.0;
            }
        }
        self.update_variance(squares, in_control);
        signals
    }

    fn update_variance(&mut self, squares: f64, in_control: f64) {
        if in_control == 0.0 {
            return;
        }
        let gain = VARIANCE_GAIN.max(1.0 / f64::from(self.intervals + 1));
        self.variance += gain * (squares / in_control - self.variance);
        self.intervals = self.intervals.saturating_add(1);
    }
}

/// Coefficient of the control limit for a group of `streams`, with the Dunn-Šidák correction.
fn limit_coefficient(streams: usize) -> f64 {
    let one = (1.0 - FALSE_ALARM_PROBABILITY).powf(1.0 / streams as f64);
    upper_quantile((1.0 - one) / 2.0)
}

/// Value that a standard normal variable exceeds with probability `p`, for `p` below one half.
///
/// Rational approximation 26.2.23 of Abramowitz and Stegun, with an error below 4.5e-4.
fn upper_quantile(p: f64) -> f64 {
    let t = (-2.0 * p.ln()).sqrt();
    let upper = 2.515_517 + t * (0.802_853 + t * 0.010_328);
    let lower = 1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308));
    t - upper / lower
}
