//! How long a host has been behind the catalog of others.

use std::time::Duration;

use crate::catalog::Version;
use crate::time;

/// Time for which other hosts have had a newer catalog than this one.
#[derive(Debug, Default)]
pub struct Lag {
    /// The version that this host has had since then, while others have had a newer one.
    behind: Option<(Option<Version>, time::Time)>,
}

impl Lag {
    /// The host is not behind.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the version that this host has now, and the newest that others have said to have. Returns how long it
    /// has been behind with this version, or `None` if it is not.
    pub fn observe(
        &mut self,
        own: Option<Version>,
        newest: Option<Version>,
        now: time::Time,
    ) -> Option<Duration> {
        if newest <= own {
            self.behind = None;
            return None;
        }
        let since = match self.behind {
            Some((version, since)) if version == own => since,
            _ => now,
        };
        self.behind = Some((own, since));
        Some(now.since(since))
    }
}
