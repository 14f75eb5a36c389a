//! Leases of the slices: the table in the key-value service and a host's claims in it.
//!
//! The table has one value for each shard. A host that should hold a slice, by its view of the
//! live hosts, takes it over from a host that is not live or that has surrendered it. Mutual
//! exclusion depends only on the compare-and-swap of the value, the leases that each holder counts
//! on its own clock, and the wait of the next holder. A wrong view of the live hosts can leave
//! credit unused, but never violates exclusion.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::{Authority, SHARDS, SLICES, SliceId, Span, parameters};
use crate::{entity, time};

/// Prefix of the keys of the table.
pub const PREFIX: &str = "/pistachiochute/limits/";

/// Interval at which a holder reads the values of its shards, which renews its leases.
const RENEW_INTERVAL: Duration = Duration::from_secs(15);

/// Interval at which a host reads the values of shards with slices that it should hold but does
/// not.
const ACQUIRE_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a holder must be missing from the view before the elastic parts of its slices
/// are taken over.
const TAKEOVER_DELAY: Duration = Duration::from_secs(10);

/// The process of a host that holds a part of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The host.
    pub host: entity::HostId,
    /// Number of the process, larger for a later one of the host.
    pub boot: u64,
}

/// One part of a slice in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The holder, or `None` if the part was surrendered or never held.
    pub holder: Option<Holder>,
    /// The previous holder, which determines how long the holder must wait.
    #[serde(rename = "after")]
    pub predecessor: Predecessor,
}

/// The kind of previous holder of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Predecessor {
    /// There was no previous holder.
    #[default]
    Nobody,
    /// It surrendered the part and has granted nothing since.
    Surrender,
    /// It may still use the part until its lease expires.
    Lease,
}

/// Row of the table for one slice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The part with the short lease.
    pub elastic: Part,
    /// The part with the long lease.
    pub floor: Part,
}

/// Value of the table for one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Slices of the shard.
    pub rows: [Row; SLICES as usize],
}

/// Key of a shard's value.
#[must_use]
pub fn key(shard: u8) -> String {
    format!("{PREFIX}{shard:02}")
}

/// Time for which a holder must be missing from the view before the floors of its slices are taken
/// over. The next holder of a floor must wait for hours, so a domain that is cut off for a shorter
/// time keeps its floors.
const FLOOR_TAKEOVER_DELAY: Duration = Duration::from_secs(1800);

/// Spans during which this host may use the parts of a slice.
#[derive(Clone, Copy, Debug, Default)]
struct Claim {
    elastic: Option<Span>,
    floor: Option<Span>,
}

/// Version of a shard's value in the store, which a compare-and-swap checks; zero if there is no
/// value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CasVersion(pub u64);

/// An action that the caller must take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read the value of a shard, and pass it to [`Claims::handle_read`] with the time at which
    /// the read was sent.
    Read(u8),
    /// Write the value of a shard if it still has the given version, and read it again, whatever
    /// the answer to the write is.
    Write(u8, CasVersion, Box<Shard>),
}

/// The slices that one host holds.
#[derive(Clone, Debug)]
pub struct Claims {
    own: Holder,
    /// Live hosts with their domains, sorted by id.
    hosts: Vec<(entity::HostId, entity::DomainId)>,
    domains: Vec<entity::DomainId>,
    /// Time since which a host that holds a slice has been missing from the view. Bounded by the
    /// size of the table.
    missing_since: BTreeMap<entity::HostId, time::Time>,
    /// When the store last answered a read.
    last_answer: time::Time,
    /// Slices that this host should hold, by its view.
    assigned: Vec<SliceId>,
    claims: BTreeMap<SliceId, Claim>,
    /// Slices that a pending write surrenders, with the version that the write expects. As the
    /// write may still take effect, they are not used before the version has changed.
    surrendering: BTreeMap<SliceId, CasVersion>,
    next_read: [time::Time; SHARDS as usize],
    /// Version in the last answer for each shard, and when the answer arrived.
    latest: [(CasVersion, time::Time); SHARDS as usize],
    draining: bool,
}

