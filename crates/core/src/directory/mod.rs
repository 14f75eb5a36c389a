//! Directory of the endpoints that a host knows from the store and from other hosts.
//!
//! Each record carries the revision at which the store wrote it, and only a newer one replaces it,
//! so late events and outdated peers change nothing. Entries that disappear around an outage of
//! the store may belong to live endpoints that could not renew their leases. Their removal is
//! unconfirmed, and they stay in use, until the store has been available again for
//! [`RENEWAL_GRACE`]. A removal at any other time, and an endpoint's announcement that it is
//! leaving, take effect at once.
//!
//! An endpoint may also say in its answers that it leaves ([`Departures`]), before its entry does.
//! Whatever entries of that incarnation come later, it stays out of use. Endpoints of a failure domain
//! that operators evacuate ([`Evacuations`]) count as leaving until the domain is taken back.

mod cold;
mod departures;
mod endpoint;
mod epochs;
mod evacuations;
mod knowledge;

mod record;
mod software;
mod store_outage;

pub use cold::{ColdEndpoint, ColdEndpoints, MAX_COLD_TIME, UnratedEntry};
pub use departures::{DEPARTURE_RETENTION, Departure, Departures};
pub use endpoint::{Endpoint, Identity, IncarnationKey, State};
pub use epochs::Epochs;
pub use evacuations::{Evacuation, Evacuations, ReturnedDomain};
pub use knowledge::{DrainBudget, KnownUpTo};
pub use record::Record;
pub use software::SoftwareVersion;
pub use store_outage::{RENEWAL_GRACE, StoreObservation, StoreOutage};

use std::collections::HashMap;
use std::sync::Arc;

use crate::{revision, time};

/// Time for which the record of a removed entry is kept, so that an older entry of the endpoint
/// that arrives late is recognised as older.
pub const TOMBSTONE_RETENTION: std::time::Duration = std::time::Duration::from_secs(60);

/// Where an entry or its removal comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store. An entry that it no longer has may have expired during an outage.
    Store,
    /// Another host, which forwards only confirmed removals.
    Host,
}

/// The removal of an entry that was in doubt and is certain now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedRemoval {
    /// Key of the entry.
    pub key: Arc<str>,
    /// Revision up to which it was removed.
    pub revision: revision::StoredRevision,
    /// Time for which its endpoint stayed in use since the last news of it.
    pub doubted_for: std::time::Duration,
}

/// Endpoints by the key of their entry.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    records: HashMap<Arc<str>, Record>,
    /// All changes of the endpoints in use up to and including this revision are known.
    complete_revision: revision::StoredRevision,
    /// All removals of entries after this revision are known: it is the one of the first list, or of the last
    /// removal whose record was dropped.
    removals_known_since: Option<revision::StoredRevision>,
    /// Revision of the last known change of the endpoints in use. Most writes are renewals by
    /// endpoints, which change only the heartbeat and do not count.
    last_change: revision::StoredRevision,
    outage: StoreOutage,
    /// Endpoints that have said that they leave.
    departures: Departures,
    /// Failure domains whose endpoints are to get no more requests.
    evacuations: Evacuations,
}

impl Directory {
    /// Applies one entry. `endpoint` is `None` if the entry was removed or cannot be used.
    /// Returns whether the endpoints in use changed.
    pub fn apply(
        &mut self,
        key: &Arc<str>,
        revision: revision::StoredRevision,
        endpoint: Option<Arc<Endpoint>>,
        source: Source,
        now: time::Time,
    ) -> bool {
        if source == Source::Store {
            // An event of the store shows that it is available, even if other calls failed.
            self.outage.record_call(true, now);
        }
        let known = self.records.get(key);
        if let Some(known) = known.filter(|r| r.revision >= revision) {
            let shown = known.with_earlier_change(revision, endpoint, source, now);
            return shown.is_some_and(|record| self.set_record(key, record));
        }
        if source == Source::Host && revision.epoch() < self.complete_revision.epoch() {
            // A list of a later epoch did not have it.
            return false;
        }
        let last = known.and_then(|r| r.last_endpoint.clone());
        let is_late = |endpoint: &Arc<Endpoint>| {
            last.as_ref()
                .is_some_and(|last| endpoint.is_older_than(last))
        };
        if let (Some(known), Some(endpoint)) = (known, &endpoint)
            && known.withholds(revision, endpoint)
        {
            let record = known.with_entry_of_copy(revision, now);
            return self.set_record(key, record);
        }
        let record = match endpoint {
            Some(endpoint) if is_late(&endpoint) => known.map_or_else(
                || Record::new(revision, None, None, now),
                |known| known.with_late_write(revision, now),
            ),
            Some(endpoint) => {
                let endpoint = with_known_version(endpoint, last.as_deref());
                Record::new(revision, Some(endpoint.clone()), Some(endpoint), now)
            }
            None => match known.and_then(|r| r.with_unconfirmed_removal(revision, now)) {
                Some(unconfirmed)
                    if source == Source::Store && self.outage.is_removal_uncertain(now) =>
                {
                    unconfirmed
                }
                _ => Record::new(revision, None, last, now),
            },
        };
        self.set_record(key, record)
    }

