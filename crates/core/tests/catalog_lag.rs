//! How long a host has been behind the catalog of others.

use std::time::Duration;

use pistachiochute_core::catalog::{Lag, Version};
use pistachiochute_core::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn behind(ms: u64) -> Option<Duration> {
    Some(Duration::from_millis(ms))
}

/// Guards against CONFIG: a host that knows of a newer version, does not get it, and does not notice.
#[test]
fn a_host_that_stays_behind_knows_for_how_long() {
    let mut lag = Lag::new();
    let (first, second, third) = (Some(Version(1)), Some(Version(2)), Some(Version(3)));
    assert_eq!(lag.observe(None, None, at(0)), None);
    assert_eq!(lag.observe(first, first, at(100)), None);
    assert_eq!(lag.observe(first, second, at(200)), behind(0));
    assert_eq!(lag.observe(first, second, at(500)), behind(300));
    // A version that follows does not begin the time anew.
    assert_eq!(lag.observe(first, third, at(900)), behind(700));
    assert_eq!(lag.observe(third, third, at(1_000)), None);
    assert_eq!(lag.observe(third, Some(Version(4)), at(1_100)), behind(0));
}

/// A host that takes over one version after the other is behind with none of them for long.
#[test]
fn a_host_that_gets_each_version_is_never_long_behind() {
    let mut lag = Lag::new();
    for n in 0..20 {
        let (own, newest) = (Some(Version(n)), Some(Version(n + 1)));
        assert_eq!(lag.observe(own, newest, at(n * 300)), behind(0));
        assert_eq!(lag.observe(own, newest, at(n * 300 + 200)), behind(200));
    }
}

#[test]
fn a_host_without_a_catalog_is_behind_any() {
    let mut lag = Lag::new();
    assert_eq!(lag.observe(None, Some(Version(1)), at(0)), behind(0));
    assert_eq!(lag.observe(None, Some(Version(1)), at(50)), behind(50));
}
