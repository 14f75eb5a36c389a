//! Monotonic clock of the host.

use pistachiochute_core::time;

/// Returns the time since boot.
///
/// The clock keeps running while the process or the machine is suspended, so a lease that expired
/// during a suspension is seen as expired.
#[must_use]
pub fn now() -> time::Time {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let micros = now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000;
    time::Time::from_micros(micros)
}
