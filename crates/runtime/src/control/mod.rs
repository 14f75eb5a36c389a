//! The control thread, which holds all control state of the host.
//!
//! Traffic threads send typed commands and wait for their answers, so no control state is shared
//! and every decision is made by the state machines of the core in one order.

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

/// Commands that may wait for the control thread.
const COMMAND_BUFFER: usize = 4096;

/// Delay after which a caller may come back when nothing better is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time between two rounds of timed work.
const TICK: Duration = Duration::from_millis(50);

/// An endpoint that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: entity::EndpointId,
    /// Host that owns it.
    pub owner: entity::HostId,
    /// Address of the owner's links, or `None` if this host is the owner.
    pub addr: Option<net::SocketAddr>,
}

/// A request that its plan allows, and where it may be served.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Account of the caller.
    pub account: name::AccountName,
    /// Weight of the account.
    pub weight: u32,
    /// Priority from the plan.
    pub priority: u8,
    /// Chat, if the request belongs to one.
    pub chat: Option<request::ChatKey>,
    /// Estimated work.
    pub cost: units::Tokens,
    /// Revision of the lists that the decision rests on.
    pub revision: revision::Revision,
    /// Endpoints in order of preference.
    pub candidates: SmallVec<[Candidate; 8]>,
    /// Loads of this host's endpoints that serve the same target.
    pub loads: SmallVec<[forward::LoadView; 4]>,
}

/// A request that is refused before it is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason code.
    pub reason: reason::Refusal,
    /// Delay after which the caller may come back.
    pub retry_after: Option<Duration>,
    /// What happened, for the caller.
    pub message: String,
}

/// How far a revision of the lists has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListsStatus {
    /// The revision.
    pub revision: revision::Revision,
    /// Version in force on the host.
    pub version: lists::Version,
    /// What is known of each failure domain.
    pub domains: Vec<lists::replica::DomainStatus>,
}

/// What the owner side does with offered work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// Send the work to the endpoint.
    Dispatch {
        /// Address of the endpoint.
        addr: net::SocketAddr,
    },
    /// The work waits; another decision follows.
    Queued {
        /// Entries in the queue before it.
        ahead: u32,
    },
    /// The work was not run and will not be.
    Refuse {
        /// Why.
        reason: reason::Refusal,
        /// Delay after which it may be offered again.
        retry_after: Option<Duration>,
    },
}

/// State of the host, as health checks and operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// The host.
    pub host: entity::HostId,
    /// Whether the host may get requests.
    pub ready: bool,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Revision of the lists in force.
    pub revision: revision::Revision,
    /// Requests of callers in progress.
    #[serde(rename = "arrived")]
    pub requests_in_progress: usize,
    /// Work that runs and waits at the endpoints that the host owns.
    pub owned: usize,
    /// Endpoints that the host takes new work for.
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
    /// Returns an error if the thread cannot be made.
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

    /// Handle with which other threads use the control thread.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Ends the thread.
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