    /// Replaces the record of an entry. Returns whether the endpoints in use changed.
    fn set_record(&mut self, key: &Arc<str>, record: Record) -> bool {
        let changed = !record.has_same_usable_endpoint(self.records.get(key));
        if changed {
            self.last_change = self.last_change.max(record.revision);
        }
        self.records.insert(key.clone(), record);
        changed
    }

    /// Replaces all records by a complete list that the store returned at `revision`. Entries that
    /// are not in the list count as removed. After the first list of an epoch, no record is of an earlier one.
    /// Returns the keys of the entries by which the endpoints in use changed.
    pub fn replace(
        &mut self,
        entries: Vec<(Arc<str>, revision::StoredRevision, Option<Arc<Endpoint>>)>,
        revision: revision::StoredRevision,
        now: time::Time,
    ) -> Vec<Arc<str>> {
        let listed: std::collections::HashSet<_> =
            entries.iter().map(|(key, _, _)| key.clone()).collect();
        let missing: Vec<_> = self
            .records
            .iter()
            .filter(|(key, r)| !listed.contains(*key) && r.is_present())
            .map(|(key, _)| key.clone())
            .collect();
        for (key, record) in &mut self.records {
            let is_of_earlier_epoch = record.revision.epoch() < revision.epoch();
            if is_of_earlier_epoch && !record.is_present() && !listed.contains(key) {
                // Hosts that do not read the store must learn that it is still gone.
                record.revision = revision;
            }
        }
        let removals = missing.into_iter().map(|key| (key, revision, None));
        let mut changed = Vec::new();
        for (key, revision, endpoint) in entries.into_iter().chain(removals) {
            if self.apply(&key, revision, endpoint, Source::Store, now) {
                changed.push(key);
            }
        }
        self.mark_complete(revision);
        changed
    }

    /// Records that all changes up to and including a revision are known.
    pub fn mark_complete(&mut self, revision: revision::StoredRevision) {
        // Before the first write nothing is known, and no list was read.
        if revision == revision::StoredRevision::NONE {
            return;
        }
        self.complete_revision = self.complete_revision.max(revision);
        self.removals_known_since.get_or_insert(revision);
    }

    /// Revision up to and including which all changes are known.
    #[must_use]
    pub const fn complete_revision(&self) -> revision::StoredRevision {
        self.complete_revision
    }

    /// Whether [`Directory::newer_than`] gives a host all removals that has all changes up to `after`. A host
    /// that has started since, from a list without the entry, knows nothing of them.
    #[must_use]
    pub fn knows_removals_since(&self, after: revision::StoredRevision) -> bool {
        let is_empty = after == revision::StoredRevision::NONE;
        is_empty
            || self
                .removals_known_since
                .is_some_and(|since| since <= after)
    }

    /// Revision up to and including which a host that has all changes up to `after` has them once it has
    /// applied [`Directory::newer_than`].
    #[must_use]
    pub fn complete_revision_for(
        &self,
        after: revision::StoredRevision,
    ) -> revision::StoredRevision {
        match self.knows_removals_since(after) {
            true => self.complete_revision_for_peers(),
            false => after,
        }
    }

    /// Revision up to and including which [`Directory::newer_than`] gives another host all changes.
    /// Unconfirmed removals are left out until they are confirmed, so the other host must be able
    /// to ask for them later, here or at a host that knows when the entry was removed.
    #[must_use]
    pub fn complete_revision_for_peers(&self) -> revision::StoredRevision {
        let unconfirmed = self.records.values().filter_map(|r| r.unconfirmed_after);
        unconfirmed.fold(self.complete_revision, revision::StoredRevision::min)
    }

    /// What is known of an entry.
    #[must_use]
    pub fn record(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Whether a write of an entry shows that its endpoint was alive. None does while somebody may write again
    /// what a copy of the store lacks, and none ever that brings nothing newer than what is known.
    #[must_use]
    pub fn is_sign_of_life(&self, key: &str, endpoint: &Endpoint, may_be_rewritten: bool) -> bool {
        let record = self.records.get(key);
        let last = record.and_then(|record| record.last_endpoint.as_deref());
        let of_incarnation = last.filter(|last| last.identity == endpoint.identity);
        let is_newer = of_incarnation.is_none_or(|last| last.heartbeat < endpoint.heartbeat);
        is_newer && !may_be_rewritten
    }

    /// Whether endpoints stay in use whose entries were removed, so that this host does not know for certain
    /// which ones are in use.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.doubted().next().is_some()
    }

