//! The control thread, which holds all control state of the host.
//!
//! Traffic threads send typed commands and wait for their answers, so no control state is shared
//! and every decision is made by the state machines of the core in one order.

mod arrive;
mod loads;
mod offer;
mod peers;
mod replica;
mod state;

use std::convert::Infallible;
use std::net;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use pistachiochute_core::{
    entity, health, lists, name, owner, reason, request, retry, revision, time, topology, units,
};
use pistachiochute_messages::{control, forward};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::lists::sync;
use crate::{clock, entry::call, link, metrics, settings};

/// Commands that may wait for the control thread.
const COMMAND_BUFFER: usize = 4096;

/// Delay after which a caller may come back when nothing better is known.
pub const COME_BACK: Duration = Duration::from_secs(1);

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
pub enum Verdict {
    /// Send the work to the endpoint.
    Dispatch {
        /// Address of the endpoint.
        addr: net::SocketAddr,
    },
    /// The work waits; another verdict follows.
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
    pub arrived: usize,
    /// Work that runs and waits at the endpoints that the host owns.
    pub owned: usize,
    /// Endpoints that the host takes new work for.
    pub open_endpoints: usize,
    /// Version of the host list in use.
    pub host_list: u64,
}

enum Command {
    Arrive {
        request: request::RequestId,
        call: Box<call::Call>,
        tx: channel::Sender<Result<Admitted, Refused>>,
    },
    Depart(request::RequestId),
    Retries {
        request: request::RequestId,
        repeat: request::Repeat,
        deadline: time::Time,
        tx: channel::Sender<retry::Request>,
    },
    Failed {
        retries: Box<retry::Request>,
        failure: retry::Failure,
        tx: channel::Sender<(retry::Request, retry::Decision)>,
    },
    Locate {
        endpoint: entity::EndpointId,
        tx: channel::Sender<Option<Candidate>>,
    },
    Offer {
        head: Box<forward::Forward>,
        tx: channel::Sender<Verdict>,
    },
    Finish {
        endpoint: entity::EndpointId,
        id: owner::AttemptId,
        used: Option<units::Tokens>,
    },
    Abandon {
        endpoint: entity::EndpointId,
        id: owner::AttemptId,
    },
    Sign(entity::EndpointId, health::Sign),
    /// Gives the control thread its links, which need the control thread to be made.
    Connect(link::Sender),
    Message {
        message: control::Message,
        done: oneshot::Sender<Bytes>,
    },
    Answer {
        from: entity::HostId,
        answer: Result<control::Message, link::CallError>,
    },
    HostList(topology::HostList),
    /// Gives the control thread the thread that calls the store.
    ConnectStore(sync::Orders),
    StoreAnswer(lists::replica::StoreAnswer),
    Recorded(lists::Delta),
    HighestVersion(channel::Sender<lists::Version>),
    Catalog(channel::Sender<Option<lists::verify::Catalog>>),
    ListsStatus {
        revision: Option<revision::Revision>,
        tx: channel::Sender<ListsStatus>,
    },
    Status(channel::Sender<Status>),
    Drain,
    Close,
}

/// Handle with which other threads use the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: channel::Sender<Command>,
    /// Disconnected once the control thread has ended. Commands that it has not taken stay in the
    /// channel, so their answers would be waited for without an end.
    ended: channel::Receiver<Infallible>,
}

