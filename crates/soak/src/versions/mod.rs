//! Releases of endpoints' software, of which two versions serve side by side, and callers that take
//! streams up after a cut.
//!
//! The endpoints form a service of their own. A seed gives the releases, which overlap the faults
//! of the hosts and of the store.

pub(crate) mod callers;
pub(crate) mod checks;
mod releases;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use pistachiochute_standins::platform::store::Store;

use crate::load;
use crate::versions::callers::StreamRecord;
pub(crate) use crate::versions::checks::Findings;
use crate::versions::releases::Releases;
pub(crate) use crate::versions::releases::{EVENTS, ReplicaSpan, VERSIONS};

/// Service of the endpoints with software versions.
pub(crate) const SERVICE: &str = "versions";

/// Route to the service, whose streams may be resumed.
pub(crate) const ROUTE: &str = "versions-resumable";

/// Callers of the service. Each chooses a host for each try.
const CALLERS: usize = 8;

/// Endpoints with software versions, which are registered and not yet called.
pub(crate) struct Replicas {
    releases: Releases,
}

impl Replicas {
    /// Starts the endpoints and writes their entries.
    pub(crate) fn start(store: &Store, seed: u64) -> eyre::Result<Self> {
        let releases = Releases::start(store.clone(), seed)?;
        Ok(Self { releases })
    }

    /// Starts the releases, and callers that choose among the hosts.
    pub(crate) fn serve(
        self,
        hosts: &[SocketAddr],
        shared: &Arc<load::Shared>,
        seed: u64,
    ) -> Scenario {
        let are_callers_over = Arc::new(AtomicBool::new(false));
        let are_releases_over = Arc::new(AtomicBool::new(false));
        let caller = callers::Caller {
            number: 0,
            prefix: "v",
            route: ROUTE,
            hosts: hosts.to_vec(),
            shared: shared.clone(),
            is_over: are_callers_over.clone(),
            kills: None,
        };
        Scenario {
            callers: caller.start_many(CALLERS, seed),
            releases: self.releases.play(are_releases_over.clone()),
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
    /// Ends the callers, then the releases and their endpoints, and checks what the callers saw.
    pub(crate) fn finish(self) -> eyre::Result<Findings> {
        self.are_callers_over.store(true, Ordering::Relaxed);
        let mut streams = Vec::new();
        for caller in self.callers {
            let of_caller = caller.join();
            streams.extend(of_caller.map_err(|_| eyre::eyre!("a caller of streams panicked"))?);
        }
        self.are_releases_over.store(true, Ordering::Relaxed);
        let replicas = self.releases.join();
        let replicas = replicas.map_err(|_| eyre::eyre!("the releases panicked"))??;
        Ok(checks::check(&streams, &replicas))
    }
}
