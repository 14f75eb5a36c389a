//! Readings of processor time and memory.

use std::fs;
use std::time::Instant;

use eyre::{OptionExt as _, WrapErr as _};

/// Rounds of which the fastest counts, since other work on the machine only slows a round.
const ROUNDS: usize = 7;

/// Nanoseconds that one call of `work` takes, over `calls` calls in the fastest round.
pub fn nanos<F>(calls: u32, mut work: F) -> f64
where
    F: FnMut(u32),
{
    let round = |work: &mut F| {
        let start = Instant::now();
        (0..calls).for_each(&mut *work);
        start.elapsed().as_nanos() as f64 / f64::from(calls)
    };
    (0..ROUNDS)
        .map(|_| round(&mut work))
        .fold(f64::INFINITY, f64::min)
}

/// Bytes of memory that one value of `make` takes, over `count` values that are held at once and
/// never freed.
pub fn bytes<T, F>(count: usize, mut make: F) -> eyre::Result<f64>
where
    F: FnMut() -> T,
{
    let before = resident()?;
    let held: Vec<T> = (0..count).map(|_| make()).collect();
    let after = resident()?;
    // Freed memory would be used again by the next reading without being seen.
    std::mem::forget(held);
    Ok(after.saturating_sub(before) as f64 / count as f64)
}

/// Resident memory of the process, in bytes.
fn resident() -> eyre::Result<u64> {
    const KIB: u64 = 1024;
    let status = fs::read_to_string("/proc/self/status").wrap_err("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .ok_or_eyre("no VmRSS")?;
    Ok(kib.parse::<u64>()? * KIB)
}