impl Claims {
    /// Creates the claims of a process of a host. `domains` are all failure domains, live or not.
    #[must_use]
    pub fn new(host: entity::HostId, boot: u64, domains: Vec<entity::DomainId>) -> Self {
        Self {
            own: Holder { host, boot },
            hosts: Vec::new(),
            domains,
            missing_since: BTreeMap::new(),
            last_answer: time::Time::ZERO,
            assigned: Vec::new(),
            claims: BTreeMap::new(),
            surrendering: BTreeMap::new(),
            next_read: [time::Time::ZERO; SHARDS as usize],
            latest: [(CasVersion(0), time::Time::ZERO); SHARDS as usize],
            draining: false,
        }
    }

    /// Replaces the view of the live hosts.
    pub fn set_hosts(&mut self, now: time::Time, hosts: Vec<(entity::HostId, entity::DomainId)>) {
        let gone = self.hosts.iter().filter(|host| !hosts.contains(host));
        for (host, _) in gone {
            self.missing_since.entry(*host).or_insert(now);
        }
        self.hosts = hosts;
        let is_own =
            |id: &SliceId| id.preferred_holder(&self.hosts, &self.domains) == Some(self.own.host);
        let wanted: Vec<_> = SliceId::all().filter(is_own).collect();
        for id in &wanted {
            if !self.assigned.contains(id) {
                self.next_read[usize::from(id.shard)] = time::Time::ZERO;
            }
        }
        self.assigned = wanted;
        let live = |host: &entity::HostId| self.hosts.iter().any(|(other, _)| other == host);
        self.missing_since.retain(|host, _| !live(host));
    }

    /// The host that should hold a slice, by this host's view. A host that lacks credit asks it
    /// first.
    #[must_use]
    pub fn preferred_holder(&self, id: SliceId) -> Option<entity::HostId> {
        id.preferred_holder(&self.hosts, &self.domains)
    }

    /// Spans during which this host may use a slice.
    #[must_use]
    pub fn authority(&self, id: SliceId) -> Authority {
        let claim = self.claims.get(&id).copied().unwrap_or_default();
        Authority {
            elastic: claim.elastic.unwrap_or_default(),
            floor: claim.floor.unwrap_or_default(),
        }
    }

    /// Slices that this host holds at least in part.
    pub fn held(&self) -> impl Iterator<Item = SliceId> {
        self.claims.keys().copied()
    }

    /// Returns the reads of the shards that are due.
    pub fn tick(&mut self, now: time::Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for shard in 0..SHARDS {
            let wanted = self.assigned.iter().any(|id| id.shard == shard) && !self.draining;
            let held = self.claims.keys().any(|id| id.shard == shard);
            let next = &mut self.next_read[usize::from(shard)];
            if (wanted || held) && *next <= now {
                let mut lacking = self.assigned.iter().filter(|id| id.shard == shard);
                let lacks = lacking.any(|id| !self.claims.contains_key(id)) && wanted;
                *next = now
                    + if lacks {
                        ACQUIRE_INTERVAL
                    } else {
                        RENEW_INTERVAL
                    };
                effects.push(Effect::Read(shard));
            }
        }
        effects
    }

