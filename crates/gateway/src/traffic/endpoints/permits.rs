//! Permits for endpoints that name a limit, as far as the endpoint table decides on them.

use std::time::Duration;

use pistachiochute_core::{directory, permits, time};

use super::{EndpointTable, Entry};

/// What allows a request to be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::traffic) enum Permit {
    /// The endpoint names no limit, or this host's share has room.
    Own,
    /// The shares that other hosts have delegated to this one have room.
    Pool,
    /// This host has to be asked first.
    Ask(u64),
    /// A permit that was taken, valid until a time.
    Until(time::Time),
}

impl Permit {
    /// Whether the first byte of the request may be sent.
    pub(in crate::traffic) fn is_valid(self, now: time::Time) -> bool {
        match self {
            Self::Own => true,
            Self::Until(end) => now <= end,
            Self::Pool | Self::Ask(_) => false,
        }
    }
}

impl EndpointTable {
    /// Where a request gets its permit, or `None` if the endpoint names no limit.
    fn access(&self, entry: &Entry, now: time::Time) -> Option<permits::Access> {
        if !self.admissions.is_limited(entry.hash) {
            return None;
        }
        let share = self.admissions.share(entry.hash);
        let opens_at = share.map(|share| share.opens_at);
        Some(self.permits.access(entry.hash, opens_at, now))
    }

    /// When the limit of an endpoint has room for a request of this host, if that is known.
    pub(super) fn limit_room(
        &self,
        entry: &Entry,
        may_ask: bool,
        now: time::Time,
    ) -> Option<time::Time> {
        match self.access(entry, now) {
            None | Some(permits::Access::Share | permits::Access::Pool) => Some(now),
            Some(permits::Access::Ask(_)) if may_ask => Some(now),
            Some(permits::Access::Ask(_)) => Some(now + permits::MAX_RETRY),
            Some(permits::Access::Closed(until)) => until,
        }
    }

    /// Whether an endpoint names a limit that has room without another host being asked.
    pub(super) fn has_own_permit(&self, entry: &Entry, now: time::Time) -> bool {
        let access = self.access(entry, now);
        matches!(access, Some(permits::Access::Share | permits::Access::Pool))
    }

    /// What allows a request to be sent to an endpoint that is open.
    pub(super) fn permit_for(&self, entry: &Entry, now: time::Time) -> Permit {
        match self.access(entry, now) {
            Some(permits::Access::Pool) => Permit::Pool,
            Some(permits::Access::Ask(lender)) => Permit::Ask(lender),
            None | Some(permits::Access::Share | permits::Access::Closed(_)) => Permit::Own,
        }
    }

    /// Datagrams about permits that are due, by receiver.
    pub(in crate::traffic) fn tick_permits(
        &mut self,
        now: time::Time,
    ) -> Vec<(u64, permits::Delegate)> {
        let limited = self.admissions.limited();
        self.permits
            .tick(self.admissions.limit_hosts(), &limited, now)
    }

    /// Endpoints whose lender has changed since the last call, with the hash of the new one.
    pub(in crate::traffic) fn take_lender_changes(
        &mut self,
    ) -> Vec<(directory::Identity, Option<u64>)> {
        let changes = self.permits.take_lender_changes().into_iter();
        let named = changes.filter_map(|(hash, lender)| {
            let entry = self.entries.get(*self.by_hash.get(&hash)?)?;
            Some((entry.endpoint.identity.clone(), lender))
        });
        named.collect()
    }

    /// State of permits, for messages of other hosts.
    pub(in crate::traffic) const fn permits(&mut self) -> &mut permits::Permits {
        &mut self.permits
    }

    /// Lends a permit to another host.
    ///
    /// # Errors
    ///
    /// Returns the time after which that host may ask again.
    pub(in crate::traffic) fn lend(
        &mut self,
        endpoint: u64,
        now: time::Time,
    ) -> Result<(), Duration> {
        permits::lend(&mut self.permits, &mut self.admissions, endpoint, now)
    }
}
