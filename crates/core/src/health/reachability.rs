//! Failure domains that a host cannot reach.
//!
//! A host of a large fleet sends each endpoint a request in many seconds. If each had to fail twice
//! before it counted as unhealthy, a host that is cut off from other domains would go on waiting for
//! connections there until the cut was over. So a few endpoints whose connections time out stand for
//! their domain, and for all other domains if none of them has answered since.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::{entity, time};

/// Endpoints of one domain whose connections must time out, without an answer from the domain.
const MIN_ENDPOINTS_OF_DOMAIN: usize = 2;

/// Endpoints of several domains whose connections must time out, without an answer from any other
/// domain, for all of them to count as unreachable.
const MIN_ENDPOINTS_OF_ALL: usize = 3;

/// Time for which a timeout counts.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(4);

/// Time after which an unreachable domain is tried again. One timeout then suffices.
const HOLD: Duration = Duration::from_secs(1);

/// A connection that timed out.
#[derive(Clone, Debug)]
struct Timeout {
    endpoint: entity::EndpointId,
    domain: Arc<str>,
    at: time::Time,
}

/// What a host knows of the reachability of the other domains.
///
/// Connections that are refused are no evidence: something answers there.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    timeouts: SmallVec<[Timeout; 4]>,
    /// Domains that did not answer when they were last tried, and when they are tried again.
    held_until: BTreeMap<Arc<str>, time::Time>,
    /// The same for all other domains together.
    all_held_until: Option<time::Time>,
    /// When an endpoint of another domain last answered.
    last_answer: Option<time::Time>,
}

impl Reachability {
    /// Records that a connection to an endpoint of another domain timed out.
    pub fn record_timeout(
        &mut self,
        endpoint: entity::EndpointId,
        domain: &Arc<str>,
        now: time::Time,
    ) {
        self.timeouts.retain(|timeout| {
            timeout.endpoint != endpoint && now.since(timeout.at) < EVIDENCE_RETENTION
        });
        self.timeouts.push(Timeout {
            endpoint,
            domain: domain.clone(),
            at: now,
        });
        let until = now + HOLD;
        if self.held_until.contains_key(domain) || self.count_of(domain) >= MIN_ENDPOINTS_OF_DOMAIN
        {
            self.held_until.insert(domain.clone(), until);
        }
        if self.all_held_until.is_some() || self.shows_isolation() {
            self.all_held_until = Some(until);
        }
    }

    /// Records that an endpoint of another domain answered.
    pub fn record_answer(&mut self, domain: &str, now: time::Time) {
        self.last_answer = Some(now);
        self.all_held_until = None;
        self.held_until.remove(domain);
        self.timeouts.retain(|timeout| *timeout.domain != *domain);
    }

    /// Whether endpoints of another domain should get work only if no others can.
    #[must_use]
    pub fn is_unreachable(&self, domain: &str, now: time::Time) -> bool {
        let is_held = |until: &time::Time| now < *until;
        self.all_held_until.as_ref().is_some_and(is_held)
            || self.held_until.get(domain).is_some_and(is_held)
    }

    fn count_of(&self, domain: &Arc<str>) -> usize {
        let of_domain = self.timeouts.iter().filter(|t| t.domain == *domain);
        of_domain.count()
    }

    /// Whether several endpoints of several domains timed out, and none answered since the first one.
    fn shows_isolation(&self) -> bool {
        let after_answer = |t: &&Timeout| self.last_answer.is_none_or(|at| at < t.at);
        let recent: SmallVec<[&Timeout; 4]> = self.timeouts.iter().filter(after_answer).collect();
        let is_several = recent.iter().any(|t| t.domain != recent[0].domain);
        is_several && recent.len() >= MIN_ENDPOINTS_OF_ALL
    }
}
