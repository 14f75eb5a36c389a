//! State of the control thread.

use std::collections::HashMap;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::prefix;
use pistachiochute_core::membership::roster;
use pistachiochute_core::{catalog, directory, time};
use pistachiochute_messages::fleet;
use tokio::sync::mpsc;

use crate::shared;

/// Age from which on the work that another host told of no longer counts.
const LOADS_HORIZON: Duration = Duration::from_millis(2_500);

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
    pub known: fleet::Known,
    /// Its work.
    pub loads: Vec<fleet::EndpointLoad>,
    /// When it said so.
    pub heard: time::Time,
}

/// Everything that the host believes.
#[derive(Debug)]
pub struct State {
    /// Name of this host.
    pub me: Arc<str>,
    /// Catalog in force.
    pub catalog: catalog::Current,
    /// Endpoints.
    pub directory: directory::Directory,
    /// Hosts of the fleet.
    pub hosts: roster::Roster<HostEntry>,
    /// Other hosts that spoke to this one.
    pub peers: HashMap<Arc<str>, Peer>,
    /// Messages to the hosts that this one has a link to.
    pub outboxes: HashMap<Arc<str>, mpsc::Sender<fleet::Message>>,
    /// Parts of prompts that endpoints hold, and when they last read them.
    holdings: HashMap<fleet::Holding, time::Time>,
    /// Serial of the last published view.
    serial: u64,
    /// Whether the work of other hosts changed since it was last summed up.
    loads_changed: bool,
}

impl State {
    /// Makes the state of a host that knows nothing.
    #[must_use]
    pub fn new(me: Arc<str>) -> Self {
        Self {
            me,
            catalog: catalog::Current::default(),
            directory: directory::Directory::default(),
            hosts: roster::Roster::default(),
            peers: HashMap::new(),
            outboxes: HashMap::new(),
            holdings: HashMap::new(),
            serial: 0,
            loads_changed: false,
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
            hosts: (self.hosts.serving(now) as u32).max(1),
        }
    }

    /// What the host knows.
    #[must_use]
    pub fn known(&self) -> fleet::Known {
        fleet::Known {
            catalog: self.catalog.version(),
            endpoints: self.directory.changed(),
        }
    }

    /// What the host would ask another one for, which knows `known`.
    #[must_use]
    pub fn want(&self, known: fleet::Known) -> Option<fleet::Known> {
        let own = fleet::Known {
            catalog: self.catalog.version(),
            endpoints: self.directory.complete(),
        };
        let is_behind = known.catalog > own.catalog || known.endpoints > own.endpoints;
        is_behind.then_some(own)
    }

    /// Takes in the status of another host.
    pub fn hear(
        &mut self,
        host: &Arc<str>,
        known: fleet::Known,
        loads: Option<Vec<fleet::EndpointLoad>>,
        now: time::Time,
    ) {
        let peer = self.peers.entry(host.clone()).or_default();
        peer.known = known;
        peer.heard = now;
        self.hosts.hear(host, now);
        if let Some(loads) = loads {
            peer.loads = loads;
            self.loads_changed = true;
        }
    }

    /// Remembers what endpoints hold, for hosts that come later.
    pub fn remember(&mut self, holdings: &[fleet::Holding], now: time::Time) {
        self.holdings.extend(holdings.iter().map(|h| (*h, now)));
        if self.holdings.len() > MAX_HOLDINGS {
            self.holdings
                .retain(|_, at| now.since(*at) < prefix::HELD_FOR / 2);
        }
    }

    /// What endpoints hold.
    #[must_use]
    pub fn holdings(&self, now: time::Time) -> Vec<fleet::Holding> {
        let is_held = |at: &time::Time| now.since(*at) < prefix::HELD_FOR;
        let held = self.holdings.iter().filter(|(_, at)| is_held(at));
        held.map(|(holding, _)| *holding).collect()
    }

    /// Work of all other hosts, if it changed since the last call.
    pub fn other_loads(&mut self, now: time::Time) -> Option<shared::OtherLoads> {
        for peer in self.peers.values_mut() {
            if now.since(peer.heard) > LOADS_HORIZON && !peer.loads.is_empty() {
                peer.loads.clear();
                self.loads_changed = true;
            }
        }
        if !std::mem::take(&mut self.loads_changed) {
            return None;
        }
        let mut sums = shared::OtherLoads::new();
        for load in self.peers.values().flat_map(|peer| &peer.loads) {
            let sum = sums.entry(load.endpoint).or_default();
            sum.requests += load.requests;
            sum.unread_tokens = sum.unread_tokens.saturating_add(load.unread_tokens);
        }
        Some(sums)
    }
}
