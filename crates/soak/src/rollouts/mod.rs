//! Releases by new endpoints: a service has one software version, endpoints of the next one join under
//! ids and at addresses of their own, and the earlier ones drain and leave.
//!
//! Some hosts hear of a release late, one of them because it is cut off from the store and from the other
//! hosts, and some are killed just after a stream has begun on them.

mod releases;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use pistachiochute_standins::platform::store::Store;

use crate::asked::Asker;
use crate::load;
use crate::rollouts::releases::{Releases, Surroundings};
use crate::versions::callers::{Caller, Kills, StreamRecord};
use crate::versions::{self, Findings, ReplicaSpan};

/// Service of the endpoints.
pub(crate) const SERVICE: &str = "rollouts";

/// Route to the service, whose streams may be resumed.
pub(crate) const ROUTE: &str = "rollouts-resumable";

/// Callers of the service. Each chooses a host for each try.
const CALLERS: usize = 8;

/// Hosts that are called, among them the one that may be cut off. They are few, so that streams often
/// meet it.
const CALLED_HOSTS: usize = 4;

/// Endpoints, which are registered and not yet called.
pub(crate) struct Fleet {
    releases: Releases,
}

impl Fleet {
    /// Starts the endpoints of the first version and writes their entries. They write none while the
    /// store is away.
    pub(crate) fn start(
        store: &Store,
        is_store_away: Arc<AtomicBool>,
        seed: u64,
    ) -> eyre::Result<Self> {
        let releases = Releases::start(store.clone(), is_store_away, seed)?;
        Ok(Self { releases })
    }

    /// Starts the releases, and callers that choose among the first hosts. Those given are the ones with
    /// faults of all kinds.
    pub(crate) fn serve(
        self,
        hosts: &[SocketAddr],
        shared: &Arc<load::Shared>,
        asker: &Asker,
        seed: u64,
    ) -> Scenario {
        let are_callers_over = Arc::new(AtomicBool::new(false));
        let are_releases_over = Arc::new(AtomicBool::new(false));
        let is_released = Arc::new(AtomicBool::new(false));
        let kills = Kills {
            is_frequent: is_released.clone(),
            asker: asker.clone(),
        };
        let caller = Caller {
            number: 0,
            prefix: "r",
            route: ROUTE,
            hosts: hosts.iter().copied().take(CALLED_HOSTS).collect(),
            shared: shared.clone(),
            is_over: are_callers_over.clone(),
            kills: Some(kills),
        };
        let surroundings = Surroundings {
            faulty_hosts: hosts.len(),
            asker: asker.clone(),
            is_released,
            is_over: are_releases_over.clone(),
        };
        Scenario {
            callers: caller.start_many(CALLERS, seed),
            releases: self.releases.play(surroundings),
            are_callers_over,
            are_releases_over,
        }
    }
}

/// Releases and callers that run.
pub(crate) struct Scenario {
    callers: Vec<thread::JoinHandle<Vec<StreamRecord>>>,
    releases: thread::JoinHandle<eyre::Result<Vec<ReplicaSpan>>>,
    are_callers_over: Arc<AtomicBool>,
    are_releases_over: Arc<AtomicBool>,
}

impl Scenario {
    /// Ends the callers, then the releases, and checks what the callers saw.
    pub(crate) fn finish(self) -> eyre::Result<Findings> {
        let panicked = |_| eyre::eyre!("a thread of the rollouts panicked");
        self.are_callers_over.store(true, Ordering::Relaxed);
        let mut streams = Vec::new();
        for caller in self.callers {
            streams.extend(caller.join().map_err(panicked)?);
        }
        self.are_releases_over.store(true, Ordering::Relaxed);
        let served = self.releases.join().map_err(panicked)??;
        let findings = versions::checks::check(&streams, &served);
        Ok(findings.named("rollouts"))
    }
}