impl Handle {
    /// Asks whether and where a caller's request may be served. An admitted request must
    /// [`Handle::depart`] when it has ended.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub fn arrive(
        &self,
        request: request::RequestId,
        call: &call::Call,
    ) -> Result<Admitted, Refused> {
        // The body stays with the caller's thread.
        let call = call::Call {
            body: bytes::Bytes::new(),
            ..call.clone()
        };
        let admitted = self.ask(|tx| Command::Arrive {
            request,
            call: Box::new(call),
            tx,
        });
        admitted.unwrap_or_else(|| Err(Refused::stopped()))
    }

    /// Ends a request that was admitted.
    pub fn depart(&self, request: request::RequestId) {
        self.tell(Command::Depart(request));
    }

    /// Makes the attempts of a request, which share the retry budget of the host.
    #[must_use]
    pub fn retries(
        &self,
        request: request::RequestId,
        repeat: request::Repeat,
        deadline: time::Time,
    ) -> Option<retry::Request> {
        self.ask(|tx| Command::Retries {
            request,
            repeat,
            deadline,
            tx,
        })
    }

    /// Decides what follows a failed attempt.
    #[must_use]
    pub fn failed(
        &self,
        retries: retry::Request,
        failure: retry::Failure,
    ) -> Option<(retry::Request, retry::Decision)> {
        self.ask(|tx| Command::Failed {
            retries: Box::new(retries),
            failure,
            tx,
        })
    }

    /// Finds the owner of an endpoint.
    #[must_use]
    pub fn locate(&self, endpoint: entity::EndpointId) -> Option<Candidate> {
        self.ask(|tx| Command::Locate { endpoint, tx }).flatten()
    }

    /// Offers a forwarded request for an endpoint that this host owns. Verdicts come on the
    /// returned channel. Work that was dispatched must [`Handle::finish`].
    #[must_use]
    pub fn offer(&self, head: &forward::Forward) -> channel::Receiver<Verdict> {
        let (tx, rx) = channel::unbounded();
        self.tell(Command::Offer {
            head: Box::new(head.clone()),
            tx,
        });
        rx
    }

    /// Ends dispatched work.
    pub fn finish(
        &self,
        endpoint: entity::EndpointId,
        id: owner::AttemptId,
        used: Option<units::Tokens>,
    ) {
        self.tell(Command::Finish { endpoint, id, used });
    }

    /// Takes in what a call showed of the endpoint's health.
    pub fn sign(&self, endpoint: entity::EndpointId, sign: health::Sign) {
        self.tell(Command::Sign(endpoint, sign));
    }

    /// Takes offered work back, because its caller went away.
    pub fn abandon(&self, endpoint: entity::EndpointId, id: owner::AttemptId) {
        self.tell(Command::Abandon { endpoint, id });
    }

    /// Gives the control thread the links on which it sends messages.
    pub fn connect(&self, links: link::Sender) {
        self.tell(Command::Connect(links));
    }

    /// Takes a message of another host. The answer goes to `done`.
    pub fn message(&self, message: control::Message, done: oneshot::Sender<Bytes>) {
        self.tell(Command::Message { message, done });
    }

    /// Takes the answer of another host to a message, or the reason why there is none.
    pub(crate) fn answer(
        &self,
        from: entity::HostId,
        answer: Result<control::Message, link::CallError>,
    ) {
        self.tell(Command::Answer { from, answer });
    }

    /// Takes in the host list of the platform.
    pub fn host_list(&self, list: topology::HostList) {
        self.tell(Command::HostList(list));
    }

    /// Gives the control thread the thread that calls the store.
    pub fn connect_store(&self, orders: sync::Orders) {
        self.tell(Command::ConnectStore(orders));
    }

    /// Takes the answer to an order to read the store.
    pub fn store_answer(&self, answer: lists::replica::StoreAnswer) {
        self.tell(Command::StoreAnswer(answer));
    }

    /// Takes an edit of the lists that the store has recorded.
    pub fn recorded(&self, delta: lists::Delta) {
        self.tell(Command::Recorded(delta));
    }

    /// Largest version of the lists that is known to exist.
    #[must_use]
    pub fn highest_version(&self) -> lists::Version {
        self.ask(Command::HighestVersion)
            .unwrap_or(lists::Version::NONE)
    }

    /// Models and services that endpoints serve, or `None` while the host list is not known.
    #[must_use]
    pub fn catalog(&self) -> Option<lists::verify::Catalog> {
        self.ask(Command::Catalog).flatten()
    }

    /// What the domains have in force of a revision, or of the host's own if it is `None`.
    #[must_use]
    pub fn lists_status(&self, revision: Option<revision::Revision>) -> Option<ListsStatus> {
        self.ask(|tx| Command::ListsStatus { revision, tx })
    }

    /// State of the host, or `None` once the control thread has ended.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        self.ask(Command::Status)
    }

    /// Stops taking new requests.
    pub fn drain(&self) {
        self.tell(Command::Drain);
    }

    fn tell(&self, command: Command) {
        // Only a closed control thread refuses commands, and then there is nothing to decide.
        let _ = self.tx.send(command);
    }

    fn ask<T, F>(&self, make: F) -> Option<T>
    where
        F: FnOnce(channel::Sender<T>) -> Command,
    {
        let (tx, rx) = channel::bounded(1);
        self.tx.send(make(tx)).ok()?;
        channel::select! {
            recv(rx) -> answer => answer.ok(),
            recv(self.ended) -> _ => rx.try_recv().ok(),
        }
    }

    /// Whether the control thread has ended, so that nothing will be decided any more.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended.try_recv() == Err(channel::TryRecvError::Disconnected)
    }
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
        let handle = Handle { tx, ended };
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
        self.handle.tell(Command::Close);
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
