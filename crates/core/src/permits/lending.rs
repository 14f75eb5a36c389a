//! What a host that is asked for a permit answers.

use std::time::Duration;

use crate::permits::{Access, Permits};
use crate::{admission, time};

/// Grants a permit of this host: from the shares that are delegated to it, or from its own.
///
/// # Errors
///
/// Returns the time after which the host that asks may ask again.
pub fn lend(
    permits: &mut Permits,
    admissions: &mut admission::Admissions,
    endpoint: u64,
    now: time::Time,
) -> Result<(), Duration> {
    if permits.take_token(endpoint, now) {
        return Ok(());
    }
    let share = admissions.share(endpoint);
    match permits.access(endpoint, share.map(|share| share.opens_at), now) {
        Access::Share => {
            admissions.record_lent(endpoint, now);
            Ok(())
        }
        Access::Pool | Access::Ask(_) => {
            Err(permits.retry_after(endpoint, share.map(|share| share.rate), None, now))
        }
        Access::Closed(until) => {
            Err(permits.retry_after(endpoint, share.map(|share| share.rate), until, now))
        }
    }
}
