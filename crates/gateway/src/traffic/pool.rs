//! Pool of connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use hyper_util::rt::TokioIo;
use pistachiochute_core::{directory, retry, time, unread};
use pistachiochute_runtime::clock;

use crate::sockets;
use crate::traffic::watched;

/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle time up to which a connection is reused if the endpoint states no idle timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(4);

/// Fraction of the endpoint's idle timeout up to which a connection is reused, so that the endpoint
/// does not close it while a request is in transit.
const IDLE_LIMIT_FRACTION: f64 = 0.5;

/// Idle time up to which a connection is reused for a request that may run at most once: if the
/// endpoint closed it meanwhile, the outcome of the request would be unknown.
const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_millis(1_000);

/// Connections that a host may always open to an endpoint, whatever its share.
const MIN_CONNECTIONS: u32 = 4;

/// Fraction of an endpoint's connection limit that is divided among the hosts.
const SHARED_CONNECTION_FRACTION: f64 = 0.85;

pub(super) type Sender = http1::SendRequest<Full<Bytes>>;

/// Result of sending a request.
pub(super) type Sent = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

/// Reason why no connection could be acquired.
#[derive(Debug)]
pub(super) enum AcquireError {
    /// This host has reached its connection limit for the endpoint.
    AtLimit,
    /// The connection could not be established.
    Connect(io::Error),
    /// The connection was established, but the HTTP handshake failed.
    Handshake(hyper::Error),
}

impl AcquireError {
    /// Whether nothing answered the attempt to connect.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, Self::Connect(e) if e.kind() == io::ErrorKind::TimedOut)
    }
}

impl std::fmt::Display for AcquireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::AtLimit => f.write_str("connection limit of this host reached"),
            Self::Connect(e) => write!(f, "connect: {e}"),
            Self::Handshake(e) => write!(f, "handshake: {e}"),
        }
    }
}

/// An idle connection.
struct IdleConnection {
    sender: Sender,
    since: time::Time,
    max_idle: Duration,
    process: Process,
    watch: watched::Watch,
}

/// The process at the other end of a connection, which stays the same for as long as the connection lives.
#[derive(Clone, Copy, Debug)]
struct Process {
    /// When the connection had been made.
    connected_at: time::Time,
    /// What it has said of itself on this connection.
    reported: Option<Reported>,
}

/// What the process at the other end of a connection has said of itself there, which holds for all of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reported {
    /// It is the one of the endpoint's entry.
    Listed,
    /// It is another one.
    Other {
        /// Its start, in milliseconds since the Unix epoch.
        started_at_ms: u64,
    },
}

/// Largest buffer for reading from an endpoint with `machine` in the settings, in bytes, and so the largest
/// head of an answer. The library's own bound is 400 kB a connection.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// What the library may hold of an answer that is read more slowly than it comes, in bytes: a piece that
/// waits to be read, and the buffer behind it.
pub(super) const READ_AHEAD_BYTES: usize = 2 * MAX_BUFFER_BYTES;

/// Connections to one incarnation of an endpoint.
#[derive(Default)]
struct EndpointConnections {
    idle: Vec<IdleConnection>,
    /// Number of connections, idle ones included.
    open: u32,
}

/// Connections to all endpoints.
#[derive(Clone, Default)]
pub(super) struct Pool {
    /// Whether the buffers of connections are bounded by [`MAX_BUFFER_BYTES`].
    is_bounded: bool,
    attention: watched::Attention,
    endpoints: Rc<RefCell<HashMap<directory::Identity, EndpointConnections>>>,
}

/// Connection limit of one of `hosts` hosts for an endpoint that accepts `max_connections`.
fn connection_limit(max_connections: u32, hosts: u32) -> u32 {
    let share = f64::from(max_connections) * SHARED_CONNECTION_FRACTION / f64::from(hosts.max(1));
    (share as u32).max(MIN_CONNECTIONS)
}

impl Pool {
    /// Creates a pool without connections.
    pub(super) fn new(is_bounded: bool) -> Self {
        Self {
            is_bounded,
            ..Self::default()
        }
    }

