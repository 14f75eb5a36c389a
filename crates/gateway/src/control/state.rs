//! State of the control thread.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::prefix;
use pistachiochute_core::membership::{load_reports, overlay, roster};
use pistachiochute_core::{
    catalog, directory, quarantine, rate_limits, revision, routing, streams, time,
};
use pistachiochute_messages::peer;

use crate::control::links::Outbox;
use crate::control::{origins, stored_origins};
use crate::shared;

/// Silence after which a peer counts as gone, so that a relay no longer supplies changes.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time since the store last answered a relay, after which the relay no longer supplies changes.
const RELAY_STORE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time in which a host sends a newer catalog, before another one is asked.
const CATALOG_PATIENCE: Duration = Duration::from_millis(600);

/// Number of cached prompt parts above which old ones are evicted.
const MANY_CACHED_PARTS: usize = 8_192;

/// Most cached prompt parts that are kept, whatever callers name in their prompts.
const MAX_CACHED_PARTS: usize = 49_152;

/// Store entry of a host.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Address that it accepts links on.
    pub links: net::SocketAddr,
    /// Failure domain.
    pub domain: String,
}

/// Versions of the catalog and of the endpoints that a host has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Version of the catalog, or `None` if it has none.
    pub catalog: Option<catalog::Version>,
    /// Revision up to which it has all changes of the endpoints in use.
    pub endpoints: revision::StoredRevision,
}

impl KnownVersions {
    /// The versions that a host states in an epoch.
    #[must_use]
    pub fn from_message(version: peer::StateVersion, epoch: revision::Epoch) -> Self {
        Self {
            catalog: version.catalog,
            endpoints: epoch.revision(version.endpoints),
        }
    }

    /// The versions as they are stated in an epoch.
    #[must_use]
    pub fn to_message(self, epoch: revision::Epoch) -> peer::StateVersion {
        peer::StateVersion {
            catalog: self.catalog,
            endpoints: self.endpoints.within(epoch),
        }
    }
}

/// Last status of another host.
#[derive(Clone, Debug, Default)]
pub struct PeerStatus {
    /// Version of its catalog and endpoints.
    pub version: KnownVersions,
    /// Health of its connection to the store.
    pub store: peer::StoreHealth,
    /// When the status arrived.
    pub last_heard: time::Time,
}

/// Replicated state of the host and the status of its peers.
#[derive(Debug)]
pub struct State {
    /// Name of this host.
    pub name: Arc<str>,
    /// Catalog in force.
    pub catalog: catalog::CurrentCatalog,
    /// Endpoints.
    pub directory: directory::Directory,
    /// Epochs of the store.
    pub epochs: directory::Epochs,
    /// The last of them, which all outboxes share.
    pub named_epoch: Rc<Cell<Option<revision::Epoch>>>,
    /// Up to when all changes of the endpoints are known.
    pub known_up_to: directory::KnownUpTo,
    /// Hosts of the fleet.
    pub hosts: roster::Roster<HostEntry>,
    /// Last status of each host that has sent one.
    pub peers: HashMap<Arc<str>, PeerStatus>,
    /// Queues of outgoing messages, by the host at the other end of the link.
    pub outboxes: HashMap<Arc<str>, Outbox>,
    /// Prompt parts in the caches of endpoints, and when their last use was reported.
    cached_parts: HashMap<peer::CachedPart, time::Time>,
    /// Endpoint loads that other hosts have reported.
    pub load_reports: load_reports::LoadReports,
    /// Links and role of this host in the overlay network of hosts.
    pub overlay: overlay::Overlay,
    /// Origins of the streams that began lately, as far as this host knows them.
    pub origins: streams::Origins,
    /// Streams that this host was asked about.
    pub take_ups: streams::TakeUps,
    /// Beginnings of this host's streams that other hosts have not been sent.
    pub unsent_beginnings: Vec<streams::Beginning>,
    /// Queries for the origins of streams that other hosts were sent.
    pub origin_queries: origins::OpenQueries,
    /// Software versions that endpoints have had lately.
    pub versions: streams::VersionHistory,
    /// Parts of prompts that crash endpoints.
    pub quarantine: quarantine::Quarantine,
    /// Limits that endpoints name.
    pub limits: rate_limits::Statements,
    /// Endpoints that are cold.
    pub cold: directory::ColdEndpoints,
    /// Hosts that were asked for a newer catalog since the last one came, and when.
    pub catalog_requests: HashMap<Arc<str>, time::Time>,
    /// Hosts that missed a flooded message, since their queue was full.
    pub behind: BTreeSet<Arc<str>>,
    domain: String,
    /// Generation of the last published view.
    generation: u64,
}

