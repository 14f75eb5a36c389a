//! What endpoints say of themselves, as far as the endpoint table is asked for it.

use std::time::Duration;

use pistachiochute_core::choice::homes;
use pistachiochute_core::{admission, entity, rate_limits, retry, time};
use pistachiochute_runtime::clock;

use super::{Eligibility, EndpointTable};
use crate::shared;

/// Endpoint that is the first to take another request of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::traffic) struct EarliestOpening {
    /// Why it takes none now.
    pub by: admission::Closure,
    /// Time until it does, or `None` if none of them will while they name their limits.
    pub wait: Option<Duration>,
}

impl EndpointTable {
    /// Removes the endpoints that take no request of this host now, and returns them.
    pub(super) fn take_closed(
        &self,
        ids: &mut Vec<entity::EndpointId>,
        eligibility: &Eligibility<'_>,
        now: time::Time,
    ) -> Vec<homes::ClosedEndpoint> {
        let is_closed = |id: &mut entity::EndpointId| {
            self.opening(*id, eligibility, now) != admission::Opening::Now
        };
        let closed = ids.extract_if(.., is_closed);
        let with_hash = closed.filter_map(|endpoint| {
            let hash = self.entries.get(endpoint)?.hash;
            Some(homes::ClosedEndpoint { endpoint, hash })
        });
        with_hash.collect()
    }

    /// Applies the limits that endpoints have named to other hosts.
    pub(in crate::traffic) fn apply_remote_limits(
        &mut self,
        shared: &shared::Shared,
        now: time::Time,
    ) {
        while let Some(statement) = shared.remote_limits.pop() {
            self.admissions.record_limit(statement, now);
        }
    }

    /// Applies which endpoints are cold.
    pub(in crate::traffic) fn apply_cold(&mut self, shared: &shared::Shared, now: time::Time) {
        while let Some(cold) = shared.cold_endpoints.pop() {
            self.admissions.record_cold(&cold, now);
        }
    }

    /// Removes the endpoints of domains that were taken back lately, for their part of the requests,
    /// unless there are no others.
    pub(super) fn hold_back_returning(
        &self,
        ids: &mut Vec<entity::EndpointId>,
        seed: u64,
        now: time::Time,
    ) {
        if self.returned.is_empty() {
            return;
        }
        let is_held_back = |id: &entity::EndpointId| {
            let entry = self.entries.get(*id)?;
            let domain = &entry.endpoint.domain;
            let returned = self.returned.iter().find(|r| r.domain == *domain)?;
            Some(admission::is_held_back(
                seed,
                entry.hash,
                returned.since,
                now,
            ))
        };
        let is_candidate = |id: &entity::EndpointId| !is_held_back(id).unwrap_or(false);
        if ids.iter().any(is_candidate) {
            ids.retain(is_candidate);
        }
    }

    /// Whether endpoints of a service are in failure domains that operators have evacuated.
    pub(in crate::traffic) fn has_evacuated(&self, service: &str) -> bool {
        self.evacuated.contains_key(service)
    }

    /// Applies the pauses that endpoints have asked the control thread for.
    pub(in crate::traffic) fn apply_pushbacks(&mut self, shared: &shared::Shared) {
        while let Some(notice) = shared.local_pushbacks.pop() {
            self.admissions
                .record_pushback(notice.endpoint, notice.pushback, notice.at);
        }
    }

    /// Which eligible endpoint of a service is the first to take another request of this host, if what
    /// endpoints say of themselves alone holds it back.
    pub(in crate::traffic) fn earliest_opening(
        &self,
        service: &str,
        eligibility: &Eligibility<'_>,
        now: time::Time,
    ) -> Option<EarliestOpening> {
        let ids = self.by_service.get(service)?.iter().copied();
        let eligible = ids.filter(|id| self.is_eligible(*id, eligibility));
        let mut earliest: Option<EarliestOpening> = None;
        for id in eligible {
            let admission::Opening::Closed { by, until } = self.opening(id, eligibility, now)
            else {
                return None;
            };
            let wait = until.map(|until| until.since(now));
            let is_earlier = earliest.is_none_or(|e| match (e.wait, wait) {
                (_, None) => false,
                (None, Some(_)) => true,
                (Some(earlier), Some(wait)) => wait < earlier,
            });
            if is_earlier {
                earliest = Some(EarliestOpening { by, wait });
            }
        }
        earliest
    }

