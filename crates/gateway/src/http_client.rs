//! HTTP/1.1 client of one service, with a small pool of persistent connections.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pistachiochute_runtime::platform::key_value;

use crate::sockets;

/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Idle connections kept open for later calls.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Head and body of a response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

type Connection = http1::SendRequest<Full<Bytes>>;

/// Client of one service. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    address: net::SocketAddr,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl Client {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`key_value::Error::NotSent`] if no connection was established, and
    /// [`key_value::Error::Unknown`] if no complete response came within `timeout`. The connection
    /// is closed in the latter case.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response, key_value::Error> {
        let exchange = async {
            let mut connection = self.acquire().await?;
            let response = send(&mut connection, req).await?;
            self.release(connection);
            Ok(response)
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(key_value::Error::unknown(format!(
                "no answer within {timeout:?}"
            ))),
        }
    }

    /// Address of the service.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    async fn acquire(&self) -> Result<Connection, key_value::Error> {
        while let Some(idle) = self.pop_idle() {
            if idle.is_ready() {
                return Ok(idle);
            }
        }
        let not_sent = |reason: String| key_value::Error::NotSent { reason };
        let stream = sockets::connect(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        // A connection error is reported by the call that it interrupts.
        tokio::task::spawn_local(async { drop(driver.await) });
        Ok(connection)
    }

    fn pop_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }

    fn release(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            idle.push(connection);
        }
    }
}

async fn send(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> Result<Response, key_value::Error> {
    let response = connection
        .send_request(req)
        .await
        .map_err(|e| key_value::Error::unknown(e.to_string()))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|e| key_value::Error::unknown(e.to_string()))?;
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