impl State {
    /// Creates the state of a host without catalog, endpoints, or peers.
    #[must_use]
    pub fn new(name: Arc<str>, domain: String, versions: streams::VersionHistory) -> Self {
        Self {
            name,
            catalog: catalog::CurrentCatalog::default(),
            directory: directory::Directory::default(),
            epochs: directory::Epochs::default(),
            named_epoch: Rc::default(),
            known_up_to: directory::KnownUpTo::default(),
            hosts: roster::Roster::default(),
            peers: HashMap::new(),
            outboxes: HashMap::new(),
            cached_parts: HashMap::new(),
            load_reports: load_reports::LoadReports::default(),
            overlay: overlay::Overlay::default(),
            origins: streams::Origins::new(),
            take_ups: streams::TakeUps::new(),
            unsent_beginnings: Vec::new(),
            origin_queries: origins::OpenQueries::default(),
            versions,
            quarantine: quarantine::Quarantine::new(),
            limits: rate_limits::Statements::default(),
            cold: directory::ColdEndpoints::default(),
            catalog_requests: HashMap::new(),
            behind: BTreeSet::new(),
            domain,
            generation: 0,
        }
    }

    /// Creates a view of the current state, with the next generation.
    pub fn view(&mut self, now: time::Time) -> shared::View {
        self.generation += 1;
        shared::View {
            generation: self.generation,
            catalog: self.catalog.get().cloned(),
            endpoints: self.directory.usable().cloned().collect(),
            leaving: self.directory.leaving().cloned().collect(),
            evacuated: self.evacuated_domains(),
            returned: self.directory.evacuations().returned().collect(),
            contested: self
                .versions
                .contested_services(stored_origins::CONTESTED_SPAN, now),
            hosts: (self.hosts.live_count(now) as u32).max(1),
            host_hashes: self.live_host_hashes(now),
            known_host_hashes: self.known_host_hashes(),
            peers: self.live_peers_to_ask(now),
        }
    }

    /// Live hosts that requests can be passed to.
    fn live_peers_to_ask(&self, now: time::Time) -> Vec<Arc<shared::Peer>> {
        let live = self
            .hosts
            .hosts()
            .filter(|(name, _)| ***name != *self.name && self.hosts.is_live(name, now));
        let peers = live.map(|(name, entry)| shared::Peer {
            name: name.clone(),
            hash: shared::host_hash(name),
            links: entry.links,
        });
        peers.map(Arc::new).collect()
    }

    /// Hashes of the names of live hosts, in their order.
    fn live_host_hashes(&self, now: time::Time) -> Vec<u64> {
        let live = self
            .hosts
            .hosts()
            .filter(|(n, _)| self.hosts.is_live(n, now));
        let mut hashes: Vec<u64> = live.map(|(name, _)| shared::host_hash(name)).collect();
        hashes.sort_unstable();
        hashes
    }

    /// Hashes of the names of all hosts that were seen within the last minute, in their order.
    fn known_host_hashes(&self) -> Vec<u64> {
        let names = self.hosts.hosts().map(|(name, _)| name);
        let mut hashes: Vec<u64> = names.map(|name| shared::host_hash(name)).collect();
        hashes.sort_unstable();
        hashes
    }

    /// Failure domains that operators have evacuated.
    fn evacuated_domains(&self) -> Vec<Arc<str>> {
        let evacuations = self.directory.evacuations().iter();
        let evacuated = evacuations.filter(|evacuation| evacuation.is_evacuated);
        evacuated.map(|evacuation| evacuation.domain).collect()
    }