    /// Records that the thread has its turn. To be called every tenth of a second or so.
    pub(super) fn record_turn(&self) {
        self.attention.record();
    }

    /// Acquires a connection for one request, idle or new.
    pub(super) async fn acquire(
        &self,
        endpoint: &directory::Endpoint,
        at_most_once: bool,
        max_connections: u32,
        hosts: u32,
    ) -> Result<Connection, AcquireError> {
        let max_idle = match at_most_once {
            true => AT_MOST_ONCE_MAX_IDLE,
            false => Duration::MAX,
        };
        if let Some(idle) = self.pop_idle(&endpoint.identity, max_idle) {
            return Ok(self.reuse(endpoint, idle));
        }
        self.open(endpoint, max_connections, hosts).await
    }

    /// Opens a connection, whether there are idle ones or not.
    pub(super) async fn open(
        &self,
        endpoint: &directory::Endpoint,
        max_connections: u32,
        hosts: u32,
    ) -> Result<Connection, AcquireError> {
        let limit = connection_limit(max_connections, hosts);
        self.open_within(endpoint, limit).await
    }

    async fn open_within(
        &self,
        endpoint: &directory::Endpoint,
        limit: u32,
    ) -> Result<Connection, AcquireError> {
        let permit = self
            .reserve(&endpoint.identity, limit)
            .ok_or(AcquireError::AtLimit)?;
        let stream = sockets::connect(endpoint.address, CONNECT_TIMEOUT)
            .await
            .map_err(AcquireError::Connect)?;
        let connected_at = clock::now();
        let watch = watched::Watch::new(self.attention.clone());
        let stream = watched::Watched::new(stream, watch.clone());
        let mut builder = http1::Builder::new();
        if self.is_bounded {
            builder.max_buf_size(MAX_BUFFER_BYTES);
        }
        let (sender, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(AcquireError::Handshake)?;
        // A connection error is reported by the request that it interrupts.
        tokio::task::spawn_local(async { drop(driver.await) });
        Ok(Connection {
            permit,
            sender: Some(sender),
            is_new: true,
            is_free: true,
            process: Process {
                connected_at,
                reported: None,
            },
            watch,
        })
    }

    fn reuse(&self, endpoint: &directory::Endpoint, idle: IdleConnection) -> Connection {
        Connection {
            permit: Permit {
                pool: self.clone(),
                identity: endpoint.identity.clone(),
            },
            sender: Some(idle.sender),
            is_new: false,
            is_free: true,
            process: idle.process,
            watch: idle.watch,
        }
    }

    /// Removes the most recently used idle connection, and closes expired ones.
    fn pop_idle(
        &self,
        identity: &directory::Identity,
        max_idle: Duration,
    ) -> Option<IdleConnection> {
        let now = clock::now();
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.get_mut(identity)?;
        while let Some(idle) = endpoint.idle.pop() {
            let age = now.since(idle.since);
            if idle.sender.is_ready() && age < idle.max_idle {
                if age < max_idle {
                    return Some(idle);
                }
                // Too old for this request, but not for others. All remaining ones are older.
                endpoint.idle.push(idle);
                return None;
            }
            endpoint.open -= 1;
        }
        None
    }

    /// Reserves a permit for a new connection. At the limit, the oldest idle connection is closed
    /// first.
    fn reserve(&self, identity: &directory::Identity, limit: u32) -> Option<Permit> {
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.entry(identity.clone()).or_default();
        if endpoint.open >= limit {
            if endpoint.idle.is_empty() {
                return None;
            }
            endpoint.idle.remove(0);
            endpoint.open -= 1;
        }
        endpoint.open += 1;
        Some(Permit {
            pool: self.clone(),
            identity: identity.clone(),
        })
    }

    /// Closes the idle connections to an incarnation.
    pub(super) fn close_idle(&self, identity: &directory::Identity) {
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(endpoint) = endpoints.get_mut(identity) {
            endpoint.open -= endpoint.idle.len() as u32;
            endpoint.idle.clear();
        }
    }

    /// Closes idle connections that have expired or were closed by the endpoint.
    pub(super) fn prune(&self) {
        let now = clock::now();
        self.endpoints.borrow_mut().retain(|_, endpoint| {
            let before = endpoint.idle.len();
            endpoint
                .idle
                .retain(|idle| idle.sender.is_ready() && now.since(idle.since) < idle.max_idle);
            endpoint.open -= (before - endpoint.idle.len()) as u32;
            endpoint.open > 0
        });
    }
}

/// Permit for one connection. It is released on drop, since the future that holds it is dropped
/// when the caller disconnects.
struct Permit {
    pool: Pool,
    identity: directory::Identity,
}

impl Permit {
    /// Returns a connection to the pool. It stays counted as open, although the permit is released.
    fn return_idle(self, idle: IdleConnection) {
        let mut endpoints = self.pool.endpoints.borrow_mut();
        if let Some(endpoint) = endpoints.get_mut(&self.identity) {
            endpoint.open += 1;
            endpoint.idle.push(idle);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(endpoint) = self.pool.endpoints.borrow_mut().get_mut(&self.identity) {
            endpoint.open -= 1;
        }
    }
}

/// Connection acquired for one request. It is closed on drop unless it is released.
pub(super) struct Connection {
    permit: Permit,
    sender: Option<Sender>,
    is_new: bool,
    is_free: bool,
    process: Process,
    /// How the present answer is read.
    watch: watched::Watch,
}

impl Connection {
    /// Sends a request. An error holds the request if no byte of it was written.
    pub(super) fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        sends: &retry::Sends,
    ) -> impl Future<Output = Sent> {
        sends.hand_over();
        self.watch.begin();
        let sender = self.sender.as_mut();
        sender
            .expect("present until it is released")
            .try_send_request(req)
    }

