//! Kept connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pistachiochute_core::{directory, time};
use pistachiochute_runtime::clock;

use crate::sockets;

/// Time to make a connection.
const CONNECT: Duration = Duration::from_millis(250);

/// Idle time up to which a connection is used again if the endpoint states no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Part of a stated idle limit up to which a connection is used again, so that the endpoint does
/// not close it while a request is on its way.
const IDLE_FRACTION: f64 = 0.5;

/// Idle time up to which a connection carries a request that may run at most once: an endpoint
/// that closed it meanwhile would leave the outcome unknown.
const AT_MOST_ONCE_IDLE: Duration = Duration::from_millis(1_000);

/// Connections to one endpoint that one host may always have.
const MIN_CONNECTIONS: u32 = 4;

/// Part of the connections of an endpoint that the hosts share.
const CONNECTION_FRACTION: f64 = 0.85;

pub(super) type Sender = http1::SendRequest<Full<Bytes>>;

/// Why there is no connection.
#[derive(Debug)]
pub(super) enum NoConnection {
    /// This host has as many connections to the endpoint as it may.
    AtLimit,
    /// The endpoint cannot be reached.
    Failed(io::Error),
    /// The connection was made and then failed at once.
    Handshake(hyper::Error),
}

impl std::fmt::Display for NoConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::AtLimit => f.write_str("as many connections as this host may have"),
            Self::Failed(e) => write!(f, "connect: {e}"),
            Self::Handshake(e) => write!(f, "handshake: {e}"),
        }
    }
}

/// An idle connection.
struct Idle {
    sender: Sender,
    since: time::Time,
    limit: Duration,
}

/// Connections to one life of an endpoint.
#[derive(Default)]
struct Endpoint {
    idle: Vec<Idle>,
    /// Connections, the idle ones included.
    open: u32,
}

/// Connections to all endpoints.
#[derive(Clone, Default)]
pub(super) struct Pool {
    endpoints: Rc<RefCell<HashMap<directory::Identity, Endpoint>>>,
}

/// Most connections of one host to an endpoint that takes `max` connections from `hosts` hosts.
fn limit(max: u32, hosts: u32) -> u32 {
    let share = f64::from(max) * CONNECTION_FRACTION / f64::from(hosts.max(1));
    (share as u32).max(MIN_CONNECTIONS)
}

impl Pool {
    /// Takes a connection for one request.
    pub(super) async fn take(
        &self,
        endpoint: &directory::Endpoint,
        at_most_once: bool,
        max: u32,
        hosts: u32,
    ) -> Result<Connection, NoConnection> {
        let longest_idle = match at_most_once {
            true => AT_MOST_ONCE_IDLE,
            false => Duration::MAX,
        };
        if let Some(sender) = self.take_idle(&endpoint.identity, longest_idle) {
            return Ok(self.connection(endpoint, sender, false));
        }
        self.open(endpoint, limit(max, hosts)).await
    }

    async fn open(
        &self,
        endpoint: &directory::Endpoint,
        limit: u32,
    ) -> Result<Connection, NoConnection> {
        let place = self
            .reserve(&endpoint.identity, limit)
            .ok_or(NoConnection::AtLimit)?;
        let stream = sockets::connect(endpoint.address, CONNECT)
            .await
            .map_err(NoConnection::Failed)?;
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(NoConnection::Handshake)?;
        // The error of the driver is that of the request that it ends.
        tokio::task::spawn_local(async { drop(driver.await) });
        Ok(Connection {
            place,
            sender: Some(sender),
            is_new: true,
        })
    }

    fn connection(
        &self,
        endpoint: &directory::Endpoint,
        sender: Sender,
        is_new: bool,
    ) -> Connection {
        Connection {
            place: Place {
                pool: self.clone(),
                identity: endpoint.identity.clone(),
            },
            sender: Some(sender),
            is_new,
        }
    }

    /// Takes the idle connection that was used last, and closes those that are too old.
    fn take_idle(&self, identity: &directory::Identity, longest: Duration) -> Option<Sender> {
        let now = clock::now();
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.get_mut(identity)?;
        while let Some(idle) = endpoint.idle.pop() {
            let age = now.since(idle.since);
            if idle.sender.is_ready() && age < idle.limit {
                if age < longest {
                    return Some(idle.sender);
                }
                // Too old for this request, but not for others; all below it are older.
                endpoint.idle.push(idle);
                return None;
            }
            endpoint.open -= 1;
        }
        None
    }

    /// Counts a connection that is about to be opened. At the limit, the oldest idle one gives
    /// way.
    fn reserve(&self, identity: &directory::Identity, limit: u32) -> Option<Place> {
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
        Some(Place {
            pool: self.clone(),
            identity: identity.clone(),
        })
    }

    /// Closes idle connections that are no longer of use.
    pub(super) fn prune(&self) {
        let now = clock::now();
        self.endpoints.borrow_mut().retain(|_, endpoint| {
            let before = endpoint.idle.len();
            endpoint
                .idle
                .retain(|idle| idle.sender.is_ready() && now.since(idle.since) < idle.limit);
            endpoint.open -= (before - endpoint.idle.len()) as u32;
            endpoint.open > 0
        });
    }
}

/// One counted connection. It is given back when it is dropped, since the future that holds it is
/// dropped when a caller leaves.
struct Place {
    pool: Pool,
    identity: directory::Identity,
}

impl Place {
    /// Adds a connection to the idle ones, under whose count its place goes on.
    fn keep(self, sender: Sender, limit: Duration) {
        let mut endpoints = self.pool.endpoints.borrow_mut();
        if let Some(endpoint) = endpoints.get_mut(&self.identity) {
            endpoint.open += 1;
            endpoint.idle.push(Idle {
                sender,
                since: clock::now(),
                limit,
            });
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(endpoint) = self.pool.endpoints.borrow_mut().get_mut(&self.identity) {
            endpoint.open -= 1;
        }
    }
}

/// A connection that carries one request. It is closed when it is dropped.
pub(super) struct Connection {
    place: Place,
    sender: Option<Sender>,
    is_new: bool,
}

impl Connection {
    /// Sends requests.
    pub(super) fn sender(&mut self) -> &mut Sender {
        self.sender.as_mut().expect("present until it is kept")
    }

    /// Whether it was opened for this request.
    pub(super) const fn is_new(&self) -> bool {
        self.is_new
    }

    /// Keeps the connection for another request, once it is ready for one. `stated` is the idle
    /// limit of the endpoint.
    pub(super) fn keep(mut self, stated: Option<Duration>) {
        let limit = stated.map_or(DEFAULT_IDLE, |stated| stated.mul_f64(IDLE_FRACTION));
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        let place = self.place;
        tokio::task::spawn_local(async move {
            if sender.ready().await.is_ok() {
                place.keep(sender, limit);
            }
        });
    }
}