    /// Records the software versions of all endpoints.
    pub fn observe_versions(&mut self, now: time::Time) {
        let endpoints = self.directory.usable().chain(self.directory.leaving());
        self.versions.observe(endpoints.map(Arc::as_ref), now);
    }

    /// Records the software versions of all endpoints, and drops what is known of old streams.
    pub fn tick_streams(&mut self, now: time::Time) {
        self.observe_versions(now);
        self.versions.tick(now);
        self.origins.tick(now);
        self.take_ups.tick(now);
    }

    /// Version of this host's catalog and endpoints, as its peers are sent it.
    #[must_use]
    pub fn state_version(&self) -> KnownVersions {
        KnownVersions {
            catalog: self.catalog.version(),
            endpoints: self.directory.last_change(),
        }
    }

    /// Version after which to request changes from a host at version `theirs`, or `None` if this
    /// host is not behind.
    #[must_use]
    pub fn catch_up_request(&self, theirs: KnownVersions) -> Option<KnownVersions> {
        let own = KnownVersions {
            catalog: self.catalog.version(),
            endpoints: self.directory.complete_revision(),
        };
        let is_behind = theirs.catalog > own.catalog || theirs.endpoints > own.endpoints;
        is_behind.then_some(own)
    }

    /// Newest version of the catalog that a host which this one hears has said to have.
    #[must_use]
    pub fn newest_catalog(&self, now: time::Time) -> Option<catalog::Version> {
        let heard = self.peers.values();
        let heard = heard.filter(|peer| now.since(peer.last_heard) < PEER_TIMEOUT);
        heard.filter_map(|peer| peer.version.catalog).max()
    }

    /// Records that a host is asked for a newer catalog, if it is its turn: one host at a time, the relays
    /// that this host follows in their order, and another one only if the last has not sent it in time.
    pub fn record_catalog_request(&mut self, name: &Arc<str>, now: time::Time) -> bool {
        let is_open = |at: &time::Time| now.since(*at) < CATALOG_PATIENCE;
        if self.catalog_requests.values().any(is_open) {
            return false;
        }
        let own = self.catalog.version();
        let suppliers = self.overlay.suppliers();
        let rank = |host: &Arc<str>| {
            let asked_at = self.catalog_requests.get(host).copied();
            let place = suppliers.iter().position(|s| s == host);
            (asked_at, place.unwrap_or(suppliers.len()))
        };
        let is_ahead = |host: &Arc<str>| {
            let peer = self.peers.get(host);
            peer.is_some_and(|peer| {
                peer.version.catalog > own && now.since(peer.last_heard) < PEER_TIMEOUT
            })
        };
        let open = self.outboxes.iter().filter(|(_, outbox)| outbox.is_open());
        let ahead = open.map(|(host, _)| host).filter(|host| is_ahead(host));
        let next = ahead.map(rank).min();
        if next.is_some_and(|next| next < rank(name)) {
            return false;
        }
        self.catalog_requests.insert(name.clone(), now);
        true
    }

    /// Records the status of another host.
    pub fn record_status(
        &mut self,
        host: &Arc<str>,
        version: KnownVersions,
        store: peer::StoreHealth,
        now: time::Time,
    ) {
        let peer = PeerStatus {
            version,
            store,
            last_heard: now,
        };
        self.peers.insert(host.clone(), peer);
        self.hosts.record_contact(host, now);
        self.load_reports.record_contact(host, now);
    }

    /// Number of other hosts that sent a status within `PEER_TIMEOUT`.
    #[must_use]
    pub fn live_peers(&self, now: time::Time) -> usize {
        let is_live = |peer: &&PeerStatus| now.since(peer.last_heard) < PEER_TIMEOUT;
        self.peers.values().filter(is_live).count()
    }

    /// Recomputes the links and the role of this host from the live hosts. Returns whether its role or
    /// its relays have changed.
    pub fn update_overlay(&mut self, now: time::Time) -> bool {
        let hosts: Vec<_> = self
            .hosts
            .hosts()
            .map(|(name, entry)| overlay::OverlayHost {
                name: name.clone(),
                domain: entry.domain.as_str().into(),
                is_live: self.hosts.is_live(name, now),
            })
            .collect();
        let overlay = overlay::Overlay::new(&self.name, &self.domain, &hosts);
        let before = std::mem::replace(&mut self.overlay, overlay);
        before.role != self.overlay.role || before.relays != self.overlay.relays
    }