    /// Whether a service has an eligible endpoint that takes a request of this host now.
    pub(in crate::traffic) fn has_room(
        &self,
        service: &str,
        eligibility: &Eligibility<'_>,
        now: time::Time,
    ) -> bool {
        let ids = self.by_service.get(service).into_iter().flatten().copied();
        let mut eligible = ids.filter(|id| self.is_eligible(*id, eligibility));
        eligible.any(|id| self.opening(id, eligibility, now) == admission::Opening::Now)
    }

    pub(super) fn opening(
        &self,
        id: entity::EndpointId,
        eligibility: &Eligibility<'_>,
        now: time::Time,
    ) -> admission::Opening {
        let entry = self.entries.get(id);
        entry.map_or(admission::Opening::Now, |entry| {
            let room = self.limit_room(entry, eligibility.may_ask, now);
            self.admissions.opening_with_limit(entry.hash, room, now)
        })
    }

    /// Records what an answer says of whether its endpoint leaves. Returns whether that has changed.
    pub(in crate::traffic) fn record_leave_notice(
        &mut self,
        id: entity::EndpointId,
        notice: admission::LeaveNotice,
        now: time::Time,
    ) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| {
            let admissions = &mut self.admissions;
            admissions.record_leave_notice(entry.hash, notice, now)
        })
    }

    /// Records a pause that an answer of an endpoint asks this host for.
    pub(in crate::traffic) fn record_pushback(
        &mut self,
        id: entity::EndpointId,
        pushback: admission::Pushback,
        now: time::Time,
    ) {
        if let Some(entry) = self.entries.get(id) {
            self.admissions.record_pushback(entry.hash, pushback, now);
        }
    }

    /// Records an answer: whether the endpoint has turned the request away, and how brittle it is. Returns
    /// whether it is tried with one request at a time from now on.
    pub(in crate::traffic) fn record_admission(
        &mut self,
        id: entity::EndpointId,
        is_turned_away: bool,
        brittleness: Option<admission::Brittleness>,
        times: (time::Time, time::Time),
    ) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| {
            let admissions = &mut self.admissions;
            admissions.record_answer(entry.hash, is_turned_away, brittleness, times)
        })
    }

    /// Why a request that an endpoint was selected for must not be sent to it, as far as its entry and
    /// its answers say, if there is a reason.
    pub(in crate::traffic) fn withdrawn(
        &self,
        id: entity::EndpointId,
        now: time::Time,
    ) -> Option<retry::AttemptFailure> {
        let entry = self.entries.get(id);
        let Some(entry) = entry.filter(|entry| entry.is_listed_ready(self.generation)) else {
            return Some(retry::AttemptFailure::Leaving);
        };
        match entry.hash {
            hash if self.admissions.is_leaving(hash) => Some(retry::AttemptFailure::Leaving),
            hash if self.admissions.is_resting(hash, now) => {
                Some(retry::AttemptFailure::PushedBack)
            }
            _ => None,
        }
    }

    /// Records the limit that an answer of an endpoint names, or that it names none. Returns what
    /// other hosts are to be told, if it is new.
    pub(in crate::traffic) fn record_limit(
        &mut self,
        id: entity::EndpointId,
        limit: Option<rate_limits::RequestRate>,
        at: time::Time,
    ) -> Option<rate_limits::Statement> {
        let statement = rate_limits::Statement {
            endpoint: self.entries.get(id)?.hash,
            limit,
            at,
        };
        let is_new = self.admissions.record_limit(statement, clock::now());
        is_new.then_some(statement)
    }
}
