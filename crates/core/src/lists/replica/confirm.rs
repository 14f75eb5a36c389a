//! Confirmed revisions of the hosts of a domain, and reports of other domains on theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::view::View;
use crate::lists::message;
use crate::{entity, revision, time};

/// Age after which a confirmation of a host or a report of a domain is ignored.
const REPORT_TTL: Duration = Duration::from_secs(25);

/// Whether the reports of a domain arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainReach {
    /// The last report is recent.
    Reporting,
    /// There is no recent report, so the revisions in force in the domain are unknown.
    Unreachable,
}

/// Progress of a revision in a domain, for operators.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DomainStatus {
    /// The domain.
    pub domain: entity::DomainId,
    /// Whether its reports arrive.
    pub reach: DomainReach,
    /// Number of live hosts of the domain, from its last report.
    pub hosts: u32,
    /// Number of hosts that confirmed the requested revision or a later one, from its last report.
    pub confirmed: u32,
}

/// A report and the time at which it was made.
#[derive(Clone, Debug)]
struct TimedReport {
    report: message::DomainReport,
    at: time::Time,
}

/// Confirmations of the hosts of one domain and reports of all domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Confirmations {
    /// Last revision that each host of the domain announced, and the time of the announcement.
    /// Bounded by the view.
    hosts: BTreeMap<entity::HostId, (revision::Revision, time::Time)>,
    /// Last report of each other domain. Bounded by the number of domains in the view.
    domains: BTreeMap<entity::DomainId, TimedReport>,
}

impl Confirmations {
    /// Records that a host of the domain has a revision in force.
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

    /// Removes hosts that are no longer in the view.
    pub(super) fn retain(&mut self, view: &View) {
        let hosts = view.hosts(view.domain());
        self.hosts.retain(|host, _| hosts.contains(host));
    }

    /// Merges reports of other hosts. The youngest report of each domain is kept.
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

    /// Reports of all domains with their ages. Watchers make the report of their own domain from
    /// the confirmations.
    pub(super) fn reports(&self, now: time::Time, view: &View) -> Vec<message::DomainReport> {
        let others = self.domains.values().map(|timed| message::DomainReport {
            age_ms: u32::try_from(now.since(timed.at).as_millis()).unwrap_or(u32::MAX),
            ..timed.report.clone()
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

    /// Progress of a revision in each domain of the view and each domain that ever reported.
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

    /// Report of the own domain. Hosts with revisions above the smallest [`message::MAX_LEVELS`]
    /// count for the largest of these, so that no host counts for more than it confirmed.
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
