//! Services of which a host reaches no endpoint.
//!
//! A host may lose its links to all endpoints while callers and other hosts still reach it. Health counts
//! against single endpoints, and one that fails is tried again, so each request would try several of them
//! in turn. When a few endpoints of a service fail one after the other, the host opens connections to
//! several of them at once. If none is made, twice, the service is out of its reach until one is.
//!
//! Answers on connections that are open show nothing: they may live on while new ones are refused.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{entity, time};

/// Endpoints that must fail, without an answer from any other, before connections are opened to see. A
/// service with fewer endpoints needs one failure of each.
const SUSPICIOUS_FAILURES: usize = 2;

/// Time for which a failure counts.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(4);

/// Consecutive rounds of probes without a connection after which the service is out of reach.
const FAILED_ROUNDS: u32 = 2;

/// Time between two rounds of probes while the service is out of reach.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a connection was made in which no probe is sent, so that endpoints that are slow to answer
/// cost few connections.
const PROBE_PAUSE: Duration = Duration::from_millis(1_000);

/// What a host knows.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Nothing speaks against it that endpoints can be reached. Holds the endpoints that failed since the
    /// last one answered.
    Reached {
        failed: SmallVec<[(entity::EndpointId, time::Time); 4]>,
        /// When the next probe may be sent.
        probe_from: time::Time,
    },
    /// Several endpoints have failed, and this many rounds of probes.
    Suspected { failed_rounds: u32 },
    /// No endpoint can be reached. The next round of probes is due at a time.
    Isolated { probe_at: time::Time },
}

/// Change of what a host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No endpoint can be reached.
    Isolated,
    /// An endpoint is reached again.
    Reached,
}

/// Whether a host reaches any endpoint of a service.
#[derive(Clone, Debug)]
pub struct Isolation {
    state: State,
    /// Whether a round of probes is under way.
    is_probing: bool,
}

impl Default for Isolation {
    fn default() -> Self {
        Self {
            state: State::reached(time::Time::ZERO),
            is_probing: false,
        }
    }
}

impl State {
    fn reached(probe_from: time::Time) -> Self {
        Self::Reached {
            failed: SmallVec::new(),
            probe_from,
        }
    }
}

impl Isolation {
    /// Whether no endpoint can be reached.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        matches!(self.state, State::Isolated { .. })
    }

    /// Whether probes are due now or later.
    #[must_use]
    pub const fn needs_probes(&self) -> bool {
        !matches!(self.state, State::Reached { .. })
    }

    /// Records that a connection to an endpoint could not be made or was lost, or that a request to it
    /// has no answer for long. `endpoints` is the number of endpoints of the service.
    pub fn record_failure(
        &mut self,
        endpoint: entity::EndpointId,
        endpoints: usize,
        now: time::Time,
    ) {
        let State::Reached { failed, probe_from } = &mut self.state else {
            return;
        };
        failed.retain(|(id, at)| *id != endpoint && now.since(*at) < EVIDENCE_RETENTION);
        failed.push((endpoint, now));
        let is_suspicious = failed.len() >= SUSPICIOUS_FAILURES.min(endpoints);
        if is_suspicious && now >= *probe_from {
            self.state = State::Suspected { failed_rounds: 0 };
        }
    }

    /// Records that an endpoint answered on a connection.
    pub fn record_answer(&mut self) {
        if let State::Reached { failed, .. } = &mut self.state {
            failed.clear();
        }
    }

    /// Records that a connection to an endpoint was made.
    pub fn record_connection(&mut self, now: time::Time) -> Option<Change> {
        let was_isolated = self.is_isolated();
        match &mut self.state {
            State::Reached { failed, .. } => failed.clear(),
            state => *state = State::reached(now + PROBE_PAUSE),
        }
        was_isolated.then_some(Change::Reached)
    }

    /// Whether a round of probes is due. It is then counted as begun.
    pub fn begin_probes(&mut self, now: time::Time) -> bool {
        let is_due = match self.state {
            State::Reached { .. } => false,
            State::Suspected { .. } => true,
            State::Isolated { probe_at } => now >= probe_at,
        };
        let begins = is_due && !self.is_probing;
        self.is_probing |= begins;
        begins
    }

    /// Records the end of a round of probes: whether a connection was made.
    pub fn end_probes(&mut self, is_reached: bool, now: time::Time) -> Option<Change> {
        self.is_probing = false;
        if is_reached {
            return self.record_connection(now);
        }
        match &mut self.state {
            // A request has reached an endpoint meanwhile.
            State::Reached { .. } => None,
            State::Suspected { failed_rounds } => {
                *failed_rounds += 1;
                let is_enough = *failed_rounds >= FAILED_ROUNDS;
                is_enough.then(|| {
                    self.state = State::Isolated {
                        probe_at: now + RETRY_INTERVAL,
                    };
                    Change::Isolated
                })
            }
            State::Isolated { probe_at } => {
                *probe_at = now + RETRY_INTERVAL;
                None
            }
        }
    }
}
