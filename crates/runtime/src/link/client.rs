//! Client side of the links: calls to other hosts.

use std::collections::HashMap;
use std::fmt;
use std::net;
use std::sync::Arc;

use bytes::Bytes;
use h2::client;
use pistachiochute_core::{answer, outcome, reason};
use pistachiochute_messages::codec;
use tokio::sync::{Mutex, mpsc};
use tokio::time;

use crate::link;
use crate::link::ping;

/// Why a call to another host has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be established or used, so the call was not sent.
    ConnectFailed,
    /// The receiver refused the call without processing it.
    Refused,
    /// The connection was lost after the receiver may have read the call.
    ConnectionLost,
    /// No data arrived for the stall timeout, or the timeout of a control message passed.
    Stalled,
    /// The receiver sent data that cannot be decoded.
    Malformed,
}

impl CallError {
    /// Reason code for the caller.
    #[must_use]
    pub const fn reason(self) -> reason::Refusal {
        match self {
            Self::ConnectFailed => reason::Refusal::ConnectFailed,
            Self::Refused => reason::Refusal::NotReady,
            Self::ConnectionLost => reason::Refusal::ConnectionLost,
            Self::Stalled => reason::Refusal::Stalled,
            Self::Malformed => reason::Refusal::AnswerIncomplete,
        }
    }

    /// Whether the request may have run.
    #[must_use]
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::ConnectFailed | Self::Refused => outcome::Outcome::NotRun,
            Self::ConnectionLost | Self::Stalled | Self::Malformed => outcome::Outcome::Unknown,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason().as_str())
    }
}

impl std::error::Error for CallError {}

type Requester = client::SendRequest<Bytes>;

/// A connection and the monitor of its streams and pings.
#[derive(Clone)]
struct Connection {
    requester: Requester,
    monitor: ping::Monitor,
}

/// Connection to one host, if there is one. Concurrent calls wait for the lock, so that only one of
/// them connects.
type Slot = Arc<Mutex<Option<Connection>>>;

/// Connections to other hosts, one per address.
pub struct ConnectionPool {
    cfg: Arc<link::Config>,
    slots: HashMap<net::SocketAddr, Slot>,
}

/// Number of addresses at which those without a connection are evicted.
const MAX_SLOTS: usize = 1024;

impl ConnectionPool {
    pub fn new(cfg: Arc<link::Config>) -> Self {
        Self {
            cfg,
            slots: HashMap::new(),
        }
    }

    pub fn forward(
        &mut self,
        addr: net::SocketAddr,
        head: Bytes,
        body: Bytes,
        tx: mpsc::Sender<link::Received>,
    ) {
        let call = Call {
            cfg: Arc::clone(&self.cfg),
            slot: self.slot(addr),
            addr,
        };
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = call.forward(head, body, &tx) => ended,
                // The receiver of the replies was dropped. Dropping the stream resets it.
                () = tx.closed() => return,
            };
            if let Err(e) = ended {
                let _ = tx.send(Err(e)).await;
            }
        });
    }

    pub fn control(
        &mut self,
        addr: net::SocketAddr,
        message: Bytes,
        on_answer: link::AnswerCallback,
    ) {
        let call = Call {
            cfg: Arc::clone(&self.cfg),
            slot: self.slot(addr),
            addr,
        };
        tokio::spawn(async move {
            let span = call.cfg.control;
            let answer = time::timeout(span, call.control(message)).await;
            on_answer(answer.unwrap_or(Err(CallError::Stalled)));
        });
    }

    fn slot(&mut self, addr: net::SocketAddr) -> Slot {
        if self.slots.len() >= MAX_SLOTS {
            self.slots
                .retain(|_, slot| slot.try_lock().map_or(true, |slot| slot.is_some()));
        }
        Arc::clone(self.slots.entry(addr).or_default())
    }
}

struct Call {
    cfg: Arc<link::Config>,
    slot: Slot,
    addr: net::SocketAddr,
}

impl Call {
    async fn forward(
        &self,
        head: Bytes,
        body: Bytes,
        tx: &mpsc::Sender<link::Received>,
    ) -> Result<(), CallError> {
        let (response, mut stream, open) = self.open(link::FORWARD_PATH).await?;
        stream
            .send_data(head, false)
            .map_err(|_| CallError::ConnectionLost)?;
        send_body(&mut stream, body).await?;
        let response = self.wait(response).await??;
        if !response.status().is_success() {
            return Err(CallError::Refused);
        }
        open.record_received();
        self.receive(response.into_body(), tx, &open).await
    }

    async fn control(&self, message: Bytes) -> Result<Bytes, CallError> {
        let (response, mut stream, open) = self.open(link::CONTROL_PATH).await?;
        send_body(&mut stream, message).await?;
        let response = self.wait(response).await??;
        if !response.status().is_success() {
            return Err(CallError::Refused);
        }
        open.record_received();
        let mut body = response.into_body();
        let mut answer = Vec::new();
        while let Some(data) = self.wait_data(&mut body, &open).await? {
            if answer.len() + data.len() > codec::MAX_FRAME_LEN {
                return Err(CallError::Malformed);
            }
            answer.extend_from_slice(&data);
        }
        Ok(answer.into())
    }

