//! Calls to an HTTP service over kept connections.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pistachiochute_runtime::platform::key_value;

use crate::net as sockets;

/// Time to make a connection.
const CONNECT: Duration = Duration::from_millis(1_000);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Connections that are kept for the next call.
const MAX_KEPT: usize = 4;

/// Status and body of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

type Connection = http1::SendRequest<Full<Bytes>>;

/// Client of one service. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: net::SocketAddr,
    kept: Rc<RefCell<Vec<Connection>>>,
}

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            kept: Rc::default(),
        }
    }

    /// Calls the service.
    ///
    /// # Errors
    ///
    /// [`key_value::Error::NotSent`] if no connection was made, and
    /// [`key_value::Error::Unknown`] if no whole answer came in time. The connection is then
    /// not used again.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, key_value::Error> {
        let calling = async {
            let mut connection = self.connection().await?;
            let answer = exchange(&mut connection, req).await?;
            self.keep(connection);
            Ok(answer)
        };
        match tokio::time::timeout(timeout, calling).await {
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

    async fn connection(&self) -> Result<Connection, key_value::Error> {
        while let Some(kept) = self.take_kept() {
            if kept.is_ready() {
                return Ok(kept);
            }
        }
        let not_sent = |reason: String| key_value::Error::NotSent { reason };
        let stream = sockets::connect(self.address, CONNECT)
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        // The error of the driver is that of the call that it ends.
        tokio::task::spawn_local(async { drop(driver.await) });
        Ok(connection)
    }

    fn take_kept(&self) -> Option<Connection> {
        self.kept.borrow_mut().pop()
    }

    fn keep(&self, connection: Connection) {
        let mut kept = self.kept.borrow_mut();
        if kept.len() < MAX_KEPT && !connection.is_closed() {
            kept.push(connection);
        }
    }
}

async fn exchange(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> Result<Answer, key_value::Error> {
    let answer = connection
        .send_request(req)
        .await
        .map_err(|e| key_value::Error::unknown(e.to_string()))?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|e| key_value::Error::unknown(e.to_string()))?;
    Ok(Answer {
        status,
        body: body.to_bytes(),
    })
}