    /// Revision of the last known change of the endpoints in use.
    #[must_use]
    pub const fn last_change(&self) -> revision::StoredRevision {
        self.last_change
    }

    /// Records whether the store answered a call.
    pub fn record_store_call(&mut self, answered: bool, now: time::Time) {
        self.outage.record_call(answered, now);
    }

    /// Records that the store has come back from a copy: entries that it lost are written again soon.
    pub fn record_restoration(&mut self, now: time::Time) {
        self.outage.record_restoration(now);
    }

    /// Applies another host's report about its calls to the store.
    pub fn apply_store_observation(&mut self, observation: StoreObservation) {
        self.outage.apply_observation(observation);
    }

    /// Entries whose endpoints stay in use although the entries were removed, with the revisions up to which
    /// they were.
    pub fn doubted(&self) -> impl Iterator<Item = (&Arc<str>, revision::StoredRevision)> {
        let doubted = self.records.iter();
        let doubted = doubted.filter(|(_, r)| r.is_removal_unconfirmed());
        doubted.map(|(key, r)| (key, r.revision))
    }

    /// Confirms removals that are no longer uncertain, and drops the records of old ones. Returns
    /// the removals that were confirmed.
    pub fn tick(&mut self, now: time::Time) -> Vec<ConfirmedRemoval> {
        let mut confirmed = Vec::new();
        if !self.outage.is_removal_uncertain(now) {
            for (key, record) in &mut self.records {
                let doubted_for = now.since(record.learned_at);
                if record.confirm_removal(now) {
                    self.last_change = self.last_change.max(record.revision);
                    confirmed.push(ConfirmedRemoval {
                        key: key.clone(),
                        revision: record.revision,
                        doubted_for,
                    });
                }
            }
        }
        let since = &mut self.removals_known_since;
        self.records.retain(|_, r| {
            let is_kept = r.is_present() || now.since(r.learned_at) < TOMBSTONE_RETENTION;
            if !is_kept {
                *since = (*since).max(Some(r.revision));
            }
            is_kept
        });
        self.tick_departures(now);
        self.evacuations.tick(now);
        confirmed
    }

    fn tick_departures(&mut self, now: time::Time) {
        if self.departures.is_empty() {
            return;
        }
        let present = self.present();
        let keys: Vec<_> = present
            .map(|endpoint| IncarnationKey::of(&endpoint.identity))
            .collect();
        self.departures.tick(keys, now);
    }

    /// Records that an endpoint has said that it leaves. Returns whether that is new.
    pub fn record_departure(&mut self, departure: Departure, now: time::Time) -> bool {
        self.departures.record(departure, now)
    }

    /// Endpoints that have said that they leave.
    #[must_use]
    pub const fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Records what an operator says of a failure domain. Returns whether that is new.
    pub fn record_evacuation(&mut self, evacuation: &Evacuation, now: time::Time) -> bool {
        self.evacuations.record(evacuation, now)
    }

    /// Failure domains whose endpoints are to get no more requests.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Endpoints that new requests may be sent to.
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.present().filter(|endpoint| !self.is_leaving(endpoint))
    }

    /// Endpoints that finish the work that they have before they leave, or before their failure domain
    /// is empty.
    pub fn leaving(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.present().filter(|endpoint| self.is_leaving(endpoint))
    }

    fn present(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.records.values().filter_map(|r| r.endpoint.as_ref())
    }

    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let has_announced = || {
            self.departures
                .contains(IncarnationKey::of(&endpoint.identity))
        };
        match endpoint.state {
            _ if self.evacuations.contains(&endpoint.domain) => true,
            State::Leaving => true,
            State::Ready => !self.departures.is_empty() && has_announced(),
        }
    }

    /// Records that are newer than a revision, for a host that is behind. Unconfirmed removals are
    /// left out, since that host decides on them by its own observations of the store.
    pub fn newer_than(
        &self,
        revision: revision::StoredRevision,
    ) -> impl Iterator<Item = (&Arc<str>, &Record)> {
        self.records
            .iter()
            .filter(move |(_, r)| r.revision > revision && !r.is_removal_unconfirmed())
    }
}

/// Adds the version that the last known entry of the same incarnation states, if the new entry
/// states none.
fn with_known_version(endpoint: Arc<Endpoint>, last: Option<&Endpoint>) -> Arc<Endpoint> {
    let is_same = |last: &&Endpoint| last.identity == endpoint.identity;
    let known = last
        .filter(is_same)
        .filter(|last| last.identity.is_distinct());
    match known.and_then(|last| last.version.clone()) {
        Some(version) if endpoint.version.is_none() => Arc::new(Endpoint {
            version: Some(version),
            ..Arc::unwrap_or_clone(endpoint)
        }),
        _ => endpoint,
    }
}
