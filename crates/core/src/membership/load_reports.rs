//! Loads of the endpoints, as hosts report them to each other over the links of an [`Overlay`].
//!
//! Every host reports the work that it has at each endpoint itself. A relay reports the total of
//! its domain to the relays of other domains, and to each host of its own domain the total of all
//! other hosts. Of several relays that report the same total, the first one with a report that
//! has not expired counts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::choice::load::{EndpointLoad, Work};
use crate::membership::overlay::{Overlay, Role};
use crate::time;

/// Age above which the report of a host no longer counts.
pub const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Work, keyed by the hash of the endpoint's identity.
pub type WorkByEndpoint = HashMap<u64, Work>;

/// Latest report of one host.
#[derive(Clone, Debug, Default)]
struct HostReport {
    own: Vec<EndpointLoad>,
    /// Total that the host relays for others.
    relayed: Vec<EndpointLoad>,
    last_heard: time::Time,
}

/// Latest reports of all other hosts.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    reports: HashMap<Arc<str>, HostReport>,
}

impl LoadReports {
    /// Records that a message of a host arrived.
    pub fn record_contact(&mut self, host: &Arc<str>, now: time::Time) {
        self.reports.entry(host.clone()).or_default().last_heard = now;
    }

    /// Replaces the work that a host reports as its own.
    pub fn set_own_load(&mut self, host: &Arc<str>, loads: Vec<EndpointLoad>) {
        self.reports.entry(host.clone()).or_default().own = loads;
    }

    /// Replaces the total that a relay reports for others.
    pub fn set_relayed_load(&mut self, host: &Arc<str>, loads: Vec<EndpointLoad>) {
        self.reports.entry(host.clone()).or_default().relayed = loads;
    }

    /// Removes hosts that have been silent for longer than [`REPORT_TTL`].
    pub fn tick(&mut self, now: time::Time) {
        self.reports
            .retain(|_, report| now.since(report.last_heard) <= REPORT_TTL);
    }

    /// When a host whose reports count here was last heard, or `None` if none is.
    #[must_use]
    pub fn newest_report(&self, overlay: &Overlay) -> Option<time::Time> {
        let counts = |name: &Arc<str>| match overlay.role {
            Role::Member => overlay.relays.contains(name),
            Role::Mesh | Role::Relay => true,
        };
        let reports = self.reports.iter().filter(|(name, _)| counts(name));
        reports.map(|(_, report)| report.last_heard).max()
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

    /// Work of the relay's domain, including that of the relay itself.
    #[must_use]
    pub fn domain_total(&self, overlay: &Overlay, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let mut sum = WorkByEndpoint::new();
        add(&mut sum, own);
        self.add_domain(&mut sum, overlay);
        listed(sum)
    }

    /// Work of all hosts except one host of the relay's domain. `others` is the work of all hosts
    /// except the relay.
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

    /// Adds the work of the hosts of the relay's domain that report to it.
    fn add_domain(&self, sum: &mut WorkByEndpoint, overlay: &Overlay) {
        for (name, report) in &self.reports {
            if !overlay.is_foreign_relay(name) {
                add(sum, &report.own);
            }
        }
    }

    /// Adds the total of the first of several relays that has a report.
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

/// Loads sorted by endpoint, without those that are zero.
fn listed(sum: WorkByEndpoint) -> Vec<EndpointLoad> {
    let mut loads: Vec<_> = sum
        .into_iter()
        .filter(|(_, work)| *work != Work::default())
        .map(|(endpoint, work)| EndpointLoad { endpoint, work })
        .collect();
    loads.sort_by_key(|load| load.endpoint);
    loads
}
