//! What hosts and domains are known to have in force.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::view::View;
use crate::lists::message;
use crate::{entity, revision, time};

/// Age at which a confirmation of a host or a report of a domain no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(25);

/// Whether a domain reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainReach {
    /// The domain reported lately.
    Reporting,
    /// The domain has not reported lately: what it has in force is not known.
    Unreachable,
}

/// What a domain has in force, for the operator.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DomainStatus {
    /// The domain.
    pub domain: entity::DomainId,
    /// Whether it reports.
    pub reach: DomainReach,
    /// Live hosts of the domain, by its last report.
    pub hosts: u32,
    /// Hosts that confirmed the revision asked for or a later one, by its last report.
    pub confirmed: u32,
}

/// A report and the time at which it was true.
#[derive(Clone, Debug)]
struct TimedReport {
    report: message::DomainReport,
    at: time::Time,
}

/// Confirmations of the hosts of one domain and reports of all domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Confirmations {
    /// Last revision that each host of the domain announced, and when. Bounded by the view.
    hosts: BTreeMap<entity::HostId, (revision::Revision, time::Time)>,
    /// Last report of each other domain. Bounded by the number of domains in the view.
    domains: BTreeMap<entity::DomainId, TimedReport>,
}

impl Confirmations {
    /// Notes that a host has a revision in force.
    pub(super) fn record_confirmation(
        &mut self,
        now: time::Time,
        view: &View,
        host: entity::HostId,
        revision: revision::Revision,
    ) {
        if view.hosts(view.domain()).contains(&host) {
            self.hosts.insert(host, (revision, now));
        }
    }

    /// Forgets hosts that left the view.
    pub(super) fn retain(&mut self, view: &View) {
        let hosts = view.hosts(view.domain());
        self.hosts.retain(|host, _| hosts.contains(host));
    }

    /// Takes over the reports that are younger than those known.
    pub(super) fn merge(&mut self, now: time::Time, reports: Vec<message::DomainReport>) {
        for report in reports.into_iter().take(entity::MAX_INDEX as usize) {
            let at = now - Duration::from_millis(u64::from(report.age_ms));
            let known = self.domains.get(&report.domain);
            if known.is_none_or(|known| known.at < at) {
                self.domains
                    .insert(report.domain, TimedReport { report, at });
            }
        }
    }

    /// Reports of all domains with their ages, the own domain's made from the confirmations.
    pub(super) fn reports(&self, now: time::Time, view: &View) -> Vec<message::DomainReport> {
        let others = self.domains.values().map(|dated| message::DomainReport {
            age_ms: u32::try_from(now.since(dated.at).as_millis()).unwrap_or(u32::MAX),
            ..dated.report.clone()
        });
        let mut reports: Vec<_> = if view.is_watcher() {
            let others = others.filter(|report| report.domain != view.domain());
            others.chain([self.own_report(now, view)]).collect()
        } else {
            others.collect()
        };
        reports.retain(|report| Duration::from_millis(u64::from(report.age_ms)) < REPORT_TTL * 4);
        reports
    }

    /// What each domain of the view and each domain that ever reported has in force.
    pub(super) fn status(
        &self,
        now: time::Time,
        view: &View,
        revision: revision::Revision,
    ) -> Vec<DomainStatus> {
        let reports = self.reports(now, view);
        let mut domains: Vec<_> = view.domains().chain(self.domains.keys().copied()).collect();
        domains.sort_unstable();
        domains.dedup();
        let status = |domain| {
            let report = reports.iter().find(|report| report.domain == domain);
            let age = report.map_or(u32::MAX, |report| report.age_ms);
            let fresh = Duration::from_millis(u64::from(age)) < REPORT_TTL;
            DomainStatus {
                domain,
                reach: if fresh {
                    DomainReach::Reporting
                } else {
                    DomainReach::Unreachable
                },
                hosts: report.map_or(0, |report| report.hosts),
                confirmed: report.map_or(0, |report| report.confirmed(revision)),
            }
        };
        domains.into_iter().map(status).collect()
    }

    fn own_report(&self, now: time::Time, view: &View) -> message::DomainReport {
        let mut levels: BTreeMap<_, u32> = BTreeMap::new();
        for (revision, at) in self.hosts.values() {
            if now.since(*at) < REPORT_TTL {
                *levels.entry(*revision).or_default() += 1;
            }
        }
        while levels.len() > message::MAX_LEVELS {
            let Some((_, hosts)) = levels.pop_last() else {
                break;
            };
            if let Some(mut below) = levels.last_entry() {
                *below.get_mut() += hosts;
            }
        }
        let levels: SmallVec<_> = levels.into_iter().rev().collect();
        message::DomainReport {
            domain: view.domain(),
            hosts: u32::try_from(view.hosts(view.domain()).len()).unwrap_or(u32::MAX),
            levels,
            age_ms: 0,
        }
    }
}