    /// Handles the value of a shard that was read. `sent` is the time at which the read was sent,
    /// and `now` must not be before the arrival of the answer.
    pub fn handle_read(
        &mut self,
        sent: time::Time,
        now: time::Time,
        shard: u8,
        version: CasVersion,
        value: &Shard,
    ) -> Vec<Effect> {
        if now.since(self.last_answer) > 2 * RENEW_INTERVAL {
            // This host itself may have been cut off, so its view may be equally out of date.
            self.missing_since.clear();
        }
        self.last_answer = now;
        let (latest, at) = self.latest[usize::from(shard)];
        if version < latest && sent <= at {
            // The answer was overtaken by one with a later version.
            return Vec::new();
        }
        self.latest[usize::from(shard)] = (version, now);
        self.surrendering
            .retain(|id, sent| id.shard != shard || *sent == version);
        let mut next = *value;
        for (slice, row) in (0..SLICES).zip(&mut next.rows) {
            let id = SliceId { shard, slice };
            let claim = self.claims.entry(id).or_default();
            renew_span(
                &mut claim.elastic,
                self.own,
                sent,
                now,
                &row.elastic,
                parameters::ELASTIC_LEASE,
            );
            renew_span(
                &mut claim.floor,
                self.own,
                sent,
                now,
                &row.floor,
                parameters::FLOOR_LEASE,
            );
            // A holder that surrenders a part while it is still waiting passes its wait on.
            let active = |span: Option<Span>| span.is_some_and(|span| span.from <= now);
            let active = [claim.elastic, claim.floor].map(active);
            if claim.elastic.is_none() && claim.floor.is_none() {
                self.claims.remove(&id);
            }
            let surrendering = self.surrendering.contains_key(&id);
            let wanted = self.assigned.contains(&id) && !self.draining && !surrendering;
            let holds = [row.elastic, row.floor].map(|part| part.holder == Some(self.own));
            // A part whose wait is not over is kept: its next holder would have to wait again.
            let may_keep = !self.draining && !surrendering;
            let keep = [0, 1].map(|i| wanted || (holds[i] && !active[i] && may_keep));
            if (holds[0] && !keep[0]) || (holds[1] && !keep[1]) {
                self.claims.remove(&id);
                self.surrendering.insert(id, version);
            }
            self.transfer_part(
                now,
                [wanted, keep[0]],
                active[0],
                TAKEOVER_DELAY,
                &mut row.elastic,
            );
            self.transfer_part(
                now,
                [wanted, keep[1]],
                active[1],
                FLOOR_TAKEOVER_DELAY,
                &mut row.floor,
            );
        }
        if next == *value {
            return Vec::new();
        }
        vec![Effect::Write(shard, version, Box::new(next))]
    }

    /// Starts to surrender every slice, before the process exits. A slice is no longer used once
    /// the read of its shard has been handled.
    pub fn drain(&mut self) -> Vec<Effect> {
        self.draining = true;
        let mut shards: Vec<_> = self.claims.keys().map(|id| id.shard).collect();
        shards.dedup();
        shards.into_iter().map(Effect::Read).collect()
    }

    /// Takes a part over, or surrenders it to the host that should hold it.
    fn transfer_part(
        &mut self,
        now: time::Time,
        [wanted, keep]: [bool; 2],
        active: bool,
        missing: Duration,
        part: &mut Part,
    ) {
        match part.holder {
            Some(holder) if holder == self.own && !keep => {
                part.holder = None;
                if active {
                    part.predecessor = Predecessor::Surrender;
                }
            }
            Some(holder) if holder != self.own && wanted && self.is_gone(now, holder, missing) => {
                part.holder = Some(self.own);
                part.predecessor = Predecessor::Lease;
            }
            None if wanted => part.holder = Some(self.own),
            _ => {}
        }
    }

    /// Whether a holder has been missing from the view for the time `missing`, or is an earlier
    /// process of this host.
    fn is_gone(&mut self, now: time::Time, holder: Holder, missing: Duration) -> bool {
        if holder.host == self.own.host {
            return holder.boot < self.own.boot;
        }
        if self.hosts.iter().any(|(host, _)| *host == holder.host) {
            return false;
        }
        let since = *self.missing_since.entry(holder.host).or_insert(now);
        now.since(since) >= missing
    }
}

/// Extends the span of a part if the host holds the part, or ends the span.
fn renew_span(
    span: &mut Option<Span>,
    own: Holder,
    sent: time::Time,
    now: time::Time,
    part: &Part,
    lease: Duration,
) {
    if part.holder != Some(own) {
        *span = None;
        return;
    }
    let wait = match part.predecessor {
        Predecessor::Nobody => Duration::ZERO,
        Predecessor::Surrender => parameters::with_skew_margin(parameters::CREDIT_TTL),
        Predecessor::Lease => parameters::with_skew_margin(lease + parameters::CREDIT_TTL),
    };
    let from = match part.predecessor {
        Predecessor::Nobody => time::Time::ZERO,
        _ => now + wait,
    };
    let former = span.unwrap_or(Span { from, until: sent });
    *span = Some(Span {
        from: former.from,
        until: former.until.max(sent + lease),
    });
}
