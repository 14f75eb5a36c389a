//! State of the control thread.

use std::collections::HashMap;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::prefix;
use pistachiochute_core::membership::{load_reports, overlay, roster};
use pistachiochute_core::{catalog, directory, time};
use pistachiochute_messages::peer;
use tokio::sync::mpsc;

use crate::shared;

/// Silence after which a relay no longer brings news.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time without an answer of the store after which a relay has no news to bring.
const RELAY_STORE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Most holdings that are remembered without a look at their age.
const MAX_CACHED_PARTS: usize = 8_192;

/// Entry of a host in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Address of its links.
    pub links: net::SocketAddr,
    /// Failure domain.
    pub domain: String,
}

/// What another host said last.
#[derive(Clone, Debug, Default)]
pub struct PeerStatus {
    /// What it knows.
    pub version: peer::StateVersion,
    /// How it fares with its calls to the store.
    pub store: peer::StoreHealth,
    /// When it said so.
    pub last_heard: time::Time,
}

/// Everything that the host believes.
#[derive(Debug)]
pub struct State {
    /// Name of this host.
    pub name: Arc<str>,
    /// Catalog in force.
    pub catalog: catalog::CurrentCatalog,
    /// Endpoints.
    pub directory: directory::Directory,
    /// Hosts of the fleet.
    pub hosts: roster::Roster<HostEntry>,
    /// Other hosts that spoke to this one.
    pub peers: HashMap<Arc<str>, PeerStatus>,
    /// Messages to the hosts that this one has a link to.
    pub outboxes: HashMap<Arc<str>, mpsc::Sender<peer::Message>>,
    /// Parts of prompts that endpoints hold, and when they last read them.
    cached_parts: HashMap<peer::CachedPart, time::Time>,
    /// What other hosts told of their work.
    pub load_reports: load_reports::LoadReports,
    /// Place of this host among the others.
    pub overlay: overlay::Overlay,
    domain: String,
    /// Serial of the last published view.
    generation: u64,
}

impl State {
    /// Makes the state of a host that knows nothing.
    #[must_use]
    pub fn new(name: Arc<str>, domain: String) -> Self {
        Self {
            name,
            catalog: catalog::CurrentCatalog::default(),
            directory: directory::Directory::default(),
            hosts: roster::Roster::default(),
            peers: HashMap::new(),
            outboxes: HashMap::new(),
            cached_parts: HashMap::new(),
            load_reports: load_reports::LoadReports::default(),
            overlay: overlay::Overlay::default(),
            domain,
            generation: 0,
        }
    }

    /// The next view.
    pub fn view(&mut self, now: time::Time) -> shared::View {
        self.generation += 1;
        shared::View {
            generation: self.generation,
            catalog: self.catalog.get().cloned(),
            endpoints: self.directory.usable().cloned().collect(),
            leaving: self.directory.leaving().cloned().collect(),
            hosts: (self.hosts.live_count(now) as u32).max(1),
        }
    }

    /// What the host knows.
    #[must_use]
    pub fn state_version(&self) -> peer::StateVersion {
        peer::StateVersion {
            catalog: self.catalog.version(),
            endpoints: self.directory.last_change(),
        }
    }

    /// What the host would ask another one for, which knows `known`.
    #[must_use]
    pub fn catch_up_request(&self, theirs: peer::StateVersion) -> Option<peer::StateVersion> {
        let own = peer::StateVersion {
            catalog: self.catalog.version(),
            endpoints: self.directory.complete_revision(),
        };
        let is_behind = theirs.catalog > own.catalog || theirs.endpoints > own.endpoints;
        is_behind.then_some(own)
    }

    /// Takes in what another host knows and how it fares with the store.
    pub fn record_status(
        &mut self,
        host: &Arc<str>,
        version: peer::StateVersion,
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

    /// Other hosts that spoke lately.
    #[must_use]
    pub fn live_peers(&self, now: time::Time) -> usize {
        let is_live = |peer: &&PeerStatus| now.since(peer.last_heard) < PEER_TIMEOUT;
        self.peers.values().filter(is_live).count()
    }

    /// Works out the place of this host among the others.
    pub fn update_overlay(&mut self, now: time::Time) {
        let hosts: Vec<_> = self
            .hosts
            .hosts()
            .map(|(name, entry)| overlay::OverlayHost {
                name: name.clone(),
                domain: entry.domain.as_str().into(),
                is_live: self.hosts.is_live(name, now),
            })
            .collect();
        self.overlay = overlay::Overlay::new(&self.name, &self.domain, &hosts);
    }

    /// Whether a relay brings the news of the store, so that this host need not follow it.
    #[must_use]
    pub fn has_live_relay(&self, now: time::Time) -> bool {
        let is_current = |peer: &PeerStatus| {
            let answered = Duration::from_millis(u64::from(peer.store.answered_ms));
            now.since(peer.last_heard) < PEER_TIMEOUT && answered < RELAY_STORE_TIMEOUT
        };
        let relays = self.overlay.relays.iter();
        self.overlay.role == overlay::Role::Member
            && relays
                .filter_map(|name| self.peers.get(name))
                .any(is_current)
    }

    /// Remembers what endpoints hold, for hosts that come later.
    pub fn record_cached_parts(&mut self, parts: &[peer::CachedPart], now: time::Time) {
        self.cached_parts
            .extend(parts.iter().map(|part| (*part, now)));
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts
                .retain(|_, at| now.since(*at) < prefix::RETENTION / 2);
        }
    }

    /// What endpoints hold.
    #[must_use]
    pub fn cached_parts(&self, now: time::Time) -> Vec<peer::CachedPart> {
        let is_retained = |at: &time::Time| now.since(*at) < prefix::RETENTION;
        let retained = self.cached_parts.iter().filter(|(_, at)| is_retained(at));
        retained.map(|(part, _)| *part).collect()
    }
}
