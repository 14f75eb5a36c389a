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
const FEED_SILENCE: Duration = Duration::from_millis(1_800);

/// Time without an answer of the store after which a relay has no news to bring.
const FEED_STORE_SILENCE: Duration = Duration::from_millis(3_500);

/// Most holdings that are remembered without a look at their age.
const MAX_HOLDINGS: usize = 8_192;

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
pub struct Peer {
    /// What it knows.
    pub known: peer::StateVersion,
    /// How it fares with its calls to the store.
    pub store: peer::StoreHealth,
    /// When it said so.
    pub heard: time::Time,
}

/// Everything that the host believes.
#[derive(Debug)]
pub struct State {
    /// Name of this host.
    pub me: Arc<str>,
    /// Catalog in force.
    pub catalog: catalog::CurrentCatalog,
    /// Endpoints.
    pub directory: directory::Directory,
    /// Hosts of the fleet.
    pub hosts: roster::Roster<HostEntry>,
    /// Other hosts that spoke to this one.
    pub peers: HashMap<Arc<str>, Peer>,
    /// Messages to the hosts that this one has a link to.
    pub outboxes: HashMap<Arc<str>, mpsc::Sender<peer::Message>>,
    /// Parts of prompts that endpoints hold, and when they last read them.
    holdings: HashMap<peer::CachedPart, time::Time>,
    /// What other hosts told of their work.
    pub digests: load_reports::LoadReports,
    /// Place of this host among the others.
    pub spread: overlay::Overlay,
    domain: String,
    /// Serial of the last published view.
    serial: u64,
}

impl State {
    /// Makes the state of a host that knows nothing.
    #[must_use]
    pub fn new(me: Arc<str>, domain: String) -> Self {
        Self {
            me,
            catalog: catalog::CurrentCatalog::default(),
            directory: directory::Directory::default(),
            hosts: roster::Roster::default(),
            peers: HashMap::new(),
            outboxes: HashMap::new(),
            holdings: HashMap::new(),
            digests: load_reports::LoadReports::default(),
            spread: overlay::Overlay::default(),
            domain,
            serial: 0,
        }
    }

    /// The next view.
    pub fn view(&mut self, now: time::Time) -> shared::View {
        self.serial += 1;
        shared::View {
            serial: self.serial,
            catalog: self.catalog.get().cloned(),
            endpoints: self.directory.usable().cloned().collect(),
            leaving: self.directory.leaving().cloned().collect(),
            hosts: (self.hosts.live_count(now) as u32).max(1),
        }
    }

    /// What the host knows.
    #[must_use]
    pub fn known(&self) -> peer::StateVersion {
        peer::StateVersion {
            catalog: self.catalog.version(),
            endpoints: self.directory.changed(),
        }
    }

    /// What the host would ask another one for, which knows `known`.
    #[must_use]
    pub fn want(&self, known: peer::StateVersion) -> Option<peer::StateVersion> {
        let own = peer::StateVersion {
            catalog: self.catalog.version(),
            endpoints: self.directory.complete(),
        };
        let is_behind = known.catalog > own.catalog || known.endpoints > own.endpoints;
        is_behind.then_some(own)
    }

    /// Takes in what another host knows and how it fares with the store.
    pub fn hear(
        &mut self,
        host: &Arc<str>,
        known: peer::StateVersion,
        store: peer::StoreHealth,
        now: time::Time,
    ) {
        let peer = Peer {
            known,
            store,
            heard: now,
        };
        self.peers.insert(host.clone(), peer);
        self.hosts.record_contact(host, now);
        self.digests.record_contact(host, now);
    }

    /// Other hosts that spoke lately.
    #[must_use]
    pub fn heard(&self, now: time::Time) -> usize {
        let is_near = |peer: &&Peer| now.since(peer.heard) < FEED_SILENCE;
        self.peers.values().filter(is_near).count()
    }

    /// Works out the place of this host among the others.
    pub fn place(&mut self, now: time::Time) {
        let places: Vec<_> = self
            .hosts
            .hosts()
            .map(|(name, entry)| overlay::OverlayHost {
                name: name.clone(),
                domain: entry.domain.as_str().into(),
                is_live: self.hosts.is_live(name, now),
            })
            .collect();
        self.spread = overlay::Overlay::new(&self.me, &self.domain, &places);
    }

    /// Whether a relay brings the news of the store, so that this host need not follow it.
    #[must_use]
    pub fn is_fed(&self, now: time::Time) -> bool {
        let follows = |peer: &Peer| {
            let answered = Duration::from_millis(u64::from(peer.store.answered_ms));
            now.since(peer.heard) < FEED_SILENCE && answered < FEED_STORE_SILENCE
        };
        let relays = self.spread.relays.iter();
        self.spread.role == overlay::Role::Member
            && relays.filter_map(|name| self.peers.get(name)).any(follows)
    }

    /// Remembers what endpoints hold, for hosts that come later.
    pub fn remember(&mut self, holdings: &[peer::CachedPart], now: time::Time) {
        self.holdings.extend(holdings.iter().map(|h| (*h, now)));
        if self.holdings.len() > MAX_HOLDINGS {
            self.holdings
                .retain(|_, at| now.since(*at) < prefix::HELD_FOR / 2);
        }
    }

    /// What endpoints hold.
    #[must_use]
    pub fn holdings(&self, now: time::Time) -> Vec<peer::CachedPart> {
        let is_held = |at: &time::Time| now.since(*at) < prefix::HELD_FOR;
        let held = self.holdings.iter().filter(|(_, at)| is_held(at));
        held.map(|(holding, _)| *holding).collect()
    }
}
