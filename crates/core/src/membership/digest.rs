//! Sums of the hosts' work at endpoints, as they travel over the links of a [`Spread`].
//!
//! Every host tells its own work. A relay tells the relays of other domains the sum of its domain,
//! and each host of its domain the sum of everyone else. Of several relays that tell the same sum,
//! the first one that was heard lately counts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::choice::load::{EndpointLoad, Work};
use crate::membership::spread::{Role, Spread};
use crate::time;

/// Age from which on what a host told no longer counts.
pub const HORIZON: Duration = Duration::from_millis(2_500);

/// Work by the hash of the endpoint's identity.
pub type Works = HashMap<u64, Work>;

/// What one host told.
#[derive(Clone, Debug, Default)]
struct Told {
    own: Vec<EndpointLoad>,
    /// Sum that it carries for others.
    carried: Vec<EndpointLoad>,
    heard: time::Time,
}

/// What all hosts told.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    told: HashMap<Arc<str>, Told>,
}

impl Digests {
    /// Notes that a host spoke.
    pub fn hear(&mut self, host: &Arc<str>, now: time::Time) {
        self.told.entry(host.clone()).or_default().heard = now;
    }

    /// Takes in the work of a host.
    pub fn own(&mut self, host: &Arc<str>, loads: Vec<EndpointLoad>) {
        self.told.entry(host.clone()).or_default().own = loads;
    }

    /// Takes in a sum that a relay carries.
    pub fn carried(&mut self, host: &Arc<str>, loads: Vec<EndpointLoad>) {
        self.told.entry(host.clone()).or_default().carried = loads;
    }

    /// Forgets hosts that have been silent for long.
    pub fn tick(&mut self, now: time::Time) {
        self.told.retain(|_, told| now.since(told.heard) <= HORIZON);
    }

    /// Work of all other hosts.
    #[must_use]
    pub fn others(&self, spread: &Spread) -> Works {
        let mut sum = Works::new();
        match spread.role {
            Role::Mesh => self.told.values().for_each(|told| add(&mut sum, &told.own)),
            Role::Member => self.add_carried(&mut sum, &spread.relays),
            Role::Relay => {
                self.add_domain(&mut sum, spread);
                for relays in spread.foreign.values() {
                    self.add_carried(&mut sum, relays);
                }
            }
        }
        sum
    }

    /// Work of a relay's domain, with its own.
    #[must_use]
    pub fn domain(&self, spread: &Spread, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let mut sum = Works::new();
        add(&mut sum, own);
        self.add_domain(&mut sum, spread);
        listed(sum)
    }

    /// Work of everyone but one host of a relay's domain. `others` is the work of all but the
    /// relay.
    #[must_use]
    pub fn all_but(&self, host: &str, others: &Works, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let mut sum = others.clone();
        add(&mut sum, own);
        let told = self.told.get(host);
        for load in told.iter().flat_map(|told| &told.own) {
            if let Some(work) = sum.get_mut(&load.endpoint) {
                work.requests = work.requests.saturating_sub(load.work.requests);
                let unread = work.unread_tokens.saturating_sub(load.work.unread_tokens);
                work.unread_tokens = unread;
            }
        }
        listed(sum)
    }

    /// Adds the work of the hosts of a relay's domain that talk to it.
    fn add_domain(&self, sum: &mut Works, spread: &Spread) {
        for (name, told) in &self.told {
            if !spread.is_foreign_relay(name) {
                add(sum, &told.own);
            }
        }
    }

    /// Adds what the first of several relays carries that was heard.
    fn add_carried(&self, sum: &mut Works, relays: &[Arc<str>]) {
        let heard = relays.iter().find_map(|relay| self.told.get(relay));
        if let Some(told) = heard {
            add(sum, &told.carried);
        }
    }
}

fn add(sum: &mut Works, loads: &[EndpointLoad]) {
    for load in loads {
        let work = sum.entry(load.endpoint).or_default();
        work.requests += load.work.requests;
        work.unread_tokens = work.unread_tokens.saturating_add(load.work.unread_tokens);
    }
}

/// Sums in a fixed order, without those that are nothing.
fn listed(sum: Works) -> Vec<EndpointLoad> {
    let mut loads: Vec<_> = sum
        .into_iter()
        .filter(|(_, work)| *work != Work::default())
        .map(|(endpoint, work)| EndpointLoad { endpoint, work })
        .collect();
    loads.sort_by_key(|load| load.endpoint);
    loads
}
