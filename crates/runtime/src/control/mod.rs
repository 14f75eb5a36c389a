//! The control thread, which owns all control state of the host.
//!
//! Traffic threads send it typed commands and wait for the replies. No control state is shared
//! between threads, and the state machines of `pistachiochute_core` see all events in one order.

mod admission;
mod command;
mod handle;
mod loads;
mod offer;
mod peers;
mod replica;
mod state;

use std::net;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use pistachiochute_core::{entity, lists, name, reason, request, revision, units};
use pistachiochute_messages::forward;
use smallvec::SmallVec;

use crate::control::command::Command;
use crate::{clock, metrics, settings};

pub use handle::Handle;

/// Capacity of the command channel.
const COMMAND_BUFFER: usize = 4096;

/// Retry delay for callers when no better estimate is available.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval of timer-driven work.
const TICK: Duration = Duration::from_millis(50);

/// An endpoint that may serve a request, with its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Host that owns the endpoint.
    pub owner: entity::HostId,
    /// Address of the owner's links, or `None` if this host is the owner.
    pub addr: Option<net::SocketAddr>,
}

/// An admitted request: its account's parameters and the candidates that may serve it.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Account of the caller.
    pub account: name::AccountName,
    /// Weight of the account.
    pub weight: u32,
    /// Priority that the plan sets.
    pub priority: u8,
    /// Chat, if the request belongs to one.
    pub chat: Option<request::ChatKey>,
    /// Estimated work.
    pub cost: units::Tokens,
    /// Revision of the lists that admission used.
    pub revision: revision::Revision,
    /// Endpoints in order of preference.
    pub candidates: SmallVec<[Candidate; 8]>,
    /// Loads of endpoints that this host owns and that serve the same target.
    pub loads: SmallVec<[forward::LoadView; 4]>,
}

/// Refusal of a request before it is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason code.
    pub reason: reason::Refusal,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Message for the caller.
    pub message: String,
}

/// Propagation of a revision of the lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListsStatus {
    /// The revision.
    pub revision: revision::Revision,
    /// Version that this host has applied.
    pub version: lists::Version,
    /// Status of each failure domain.
    pub domains: Vec<lists::replica::DomainStatus>,
}

/// Decision of the owner on offered work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// Send the work to the endpoint.
    Dispatch {
        /// Address of the endpoint.
        addr: net::SocketAddr,
    },
    /// The work is queued; another decision follows.
    Queued {
        /// Number of queue entries ahead of it.
        ahead: u32,
    },
    /// The work has not run and will not run.
    Refuse {
        /// Reason code.
        reason: reason::Refusal,
        /// Delay after which the work may be offered again.
        retry_after: Option<Duration>,
    },
}

/// State of the host for health checks and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// The host.
    pub host: entity::HostId,
    /// Whether the host accepts requests.
    pub ready: bool,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Revision of the lists that the host has applied.
    pub revision: revision::Revision,
    /// Number of callers' requests in progress.
    #[serde(rename = "arrived")]
    pub requests_in_progress: usize,
    /// Number of requests that run or wait at endpoints that the host owns.
    pub owned: usize,
    /// Number of endpoints for which the host accepts new work.
    pub open_endpoints: usize,
    /// Version of the host list in use.
    pub host_list: u64,
}

/// The control thread.
#[derive(Debug)]
pub struct Control {
    handle: Handle,
    thread: thread::JoinHandle<()>,
}

impl Control {
    /// Starts the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        settings: Arc<settings::Settings>,
        metrics: metrics::Metrics,
        log: slog::Logger,
    ) -> eyre::Result<Self> {
        let (tx, rx) = channel::bounded(COMMAND_BUFFER);
        let (alive, ended) = channel::bounded(0);
        let handle = Handle::new(tx, ended);
        let state = state::State::new(handle.clone(), settings, metrics, log);
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let _alive = alive;
                run(state, &rx);
            })?;
        Ok(Self { handle, thread })
    }

    /// Returns a handle for other threads.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Stops the thread and waits for it to end.
    pub fn close(self) {
        self.handle.send(Command::Close);
        let _ = self.thread.join();
    }
}

fn run(mut state: state::State, rx: &channel::Receiver<Command>) {
    let ticks = channel::tick(TICK);
    loop {
        channel::select! {
            recv(rx) -> command => match command {
                Ok(Command::Close) | Err(_) => return,
                Ok(command) => state.apply(clock::now(), command),
            },
            recv(ticks) -> _ => state.tick(clock::now()),
        }
    }
}