    /// Asks the process at the other end something on the host's own account. Until
    /// [`Connection::wait_until_free`] has returned, the connection takes no other request.
    pub(super) fn probe(&mut self, req: Request<Full<Bytes>>) -> impl Future<Output = Sent> {
        self.is_new = false;
        self.is_free = false;
        let sender = self.sender.as_mut();
        sender
            .expect("present until it is released")
            .try_send_request(req)
    }

    /// Waits after a probe until the connection takes another request, or is known to take none.
    pub(super) async fn wait_until_free(&mut self) {
        if let Some(sender) = &mut self.sender {
            self.is_free = sender.ready().await.is_ok();
        }
    }

    /// Whether the connection takes a request: it has not been probed, or the probe is over.
    pub(super) const fn is_free(&self) -> bool {
        self.is_free
    }

    /// What the process at the other end has said of itself on the connection.
    pub(super) const fn reported(&self) -> Option<Reported> {
        self.process.reported
    }

    /// Records what the process at the other end has said of itself on the connection.
    pub(super) const fn set_reported(&mut self, reported: Reported) {
        self.process.reported = Some(reported);
    }

    /// When the connection had been made.
    pub(super) const fn connected_at(&self) -> time::Time {
        self.process.connected_at
    }

    /// What the reading of the present answer says of its end.
    pub(super) fn end_of_reading(&self) -> unread::End {
        self.watch.end()
    }

    /// Whether the connection was opened for this request, and nothing was sent on it before.
    pub(super) const fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the connection to the pool once it is ready for another request. `idle_limit` is the
    /// idle timeout that the endpoint states.
    pub(super) fn release(mut self, idle_limit: Option<Duration>) {
        let max_idle = idle_limit.map_or(DEFAULT_MAX_IDLE, |idle_limit| {
            idle_limit.mul_f64(IDLE_LIMIT_FRACTION)
        });
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        let (permit, process, watch) = (self.permit, self.process, self.watch);
        tokio::task::spawn_local(async move {
            if sender.ready().await.is_ok() {
                permit.return_idle(IdleConnection {
                    sender,
                    since: clock::now(),
                    max_idle,
                    process,
                    watch,
                });
            }
        });
    }
}