    /// Decodes replies and sends them to `tx`, until the last one.
    async fn receive(
        &self,
        mut body: h2::RecvStream,
        tx: &mpsc::Sender<link::Received>,
        open: &ping::OpenStream,
    ) -> Result<(), CallError> {
        let mut decoder = codec::Decoder::new();
        while let Some(data) = self.wait_data(&mut body, open).await? {
            decoder.extend(&data);
            while let Some(frame) = decoder.take().map_err(|_| CallError::Malformed)? {
                let last = is_last(&frame);
                if tx.send(Ok(frame)).await.is_err() || last {
                    return Ok(());
                }
            }
        }
        // The stream ended before the last reply.
        Err(CallError::ConnectionLost)
    }

    /// Waits for the next data of the stream, or `None` at its end.
    async fn wait_data(
        &self,
        body: &mut h2::RecvStream,
        open: &ping::OpenStream,
    ) -> Result<Option<Bytes>, CallError> {
        let Some(data) = self.wait(body.data()).await? else {
            return Ok(None);
        };
        let data = data.map_err(|_| CallError::ConnectionLost)?;
        open.record_received();
        let _ = body.flow_control().release_capacity(data.len());
        Ok(Some(data))
    }

    async fn wait<F>(&self, future: F) -> Result<F::Output, CallError>
    where
        F: Future,
    {
        time::timeout(self.cfg.stall, future)
            .await
            .map_err(|_| CallError::Stalled)
    }

    /// Opens a stream to the host, connecting first if there is no connection.
    async fn open(
        &self,
        path: &str,
    ) -> Result<
        (
            impl Future<Output = Result<http::Response<h2::RecvStream>, CallError>> + use<>,
            h2::SendStream<Bytes>,
            ping::OpenStream,
        ),
        CallError,
    > {
        let connection = self.connection().await?;
        let requester = connection.requester.ready().await;
        let mut requester = requester.map_err(|_| CallError::ConnectFailed)?;
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!("http://{}{path}", self.addr))
            .header(link::SECRET_HEADER, &self.cfg.secret[..])
            .body(())
            .map_err(|_| CallError::ConnectFailed)?;
        let (response, stream) = requester
            .send_request(request, false)
            .map_err(|_| CallError::ConnectFailed)?;
        let response = async move { response.await.map_err(classify_stream_error) };
        Ok((response, stream, connection.monitor.open_stream()))
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        let mut slot = self.slot.lock().await;
        if let Some(Connection { requester, monitor }) = slot.take()
            && let Ok(requester) = requester.ready().await
        {
            let connection = Connection { requester, monitor };
            *slot = Some(connection.clone());
            return Ok(connection);
        }
        let connection = self.connect().await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connecting = async {
            let socket = tokio::net::TcpStream::connect(self.addr).await.ok()?;
            socket.set_nodelay(true).ok()?;
            client::Builder::new()
                .initial_window_size(link::STREAM_WINDOW)
                .initial_connection_window_size(link::CONNECTION_WINDOW)
                .handshake(socket)
                .await
                .ok()
        };
        let connected = time::timeout(self.cfg.connect, connecting).await;
        let (requester, mut connection) =
            connected.ok().flatten().ok_or(CallError::ConnectFailed)?;
        let pings = connection.ping_pong();
        let monitor = ping::Monitor::new(self.cfg.ping, self.cfg.ping);
        let pinger = monitor.clone();
        tokio::spawn(async move {
            let Some(pings) = pings else { return };
            // When the pings fail, dropping the connection ends every stream on it.
            tokio::select! {
                _ = connection => {}
                () = pinger.run(pings) => {}
            }
        });
        Ok(Connection { requester, monitor })
    }
}

/// Maps the error of a stream. A receiver that resets a stream with `REFUSED_STREAM` has not
/// processed it (RFC 9113, section 8.7).
fn classify_stream_error(e: h2::Error) -> CallError {
    match e.reason() {
        Some(h2::Reason::REFUSED_STREAM) if e.is_remote() => CallError::Refused,
        _ => CallError::ConnectionLost,
    }
}

fn is_last(frame: &answer::Frame) -> bool {
    matches!(
        frame.part,
        answer::Part::End { .. } | answer::Part::Failed { .. }
    )
}

/// Sends the body within the flow-control window, and ends the stream.
async fn send_body(stream: &mut h2::SendStream<Bytes>, body: Bytes) -> Result<(), CallError> {
    link::server::send(stream, body)
        .await
        .map_err(|_| CallError::ConnectionLost)?;
    stream
        .send_data(Bytes::new(), true)
        .map_err(|_| CallError::ConnectionLost)
}