    /// Whether a task is assigned to this host among the candidates, by rendezvous hashing. This
    /// host is always a candidate.
    #[must_use]
    pub fn is_assigned_here<F>(&self, task: u64, is_candidate: F) -> bool
    where
        F: Fn(&str) -> bool,
    {
        let score = |name: &str| routing::rendezvous::score(task, shared::host_hash(name) as u32);
        let own = score(&self.name);
        let mut candidates = self.hosts.hosts().filter(|(name, _)| is_candidate(name));
        candidates.all(|(name, _)| score(name) <= own)
    }

    /// Whether a relay supplies changes of the store, so that this host need not watch the store
    /// itself.
    #[must_use]
    pub fn has_live_relay(&self, now: time::Time) -> bool {
        let mut suppliers = self.overlay.suppliers().iter();
        suppliers.any(|name| self.supplies_changes(name, now))
    }

    /// Whether a host is a relay that supplies this one with changes of the store.
    fn supplies_changes(&self, name: &str, now: time::Time) -> bool {
        let is_current = |peer: &PeerStatus| {
            let answered = Duration::from_millis(u64::from(peer.store.answered_ms));
            now.since(peer.last_heard) < PEER_TIMEOUT && answered < RELAY_STORE_TIMEOUT
        };
        let suppliers = self.overlay.suppliers();
        suppliers.iter().any(|supplier| **supplier == *name)
            && self.peers.get(name).is_some_and(is_current)
    }

    /// What another host is told that asks up to when this one knows the endpoints, or `None` if this host is
    /// in doubt itself, or has not read the endpoints in the present epoch of the store.
    #[must_use]
    pub fn knowledge_answer(&self, asked_at_us: u64, now: time::Time) -> Option<peer::Message> {
        let epoch = self.epochs.current();
        if self.directory.is_in_doubt() || self.directory.complete_revision().epoch() != epoch {
            return None;
        }
        let age = self.known_up_to.age(now).as_millis().saturating_add(1);
        Some(peer::Message::KnowledgeAnswer {
            asked_at_us,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            last_change: self.directory.last_change().within(epoch),
        })
    }

    /// Revision after which another host is asked for changes of the endpoints. A host in doubt asks for
    /// what may end the doubt.
    #[must_use]
    pub fn known_revision(&self) -> revision::StoredRevision {
        match self.overlay.follows_relay() {
            true => self.directory.complete_revision_for_peers(),
            false => self.directory.complete_revision(),
        }
    }

    /// Records prompt parts that endpoints have cached, to be sent to hosts that join later.
    pub fn record_cached_parts(&mut self, parts: &[peer::CachedPart], now: time::Time) {
        self.cached_parts
            .extend(parts.iter().map(|part| (*part, now)));
        if self.cached_parts.len() > MANY_CACHED_PARTS {
            self.cached_parts
                .retain(|_, at| now.since(*at) < prefix::RETENTION / 2);
        }
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.evict_cached_parts();
        }
    }

    /// Evicts the older half of the cached prompt parts.
    fn evict_cached_parts(&mut self) {
        let mut times: Vec<_> = self.cached_parts.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        let mut room = times.len() - middle;
        self.cached_parts.retain(|_, at| {
            let is_kept = *at > median || (*at == median && room > 0);
            room = room.saturating_sub(usize::from(is_kept));
            is_kept
        });
    }

    /// Prompt parts that endpoints probably still have in their caches.
    #[must_use]
    pub fn cached_parts(&self, now: time::Time) -> Vec<peer::CachedPart> {
        let is_retained = |at: &time::Time| now.since(*at) < prefix::RETENTION;
        let retained = self.cached_parts.iter().filter(|(_, at)| is_retained(at));
        retained.map(|(part, _)| *part).collect()
    }
}
