//! Registration of a host in the store: an entry under a lease that the host renews.
//!
//! Each call to the store has its price, and a fleet of hundreds pays it hundreds of times. So a host
//! whose loss its relays notice has a long lease, and a process that starts again takes over the lease
//! that the last process of its host has left instead of registering anew.

use std::time::Duration;

use crate::time;

/// Lease renewals per time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Time to live of the lease of a host whose loss its relays notice, as a multiple of that of others.
const RELAYED_TTL_FACTOR: u32 = 5;

/// Shortest time between two registrations for another time to live. Roles change often while a fleet
/// starts.
const MIN_REGISTRATION_AGE: Duration = Duration::from_secs(2);

/// Time after which a new registration with a longer lease costs less than to go on with a short one:
/// a renewal has a tenth of the price of one of the two other calls.
const SHORT_LEASE_RETENTION: Duration = Duration::from_secs(45);

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub i64);

/// Who notices when a host is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Visibility {
    /// All hosts, by its entry: they would otherwise rely on it, or no relay would notice.
    Listed,
    /// The relays of its domain, by its silence.
    Relayed,
}

/// Calls that are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the entry under a new lease.
    Register {
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
}

/// A lease that the store has granted to this process, or renewed for it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    ttl: Duration,
    held_since: time::Time,
    renewed_at: time::Time,
}

/// State of the registration of one process.
#[derive(Clone, Copy, Debug)]
pub struct Registration {
    /// Time to live of a lease that all hosts rely on.
    listed_ttl: Duration,
    held: Option<HeldLease>,
    /// Lease that the last process of this host has left.
    /// Invariant: `None` once this process has held a lease.
    left: Option<LeaseId>,
    /// Whether this process has held a lease.
    has_begun: bool,
}

impl Registration {
    /// A process that is not registered. `listed_ttl` is the time to live of a lease that all hosts
    /// rely on.
    #[must_use]
    pub const fn new(listed_ttl: Duration) -> Self {
        Self {
            listed_ttl,
            held: None,
            left: None,
            has_begun: false,
        }
    }

    /// Records the lease of an entry that an earlier process of this host has left. It is ignored if
    /// this process has had a lease of its own.
    pub fn adopt(&mut self, lease: LeaseId) {
        if !self.has_begun {
            self.left = Some(lease);
        }
    }

    /// Records that the store granted or renewed a lease by a call that was sent at `sent_at`.
    pub fn record_lease(&mut self, id: LeaseId, ttl: Duration, sent_at: time::Time) {
        let held = self.held.filter(|held| held.id == id);
        self.held = Some(HeldLease {
            id,
            ttl,
            held_since: held.map_or(sent_at, |held| held.held_since),
            renewed_at: sent_at,
        });
        self.left = None;
        self.has_begun = true;
    }

    /// Records that the lease has ended, and the entry with it.
    pub fn record_end(&mut self) {
        self.held = None;
        self.left = None;
        self.has_begun = true;
    }

    /// Records that the store may have lost the lease: it is renewed at once, which shows whether it has.
    pub const fn record_doubt(&mut self) {
        if let Some(held) = &mut self.held {
            held.renewed_at = time::Time::ZERO;
        }
    }

    /// Calls that are due now.
    #[must_use]
    pub fn next_step(&self, visibility: Visibility, now: time::Time) -> Option<Step> {
        let ttl = self.ttl(visibility);
        let Some(held) = self.held else {
            return Some(match self.left {
                // The renewal shows whether the lease still lives.
                Some(lease) if visibility == Visibility::Relayed => Step::Renew { lease },
                _ => Step::Register { ttl },
            });
        };
        let age = now.since(held.held_since);
        let is_too_long = held.ttl > ttl && age >= MIN_REGISTRATION_AGE;
        let is_too_short = held.ttl < ttl && age >= SHORT_LEASE_RETENTION;
        if is_too_long || is_too_short {
            return Some(Step::Register { ttl });
        }
        let is_due = now.since(held.renewed_at) >= held.ttl / RENEWALS_PER_TTL;
        is_due.then_some(Step::Renew { lease: held.id })
    }

    /// Takes the lease that a stopping process ends, if others must notice its end soon.
    pub fn take_lease_to_end(&mut self, visibility: Visibility) -> Option<LeaseId> {
        match visibility {
            Visibility::Listed => self.held.take().map(|held| held.id),
            Visibility::Relayed => None,
        }
    }

    fn ttl(&self, visibility: Visibility) -> Duration {
        match visibility {
            Visibility::Listed => self.listed_ttl,
            Visibility::Relayed => self.listed_ttl * RELAYED_TTL_FACTOR,
        }
    }
}
