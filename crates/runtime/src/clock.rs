//! The clock of the host.

use pistachiochute_core::time;

/// Reads the time since boot. The clock goes on while the process or the machine is suspended, so
/// a lease that lapsed during a pause is seen as lapsed.
#[must_use]
pub fn now() -> time::Time {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let micros = now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000;
    time::Time::from_micros(micros)
}
