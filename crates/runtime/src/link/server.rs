//! Server side of the links: calls from other hosts.

use std::future;
use std::sync::Arc;

use bytes::{Buf, Bytes};
use h2::server;
use pistachiochute_core::answer;
use pistachiochute_messages::{codec, forward};
use subtle::ConstantTimeEq as _;
use tokio::net;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::link;
use crate::link::ping;

/// Delay before accepting again after an error, for instance when no file descriptor is left.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Maximum number of concurrent streams on a connection.
const MAX_STREAMS: u32 = 4096;

/// Factor by which the serving side waits longer than the calling side before it pings. The serving
/// side receives no data while it streams replies, so with the same interval it would ping every
/// connection with open streams.
const SERVER_PING_FACTOR: u32 = 5;

/// Accepts connections and serves each on a task.
pub async fn listen<H>(cfg: Arc<link::Config>, listener: net::TcpListener, handler: Arc<H>)
where
    H: link::Handler,
{
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve(Arc::clone(&cfg), socket, Arc::clone(&handler)));
            }
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve<H>(cfg: Arc<link::Config>, socket: net::TcpStream, handler: Arc<H>)
where
    H: link::Handler,
{
    let _ = socket.set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(link::STREAM_WINDOW)
        .initial_connection_window_size(link::CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(socket);
    let Ok(Ok(mut connection)) = time::timeout(cfg.connect, handshake).await else {
        return;
    };
    let Some(pings) = connection.ping_pong() else {
        return;
    };
    let monitor = ping::Monitor::new(cfg.ping * SERVER_PING_FACTOR, cfg.ping);
    let accepting = async {
        while let Some(Ok((request, respond))) = connection.accept().await {
            let stream = Stream {
                cfg: Arc::clone(&cfg),
                request,
                respond,
                open: monitor.open_stream(),
            };
            tokio::spawn(stream.run(Arc::clone(&handler)));
        }
    };
    tokio::select! {
        () = accepting => {}
        () = monitor.clone().run(pings) => {}
    }
}

struct Stream {
    cfg: Arc<link::Config>,
    request: http::Request<h2::RecvStream>,
    respond: server::SendResponse<Bytes>,
    /// Keeps the stream counted as open while it is served.
    open: ping::OpenStream,
}

impl Stream {
    async fn run<H>(mut self, handler: Arc<H>)
    where
        H: link::Handler,
    {
        if !self.is_trusted() {
            return self.refuse(http::StatusCode::FORBIDDEN);
        }
        match self.request.uri().path() {
            link::FORWARD_PATH => self.forward(handler).await,
            link::CONTROL_PATH => self.control(handler).await,
            _ => self.refuse(http::StatusCode::NOT_FOUND),
        }
    }

    fn is_trusted(&self) -> bool {
        let secret = self.request.headers().get(link::SECRET_HEADER);
        secret.is_some_and(|secret| secret.as_bytes().ct_eq(&self.cfg.secret).into())
    }

    async fn forward<H>(mut self, handler: Arc<H>)
    where
        H: link::Handler,
    {
        let Some((head, body)) = self.read_forward().await else {
            return self.refuse(http::StatusCode::BAD_REQUEST);
        };
        let Ok(mut stream) = self.respond.send_response(http::Response::new(()), false) else {
            return;
        };
        let (tx, mut rx) = mpsc::channel(link::REPLY_BUFFER);
        handler.forward(head, body, tx);
        // When the calling host resets the stream, dropping `rx` closes the channel of the handler.
        while let Some(reply) = next_reply(&mut stream, &mut rx).await {
            let Ok(frame) = codec::encode(&reply) else {
                break;
            };
            if send(&mut stream, frame).await.is_err() {
                return;
            }
        }
        let _ = stream.send_data(Bytes::new(), true);
    }

    async fn control<H>(mut self, handler: Arc<H>)
    where
        H: link::Handler,
    {
        let Some(message) = self.read_body(codec::MAX_FRAME_LEN).await else {
            return self.refuse(http::StatusCode::BAD_REQUEST);
        };
        let (done, answer) = oneshot::channel();
        handler.control(message, done);
        let Ok(answer) = answer.await else {
            return self.refuse(http::StatusCode::BAD_REQUEST);
        };
        let Ok(mut stream) = self.respond.send_response(http::Response::new(()), false) else {
            return;
        };
        if send(&mut stream, answer).await.is_ok() {
            let _ = stream.send_data(Bytes::new(), true);
        }
    }

    /// Reads the head and the body of a forwarded request. Returns `None` unless the body has the
    /// length that the head declares.
    async fn read_forward(&mut self) -> Option<(forward::Forward, Bytes)> {
        let bytes = self
            .read_body(codec::MAX_FRAME_LEN + self.cfg.max_body_bytes)
            .await?;
        let mut decoder = codec::Decoder::new();
        decoder.extend(&bytes);
        let head: forward::Forward = decoder.take().ok()??;
        let body = decoder.take_rest();
        (body.len() as u64 == head.body_len).then_some((head, body))
    }

    /// Reads the complete request body. Returns `None` if it is truncated, stalls or exceeds `max`
    /// bytes.
    async fn read_body(&mut self, max: usize) -> Option<Bytes> {
        let body = self.request.body_mut();
        let mut buf = bytes::BytesMut::new();
        loop {
            let data = time::timeout(self.cfg.stall, body.data()).await.ok()?;
            let Some(data) = data else {
                return Some(buf.freeze());
            };
            let data = data.ok()?;
            self.open.record_received();
            if buf.len() + data.len() > max {
                return None;
            }
            let _ = body.flow_control().release_capacity(data.len());
            buf.extend_from_slice(&data);
        }
    }

    fn refuse(&mut self, status: http::StatusCode) {
        let mut response = http::Response::new(());
        *response.status_mut() = status;
        let _ = self.respond.send_response(response, true);
    }
}

/// Waits for the next reply. Returns `None` after the last one or if the stream was reset.
async fn next_reply(
    stream: &mut h2::SendStream<Bytes>,
    rx: &mut mpsc::Receiver<answer::Frame>,
) -> Option<answer::Frame> {
    tokio::select! {
        _ = future::poll_fn(|cx| stream.poll_reset(cx)) => None,
        reply = rx.recv() => reply,
    }
}

/// Sends `data` as the flow-control window allows.
pub async fn send(stream: &mut h2::SendStream<Bytes>, mut data: Bytes) -> Result<(), h2::Error> {
    while data.has_remaining() {
        stream.reserve_capacity(data.len());
        let granted = future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let granted = granted.ok_or(h2::Reason::CANCEL)??;
        let part = data.split_to(granted.min(data.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
