//! Endpoints that are processes of their own, which end at any point of an answer and start again under
//! their ids, at their addresses, also as another software version.
//!
//! Some of their answers have neither length nor chunks, and some resumptions are answered with an
//! error, with nothing or with half a head. A seed gives the ends, which overlap the faults of the hosts
//! and of the store. Every piece of an answer names its number, the run and the software version.

mod answers;
mod callers;
mod checks;
mod member;
pub(crate) mod registration;
mod restarts;
pub(crate) mod server;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use pistachiochute_standins::platform::store::Store;

use crate::load;
use crate::processes::callers::CallRecord;
use crate::processes::restarts::{Played, Restarts};
use crate::versions::callers::StreamRecord;
use crate::versions::{self, Findings};

/// Service of the endpoints.
pub(crate) const SERVICE: &str = "processes";

/// Route whose streams may be resumed.
pub(crate) const STREAM_ROUTE: &str = "processes-resumable";

/// Route of calls that may be repeated.
pub(crate) const SAFE_ROUTE: &str = "processes-safe";

/// Route of calls that may run once.
pub(crate) const ONCE_ROUTE: &str = "processes-once";

/// Pieces of the answer to a call.
const CALL_PIECES: u64 = 12;

/// Callers of streams. Each chooses a host for each try.
const STREAM_CALLERS: usize = 12;

/// Callers of calls. Each chooses a host for each call.
const CALL_CALLERS: usize = 4;

/// Endpoints, which are registered and not yet called.
pub(crate) struct Fleet {
    restarts: Restarts,
}

impl Fleet {
    /// Starts the endpoints and writes their entries. They write none while the store is away.
    pub(crate) fn start(
        store: &Store,
        is_store_away: Arc<AtomicBool>,
        seed: u64,
        dir: &Path,
    ) -> eyre::Result<Self> {
        let restarts = Restarts::start(store.clone(), is_store_away, seed, dir)?;
        Ok(Self { restarts })
    }

    /// Starts the ends of processes, and callers that choose among the hosts.
    pub(crate) fn serve(
        self,
        hosts: &[SocketAddr],
        shared: &Arc<load::Shared>,
        seed: u64,
    ) -> Scenario {
        let are_callers_over = Arc::new(AtomicBool::new(false));
        let are_ends_over = Arc::new(AtomicBool::new(false));
        let of_streams = versions::callers::Caller {
            number: 0,
            prefix: "p",
            route: STREAM_ROUTE,
            hosts: hosts.to_vec(),
            shared: shared.clone(),
            is_over: are_callers_over.clone(),
            kills: None,
        };
        let calls = (0..CALL_CALLERS).map(|number| {
            let caller = callers::Caller {
                number,
                hosts: hosts.to_vec(),
                shared: shared.clone(),
                is_over: are_callers_over.clone(),
            };
            caller.start(seed)
        });
        Scenario {
            streams: of_streams.start_many(STREAM_CALLERS, seed),
            calls: calls.collect(),
            restarts: self.restarts.play(are_ends_over.clone()),
            are_callers_over,
            are_ends_over,
        }
    }
}

/// Ends of processes, and callers that run.
pub(crate) struct Scenario {
    streams: Vec<thread::JoinHandle<Vec<StreamRecord>>>,
    calls: Vec<thread::JoinHandle<Vec<CallRecord>>>,
    restarts: thread::JoinHandle<eyre::Result<Played>>,
    are_callers_over: Arc<AtomicBool>,
    are_ends_over: Arc<AtomicBool>,
}

impl Scenario {
    /// Ends the callers, then the processes, and checks what the callers saw.
    pub(crate) fn finish(self) -> eyre::Result<Findings> {
        let panicked = |_| eyre::eyre!("a thread of the processes panicked");
        self.are_callers_over.store(true, Ordering::Relaxed);
        let mut seen = checks::Seen::default();
        for caller in self.streams {
            seen.streams.extend(caller.join().map_err(panicked)?);
        }
        for caller in self.calls {
            seen.calls.extend(caller.join().map_err(panicked)?);
        }
        self.are_ends_over.store(true, Ordering::Relaxed);
        let played = self.restarts.join().map_err(panicked)??;
        seen.served = played.served;
        seen.falsely_whole.extend(played.falsely_whole);
        Ok(checks::check(&seen, &played.ends))
    }
}
