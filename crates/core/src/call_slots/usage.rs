//! Slot time that client accounts had lately.

use std::collections::HashMap;
use std::time::Duration;

use crate::time;

/// Time in which what an account had counts half.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Most accounts that are remembered. The one that had least is forgotten first.
const MAX_ACCOUNTS: usize = 256;

/// Slot time by account, decayed.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    /// Seconds of slot time, as of a point in time.
    accounts: HashMap<u64, (f64, time::Time)>,
}

impl Usage {
    /// Adds the time for which an account had a slot.
    pub(super) fn record(&mut self, account: u64, span: Duration, now: time::Time) {
        let total = self.seconds(account, now) + span.as_secs_f64();
        self.accounts.insert(account, (total, now));
        if self.accounts.len() > MAX_ACCOUNTS {
            let accounts = self.accounts.iter();
            let usage =
                accounts.map(|(account, (seconds, at))| (decayed(*seconds, *at, now), *account));
            let least = usage.min_by(|a, b| a.partial_cmp(b).expect("no NaN"));
            if let Some((_, least)) = least {
                self.accounts.remove(&least);
            }
        }
    }

    /// Seconds of slot time that an account had lately.
    pub(super) fn seconds(&self, account: u64, now: time::Time) -> f64 {
        let (seconds, at) = self.accounts.get(&account).copied().unwrap_or_default();
        decayed(seconds, at, now)
    }
}

/// What remains of a time that was counted at some point.
fn decayed(seconds: f64, at: time::Time, now: time::Time) -> f64 {
    let half_lives = now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
    seconds * (-half_lives).exp2()
}
