//! Sums of the hosts' work at endpoints, as they travel over the links of a [`Overlay`].
//!
//! Every host tells its own work. A relay tells the relays of other domains the sum of its domain,
//! and each host of its domain the sum of everyone else. Of several relays that tell the same sum,
//! the first one that was heard lately counts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::choice::load::{EndpointLoad, Work};
use crate::membership::overlay::{Overlay, Role};
use crate::time;

/// Age from which on what a host report no longer counts.
pub const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Work by the hash of the endpoint's identity.
pub type WorkByEndpoint = HashMap<u64, Work>;

/// What one host report.
#[derive(Clone, Debug, Default)]
struct HostReport {
    own: Vec<EndpointLoad>,
    /// Sum that it carries for others.
    relayed: Vec<EndpointLoad>,
    last_heard: time::Time,
}

/// What all hosts report.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    reports: HashMap<Arc<str>, HostReport>,
}

impl LoadReports {
    /// Notes that a host spoke.
    pub fn record_contact(&mut self, host: &Arc<str>, now: time::Time) {
        self.reports.entry(host.clone()).or_default().last_heard = now;
    }

    /// Takes in the work of a host.
    pub fn set_own_load(&mut self, host: &Arc<str>, loads: Vec<EndpointLoad>) {
        self.reports.entry(host.clone()).or_default().own = loads;
    }

    /// Takes in a sum that a relay carries.
    pub fn set_relayed_load(&mut self, host: &Arc<str>, loads: Vec<EndpointLoad>) {
        self.reports.entry(host.clone()).or_default().relayed = loads;
    }

    /// Forgets hosts that have been silent for long.
    pub fn tick(&mut self, now: time::Time) {
        self.reports
            .retain(|_, report| now.since(report.last_heard) <= REPORT_TTL);
    }

    /// Work of all other hosts.
    #[must_use]
    pub fn total_of_others(&self, overlay: &Overlay) -> WorkByEndpoint {
        let mut sum = WorkByEndpoint::new();
        match overlay.role {
            Role::Mesh => self
                .reports
                .values()
                .for_each(|reports| add(&mut sum, &reports.own)),
            Role::Member => self.add_relayed(&mut sum, &overlay.relays),
            Role::Relay => {
                self.add_domain(&mut sum, overlay);
                for relays in overlay.foreign_relays.values() {
                    self.add_relayed(&mut sum, relays);
                }
            }
        }
        sum
    }

    /// Work of a relay's domain, with its own.
    #[must_use]
    pub fn domain_total(&self, overlay: &Overlay, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let mut sum = WorkByEndpoint::new();
        add(&mut sum, own);
        self.add_domain(&mut sum, overlay);
        listed(sum)
    }

    /// Work of everyone but one host of a relay's domain. `others` is the work of all but the
    /// relay.
    #[must_use]
    pub fn total_except(
        &self,
        host: &str,
        others: &WorkByEndpoint,
        own: &[EndpointLoad],
    ) -> Vec<EndpointLoad> {
        let mut sum = others.clone();
        add(&mut sum, own);
        let report = self.reports.get(host);
        for load in report.iter().flat_map(|report| &report.own) {
            if let Some(work) = sum.get_mut(&load.endpoint) {
                work.requests = work.requests.saturating_sub(load.work.requests);
                let unread = work.unread_tokens.saturating_sub(load.work.unread_tokens);
                work.unread_tokens = unread;
            }
        }
        listed(sum)
    }

    /// Adds the work of the hosts of a relay's domain that talk to it.
    fn add_domain(&self, sum: &mut WorkByEndpoint, overlay: &Overlay) {
        for (name, report) in &self.reports {
            if !overlay.is_foreign_relay(name) {
                add(sum, &report.own);
            }
        }
    }

    /// Adds what the first of several relays carries that was heard.
    fn add_relayed(&self, sum: &mut WorkByEndpoint, relays: &[Arc<str>]) {
        let heard = relays.iter().find_map(|relay| self.reports.get(relay));
        if let Some(report) = heard {
            add(sum, &report.relayed);
        }
    }
}

fn add(sum: &mut WorkByEndpoint, loads: &[EndpointLoad]) {
    for load in loads {
        let work = sum.entry(load.endpoint).or_default();
        work.requests += load.work.requests;
        work.unread_tokens = work.unread_tokens.saturating_add(load.work.unread_tokens);
    }
}

/// Sums in a fixed order, without those that are nothing.
fn listed(sum: WorkByEndpoint) -> Vec<EndpointLoad> {
    let mut loads: Vec<_> = sum
        .into_iter()
        .filter(|(_, work)| *work != Work::default())
        .map(|(endpoint, work)| EndpointLoad { endpoint, work })
        .collect();
    loads.sort_by_key(|load| load.endpoint);
    loads
}
